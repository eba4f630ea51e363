"""Know whether the store answers, for all followers of its objects."""

import asyncio
import logging

from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
# An entry that vanished while the store was away is back this long after
# its return, if its owner lives. The store may have returned just after the
# last call that failed.
OUTAGE_GRACE_S = 2.3
# An absence that is shorter than this lets no entry lapse.
MIN_OUTAGE_S = 1.0


class StoreAvailability:
    """Let one follower call a store that is away; the others wait."""

    def __init__(self, *, timer: timer_helper.TimerService) -> None:
        self.timer = timer
        self.lost_at_s: float | None = None
        self.failed_at_s = 0.0
        # Entries that are missing up to then may still come back.
        self.grace_until_s = float("-inf")
        self.prober: object | None = None
        self.regained = asyncio.Event()
        # Grows when the store is back after an outage.
        self.outages = 0

    def note_failure(self, caller: object, *, detail: str) -> None:
        """Note a call without an answer."""
        self.failed_at_s = self.timer.monotonic()
        if self.lost_at_s is not None:
            return
        self.lost_at_s = self.failed_at_s
        self.prober = caller
        _LOGGER.warning("store lost", extra={"detail": detail})

    def note_success(self) -> None:
        """Note an answer."""
        if self.lost_at_s is None:
            return
        now = self.timer.monotonic()
        away_s = now - self.lost_at_s
        self.lost_at_s = None
        self.prober = None
        if away_s >= MIN_OUTAGE_S:
            self.outages += 1
            self.grace_until_s = self.failed_at_s + OUTAGE_GRACE_S
        self.regained.set()
        self.regained = asyncio.Event()
        _LOGGER.info(
            "store regained",
            extra={
                "away_s": round(away_s, 3),
                "outage": away_s >= MIN_OUTAGE_S,
            },
        )

    def is_prober(self, caller: object) -> bool:
        """Tell whether a follower is the one that goes on calling."""
        return self.prober is caller

    def grace_s(self) -> float:
        """Return how much longer vanished entries may come back."""
        return max(0.0, self.grace_until_s - self.timer.monotonic())
