"""Limit retries over a sliding window, with a budget shared by all hosts."""

import collections

from samphirelug.components.forwarding import const


class RetryWindow:
    """Allow retries up to a ratio of first attempts and a share of slack."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self.set_limits(ratio=ratio, slack=slack, window_s=window_s)
        # Times of attempts within the window, by service.
        self.first_attempts: dict[str, collections.deque[float]] = {}
        self.retries: dict[str, collections.deque[float]] = {}

    def set_limits(
        self, *, ratio: float, slack: float, window_s: float
    ) -> None:
        """Set the limits; retries already counted stay counted."""
        self.ratio = ratio
        # Retries in the window beyond the ratio, shared equally by all hosts.
        self.slack = slack
        self.window_s = window_s

    def record_first_attempt(self, service: str, *, now: float) -> None:
        """Count a request for a service."""
        self._times_in_window(self.first_attempts, service, now).append(now)

    def try_acquire(
        self, service: str, *, now: float, hosts: int | None
    ) -> bool:
        """Take one retry; return False if this host's share is used up.

        Without the number of hosts there is no share of the slack.
        """
        first_attempts = self._times_in_window(
            self.first_attempts, service, now
        )
        retries = self._times_in_window(self.retries, service, now)
        slack = self.slack / hosts if hosts else 0.0
        allowed = const.USABLE_BUDGET_RATIO * (
            self.ratio * len(first_attempts) + slack
        )
        if len(retries) + 1 > allowed:
            return False
        retries.append(now)
        return True

    def _times_in_window(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] <= now - self.window_s:
            times.popleft()
        return times
