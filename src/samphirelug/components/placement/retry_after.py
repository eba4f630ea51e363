"""Tell refused callers when to come back.

Answers a rush in which many callers are refused within a few milliseconds:
with one fixed time they would all come back together and be refused again.
Each refused caller gets the next slot that is expected to become free; less
urgent callers come back behind more urgent ones.
"""

import collections

from samphirelug.components.placement import const


class ReturnSchedule:
    """Spread the returns of refused callers over the slots that free up."""

    def __init__(self) -> None:
        # Time of the last return given out, by service and priority.
        self.last_return_at_s: dict[tuple[str, int], float] = {}
        self.service_time_s: dict[str, float] = collections.defaultdict(
            lambda: const.INITIAL_SERVICE_TIME_S
        )

    def observe(self, service: str, *, took_s: float) -> None:
        """Learn how long a request holds a slot of the service."""
        known_s = self.service_time_s[service]
        self.service_time_s[service] = known_s + const.SERVICE_TIME_GAIN * (
            took_s - known_s
        )

    def next_return_s(
        self, service: str, *, priority: int, slots: float, now: float
    ) -> float:
        """Return the seconds until the caller should come back.

        The slots are those that this host may count on.
        """
        service_time_s = self.service_time_s[service]
        soonest_s = min(
            const.MAX_RETRY_AFTER_S,
            const.MIN_RETRY_AFTER_S
            + priority * service_time_s * const.PRIORITY_DELAY,
        )
        key = (service, priority)
        interval_s = service_time_s / max(1.0, slots)
        return_at_s = max(
            now + soonest_s,
            self.last_return_at_s.get(key, float("-inf")) + interval_s,
        )
        if return_at_s > now + const.MAX_RETRY_AFTER_S:
            # More callers than slots: the next round starts over.
            return_at_s = now + soonest_s
        self.last_return_at_s[key] = return_at_s
        return return_at_s - now
