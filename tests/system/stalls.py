"""Record when the machine did not run this process for a while."""

from samphirelug.helpers import timer
from standins import checks

SAMPLE_INTERVAL_S = 0.05
# A longer gap between two samples is a stall.
STALL_S = 0.5
# Time after a stall in which entry hosts still refuse requests, as their own
# event loops lagged as well.
RECOVERY_S = 1.5


class StallRecorder:
    """Sample the event loop of this process and record its stalls."""

    def __init__(self, *, timer_service: timer.TimerService) -> None:
        self.timer = timer_service
        self.stalls: list[checks.Interval] = []
        self.sampled_at_s = 0.0
        self.subscription: timer.Subscription | None = None

    def start(self) -> None:
        """Start to sample, unless it has begun."""
        if self.subscription is not None:
            return
        self.sampled_at_s = self.timer.monotonic()
        self.subscription = self.timer.subscribe(
            interval_s=SAMPLE_INTERVAL_S, callback=self.sample
        )

    def stop(self) -> None:
        """Take a last sample and stop."""
        self.sample()
        if self.subscription is not None:
            self.subscription.cancel()

    def sample(self) -> None:
        """Record a stall if the last sample is too long ago."""
        now = self.timer.monotonic()
        if now - self.sampled_at_s > STALL_S:
            self.stalls.append(checks.Interval(self.sampled_at_s, now))
        self.sampled_at_s = now

    def affects(self, period: checks.Interval) -> bool:
        """Return whether a stall, or the time after it, is in a period."""
        return any(
            period.start_s <= stall.end_s + RECOVERY_S
            and stall.start_s <= period.end_s
            for stall in self.stalls
        )
