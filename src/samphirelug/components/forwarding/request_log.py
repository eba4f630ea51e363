"""Write one log line for each request, with the reasons for its result."""

import logging
import math
from typing import Any

from returns.result import Result
from returns.result import Success

from samphirelug.components.backend import model as backend_model
from samphirelug.components.forwarding import const
from samphirelug.components.forwarding import model
from samphirelug.components.metrics import forwarding as forwarding_metrics
from samphirelug.components.placement import placer
from samphirelug.components.routing import model as routing_model
from samphirelug.components.routing import table
from samphirelug import core
from samphirelug.helpers import log_rate
from samphirelug import result_codes

_LOGGER = logging.getLogger(__name__)


class AttemptRecord:
    """Record the input and the outcome of one attempt."""

    def __init__(
        self, *, candidate: placer.Candidate, started_at_s: float
    ) -> None:
        self.candidate = candidate
        self.started_at_s = started_at_s
        self.ended_at_s: float | None = None
        self.outcome = "running"
        self.detail = ""

    def fields(self, now: float) -> dict[str, Any]:
        """Return the attempt's fields for the log line."""
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
        if self.candidate.cold_for_s:
            fields["cold_for_ms"] = _milliseconds(self.candidate.cold_for_s)
            fields["hosts"] = self.candidate.hosts
        if self.candidate.limit_per_s is not None:
            fields["limit_per_s"] = self.candidate.limit_per_s
            fields["hosts"] = self.candidate.hosts
        if self.detail:
            fields["detail"] = self.detail
        return fields


class RequestTrace:
    """Collect the routing decisions and attempts of one request."""

    def __init__(
        self,
        *,
        request: model.ReceivedRequest,
        configuration: table.ConfigurationState,
        started_at_s: float,
        view_age_s: float,
    ) -> None:
        self.request = request
        self.version = configuration.version
        self.version_age_s = started_at_s - configuration.applied_at_s
        # Age of what this host knew of the servers; infinite if unknown.
        self.view_age_s = view_age_s
        self.route: routing_model.Route | None = None
        # Name of the request's team; empty if it has none.
        self.team = ""
        self.service = ""
        self.attempts: list[AttemptRecord] = []

    @property
    def reached_server(self) -> bool:
        """Return whether an attempt may have reached a server."""
        not_sent = backend_model.FailureKind.NOT_SENT.value
        return any(record.outcome != not_sent for record in self.attempts)

    def add_attempt(
        self, candidate: placer.Candidate, *, now: float
    ) -> AttemptRecord:
        """Record an attempt that is about to be sent."""
        record = AttemptRecord(candidate=candidate, started_at_s=now)
        self.attempts.append(record)
        return record

    def fields(self, now: float) -> dict[str, Any]:
        """Return the request's fields for the log line."""
        return {
            "request_id": self.request.request_id[:128],
            "route": self.route.name if self.route else "",
            "team": self.team[:64],
            "object": self.request.affinity_key[:64],
            "service": self.service,
            "version": self.version,
            "version_age_s": round(self.version_age_s, 3),
            "view_age_ms": _milliseconds(self.view_age_s),
            "took_ms": _milliseconds(now - self.request.received_at_s),
            "attempts": [record.fields(now) for record in self.attempts],
        }


class RequestLog:
    """Log each request's result and update the metrics."""

    def __init__(
        self, *, metrics: forwarding_metrics.ForwardingMetrics
    ) -> None:
        self.metrics = metrics
        self.answered_limiter = log_rate.LogRateLimiter(
            lines_per_s=const.ANSWERED_LOG_LINES_PER_S
        )
        self.failed_limiter = log_rate.LogRateLimiter(
            lines_per_s=const.FAILED_LOG_LINES_PER_S
        )

        self.rejected_key_limiter = log_rate.LogRateLimiter(
            lines_per_s=const.REJECTED_KEY_LOG_LINES_PER_S
        )

    def write(
        self,
        trace: RequestTrace,
        result: Result[core.Answer, result_codes.Refusal],
        *,
        now: float,
    ) -> None:
        """Log a request that was answered or refused, or that failed."""
        if isinstance(result, Success):
            status = result.unwrap().status
            code = result_codes.ResultCode.OK
            detail = ""
            retry_after_s = 0.0
        else:
            code, detail, retry_after_s = result.failure()
            status = code.http_status
        self._observe(trace, code.name.lower(), now)
        succeeded = status < 500 and code is result_codes.ResultCode.OK
        limiter = self.answered_limiter if succeeded else self.failed_limiter
        is_key_rejected = code is result_codes.ResultCode.CREDENTIAL_UNKNOWN
        if is_key_rejected:
            limiter = self.rejected_key_limiter
        left_out = limiter.try_acquire(now)
        if left_out is None:
            return
        extra = trace.fields(now)
        extra.update(status=status, code=code.name, left_out=left_out)
        if is_key_rejected:
            extra["key_digest"] = (trace.request.key_digest or "")[
                : const.LOGGED_DIGEST_LENGTH
            ]
        if detail:
            extra["detail"] = detail
        if retry_after_s:
            extra["retry_after_s"] = round(retry_after_s, 3)
        level = logging.INFO if succeeded else logging.WARNING
        _LOGGER.log(level, "request ended", extra=extra)

    def write_cancelled(self, trace: RequestTrace, *, now: float) -> None:
        """Log a request whose caller has left."""
        code = result_codes.ResultCode.CALLER_GONE
        if trace.attempts:
            code = result_codes.ResultCode.CALLER_GONE_RUNNING
        self._write_end(trace, code, "request cancelled", now=now)

    def write_error(self, trace: RequestTrace, *, now: float) -> None:
        """Log a request that an unexpected error in this process ended."""
        self._write_end(
            trace,
            result_codes.ResultCode.INTERNAL_ERROR,
            "request failed in this process",
            now=now,
        )

    def _write_end(
        self,
        trace: RequestTrace,
        code: result_codes.ResultCode,
        message: str,
        *,
        now: float,
    ) -> None:
        self._observe(trace, code.name.lower(), now)
        left_out = self.failed_limiter.try_acquire(now)
        if left_out is None:
            return
        extra = trace.fields(now)
        extra.update(code=code.name, left_out=left_out)
        _LOGGER.info(message, extra=extra)

    def _observe(self, trace: RequestTrace, code: str, now: float) -> None:
        route = trace.route.name if trace.route else ""
        self.metrics.observe_request(
            route=route,
            code=code,
            seconds=now - trace.request.received_at_s,
        )
        if trace.service and trace.route and len(trace.route.destinations) > 1:
            self.metrics.count_split(route=route, service=trace.service)
        if trace.team:
            self.metrics.count_team_request(team=trace.team, code=code)
        for record in trace.attempts[1:]:
            self.metrics.count_retry(record.outcome)
        for record in trace.attempts:
            if record.candidate.cold_for_s:
                self.metrics.count_cold_request(trace.service)


def _milliseconds(seconds: float | None) -> int | None:
    if seconds is None or math.isinf(seconds):
        return None
    return round(seconds * 1000)
