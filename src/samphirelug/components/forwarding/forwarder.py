"""Carry a request to a server, and decide on further attempts."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.backend import model as backend_model
from samphirelug.components.forwarding import const
from samphirelug.components.forwarding import model
from samphirelug.components.forwarding import request_log
from samphirelug.components.forwarding import retry_window
from samphirelug.components.placement import placer as placement_placer
from samphirelug.components.routing import model as routing_model
from samphirelug.components.routing import split
from samphirelug.components.routing import table
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

RequestResult = Result[core.Answer, result_codes.Refusal]
# The server may have run the request; the code tells the caller so.
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


class _Progress(NamedTuple):
    """Hold what the attempts so far have brought."""

    # The answer of a server that failed to run the request.
    failed_answer: core.Answer | None = None
    # Set when a server may have run the request.
    unknown: result_codes.Refusal | None = None
    # Set when every attempt was certainly not run.
    not_run: result_codes.Refusal | None = None
    # Whether a server has received the request, also if it refused it.
    arrived: bool = False


class Forwarder:
    """Run the attempts of each request."""

    def __init__(
        self,
        *,
        timer: timer_helper.TimerService,
        configuration: table.ConfigurationState,
        placer: placement_placer.Placer,
        sender: model.AttemptSender,
        retries: retry_window.RetryWindow,
        log: request_log.RequestLog,
        host_count: Callable[[], int],
    ) -> None:
        self.timer = timer
        self.configuration = configuration
        self.placer = placer
        self.sender = sender
        self.retries = retries
        self.log = log
        self.host_count = host_count
        self.split = split.WeightedSplit()

    def find_route(
        self, *, hostname: str, target: str
    ) -> routing_model.Route | None:
        """Return the route in force for a request."""
        if self.configuration.table is None:
            return None
        path = target.partition("?")[0]
        return self.configuration.table.find(hostname=hostname, path=path)

    async def forward(self, request: model.ReceivedRequest) -> RequestResult:
        """Return the answer of a server or why there is none."""
        trace = request_log.RequestTrace(
            request=request,
            configuration=self.configuration,
            started_at_s=self.timer.monotonic(),
        )
        try:
            result = await self._forward(request, trace)
        except BaseException:
            self.log.write_cancelled(trace, now=self.timer.monotonic())
            raise
        self.log.write(trace, result, now=self.timer.monotonic())
        return result

    async def _forward(
        self,
        request: model.ReceivedRequest,
        trace: request_log.RequestTrace,
    ) -> RequestResult:
        current = self.configuration.table
        if current is None:
            return _refuse(
                result_codes.ResultCode.NO_CATALOGUE,
                "no configuration yet",
                const.STARTING_RETRY_AFTER_S,
            )
        route = current.find(hostname=request.hostname, path=request.path)
        if route is None:
            return _refuse(
                result_codes.ResultCode.UNKNOWN_PATH,
                "no route has this host name and path",
            )
        trace.route = route
        object_key = _object_key(request, route)
        service = current.configuration.services[
            self.split.pick(route, object_key=object_key)
        ]
        trace.service = service.name
        self.retries.count_first(service.name, now=self.timer.monotonic())
        deadline_at_s = request.received_at_s + min(
            route.timeout_s, const.MAX_REQUEST_S
        )
        if request.deadline_at_s is not None:
            deadline_at_s = min(deadline_at_s, request.deadline_at_s)
        return await self._attempts(
            request, route, service, object_key, deadline_at_s, trace
        )

    async def _attempts(
        self,
        request: model.ReceivedRequest,
        route: routing_model.Route,
        service: routing_model.Service,
        object_key: str,
        deadline_at_s: float,
        trace: request_log.RequestTrace,
    ) -> RequestResult:
        tried: set[str] = set()
        sent = 0
        progress = _Progress()
        while True:
            now = self.timer.monotonic()
            if deadline_at_s - now < const.MIN_ATTEMPT_TIME_S:
                refusal = result_codes.Refusal(
                    result_codes.ResultCode.DEADLINE_EXPIRED,
                    "no time is left for an attempt",
                )
                return _conclude(progress, refusal)
            placed = self.placer.choose(
                route=route,
                service=service,
                object_key=object_key,
                tried=tried,
                now=now,
            )
            if isinstance(placed, Failure):
                return _conclude(progress, placed.failure())
            if progress.arrived and not self.retries.take(
                service.name, now=now, hosts=self.host_count()
            ):
                refusal = result_codes.Refusal(
                    result_codes.ResultCode.RETRY_BUDGET_EMPTY,
                    "the budget for repeated attempts is used up",
                    const.BUDGET_RETRY_AFTER_S,
                )
                return _conclude(progress, refusal)
            candidate = placed.unwrap()
            tried.add(candidate.server.instance_id)
            sent += 1
            outcome = await self._attempt(
                model.Attempt(
                    request, candidate.server, deadline_at_s, route.idempotent
                ),
                candidate,
                service,
                trace,
            )
            if isinstance(outcome, Success):
                answer = outcome.unwrap().answer
                if answer.status < 500 or not route.idempotent:
                    return Success(answer)
                progress = progress._replace(
                    failed_answer=answer, arrived=True
                )
            else:
                failed = outcome.failure()
                progress = _add_failure(progress, failed.failure)
                if not (
                    failed.failure.kind.certainly_not_run or route.idempotent
                ):
                    return _conclude(progress, None)
                if failed.refused_with_room:
                    tried.discard(candidate.server.instance_id)
            if len(tried) >= route.max_attempts or sent >= const.MAX_SENDS:
                return _conclude(progress, None)

    async def _attempt(
        self,
        attempt: model.Attempt,
        candidate: placement_placer.Candidate,
        service: routing_model.Service,
        trace: request_log.RequestTrace,
    ) -> model.AttemptResult:
        sent_at_s = self.timer.monotonic()
        self.placer.record_sent(attempt.server, service=service, now=sent_at_s)
        entry = trace.add_attempt(candidate, now=sent_at_s)
        try:
            outcome = await self.sender.send(attempt)
        finally:
            self.placer.record_ended(attempt.server)
        now = self.timer.monotonic()
        entry.ended_at_s = now
        self.placer.observe(
            attempt.server, outcome, now=now, took_s=now - sent_at_s
        )
        if isinstance(outcome, Success):
            entry.outcome = str(outcome.unwrap().answer.status)
        else:
            failure = outcome.failure().failure
            entry.outcome = failure.kind.value
            entry.detail = failure.detail
        return outcome


def _object_key(
    request: model.ReceivedRequest, route: routing_model.Route
) -> str:
    if route.has_affinity and request.affinity_key:
        return f"{route.key}\0{request.affinity_key}"
    return request.request_id


def _add_failure(
    progress: _Progress, failure: backend_model.BackendFailure
) -> _Progress:
    if failure.kind is not backend_model.FailureKind.NOT_SENT:
        progress = progress._replace(arrived=True)
    if failure.kind.certainly_not_run:
        code = (
            result_codes.ResultCode.BACKEND_UNREACHABLE
            if failure.kind is backend_model.FailureKind.NOT_SENT
            else result_codes.ResultCode.BACKEND_REFUSED
        )
        refusal = result_codes.Refusal(
            code, failure.detail, const.BUDGET_RETRY_AFTER_S
        )
        return progress._replace(not_run=refusal)
    code = _UNKNOWN_OUTCOME.get(
        failure.kind, result_codes.ResultCode.BACKEND_RESET
    )
    return progress._replace(
        unknown=result_codes.Refusal(code, failure.detail)
    )


def _conclude(
    progress: _Progress, refusal: result_codes.Refusal | None
) -> RequestResult:
    """Return the strongest result that is true for all attempts."""
    if progress.failed_answer is not None:
        return Success(progress.failed_answer)
    if progress.unknown is not None:
        return Failure(progress.unknown)
    if refusal is not None:
        return Failure(refusal)
    assert progress.not_run is not None
    return Failure(progress.not_run)


def _refuse(
    code: result_codes.ResultCode, detail: str, retry_after_s: float = 0.0
) -> RequestResult:
    return Failure(result_codes.Refusal(code, detail, retry_after_s))
