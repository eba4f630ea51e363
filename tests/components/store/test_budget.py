"""Test the rate limit of store calls."""

from hypothesis import given
from hypothesis import strategies

from samphirelug.components.store import budget
from samphirelug.helpers import timer as timer_helper

LIMITS = {
    budget.CallKind.READ: budget.CallLimit(calls_per_s=2.0, burst=3),
    budget.CallKind.WRITE: budget.CallLimit(calls_per_s=1.0, burst=1),
}


@given(strategies.lists(strategies.floats(0.0, 3.0), max_size=60))
def test_calls_stay_within_rate_and_burst(pauses: list[float]) -> None:
    """Guard against more calls than the rate and the burst allow."""
    timer = timer_helper.ManualTimerService()
    call_budget = budget.CallBudget(timer=timer, limits=LIMITS)
    taken = 0
    for pause_s in pauses:
        timer.advance(pause_s)
        taken += call_budget.take(budget.CallKind.READ) == 0.0
        assert taken <= 3 + 2.0 * timer.monotonic() + 1e-6


def test_returned_wait_is_sufficient_and_kinds_are_independent() -> None:
    """Guard against a wait that is too short, and budgets that are shared."""
    timer = timer_helper.ManualTimerService()
    call_budget = budget.CallBudget(timer=timer, limits=LIMITS)
    assert call_budget.take(budget.CallKind.WRITE) == 0.0
    wait_s = call_budget.take(budget.CallKind.WRITE)
    assert wait_s == 1.0
    assert call_budget.take(budget.CallKind.READ) == 0.0
    timer.advance(wait_s)
    assert call_budget.take(budget.CallKind.WRITE) == 0.0
