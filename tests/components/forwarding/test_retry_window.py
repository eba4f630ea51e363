"""Test the retry budget."""

from samphirelug.components.forwarding import retry_window


def acquire_all(window: retry_window.RetryWindow, *, now: float) -> int:
    """Return how many retries the window allows."""
    acquired = 0
    while window.try_acquire("desk", now=now, hosts=10):
        acquired += 1
    return acquired


def test_hosts_together_stay_within_the_budget() -> None:
    """Guard against each host using the whole budget."""
    window = retry_window.RetryWindow(ratio=0.2, slack=60.0, window_s=10.0)
    for _ in range(100):
        window.record_first_attempt("desk", now=0.0)
    per_host = acquire_all(window, now=0.0)
    assert 0 < 10 * per_host <= 0.2 * 1000 + 60


def test_budget_is_restored_when_the_window_has_passed() -> None:
    """Guard against a burst that uses up the budget permanently."""
    window = retry_window.RetryWindow(ratio=0.2, slack=60.0, window_s=10.0)
    first = acquire_all(window, now=0.0)
    assert first
    assert acquire_all(window, now=9.9) == 0
    assert acquire_all(window, now=10.1) == first


def test_host_that_knows_no_others_takes_no_share_of_the_slack() -> None:
    """Guard against hosts that each use the whole slack after a restart."""
    window = retry_window.RetryWindow(ratio=0.2, slack=60.0, window_s=10.0)
    for _ in range(10):
        window.record_first_attempt("desk", now=0.0)
    acquired = [
        window.try_acquire("desk", now=0.0, hosts=None) for _ in range(3)
    ]
    assert acquired == [True, False, False]
