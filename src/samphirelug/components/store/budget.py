"""Limit the rate of calls that this process makes to the store."""

from collections.abc import Mapping
import enum
from typing import NamedTuple

from samphirelug.helpers import timer as timer_helper


class CallKind(enum.StrEnum):
    """Define the kinds of calls, each with its own budget."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"


class CallLimit(NamedTuple):
    """Limit the calls of one kind by a token bucket."""

    calls_per_s: float
    # Capacity of the bucket.
    burst: int


# An idle host makes less than one call per second. The bursts cover the calls
# at start-up, and the rates bound the retries of a host whose calls all fail
# immediately.
DEFAULT_LIMITS: Mapping[CallKind, CallLimit] = {
    CallKind.READ: CallLimit(calls_per_s=4.0, burst=20),
    CallKind.WRITE: CallLimit(calls_per_s=4.0, burst=20),
    CallKind.WATCH: CallLimit(calls_per_s=4.0, burst=10),
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
        self.refilled_at_s = dict.fromkeys(limits, timer.monotonic())
        self.tokens = {
            kind: float(limit.burst) for kind, limit in limits.items()
        }

    def take(self, kind: CallKind) -> float:
        """Take a token; return 0.0, or the seconds until one is available."""
        limit = self.limits[kind]
        now_s = self.timer.monotonic()
        refill = (now_s - self.refilled_at_s[kind]) * limit.calls_per_s
        self.refilled_at_s[kind] = now_s
        tokens = min(float(limit.burst), self.tokens[kind] + refill)
        if tokens < 1.0:
            self.tokens[kind] = tokens
            return (1.0 - tokens) / limit.calls_per_s
        self.tokens[kind] = tokens - 1.0
        return 0.0
