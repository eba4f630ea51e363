"""Test the budget of repeated attempts."""

from samphirelug.components.forwarding import retry_window


def take_all(window: retry_window.RetryWindow, *, now: float) -> int:
    """Return how many repeats the window allows."""
    taken = 0
    while window.take("desk", now=now, hosts=10):
        taken += 1
    return taken


def test_hosts_together_stay_within_the_bound() -> None:
    """Guard against each host using the whole budget."""
    window = retry_window.RetryWindow(ratio=0.2, slack=60.0, window_s=10.0)
    for _ in range(100):
        window.count_first("desk", now=0.0)
    per_host = take_all(window, now=0.0)
    assert 0 < 10 * per_host <= 0.2 * 1000 + 60


def test_budget_comes_back_when_the_window_has_passed() -> None:
    """Guard against a burst using up the budget for good."""
    window = retry_window.RetryWindow(ratio=0.2, slack=60.0, window_s=10.0)
    first = take_all(window, now=0.0)
    assert first
    assert take_all(window, now=9.9) == 0
    assert take_all(window, now=10.1) == first
