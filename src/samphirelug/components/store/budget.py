"""Bound the calls that this process makes to the store."""

from collections.abc import Mapping
import enum
from typing import NamedTuple

from samphirelug.helpers import timer as timer_helper


class CallKind(enum.StrEnum):
    """Name the kinds of calls that have a budget of their own."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"


class CallLimit(NamedTuple):
    """Bound the calls of one kind."""

    per_s: float
    burst: int


# A quiet host makes under one call a second. The bursts cover a start, and
# the rates keep a host whose calls all fail at once from spinning.
DEFAULT_LIMITS: Mapping[CallKind, CallLimit] = {
    CallKind.READ: CallLimit(per_s=4.0, burst=20),
    CallKind.WRITE: CallLimit(per_s=4.0, burst=20),
    CallKind.WATCH: CallLimit(per_s=4.0, burst=10),
}


class CallBudget:
    """Hold a token bucket for each kind of call."""

    def __init__(
        self,
        *,
        timer: timer_helper.TimerService,
        limits: Mapping[CallKind, CallLimit] = DEFAULT_LIMITS,
    ) -> None:
        self.timer = timer
        self.limits = limits
        self.filled_at_s = dict.fromkeys(limits, timer.monotonic())
        self.tokens = {
            kind: float(limit.burst) for kind, limit in limits.items()
        }

    def take(self, kind: CallKind) -> float:
        """Take a call; return 0.0, or the seconds until one is free."""
        limit = self.limits[kind]
        now_s = self.timer.monotonic()
        earned = (now_s - self.filled_at_s[kind]) * limit.per_s
        self.filled_at_s[kind] = now_s
        tokens = min(float(limit.burst), self.tokens[kind] + earned)
        if tokens < 1.0:
            self.tokens[kind] = tokens
            return (1.0 - tokens) / limit.per_s
        self.tokens[kind] = tokens - 1.0
        return 0.0
