"""Track outages of the store for all followers of its objects."""

import asyncio
from collections.abc import Callable
import logging

from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
# Entries can expire during an outage. Owners that still run write them again
# within this time after its end. It is counted from the last failed call,
# since the store may have been available right after that.
OUTAGE_GRACE_S = 2.3
# No entry expires during an outage that is shorter than this.
MIN_OUTAGE_S = 1.0


class StoreAvailability:
    """Record whether the store answers, for several followers.

    During an outage only the prober, the first follower whose call failed,
    calls the store. The others wait until it is available again.
    """

    def __init__(self, *, timer: timer_helper.TimerService) -> None:
        self.timer = timer
        self.lost_at_s: float | None = None
        self.last_failure_at_s = 0.0
        # Until then, entries that expired during the last outage may still be
        # written again.
        self.grace_until_s = float("-inf")
        self.prober: object | None = None
        # Time of a state of the store that the views show at least. The store
        # answers a waiting watch as soon as there is a change, so that this
        # holds for all kinds of objects that are watched.
        self.confirmed_at_s = float("-inf")
        # Called after each answer that confirms a later state.
        self.on_confirmed: list[Callable[[], None]] = []
        # Set at the end of the current outage, and then replaced.
        self.regained = asyncio.Event()

    def record_failure(self, follower: object, *, detail: str) -> None:
        """Record a call without an answer; the first one starts an outage."""
        self.last_failure_at_s = self.timer.monotonic()
        if self.lost_at_s is not None:
            return
        self.lost_at_s = self.last_failure_at_s
        self.prober = follower
        _LOGGER.warning("store lost", extra={"detail": detail})

    def record_confirmed(self, at_s: float) -> None:
        """Record that a view shows the store's state at a time or later."""
        if at_s <= self.confirmed_at_s:
            return
        self.confirmed_at_s = at_s
        for listener in self.on_confirmed:
            listener()

    def record_success(self) -> None:
        """Record an answer, which ends an outage."""
        if self.lost_at_s is None:
            return
        now = self.timer.monotonic()
        away_s = now - self.lost_at_s
        self.lost_at_s = None
        self.prober = None
        if away_s >= MIN_OUTAGE_S:
            self.grace_until_s = self.last_failure_at_s + OUTAGE_GRACE_S
        self.regained.set()
        self.regained = asyncio.Event()
        _LOGGER.info(
            "store regained",
            extra={
                "away_s": round(away_s, 3),
                "outage": away_s >= MIN_OUTAGE_S,
            },
        )

    def extend_grace(self, seconds: float) -> None:
        """Let expired entries be written again, as another host reports."""
        self.grace_until_s = max(
            self.grace_until_s, self.timer.monotonic() + seconds
        )

    def stop_reading(self) -> None:
        """End an outage without an answer, since this host stops calling."""
        self.lost_at_s = None
        self.prober = None

    def is_prober(self, follower: object) -> bool:
        """Return whether the follower calls the store during the outage."""
        return self.prober is follower

    def grace_remaining_s(self) -> float:
        """Return how much longer expired entries may be written again."""
        return max(0.0, self.grace_until_s - self.timer.monotonic())
