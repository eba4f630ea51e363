"""Test who may queue at a server when capacity is short."""

import logging

import pytest

from samphirelug.components.placement import const
from samphirelug.components.placement import fair_share

SERVICE = "desk"
# Threshold for urgent requests of a team far over its share.
FLOOD_RATIO = const.FULL_RATIO - const.OVER_SHARE_YIELD * (
    const.FULL_RATIO - const.SHORT_RATIO
)


class Desk:
    """Record requests for one service, and read the thresholds."""

    def __init__(self, **weights: float) -> None:
        self.shares = fair_share.FairShare(
            weight_of=lambda team: weights.get(team, 0.0)
        )
        self.now = 100.0

    def handle(
        self, team: str, *, sent: int, refused: int = 0, priority: int = 0
    ) -> None:
        """Record requests of a team."""
        for record, number in (
            (self.shares.record_sent, sent),
            (self.shares.record_refused, refused),
        ):
            for _ in range(number):
                record(
                    service=SERVICE, team=team, priority=priority, now=self.now
                )

    def ratio(self, team: str, *, priority: int = 0) -> float:
        """Return the threshold of a request."""
        return self.shares.full_ratio(
            service=SERVICE, team=team, priority=priority, now=self.now
        )


def flooded_desk(**weights: float) -> Desk:
    """Return a service that one team asks for more than its share."""
    desk = Desk(**weights)
    for team in ("a", "b", "c"):
        desk.handle(team, sent=10)
    desk.handle("flood", sent=40, refused=30)
    desk.handle("a", sent=0, refused=15)
    # Shares are computed at an interval.
    desk.now += 2 * const.SHARE_INTERVAL_S
    return desk


def test_threshold_is_constant_without_shortage() -> None:
    """Guard against refusals for fairness while there is room for all."""
    desk = Desk()
    desk.handle("small", sent=1)
    desk.handle("large", sent=500, priority=2)
    assert desk.ratio("large", priority=2) == const.FULL_RATIO


def test_threshold_is_constant_without_teams_and_priorities() -> None:
    """Guard against a change for services that have neither."""
    desk = Desk()
    desk.handle("", sent=100, refused=100)
    desk.now += 1.0
    assert desk.ratio("") == const.FULL_RATIO


def test_team_over_its_share_leaves_the_queue_to_others() -> None:
    """Guard against one team's flood that takes the room of all."""
    desk = flooded_desk()
    assert desk.ratio("flood") == pytest.approx(FLOOD_RATIO)
    for team in ("a", "b", "c", "new"):
        assert desk.ratio(team) == const.FULL_RATIO


def test_shares_are_weighted_by_limits() -> None:
    """Guard against a large team that counts as flooding at its usual rate."""
    assert flooded_desk(flood=80.0, a=10.0).ratio("flood") == const.FULL_RATIO


def test_less_urgent_requests_leave_the_queue_to_refused_ones() -> None:
    """Guard against urgent requests that are served worse than others."""
    desk = Desk()
    desk.handle("", sent=50, refused=50, priority=1)
    desk.handle("", sent=50, priority=2)
    assert desk.ratio("", priority=0) == const.FULL_RATIO
    assert desk.ratio("", priority=1) == const.FULL_RATIO
    assert desk.ratio("", priority=2) == pytest.approx(const.SHORT_RATIO)


def test_urgent_requests_of_a_flood_take_no_room_from_other_teams() -> None:
    """Guard against a flood that others bear, as it is more urgent."""
    desk = flooded_desk()
    before = desk.ratio("b", priority=1)
    desk.handle("flood", sent=0, refused=500)
    assert desk.ratio("b", priority=1) == before
    assert desk.ratio("flood", priority=1) == pytest.approx(const.SHORT_RATIO)


def test_shortage_ends_after_a_standstill_of_the_host() -> None:
    """Guard against decisions from before a host was frozen."""
    desk = flooded_desk()
    desk.now += 1e6
    assert desk.ratio("flood") == const.FULL_RATIO
    desk.handle("flood", sent=1)
    assert desk.ratio("flood") == const.FULL_RATIO


def test_numbers_stay_exact_over_a_long_time() -> None:
    """Guard against numbers that grow beyond the range of floats."""
    desk = Desk()
    for _ in range(2000):
        desk.handle("a", sent=1)
        desk.handle("flood", sent=4, refused=4)
        desk.handle("a", sent=0, refused=3)
        desk.now += 0.5
    assert desk.ratio("flood") == pytest.approx(FLOOD_RATIO)
    assert desk.ratio("a") == const.FULL_RATIO


def test_memory_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against memory that grows with names of teams and services."""
    monkeypatch.setattr(const, "MAX_COUNTED_TEAMS", 20)
    monkeypatch.setattr(const, "MAX_COUNTED_SERVICES", 5)
    desk = Desk()
    for number in range(200):
        desk.handle(f"t{number}", sent=1, refused=1, priority=number)
        for record in (desk.shares.record_sent, desk.shares.record_refused):
            record(service=f"s{number}", team="", priority=0, now=desk.now)
        desk.now += 1.0
        shares = desk.shares.services.get(SERVICE)
        assert shares is None or len(shares.teams) <= 20
        assert (
            shares is None
            or len(shares.priorities) <= const.MAX_COUNTED_PRIORITIES
        )
        assert len(desk.shares.services) <= 5


def test_begin_and_end_of_a_shortage_are_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against a shortage whose cause operators can't see."""
    caplog.set_level(logging.INFO)
    desk = flooded_desk()
    assert desk.ratio("flood") < const.FULL_RATIO
    desk.now += 60.0
    assert desk.ratio("flood") == const.FULL_RATIO
    first, last = (vars(record) for record in caplog.records)
    assert first["message"] == "service is short of capacity"
    assert last["message"] == "service is no longer short of capacity"
    assert last["over_share"] == ["flood"]
    assert last["refused"] == 42


def test_level_meets_small_demands_and_divides_the_rest() -> None:
    """Guard against shares that leave capacity unused or exceed it."""
    assert fair_share.max_min_level([], capacity=0.0) == float("inf")
    assert fair_share.max_min_level([(5, 1)], capacity=5.0) == float("inf")
    # 2 is met, the other 10 are divided by weight.
    assert fair_share.max_min_level(
        [(2, 1), (30, 1), (30, 4)], capacity=12.0
    ) == pytest.approx(2.0)
