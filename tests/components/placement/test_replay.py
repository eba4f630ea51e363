"""Replay loads against the placement, with and without each decision.

Each test names the load that a decision answers, takes the decision out, and
compares what callers get over the same arrivals.
"""

from collections.abc import Sequence

import pytest

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.placement import const
from samphirelug.components.placement import placer
from samphirelug.components.placement import ranking
from standins import forwarding as build
from standins.simulation import placement as replay

SEEDS = (1, 2, 3)
# Callers of a portal: many short look-ups, fewer long submissions. Cold
# requests need more than the slots, warm ones less than half of them.
LOOKUP = replay.Kind(
    build.route(name="lookup", path_prefix="/lookup/"), 80.0, 0.64, 72, 3.0
)
SUBMIT = replay.Kind(
    build.route(
        name="submit", path_prefix="/submit/", idempotent=False, priority=1
    ),
    30.0,
    0.84,
    72,
    4.0,
)
RUSH = replay.Phase("lookup", 12.0, 16.0, 4.0)
# Fills the servers of some objects, while others have free slots.
UNEVEN = replay.Phase("lookup", 12.0, 16.0, 1.7)


def run(
    *,
    phases: Sequence[replay.Phase] = (),
    seconds: float = 24.0,
    least_loaded: bool = False,
) -> list[replay.Report]:
    """Replay the portal's load for each seed."""
    reports = []
    for seed in SEEDS:
        one = replay.Replay(
            kinds=(LOOKUP, SUBMIT),
            servers=16,
            hosts=10,
            seed=seed,
            phases=phases,
        )
        if least_loaded:
            for placing in one.placers:
                placing.ranking = LeastLoaded(placing=placing)
        reports.append(one.run(seconds))
    return reports


def share(reports: Sequence[replay.Report], result: str) -> float:
    """Return the mean share of a result."""
    return sum(one.share(result) for one in reports) / len(reports)


class LeastLoaded(ranking.ServerRanking):
    """Order servers by load, whatever the object."""

    def __init__(self, *, placing: placer.Placer) -> None:
        super().__init__(registry=placing.registry)
        self.placing = placing

    def order(
        self,
        *,
        object_key: str,  # noqa: ARG002
        service: str,
        regions: frozenset[str],  # noqa: ARG002
    ) -> tuple[fleet_model.ServerInstance, ...]:
        """Return the servers, the least loaded one first."""
        return tuple(
            sorted(
                self.registry.usable(service),
                key=lambda one: (
                    self.placing.loads.of(one.incarnation).in_flight
                ),
            )
        )


def test_objects_keep_their_servers_warm() -> None:
    """Load: requests for few objects that known servers handle faster.

    Guards against spreading by load alone, which keeps every server cold.
    """
    placed, spread = run(), run(least_loaded=True)
    assert sum(one.first_visits for one in placed) < 0.5 * sum(
        one.first_visits for one in spread
    )
    assert share(placed, "in target") > share(spread, "in target")


def test_rush_is_refused_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """Load: a rush of four times the usual look-ups.

    Guards against queues in which every request is answered late.
    """
    bounded = run(phases=[RUSH])
    monkeypatch.setattr(const, "FULL_RATIO", 100.0)
    queued = run(phases=[RUSH])
    assert share(bounded, "in target") > share(queued, "in target")


def test_second_server_takes_what_the_first_cannot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load: a rise that fills the servers of some objects only.

    Guards against refusals while other servers have free slots.
    """
    two = run(phases=[UNEVEN])
    monkeypatch.setattr(const, "SERVERS_PER_OBJECT", 1)
    one = run(phases=[UNEVEN])
    assert share(two, "refused") < share(one, "refused")
    assert share(two, "in target") > share(one, "in target")


def test_reports_of_other_hosts_load_last_as_long_as_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load: ten hosts that each send a server little, and together too much.

    Guards against a host that forgets the others' requests while they still
    run, and queues its own behind them.
    """
    remembered = run(phases=[RUSH])
    monkeypatch.setattr(const, "REPORT_HALF_LIFE", 0.3)
    forgotten = run(phases=[RUSH])
    assert share(remembered, "in target") > share(forgotten, "in target")


def test_refused_callers_do_not_come_back_together() -> None:
    """Load: callers that are refused in a rush and come back when told.

    Guards against a second rush, at the time that all were told.
    """
    for report in run(phases=[RUSH]):
        times = sorted(report.return_times_s)
        assert len(times) > 20
        together = max(
            sum(1 for other in times if one <= other < one + 0.01)
            for one in times
        )
        assert together < 0.1 * len(times)


def test_replay_repeats_exactly() -> None:
    """Guard against a comparison of different arrivals."""
    assert run() == run()
