"""Send a request to a server and decide on further attempts."""

import asyncio
from collections.abc import Callable
import math
import random
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success
import xxhash

from samphirelug.components.allowance import gate
from samphirelug.components.backend import model as backend_model
from samphirelug.components.forwarding import const
from samphirelug.components.forwarding import model
from samphirelug.components.forwarding import request_log
from samphirelug.components.forwarding import retry_window
from samphirelug.components.placement import placer as placement_placer
from samphirelug.components.routing import credentials
from samphirelug.components.routing import model as routing_model
from samphirelug.components.routing import split
from samphirelug.components.routing import table
from samphirelug import core
from samphirelug.helpers import rendezvous
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

RequestResult = Result[core.Answer, result_codes.Refusal]
# Result codes for failures after which the server may have run the request.
_UNKNOWN_OUTCOME = {
    backend_model.FailureKind.TIMEOUT: result_codes.ResultCode.BACKEND_TIMEOUT,
    backend_model.FailureKind.RESET: result_codes.ResultCode.BACKEND_RESET,
    backend_model.FailureKind.INCOMPLETE: (
        result_codes.ResultCode.ANSWER_INCOMPLETE
    ),
    backend_model.FailureKind.TOO_LARGE: (
        result_codes.ResultCode.ANSWER_TOO_LARGE
    ),
}


class _AttemptSummary(NamedTuple):
    """Summarize the outcomes of the attempts made so far."""

    # Answer with a server error, status 500 or above.
    error_answer: core.Answer | None = None
    # Set if a server may have run the request.
    unknown_outcome: result_codes.Refusal | None = None
    # Set if an attempt was certainly not run; the newest such attempt counts.
    not_run: result_codes.Refusal | None = None
    # Whether a server has received the request, even if it refused it.
    reached_server: bool = False


