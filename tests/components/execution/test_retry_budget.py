"""Guard against retries that multiply an overload."""

from hypothesis import given
from hypothesis import strategies

from samphirelug.components.execution import const
from samphirelug.components.execution import retry_budget

EVENTS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 30),
        strategies.integers(0, 30),
        strategies.floats(-1.0, 5.0),
    ),
    max_size=30,
)


@given(EVENTS)
def test_retries_are_limited_by_ratio_and_minimum(
    events: list[tuple[int, int, float]],
) -> None:
    """Guard against more retries than the ratio and the minimum allow."""
    budget = retry_budget.RetryBudget(now=0.0)
    now = first_attempts = acquired = 0.0
    latest = 0.0
    for attempts, retries, elapsed_s in events:
        now += elapsed_s
        latest = max(latest, now)
        for _ in range(attempts):
            budget.record_first_attempt()
        first_attempts += attempts
        acquired += sum(budget.try_acquire(now=now) for _ in range(retries))
        minimum = const.MIN_RETRIES_BURST + const.MIN_RETRIES_PER_S * latest
        assert acquired <= const.RETRY_RATIO * first_attempts + minimum + 1e-6


def test_quiet_host_can_retry() -> None:
    """Guard against a host with few requests that can never retry."""
    budget = retry_budget.RetryBudget(now=0.0)
    for second in range(20):
        budget.record_first_attempt()
        assert budget.try_acquire(now=float(second))


def test_saved_credit_is_limited() -> None:
    """Guard against a burst of retries after many successful requests."""
    budget = retry_budget.RetryBudget(now=0.0)
    for _ in range(100_000):
        budget.record_first_attempt()
    acquired = sum(budget.try_acquire(now=0.0) for _ in range(1000))
    assert acquired <= const.MAX_RETRY_CREDIT + const.MIN_RETRIES_BURST
