"""Write JSON logs and sample lines that would repeat in a flood."""

import logging
import sys

from pythonjsonlogger import json as json_logger

from samphirelug import core
from samphirelug.helpers import timer
from samphirelug import result_codes

LOGGER = logging.getLogger(__name__)
LOG_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure(
    *,
    level: str,
    entry_host: str,
    handler: logging.Handler | None = None,
) -> None:
    """Send all log records of the process to a handler as JSON.

    Without a handler they go to standard error.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
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
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    # It logs each malformed request and each body that came too slowly.
    logging.getLogger("tornado.general").setLevel(logging.WARNING)
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


class RefusalLog:
    """Log the causes of refusals, one record a second for each cause."""

    def __init__(self, *, timer_service: timer.TimerService) -> None:
        self.sampler = LogSampler(timer_service=timer_service)

    def write(
        self,
        refusal: result_codes.Refusal,
        *,
        rank: core.Rank,
        work: str,
        request_id: str,
    ) -> None:
        """Log a refusal, unless one of its code and rank just was."""
        code = refusal.code
        unknown = code.effect is result_codes.Effect.OUTCOME_UNKNOWN
        level = logging.WARNING if unknown else logging.INFO
        if not LOGGER.isEnabledFor(level):
            return
        suppressed = self.sampler.take(f"{code.name}/{rank.label}")
        if suppressed is None:
            return
        LOGGER.log(
            level,
            "refused with %s: %s",
            code.name,
            refusal.detail,
            extra={
                "code": int(code),
                "rank": rank.label,
                "work": work[:63],
                "request_id": request_id[:128],
                "suppressed": suppressed,
            },
        )