class Forwarder:
    """Forward requests to backend servers, with retries."""

    def __init__(
        self,
        *,
        timer: timer_helper.TimerService,
        configuration: table.ConfigurationState,
        placer: placement_placer.Placer,
        sender: model.AttemptSender,
        retries: retry_window.RetryWindow,
        log: request_log.RequestLog,
        host_count: Callable[[], int | None],
        view_age_s: Callable[[], float],
        max_view_age_s: Callable[[], float] = lambda: math.inf,
        allowance: gate.AllowanceGate | None = None,
    ) -> None:
        self.timer = timer
        self.configuration = configuration
        self.placer = placer
        self.sender = sender
        self.retries = retries
        self.log = log
        self.host_count = host_count
        # Age of what this host knows of servers and configuration.
        self.view_age_s = view_age_s
        # Age beyond which requests that need a key are refused.
        self.max_view_age_s = max_view_age_s
        self.allowance = allowance or gate.OpenGate()
        self.split = split.WeightedSplit(rng=random.Random())
        # Time at which this host ends, on its monotonic clock; None while it
        # is not stopping.
        self.ends_at_s: float | None = None

    def find_route(
        self, *, hostname: str, target: str
    ) -> routing_model.Route | None:
        """Return the route for a request, None if there is no match."""
        if self.configuration.table is None:
            return None
        path = target.partition("?")[0]
        return self.configuration.table.find(hostname=hostname, path=path)

    async def forward(self, request: model.ReceivedRequest) -> RequestResult:
        """Return a server's answer or the reason why there is none."""
        trace = request_log.RequestTrace(
            request=request,
            configuration=self.configuration,
            started_at_s=self.timer.monotonic(),
            view_age_s=self.view_age_s(),
        )
        try:
            result = await self._forward(request, trace)
        except asyncio.CancelledError:
            self.log.write_cancelled(trace, now=self.timer.monotonic())
            raise
        except Exception:
            self.log.write_error(trace, now=self.timer.monotonic())
            raise
        self.log.write(trace, result, now=self.timer.monotonic())
        return result

    async def _forward(
        self,
        request: model.ReceivedRequest,
        trace: request_log.RequestTrace,
    ) -> RequestResult:
        route_table = self.configuration.table
        if route_table is None:
            return _refuse(
                result_codes.ResultCode.NO_CATALOGUE,
                "no configuration received yet",
                const.STARTING_RETRY_AFTER_S,
            )
        route = route_table.find(hostname=request.hostname, path=request.path)
        if route is None:
            return _refuse(
                result_codes.ResultCode.UNKNOWN_PATH,
                "no route matches the host name and path",
            )
        trace.route = route
        if trace.view_age_s > self.max_view_age_s() and (
            route_table.credentials.needs_key(route, path=request.path)
        ):
            return _refuse(
                result_codes.ResultCode.CREDENTIALS_OUTDATED,
                "the key may have been removed without this host knowing",
                _spread_s(const.OUTDATED_RETRY_AFTER_S, request),
            )
        authenticated = route_table.credentials.authenticate(
            route, path=request.path, key_digest=request.key_digest
        )
        if isinstance(authenticated, Failure):
            return authenticated
        team = authenticated.unwrap()
        trace.team = team.name if team else ""
        team_route = credentials.apply_team(route, team)
        if team_route is None:
            return _refuse(
                result_codes.ResultCode.NO_BACKEND_SERVER,
                "route and team share no allowed region",
                _spread_s(const.NO_REGION_RETRY_AFTER_S, request),
            )
        admission = await self.allowance.acquire(
            team=team, now=self.timer.monotonic()
        )
        if isinstance(admission, Failure):
            return admission
        try:
            return await self._forward_admitted(
                request, team_route, route_table, trace
            )
        finally:
            if not trace.reached_server:
                self.allowance.give_back(admission.unwrap())

    async def _forward_admitted(
        self,
        request: model.ReceivedRequest,
        route: routing_model.Route,
        route_table: table.RouteTable,
        trace: request_log.RequestTrace,
    ) -> RequestResult:
        deadline_at_s = request.received_at_s + min(
            route.timeout_s, const.MAX_REQUEST_S
        )
        if request.deadline_at_s is not None:
            deadline_at_s = min(deadline_at_s, request.deadline_at_s)
        if self.ends_at_s is not None and deadline_at_s > self.ends_at_s:
            return _refuse(
                result_codes.ResultCode.STOPPING,
                "the request may take longer than this host runs",
                const.STOPPING_RETRY_AFTER_S,
            )
        object_key = _object_key(request, route)
        service = route_table.configuration.services[
            self.split.choose_service(route, object_key=object_key)
        ]
        trace.service = service.name
        self.retries.record_first_attempt(
            service.name, now=self.timer.monotonic()
        )
        return await self._run_attempts(
            request, route, service, object_key, deadline_at_s, trace
        )

    async def _run_attempts(
        self,
        request: model.ReceivedRequest,
        route: routing_model.Route,
        service: routing_model.Service,
        object_key: str,
        deadline_at_s: float,
        trace: request_log.RequestTrace,
    ) -> RequestResult:
        tried: set[str] = set()
        # Unlike those in tried, they may be chosen again.
        sent_to: set[str] = set()
        send_count = 0
        summary = _AttemptSummary()
        while True:
            now = self.timer.monotonic()
            if deadline_at_s - now < const.MIN_ATTEMPT_TIME_S:
                refusal = result_codes.Refusal(
                    result_codes.ResultCode.DEADLINE_EXPIRED,
                    "the remaining time is too short for an attempt",
                )
                return _final_result(summary, refusal)
            placement = self.placer.choose(
                route=route,
                service=service,
                object_key=object_key,
                tried=tried,
                now=now,
                team=trace.team,
            )
            if isinstance(placement, Failure):
                return _final_result(summary, placement.failure())
            if summary.reached_server and not self.retries.try_acquire(
                service.name, now=now, hosts=self.host_count()
            ):
                refusal = result_codes.Refusal(
                    result_codes.ResultCode.RETRY_BUDGET_EMPTY,
                    "the retry budget is used up",
                    const.ATTEMPT_FAILED_RETRY_AFTER_S,
                )
                return _final_result(summary, refusal)
            candidate = placement.unwrap()
            instance_id = candidate.server.instance_id
            is_repeat = instance_id in sent_to
            tried.add(instance_id)
            sent_to.add(instance_id)
            send_count += 1
            outcome = await self._run_attempt(
                model.Attempt(
                    request,
                    candidate.server,
                    deadline_at_s,
                    route.idempotent,
                    is_repeat,
                    trace.team,
                ),
                candidate,
                service,
                trace,
            )
            if isinstance(outcome, Success):
                answer = outcome.unwrap().answer
                if answer.status < 500 or not route.idempotent:
                    return Success(answer)
                summary = summary._replace(
                    error_answer=answer, reached_server=True
                )
            else:
                failed_attempt = outcome.failure()
                summary = _add_failure(summary, failed_attempt.failure)
                if not (
                    failed_attempt.failure.kind.certainly_not_run
                    or route.idempotent
                ):
                    return _final_result(summary, None)
                # A faulty server may send an earlier refusal again. One of the
                # same request could not be told from the answer to a repeat
                # there, so that only idempotent requests are repeated.
                if route.idempotent and failed_attempt.refused_with_free_slot:
                    tried.discard(instance_id)
            if (
                len(tried) >= route.max_attempts
                or send_count >= const.MAX_SENDS
            ):
                return _final_result(summary, None)

    async def _run_attempt(
        self,
        attempt: model.Attempt,
        candidate: placement_placer.Candidate,
        service: routing_model.Service,
        trace: request_log.RequestTrace,
    ) -> model.AttemptResult:
        sent_at_s = self.timer.monotonic()
        self.placer.record_sent(attempt.server, service=service, now=sent_at_s)
        record = trace.add_attempt(candidate, now=sent_at_s)
        try:
            outcome = await self.sender.send(attempt)
        finally:
            self.placer.record_ended(attempt.server)
        now = self.timer.monotonic()
        record.ended_at_s = now
        self.placer.observe(
            attempt.server, outcome, now=now, took_s=now - sent_at_s
        )
        if isinstance(outcome, Success):
            record.outcome = str(outcome.unwrap().answer.status)
        else:
            failure = outcome.failure().failure
            record.outcome = failure.kind.value
            record.detail = failure.detail
        return outcome


