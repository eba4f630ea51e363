"""Replay loads beyond capacity with fair shares and without them.

Each test names the load that the shares answer, and compares the results of
callers for the same arrivals.
"""

import collections
from collections.abc import Sequence
import functools
import itertools

import pytest

from samphirelug.components.placement import const
from samphirelug.components.placement import fair_share
from samphirelug.components.placement import retry_after
from samphirelug.components.routing import model as routing_model
from standins import forwarding as build
from standins.simulation import placement as replay

SEEDS = (1, 2, 3)
HOSTS = (3, 10, 24)
SERVED = ("in target", "late")
# Teams of skewed size, each with a limit of 1.6 times its usual rate.
SIZES = {f"team-{number}": number**-1.2 for number in range(1, 13)}
LARGEST = "team-1"
LIMIT_RATIO = 1.6
# Name, priority, kind, requests per second, work and target of each route.
ROUTES = (
    ("lookup", 0, routing_model.RouteKind.SAFE, 70.0, 0.64, 0.486),
    ("confirm", 1, routing_model.RouteKind.UNSAFE, 20.0, 0.52, 0.477),
    ("invoice", 2, routing_model.RouteKind.UNSAFE, 20.0, 0.84, 1.28),
)
# What callers do that repeat a refused request at once.
REPEATS = 8
REPEAT_AFTER_S = 0.02
# The load lasts from the start, and is judged once shares have settled.
START_S = 5.0
JUDGED_FROM_S = 6.0
END_S = 14.0


class NoShares(fair_share.FairShare):
    """Let everybody queue alike."""

    def full_ratio(
        self,
        *,
        service: str,  # noqa: ARG002
        team: str,  # noqa: ARG002
        priority: int,  # noqa: ARG002
        now: float,  # noqa: ARG002
    ) -> float:
        """Return the constant."""
        return const.FULL_RATIO

    def retry_order(
        self,
        *,
        service: str,  # noqa: ARG002
        team: str,  # noqa: ARG002
        now: float,  # noqa: ARG002
    ) -> retry_after.RetryOrder:
        """Return the order without shares."""
        return retry_after.RetryOrder.BY_SLOTS


class Results:
    """Hold the callers of all seeds under one load."""

    def __init__(self, reports: Sequence[replay.ReplayReport]) -> None:
        self.retry_times_s = [report.retry_times_s for report in reports]
        self.outcomes = [
            outcome
            for report in reports
            for outcome in report.outcomes
            if JUDGED_FROM_S <= outcome.sent_at_s < END_S
        ]

    def number(self, *results: str) -> int:
        """Return the number of callers with one of the results."""
        return sum(outcome.result in results for outcome in self.outcomes)

    def share(
        self, *results: str, route: str = "", team: str = "", other: str = ""
    ) -> float:
        """Return the share of a route's and a team's callers with a result.

        The callers of the other team are left out.
        """
        selected = [
            outcome.result in results
            for outcome in self.outcomes
            if route in ("", outcome.route)
            and team in ("", outcome.team)
            and other != outcome.team
        ]
        return sum(selected) / len(selected)


def request_kinds(*, repeating: str = "") -> list[replay.RequestKind]:
    """Return the requests of each team on each route.

    Callers of a team may repeat refused requests at once.
    """
    whole = sum(SIZES.values())
    return [
        replay.RequestKind(
            build.route(
                name=name,
                path_prefix=f"/{name}/",
                kind=kind,
                priority=priority,
            )._replace(target_latency_s=target_s),
            rate * size / whole,
            work_s,
            72,
            3.0,
            team,
            REPEATS if team == repeating else 1,
            REPEAT_AFTER_S if team == repeating else None,
        )
        for name, priority, kind, rate, work_s, target_s in ROUTES
        for team, size in SIZES.items()
    ]


@functools.cache
def replay_load(
    *phases: replay.LoadPhase,
    hosts: int,
    shares: type[fair_share.FairShare] = fair_share.FairShare,
    repeating: str = "",
) -> Results:
    """Replay a load for each seed."""
    reports = []
    for seed in SEEDS:
        kinds = request_kinds(repeating=repeating)
        limits = {
            team: LIMIT_RATIO
            * sum(kind.requests_per_s for kind in kinds if kind.team == team)
            for team in SIZES
        }
        service = replay.Replay(
            kinds=kinds, servers=16, hosts=hosts, seed=seed, phases=phases
        )
        for placer in service.placers:
            placer.fair_share = shares(weight_of=limits.__getitem__)
        reports.append(service.run(END_S))
    return Results(reports)


