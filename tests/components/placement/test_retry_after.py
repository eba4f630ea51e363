"""Test when refused callers are told to come back."""

import itertools

from samphirelug.components.placement import const
from samphirelug.components.placement import retry_after


def returns(
    count: int, *, priority: int = 0, slots: float = 4.0
) -> list[float]:
    """Return the times given to callers that are refused at once."""
    schedule = retry_after.ReturnSchedule()
    for _ in range(200):
        schedule.observe("desk", took_s=0.2)
    return [
        schedule.next_return_s(
            "desk", priority=priority, slots=slots, now=10.0
        )
        for _ in range(count)
    ]


def test_callers_refused_together_come_back_one_by_one() -> None:
    """Guard against a second rush when all refused callers return."""
    times = returns(8)
    gaps = [after - before for before, after in itertools.pairwise(times)]
    assert min(gaps) > 0.04


def test_no_caller_is_told_to_wait_for_longer_than_it_will() -> None:
    """Guard against a time that callers cut short, all at the same point."""
    times = returns(500, priority=3)
    assert max(times) <= const.MAX_RETRY_AFTER_S
    assert min(times) >= const.MIN_RETRY_AFTER_S


def test_less_urgent_callers_come_back_behind_urgent_ones() -> None:
    """Guard against urgent callers who find the freed slot taken."""
    assert returns(1, priority=2)[0] > returns(1, priority=0)[0]


def test_returns_follow_the_time_that_requests_take() -> None:
    """Guard against returns before a slot of a slow service frees up."""
    schedule = retry_after.ReturnSchedule()
    for _ in range(200):
        schedule.observe("slow", took_s=2.0)
        schedule.observe("fast", took_s=0.1)
    spread = {
        service: [
            schedule.next_return_s(service, priority=0, slots=4.0, now=0.0)
            for _ in range(2)
        ]
        for service in ("slow", "fast")
    }
    slow, fast = spread["slow"], spread["fast"]
    assert slow[1] - slow[0] > fast[1] - fast[0]