def _object_key(
    request: model.ReceivedRequest, route: routing_model.Route
) -> str:
    if route.has_affinity and request.affinity_key:
        return f"{route.key}\0{request.affinity_key}"
    return request.request_id


def _spread_s(retry_after_s: float, request: model.ReceivedRequest) -> float:
    """Return up to twice a time, so that callers do not return together."""
    digest = xxhash.xxh64_intdigest(request.request_id.encode())
    return retry_after_s * (1.0 + digest * rendezvous.HASH_SCALE)


def _add_failure(
    summary: _AttemptSummary, failure: backend_model.BackendFailure
) -> _AttemptSummary:
    if failure.kind is not backend_model.FailureKind.NOT_SENT:
        summary = summary._replace(reached_server=True)
    if failure.kind.certainly_not_run:
        code = (
            result_codes.ResultCode.BACKEND_UNREACHABLE
            if failure.kind is backend_model.FailureKind.NOT_SENT
            else result_codes.ResultCode.BACKEND_REFUSED
        )
        refusal = result_codes.Refusal(
            code, failure.detail, const.ATTEMPT_FAILED_RETRY_AFTER_S
        )
        return summary._replace(not_run=refusal)
    code = _UNKNOWN_OUTCOME.get(
        failure.kind, result_codes.ResultCode.BACKEND_RESET
    )
    return summary._replace(
        unknown_outcome=result_codes.Refusal(code, failure.detail)
    )


def _final_result(
    summary: _AttemptSummary, refusal: result_codes.Refusal | None
) -> RequestResult:
    """Return the result of the request from all its attempts.

    A server's error answer takes precedence, then an unknown outcome. Other
    refusals state that no server has run the request.
    """
    if summary.error_answer is not None:
        return Success(summary.error_answer)
    if summary.unknown_outcome is not None:
        return Failure(summary.unknown_outcome)
    if refusal is not None:
        return Failure(refusal)
    assert summary.not_run is not None
    return Failure(summary.not_run)


def _refuse(
    code: result_codes.ResultCode, detail: str, retry_after_s: float = 0.0
) -> RequestResult:
    return Failure(result_codes.Refusal(code, detail, retry_after_s))
