"""Compute when refused callers should retry.

In a burst, many callers are refused within a few milliseconds. With a fixed
retry time they would all retry together and be refused again. Each refused
caller is therefore given the time at which the next slot is expected to
become free; callers with a lower priority retry later than those with a
higher one.
"""

import collections

from samphirelug.components.placement import const


class RetryAfterSchedule:
    """Spread the retries of refused callers over the slots that free up."""

    def __init__(self) -> None:
        # Latest retry time assigned to a caller, by service and priority.
        self.last_retry_at_s: dict[tuple[str, int], float] = {}
        self.service_time_s: dict[str, float] = collections.defaultdict(
            lambda: const.INITIAL_SERVICE_TIME_S
        )

    def observe(self, service: str, *, took_s: float) -> None:
        """Update the mean time that a request occupies a slot."""
        previous_s = self.service_time_s[service]
        self.service_time_s[service] = (
            previous_s + const.SERVICE_TIME_EWMA_WEIGHT * (took_s - previous_s)
        )

    def next_retry_after_s(
        self, service: str, *, priority: int, slots: float, now: float
    ) -> float:
        """Return the seconds after which the caller should retry.

        The slots are this host's share of the service's slots.
        """
        service_time_s = self.service_time_s[service]
        earliest_s = min(
            const.MAX_RETRY_AFTER_S,
            const.MIN_RETRY_AFTER_S
            + priority * service_time_s * const.PRIORITY_DELAY_RATIO,
        )
        key = (service, priority)
        interval_s = service_time_s / max(1.0, slots)
        retry_at_s = max(
            now + earliest_s,
            self.last_retry_at_s.get(key, float("-inf")) + interval_s,
        )
        if retry_at_s > now + const.MAX_RETRY_AFTER_S:
            # More callers than slots: start again at the earliest time.
            retry_at_s = now + earliest_s
        self.last_retry_at_s[key] = retry_at_s
        return retry_at_s - now