def phases(
    factor: float, *, routes: Sequence[str] = (), team: str = ""
) -> list[replay.LoadPhase]:
    """Return a changed rate of a team, or of all, on routes or on all."""
    return [
        replay.LoadPhase(route[0], START_S, END_S, factor, team)
        for route in ROUTES
        if not routes or route[0] in routes
    ]


FLOOD = phases(7.5, team=LARGEST)


@pytest.mark.parametrize("hosts", HOSTS)
def test_flood_of_a_team_is_borne_by_that_team(hosts: int) -> None:
    """Guard against a team's flood that takes the room of all others.

    The load is 7.5 times the usual rate of the largest team, in all three and
    a half times what the service usually gets.
    """
    fair = replay_load(*FLOOD, hosts=hosts)
    plain = replay_load(*FLOOD, hosts=hosts, shares=NoShares)
    for results in (SERVED, ("in target",)):
        assert fair.share(*results, other=LARGEST) > 1.1 * plain.share(
            *results, other=LARGEST
        )
    assert fair.share(*SERVED, team=LARGEST) < fair.share(
        *SERVED, other=LARGEST
    )
    check_common_bounds(fair, plain)


@pytest.mark.parametrize("hosts", HOSTS)
def test_repeats_at_once_win_little_over_other_callers(hosts: int) -> None:
    """Guard against slots that go to whoever asks for them most often.

    The load is three times the usual rate of all teams. Callers of the
    largest team repeat a refused request up to eight times, at once.
    """
    load = phases(3.0)
    fair = replay_load(*load, hosts=hosts, repeating=LARGEST)
    plain = replay_load(*load, hosts=hosts, repeating=LARGEST, shares=NoShares)
    assert fair.share(*SERVED, other=LARGEST) > 1.03 * plain.share(
        *SERVED, other=LARGEST
    )
    assert fair.share(*SERVED, team=LARGEST) < plain.share(
        *SERVED, team=LARGEST
    )
    check_common_bounds(fair, plain)


@pytest.mark.parametrize("hosts", HOSTS)
def test_burst_of_the_least_urgent_requests_goes_behind(hosts: int) -> None:
    """Guard against urgent requests that bear a burst of other ones.

    The load is twice the usual rate, and 2.5 times that of the invoices.
    """
    load = [*phases(2.0), *phases(2.5, routes=["invoice"])]
    fair = replay_load(*load, hosts=hosts)
    plain = replay_load(*load, hosts=hosts, shares=NoShares)
    for results in (SERVED, ("in target",)):
        assert fair.share(*results, route="lookup") > 0.03 + plain.share(
            *results, route="lookup"
        )
    assert fair.share(*SERVED, route="invoice") < fair.share(
        *SERVED, route="lookup"
    )
    check_common_bounds(fair, plain)


def test_service_without_teams_and_priorities_is_served_as_before() -> None:
    """Guard against a change for services that have neither."""
    kind = request_kinds()[0]._replace(requests_per_s=330.0, team="")
    reports = []
    for shares in (fair_share.FairShare, NoShares):
        service = replay.Replay(kinds=[kind], servers=16, hosts=3)
        for placer in service.placers:
            placer.fair_share = shares()
        reports.append(service.run(4.0))
    assert reports[0].share("refused") > 0.1
    assert reports[0] == reports[1]


def test_callers_refused_in_a_flood_do_not_retry_together() -> None:
    """Guard against a flood whose refused callers return as a second one."""
    for times_s in replay_load(*FLOOD, hosts=3).retry_times_s:
        together = collections.Counter(
            int(time_s / 0.01) for time_s in times_s
        )
        assert len(times_s) > 1000
        assert max(together.values()) < 0.01 * len(times_s)


def check_common_bounds(fair: Results, plain: Results) -> None:
    """Check what holds under every load beyond capacity."""
    whole = fair.share("in target")
    for team in SIZES:
        assert fair.share("in target", team=team) > whole / 4
    served = [fair.share(*SERVED, route=route[0]) for route in ROUTES]
    for urgent, other in itertools.combinations(served, 2):
        assert other < urgent + 0.05
    # Slots that wait for a request of those that go first stay free for as
    # long as that takes: 2 to 4 in 100 of the requests.
    assert fair.number(*SERVED) > 0.95 * plain.number(*SERVED)
    assert fair.number("in target") > 0.95 * plain.number("in target")
