"""Configure JSON logging and limit the rate of repeated records."""

import logging
import sys

from pythonjsonlogger import json as json_logger

from samphirelug import core
from samphirelug.helpers import timer
from samphirelug import result_codes

_LOGGER = logging.getLogger(__name__)
LOG_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure(
    *,
    level: str,
    entry_host: str,
    handler: logging.Handler | None = None,
) -> None:
    """Write all log records of the process to a handler as JSON.

    The default handler writes to standard error.
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
    # tornado.access logs each refused request, which is too much under
    # overload.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    # tornado.general logs each malformed request and each body that arrived
    # too slowly, at level INFO.
    logging.getLogger("tornado.general").setLevel(logging.WARNING)
    logging.getLogger("websockets").setLevel(logging.WARNING)


class LogSampler:
    """Allow one record per key and interval, and count suppressed ones."""

    def __init__(
        self, *, timer_service: timer.TimerService, interval_s: float = 1.0
    ) -> None:
        self.timer = timer_service
        self.interval_s = interval_s
        self.last_logged_at_s: dict[str, float] = {}
        self.suppressed: dict[str, int] = {}

    def sample(self, key: str) -> int | None:
        """Return the count suppressed since the last record, None to skip."""
        now = self.timer.monotonic()
        if (
            now - self.last_logged_at_s.get(key, -self.interval_s)
            < self.interval_s
        ):
            self.suppressed[key] = self.suppressed.get(key, 0) + 1
            return None
        self.last_logged_at_s[key] = now
        return self.suppressed.pop(key, 0)


class RefusalLog:
    """Log refusals, at most one record per second, code and rank."""

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
        """Log a refusal, unless one of its code and rank was just logged."""
        code = refusal.code
        outcome_unknown = code.effect is result_codes.Effect.OUTCOME_UNKNOWN
        level = logging.WARNING if outcome_unknown else logging.INFO
        if not _LOGGER.isEnabledFor(level):
            return
        suppressed = self.sampler.sample(f"{code.name}/{rank.label}")
        if suppressed is None:
            return
        _LOGGER.log(
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
