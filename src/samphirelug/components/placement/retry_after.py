"""Compute when refused callers should retry.

In a burst, many callers are refused within a few milliseconds. With a fixed
retry time they would all retry together and be refused again. Each refused
caller is therefore given the time at which the next slot is expected to
become free; callers with a lower priority retry later than those with a
higher one. Under shortage among teams, callers also retry after the more
urgent ones that were refused before them, and those of a team over its fair
share after the others of their priority.
"""

import collections
from collections.abc import Mapping
import enum

from samphirelug.components.placement import const


class RetryOrder(enum.Enum):
    """Represent which other refused callers retry before a caller."""

    # Each priority has a sequence of its own.
    BY_SLOTS = 0
    # All that are more urgent retry first.
    WITHIN_SHARE = 1
    # Those of the same priority whose teams are within their share, too.
    OVER_SHARE = 2


class RetryAfterSchedule:
    """Spread the retries of refused callers over the slots that free up."""

    def __init__(self) -> None:
        # Latest retry time assigned to a caller, by service, then by priority
        # and whether its team is over its share.
        self.last_retry_at_s: dict[str, dict[tuple[int, bool], float]] = (
            collections.defaultdict(dict)
        )
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
        self,
        service: str,
        *,
        priority: int,
        slots: float,
        now: float,
        order: RetryOrder = RetryOrder.BY_SLOTS,
    ) -> float:
        """Return the seconds after which the caller should retry.

        The slots are this host's share of the service's slots.
        """
        service_time_s = self.service_time_s[service]
        is_over_share = order is RetryOrder.OVER_SHARE
        key = (priority, is_over_share)
        last_retry_at_s = self.last_retry_at_s[service]
        earliest_s = min(
            const.MAX_RETRY_AFTER_S,
            const.MIN_RETRY_AFTER_S
            + priority * service_time_s * const.PRIORITY_DELAY_RATIO,
        )
        interval_s = service_time_s / max(1.0, slots)
        if order is not RetryOrder.BY_SLOTS:
            if is_over_share:
                earliest_s += service_time_s * const.OVER_SHARE_DELAY_RATIO
            earliest_s = min(
                max(earliest_s, _last_before(key, last_retry_at_s) - now),
                const.MAX_EARLIEST_RETRY_AFTER_S,
            )
            interval_s = min(
                interval_s,
                (const.MAX_RETRY_AFTER_S - earliest_s) / const.MIN_RETRY_TIMES,
            )
        retry_at_s = max(
            now + earliest_s,
            last_retry_at_s.get(key, float("-inf")) + interval_s,
        )
        if retry_at_s > now + const.MAX_RETRY_AFTER_S:
            # More callers than slots: start again at the earliest time.
            retry_at_s = now + earliest_s
        last_retry_at_s[key] = retry_at_s
        return retry_at_s - now


def _last_before(
    key: tuple[int, bool], last_retry_at_s: Mapping[tuple[int, bool], float]
) -> float:
    """Return the latest retry time of callers that go before these."""
    return max(
        (
            retry_at_s
            for other, retry_at_s in last_retry_at_s.items()
            if other < key
        ),
        default=float("-inf"),
    )
