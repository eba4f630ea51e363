"""Bound retries to a share of first tries."""

from samphirelug.components.execution import const


class RetryBudget:
    """Allow a retry for each 1 / RETRY_SHARE first tries, plus a floor."""

    def __init__(self, *, now: float) -> None:
        self.saved = 0.0
        self.floor = const.RETRY_FLOOR_BURST
        self.refilled_at_s = now

    def count_first_try(self) -> None:
        """Earn the share of a retry that a first try allows."""
        self.saved = min(const.RETRY_MAX_SAVED, self.saved + const.RETRY_SHARE)

    def take(self, *, now: float) -> bool:
        """Take one retry; false when the budget is empty."""
        elapsed_s = max(0.0, now - self.refilled_at_s)
        self.refilled_at_s = max(now, self.refilled_at_s)
        self.floor = min(
            const.RETRY_FLOOR_BURST,
            self.floor + elapsed_s * const.RETRY_FLOOR_PER_S,
        )
        if self.saved >= 1.0:
            self.saved -= 1.0
            return True
        if self.floor >= 1.0:
            self.floor -= 1.0
            return True
        return False
