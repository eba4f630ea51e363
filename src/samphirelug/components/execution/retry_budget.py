"""Limit retries to a fraction of first attempts."""

from samphirelug.components.execution import const


class RetryBudget:
    """Allow one retry per 1 / RETRY_RATIO first attempts, plus a minimum."""

    def __init__(self, *, now: float) -> None:
        # Retries earned by first attempts.
        self.credit = 0.0
        # Retries of the minimum rate, which do not depend on traffic.
        self.reserve = const.MIN_RETRIES_BURST
        self.refilled_at_s = now

    def record_first_attempt(self) -> None:
        """Add the fraction of a retry that a first attempt earns."""
        self.credit = min(
            const.MAX_RETRY_CREDIT, self.credit + const.RETRY_RATIO
        )

    def try_acquire(self, *, now: float) -> bool:
        """Take one retry from the budget; return False if it is empty."""
        elapsed_s = max(0.0, now - self.refilled_at_s)
        self.refilled_at_s = max(now, self.refilled_at_s)
        self.reserve = min(
            const.MIN_RETRIES_BURST,
            self.reserve + elapsed_s * const.MIN_RETRIES_PER_S,
        )
        if self.credit >= 1.0:
            self.credit -= 1.0
            return True
        if self.reserve >= 1.0:
            self.reserve -= 1.0
            return True
        return False
