"""Guard against retries that multiply a flood."""

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
def test_retries_are_a_share(events: list[tuple[int, int, float]]) -> None:
    """Guard against more retries than the share and the floor allow."""
    budget = retry_budget.RetryBudget(now=0.0)
    now = first_tries = taken = 0.0
    latest = 0.0
    for tries, wanted, step_s in events:
        now += step_s
        latest = max(latest, now)
        for _ in range(tries):
            budget.count_first_attempt()
        first_tries += tries
        taken += sum(budget.take(now=now) for _ in range(wanted))
        floor = const.MIN_RETRIES_BURST + const.MIN_RETRIES_PER_S * latest
        assert taken <= const.RETRY_RATIO * first_tries + floor + 1e-6


def test_lone_request_may_retry() -> None:
    """Guard against a quiet host that can never retry."""
    budget = retry_budget.RetryBudget(now=0.0)
    for second in range(20):
        budget.count_first_attempt()
        assert budget.take(now=float(second))


def test_quiet_period_saves_a_bounded_number() -> None:
    """Guard against a burst of retries after many good requests."""
    budget = retry_budget.RetryBudget(now=0.0)
    for _ in range(100_000):
        budget.count_first_attempt()
    taken = sum(budget.take(now=0.0) for _ in range(1000))
    assert taken <= const.MAX_RETRY_CREDIT + const.MIN_RETRIES_BURST
