"""Bound repeated attempts over a sliding window, shared by all hosts."""

import collections

from samphirelug.components.forwarding import const


class RetryWindow:
    """Allow repeats as a ratio of first attempts plus a share of a slack."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.firsts: dict[str, collections.deque[float]] = {}
        self.repeats: dict[str, collections.deque[float]] = {}

    def count_first(self, service: str, *, now: float) -> None:
        """Count a request for a service."""
        self._recent(self.firsts, service, now).append(now)

    def take(self, service: str, *, now: float, hosts: int) -> bool:
        """Take one repeat; false when this host's share is used up."""
        firsts = self._recent(self.firsts, service, now)
        repeats = self._recent(self.repeats, service, now)
        allowed = const.BUDGET_MARGIN * (
            self.ratio * len(firsts) + self.slack / max(1, hosts)
        )
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now)
        return True

    def _recent(
        self,
        book: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        times = book.setdefault(service, collections.deque())
        while times and times[0] <= now - self.window_s:
            times.popleft()
        return times
