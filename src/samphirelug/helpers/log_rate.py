"""Limit the number of log lines."""


class LogRateLimiter:
    """Limit log lines per second and count the lines that are left out."""

    def __init__(self, *, lines_per_s: int) -> None:
        self.lines_per_s = lines_per_s
        self.current_second = 0
        self.lines_in_second = 0
        self.left_out = 0

    def try_acquire(self, now: float) -> int | None:
        """Return the lines left out since the last, None to omit this one."""
        if int(now) != self.current_second:
            self.current_second = int(now)
            self.lines_in_second = 0
        if self.lines_in_second >= self.lines_per_s:
            self.left_out += 1
            return None
        self.lines_in_second += 1
        left_out, self.left_out = self.left_out, 0
        return left_out
