"""Replay load patterns with and without each placement mechanism.

Each test names the load pattern that a mechanism is made for, disables the
mechanism, and compares the results of callers for the same arrivals.
"""

from collections.abc import Sequence

import pytest

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.placement import const
from samphirelug.components.placement import placer
from samphirelug.components.placement import ranking
from samphirelug.components.routing import model as routing_model
from standins import forwarding as build
from standins.simulation import placement as replay

SEEDS = (1, 2, 3)
# Callers of a portal send many short look-ups and fewer long submissions. If
# all requests were cold, they would need more than the available slots; if
# all were warm, less than half of them.
LOOKUP = replay.RequestKind(
    build.route(name="lookup", path_prefix="/lookup/"), 80.0, 0.64, 72, 3.0
)
SUBMIT = replay.RequestKind(
    build.route(
        name="submit",
        path_prefix="/submit/",
        kind=routing_model.RouteKind.UNSAFE,
        priority=1,
    ),
    30.0,
    0.84,
    72,
    4.0,
)
BURST = replay.LoadPhase("lookup", 12.0, 16.0, 4.0)
# This load fills the servers of some objects, while other servers have free
# slots.
UNEVEN_BURST = replay.LoadPhase("lookup", 12.0, 16.0, 1.7)


def replay_load(
    *,
    phases: Sequence[replay.LoadPhase] = (),
    seconds: float = 24.0,
    least_loaded: bool = False,
) -> list[replay.ReplayReport]:
    """Replay the load of the portal for each seed."""
    reports = []
    for seed in SEEDS:
        portal = replay.Replay(
            kinds=(LOOKUP, SUBMIT),
            servers=16,
            hosts=10,
            seed=seed,
            phases=phases,
        )
        if least_loaded:
            for server_placer in portal.placers:
                server_placer.ranking = LeastLoaded(
                    server_placer=server_placer
                )
        reports.append(portal.run(seconds))
    return reports


def mean_share(reports: Sequence[replay.ReplayReport], result: str) -> float:
    """Return the share of callers with a result, averaged over reports."""
    return sum(report.share(result) for report in reports) / len(reports)


class LeastLoaded(ranking.ServerRanking):
    """Order servers by load, independently of the object."""

    def __init__(self, *, server_placer: placer.Placer) -> None:
        super().__init__(registry=server_placer.registry)
        self.server_placer = server_placer

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
                key=lambda server: (
                    self.server_placer.loads.get_or_create(
                        server.incarnation
                    ).in_flight
                ),
            )
        )


def test_objects_keep_their_servers_warm() -> None:
    """Guard against placement by load alone, which keeps every server cold.

    The load is requests for a few objects that warm servers handle faster.
    """
    by_object, by_load = replay_load(), replay_load(least_loaded=True)
    assert sum(report.affinity_misses for report in by_object) < 0.5 * sum(
        report.affinity_misses for report in by_load
    )
    assert mean_share(by_object, "in target") > mean_share(
        by_load, "in target"
    )


def test_burst_is_refused_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against queues so long that every request is answered late.

    The load is a burst of four times the usual look-ups.
    """
    bounded = replay_load(phases=[BURST])
    monkeypatch.setattr(const, "FULL_RATIO", 100.0)
    queued = replay_load(phases=[BURST])
    assert mean_share(bounded, "in target") > mean_share(queued, "in target")


def test_second_server_takes_what_the_first_cannot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against refusals while other servers have free slots.

    The load is an increase that fills only the servers of some objects.
    """
    two_servers = replay_load(phases=[UNEVEN_BURST])
    monkeypatch.setattr(const, "SERVERS_PER_OBJECT", 1)
    one_server = replay_load(phases=[UNEVEN_BURST])
    assert mean_share(two_servers, "refused") < mean_share(
        one_server, "refused"
    )
    assert mean_share(two_servers, "in target") > mean_share(
        one_server, "in target"
    )


