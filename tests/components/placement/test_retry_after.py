"""Test the retry times that are given to refused callers."""

import itertools

import pytest

from samphirelug.components.placement import const
from samphirelug.components.placement import retry_after


Order = retry_after.RetryOrder


def retry_times(
    count: int,
    *,
    priority: int = 0,
    slots: float = 4.0,
    order: retry_after.RetryOrder = Order.BY_SLOTS,
    schedule: retry_after.RetryAfterSchedule | None = None,
) -> list[float]:
    """Return the retry times of callers that are refused together."""
    schedule = schedule or retry_after.RetryAfterSchedule()
    for _ in range(200):
        schedule.observe("desk", took_s=0.2)
    return [
        schedule.next_retry_after_s(
            "desk", priority=priority, slots=slots, now=10.0, order=order
        )
        for _ in range(count)
    ]


def test_callers_refused_together_retry_one_by_one() -> None:
    """Guard against a second burst when all refused callers retry."""
    times = retry_times(8)
    gaps = [after - before for before, after in itertools.pairwise(times)]
    assert min(gaps) > 0.04


def test_retry_times_stay_within_their_bounds() -> None:
    """Guard against retry times beyond what callers wait for.

    Callers cut such a time short, all at the same point.
    """
    times = retry_times(500, priority=3)
    assert max(times) <= const.MAX_RETRY_AFTER_S
    assert min(times) >= const.MIN_RETRY_AFTER_S


def test_callers_with_a_lower_priority_retry_later() -> None:
    """Guard against a lower priority taking the slot that frees up."""
    assert retry_times(1, priority=2)[0] > retry_times(1, priority=0)[0]


def test_retry_times_follow_the_service_time() -> None:
    """Guard against retries before a slot of a slow service frees up."""
    schedule = retry_after.RetryAfterSchedule()
    for _ in range(200):
        schedule.observe("slow", took_s=2.0)
        schedule.observe("fast", took_s=0.1)
    times = {
        service: [
            schedule.next_retry_after_s(
                service, priority=0, slots=4.0, now=0.0
            )
            for _ in range(2)
        ]
        for service in ("slow", "fast")
    }
    slow, fast = times["slow"], times["fast"]
    assert slow[1] - slow[0] > fast[1] - fast[0]


def test_callers_under_shortage_retry_by_priority_then_by_share() -> None:
    """Guard against a flood that takes the slots that become free first."""
    schedule = retry_after.RetryAfterSchedule()
    times = [
        retry_times(3, priority=priority, order=order, schedule=schedule)
        for priority in (0, 1)
        for order in (Order.WITHIN_SHARE, Order.OVER_SHARE)
    ]
    for earlier, later in itertools.pairwise(times):
        assert max(earlier) < max(later)
        assert min(earlier) < min(later)


@pytest.mark.parametrize("slots", [0.2, 4.0, 300.0])
@pytest.mark.parametrize("priority", [0, 1, 9])
def test_retry_times_under_shortage_are_spread_within_their_bounds(
    slots: float, priority: int
) -> None:
    """Guard against callers of a flood that all retry at the last moment."""
    schedule = retry_after.RetryAfterSchedule()
    retry_times(30, order=Order.WITHIN_SHARE, schedule=schedule)
    times = retry_times(
        400,
        priority=priority,
        slots=slots,
        order=Order.OVER_SHARE,
        schedule=schedule,
    )
    assert max(times) <= const.MAX_RETRY_AFTER_S + 1e-9
    assert min(times) >= const.MIN_RETRY_AFTER_S
    assert max(times.count(time_s) for time_s in times) <= len(times) / 7
