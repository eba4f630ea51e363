"""Write JSON logs and sample lines that would repeat in a flood."""

import logging
import sys

from pythonjsonlogger import json as json_logger

from samphirelug.helpers import timer

LOG_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure(*, level: str, entry_host: str) -> None:
    """Send all log records of the process to standard error as JSON."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            LOG_FIELDS,
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"entry_host": entry_host},
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    # A request refused in a flood must not cost a log line each.
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
    logging.getLogger("websockets").setLevel(logging.WARNING)


class LogSampler:
    """Allow one record for each key and interval, and count the others."""

    def __init__(
        self, *, timer_service: timer.TimerService, interval_s: float = 1.0
    ) -> None:
        self.timer = timer_service
        self.interval_s = interval_s
        self.last_s: dict[str, float] = {}
        self.suppressed: dict[str, int] = {}

    def take(self, key: str) -> int | None:
        """Return the records suppressed since the last, None to skip."""
        now = self.timer.monotonic()
        if now - self.last_s.get(key, -self.interval_s) < self.interval_s:
            self.suppressed[key] = self.suppressed.get(key, 0) + 1
            return None
        self.last_s[key] = now
        return self.suppressed.pop(key, 0)
