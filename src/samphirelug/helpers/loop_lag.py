"""Measure the delay with which the event loop runs callbacks."""

from samphirelug.helpers import timer

SAMPLE_INTERVAL_S = 0.05
# Factor by which the maximum decays with each sample.
DECAY_PER_SAMPLE = 0.8


class LoopLagMonitor:
    """Track a decaying maximum of the event loop's lag."""

    def __init__(self, *, timer_service: timer.TimerService) -> None:
        self.timer = timer_service
        self.lag_s = 0.0
        self.expected_at_s = 0.0
        self.subscription: timer.Subscription | None = None

    def start(self) -> None:
        """Start sampling on the running loop."""
        self.expected_at_s = self.timer.monotonic() + SAMPLE_INTERVAL_S
        self.subscription = self.timer.subscribe(
            interval_s=SAMPLE_INTERVAL_S, callback=self._sample
        )

    def stop(self) -> None:
        """Stop sampling."""
        if self.subscription is not None:
            self.subscription.cancel()

    def _sample(self) -> None:
        now = self.timer.monotonic()
        lag_s = max(0.0, now - self.expected_at_s)
        self.lag_s = max(lag_s, self.lag_s * DECAY_PER_SAMPLE)
        self.expected_at_s = now + SAMPLE_INTERVAL_S
