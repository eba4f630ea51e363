"""Write one log line for each request, with what decided its outcome."""

import logging
from typing import Any

from returns.result import Result
from returns.result import Success

from samphirelug.components.forwarding import const
from samphirelug.components.forwarding import model
from samphirelug.components.metrics import forwarding as forwarding_metrics
from samphirelug.components.placement import placer
from samphirelug.components.routing import model as routing_model
from samphirelug.components.routing import table
from samphirelug import core
from samphirelug import result_codes

_LOGGER = logging.getLogger(__name__)


class AttemptEntry:
    """Hold one attempt's inputs and outcome."""

    def __init__(
        self, *, candidate: placer.Candidate, started_at_s: float
    ) -> None:
        self.candidate = candidate
        self.started_at_s = started_at_s
        self.ended_at_s: float | None = None
        self.outcome = "running"
        self.detail = ""

    def fields(self, now: float) -> dict[str, Any]:
        """Return the fields of the log line."""
        ended_at_s = self.ended_at_s or now
        fields: dict[str, Any] = {
            "server": self.candidate.server.instance_id,
            "zone": self.candidate.server.zone.name,
            "choice": self.candidate.choice,
            "load": round(self.candidate.estimate, 2),
            "slots": self.candidate.server.slots,
            "load_age_ms": _milliseconds(self.candidate.report_age_s),
            "took_ms": _milliseconds(ended_at_s - self.started_at_s),
            "outcome": self.outcome,
        }
        if self.detail:
            fields["detail"] = self.detail
        return fields


class RequestTrace:
    """Collect what was decided for one request."""

    def __init__(
        self,
        *,
        request: model.ReceivedRequest,
        configuration: table.ConfigurationState,
        started_at_s: float,
    ) -> None:
        self.request = request
        self.version = configuration.version
        self.version_age_s = started_at_s - configuration.applied_at_s
        self.route: routing_model.Route | None = None
        self.service = ""
        self.attempts: list[AttemptEntry] = []

    def add_attempt(
        self, candidate: placer.Candidate, *, now: float
    ) -> AttemptEntry:
        """Add an attempt that is about to be sent."""
        entry = AttemptEntry(candidate=candidate, started_at_s=now)
        self.attempts.append(entry)
        return entry

    def fields(self, now: float) -> dict[str, Any]:
        """Return the fields of the log line."""
        return {
            "request_id": self.request.request_id[:128],
            "route": self.route.name if self.route else "",
            "object": self.request.affinity_key[:64],
            "service": self.service,
            "version": self.version,
            "version_age_s": round(self.version_age_s, 3),
            "took_ms": _milliseconds(now - self.request.received_at_s),
            "attempts": [entry.fields(now) for entry in self.attempts],
        }


class LineAllowance:
    """Bound lines a second, and count the lines left out."""

    def __init__(self, *, lines_per_s: int) -> None:
        self.lines_per_s = lines_per_s
        self.second = 0
        self.written = 0
        self.left_out = 0

    def take(self, now: float) -> int | None:
        """Return the lines left out before, None to leave this one out."""
        if int(now) != self.second:
            self.second = int(now)
            self.written = 0
        if self.written >= self.lines_per_s:
            self.left_out += 1
            return None
        self.written += 1
        left_out, self.left_out = self.left_out, 0
        return left_out


class RequestLog:
    """Log and count the outcome of each request."""

    def __init__(
        self, *, metrics: forwarding_metrics.ForwardingMetrics
    ) -> None:
        self.metrics = metrics
        self.answered = LineAllowance(lines_per_s=const.ANSWERED_LINES_PER_S)
        self.failed = LineAllowance(lines_per_s=const.FAILED_LINES_PER_S)

    def write(
        self,
        trace: RequestTrace,
        result: Result[core.Answer, result_codes.Refusal],
        *,
        now: float,
    ) -> None:
        """Log a request that was answered, refused or failed."""
        if isinstance(result, Success):
            status = result.unwrap().status
            code = result_codes.ResultCode.OK
            detail = ""
            retry_after_s = 0.0
        else:
            code, detail, retry_after_s = result.failure()
            status = code.http_status
        self._observe(trace, code.name.lower(), now)
        good = status < 500 and code is result_codes.ResultCode.OK
        allowance = self.answered if good else self.failed
        left_out = allowance.take(now)
        if left_out is None:
            return
        extra = trace.fields(now)
        extra.update(status=status, code=code.name, left_out=left_out)
        if detail:
            extra["detail"] = detail
        if retry_after_s:
            extra["retry_after_s"] = retry_after_s
        level = logging.INFO if good else logging.WARNING
        _LOGGER.log(level, "request ended", extra=extra)

    def write_cancelled(self, trace: RequestTrace, *, now: float) -> None:
        """Log a request whose caller left, or that failed in this process."""
        code = result_codes.ResultCode.CALLER_GONE
        if trace.attempts:
            code = result_codes.ResultCode.CALLER_GONE_RUNNING
        self._observe(trace, code.name.lower(), now)
        left_out = self.failed.take(now)
        if left_out is None:
            return
        extra = trace.fields(now)
        extra.update(code=code.name, left_out=left_out)
        _LOGGER.info("request cancelled", extra=extra)

    def _observe(self, trace: RequestTrace, code: str, now: float) -> None:
        route = trace.route.name if trace.route else ""
        self.metrics.observe_request(
            route=route,
            code=code,
            seconds=now - trace.request.received_at_s,
        )
        for entry in trace.attempts[1:]:
            self.metrics.count_retry(entry.outcome)


def _milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * 1000)