def test_load_reports_decay_no_faster_than_requests_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a host that ignores running requests of other hosts.

    Its own requests are queued behind them. The load is ten hosts that each
    send a server few requests, and together too many.
    """
    slow_decay = replay_load(phases=[BURST])
    monkeypatch.setattr(const, "REPORT_HALF_LIFE_FACTOR", 0.3)
    fast_decay = replay_load(phases=[BURST])
    assert mean_share(slow_decay, "in target") > mean_share(
        fast_decay, "in target"
    )


def test_refused_callers_do_not_retry_together() -> None:
    """Guard against a second burst at a retry time that all were given.

    The load is callers that are refused in a burst and retry at that time.
    """
    for report in replay_load(phases=[BURST]):
        times = sorted(report.retry_times_s)
        assert len(times) > 20
        max_together = max(
            sum(1 for time_s in times if start <= time_s < start + 0.01)
            for start in times
        )
        assert max_together < 0.1 * len(times)


def test_replay_repeats_exactly() -> None:
    """Guard against comparing results for different arrivals."""
    assert replay_load() == replay_load()


# Period in which some servers name limits. At the usual load each server gets
# about seven requests a second.
LIMIT_START_S = 6.0
LIMIT_END_S = 24.0
# A limit binds after this time, with this tolerance, in every such window.
SETTLED_AFTER_S = 3.0
WINDOW_S = 4.0
TOLERANCE_RATIO = 1.5
TOLERANCE_REQUESTS = 5


def replay_limits(
    *,
    hosts: int,
    limit_per_s: float,
    phases: Sequence[replay.LoadPhase] = (),
    seeds: Sequence[int] = SEEDS,
) -> list[replay.SimulatedServer]:
    """Return the servers that named limits in replays of the portal."""
    servers = []
    for seed in seeds:
        portal = replay.Replay(
            kinds=(LOOKUP, SUBMIT),
            servers=16,
            hosts=hosts,
            seed=seed,
            phases=phases,
            limits=[
                replay.LimitPhase(
                    name, LIMIT_START_S, LIMIT_END_S, limit_per_s
                )
                for name in ("s0", "s1", "s2", "s3")
            ],
        )
        portal.run(28.0)
        servers += [portal.servers[f"s{number}"] for number in range(4)]
    return servers


def most_in_window(server: replay.SimulatedServer) -> int:
    """Return the most requests in a window from hosts that were told."""
    times_s = [
        arrival.at_s
        for arrival in server.arrivals
        if arrival.was_told and arrival.at_s >= LIMIT_START_S + SETTLED_AFTER_S
    ]
    return max(
        (
            sum(start_s <= time_s < start_s + WINDOW_S for time_s in times_s)
            for start_s in times_s
        ),
        default=0,
    )


@pytest.mark.parametrize("hosts", [1, 4, 10, 40, 120])
@pytest.mark.parametrize("limit_per_s", [0.0, 1.0, 3.5, 6.5])
@pytest.mark.parametrize("factor", [1.0, 4.0])
def test_hosts_together_keep_to_the_limit_of_a_server(
    hosts: int, limit_per_s: float, factor: float
) -> None:
    """Guard against a server in need that gets more than it takes.

    The load is a service of which a quarter of the servers name limits of up
    to the usual rate, with and without a long burst of four times that.
    """
    phases = [
        replay.LoadPhase(route, 10.0, 20.0, factor)
        for route in ("lookup", "submit")
    ]
    allowed = TOLERANCE_REQUESTS + (TOLERANCE_RATIO * WINDOW_S * limit_per_s)
    for server in replay_limits(
        hosts=hosts, limit_per_s=limit_per_s, phases=phases
    ):
        assert most_in_window(server) <= allowed


@pytest.mark.parametrize("hosts", [1, 4, 10])
def test_limited_server_is_used_up_to_its_limit(hosts: int) -> None:
    """Guard against refusals while a server takes more requests."""
    phases = [replay.LoadPhase("lookup", 0.0, 28.0, 1.5)]
    servers = replay_limits(hosts=hosts, limit_per_s=4.0, phases=phases)
    arrivals = sum(
        arrival.at_s >= LIMIT_START_S + SETTLED_AFTER_S
        for server in servers
        for arrival in server.arrivals
    )
    settled_s = LIMIT_END_S - LIMIT_START_S - SETTLED_AFTER_S
    assert arrivals / len(servers) / settled_s > 0.7 * 4.0
