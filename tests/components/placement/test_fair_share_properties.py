"""Test that fair shares refuse nobody without need, in any order of events."""

import math

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from returns.result import Success

from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.placement import const
from samphirelug.components.placement import fair_share
from samphirelug.components.placement import placer as placement_placer
from standins import forwarding as build

SERVICE = build.service()
TEAMS = ("", "a", "b", "c", "d")
# Team, priority, object, and seconds since the request before.
REQUESTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(TEAMS),
        strategies.integers(0, 2),
        strategies.integers(0, 2),
        strategies.floats(0.0, 0.3),
    ),
    min_size=30,
    max_size=150,
)
# Team, priority, whether they are sent, their number, and seconds before them.
# No team is idle for so long that it is no longer counted.
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(TEAMS),
        strategies.integers(0, 2),
        strategies.booleans(),
        strategies.integers(1, 40),
        strategies.floats(0.0, 0.2),
    ),
    min_size=1,
    max_size=40,
)
WEIGHTS = strategies.fixed_dictionaries(
    {team: strategies.sampled_from((0.0, 1.0, 5.0, 60.0)) for team in TEAMS}
)


@settings(max_examples=60, deadline=None)
@given(requests=REQUESTS, slots=strategies.integers(1, 4))
def test_no_refusal_by_fairness_while_a_slot_is_free(
    requests: list[tuple[str, int, int, float]], slots: int
) -> None:
    """Guard against free slots that are kept for requests that may come."""
    registry = fleet_registry.ServerRegistry()
    for name in ("s0", "s1", "s2"):
        registry.put(build.server(name, slots=slots), source="test")
    placer = placement_placer.Placer(
        registry=registry,
        host="h",
        host_count=lambda: 1,
        is_isolated=lambda: False,
    )
    now = 50.0
    running: list[placement_placer.Candidate] = []
    for team, priority, number, pause_s in requests:
        now += pause_s
        route = build.route(priority=priority)
        object_key = str(number)
        candidates = placer.ranking.order(
            object_key=object_key,
            service=SERVICE.name,
            regions=route.allowed_regions,
        )[: const.SERVERS_PER_OBJECT]
        loads = [
            placer.loads.get_or_create(server.incarnation).estimate(now)
            for server in candidates
        ]
        placed = placer.choose(
            route=route,
            service=SERVICE,
            object_key=object_key,
            tried=(),
            now=now,
            team=team,
        )
        if isinstance(placed, Success):
            candidate = placed.unwrap()
            placer.record_sent(candidate.server, service=SERVICE, now=now)
            running.append(candidate)
        else:
            # The first server would refuse everybody, or no slot is free.
            assert loads[0] >= const.FULL_RATIO * slots or min(loads) >= slots
        # Few enough requests end for a shortage to last.
        if len(running) > 4 * slots:
            placer.record_ended(running.pop(0).server)


def fair_level(
    demands: dict[str, float], weights: dict[str, float], capacity: float
) -> float:
    """Return the level at which shares use up the capacity, by bisection."""
    if sum(demands.values()) <= capacity:
        return math.inf
    low, high = 0.0, max(demands[team] / weights[team] for team in demands)
    for _ in range(80):
        level = (low + high) / 2
        used = sum(
            min(demands[team], level * weights[team]) for team in demands
        )
        low, high = (level, high) if used < capacity else (low, level)
    return low


@settings(max_examples=200, deadline=None)
@given(events=EVENTS, limits=WEIGHTS)
def test_team_that_asks_less_than_its_share_queues_as_before(
    events: list[tuple[str, int, bool, int, float]],
    limits: dict[str, float],
) -> None:
    """Guard against refusals of teams that did not cause the shortage.

    The shares are computed a second time, by another method.
    """
    shares = fair_share.FairShare(weight_of=limits.__getitem__)
    now = 0.0
    sent, refused = dict.fromkeys(TEAMS, 0.0), dict.fromkeys(TEAMS, 0.0)
    for team, priority, is_sent, number, pause_s in events:
        now += pause_s
        for counted in (sent, refused):
            for name in counted:
                counted[name] *= math.exp(-pause_s / const.SHARE_MEMORY_S)
        (sent if is_sent else refused)[team] += number
        record = shares.record_sent if is_sent else shares.record_refused
        for _ in range(number):
            record(service="desk", team=team, priority=priority, now=now)
    # Shares are computed at intervals, and not for single requests.
    now += const.SHARE_INTERVAL_S * 2
    decay = math.exp(-const.SHARE_INTERVAL_S * 2 / const.SHARE_MEMORY_S)
    demands = {
        team: (sent[team] + refused[team]) * decay
        for team in TEAMS[1:]
        if sent[team] + refused[team]
    }
    known = [limits[team] for team in demands if limits[team]]
    mean = sum(known) / len(known) if known else 1.0
    weights = {team: limits[team] or mean for team in demands}
    level = fair_level(
        demands, weights, sum(sent[team] for team in demands) * decay
    )
    for team in TEAMS:
        ratio = shares.full_ratio(
            service="desk", team=team, priority=0, now=now
        )
        assert const.SHORT_RATIO <= ratio <= const.FULL_RATIO
        if team not in demands or demands[team] <= level * weights[team]:
            assert ratio == const.FULL_RATIO
        elif shares.is_short(service="desk", now=now):
            excess = sent[team] * decay - level * weights[team]
            assert (ratio < const.FULL_RATIO) == (
                excess > const.SHARE_SLACK
            ) or math.isclose(excess, const.SHARE_SLACK, rel_tol=1e-6)
