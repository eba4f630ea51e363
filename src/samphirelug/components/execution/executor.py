"""Run requests on backend servers, at most once where that is asked."""

import asyncio
import logging
import random

from returns.result import Failure
from returns.result import Result
from returns.result import Success
import xxhash

from samphirelug.components.admission import model as admission_model
from samphirelug.components.backend import client as backend_client
from samphirelug.components.backend import model as backend_model
from samphirelug.components.backend import ports
from samphirelug.components.catalogue import model as catalogue_model
from samphirelug.components.execution import const
from samphirelug.components.execution import handover
from samphirelug.components.execution import model
from samphirelug.components.execution import outcomes as outcomes_module
from samphirelug.components.execution import retry_budget
from samphirelug.components.execution import tokens
from samphirelug.components.metrics import registry
from samphirelug.components.peers import mesh as mesh_module
from samphirelug.components.peers import model as peer_model
from samphirelug import core
from samphirelug.helpers import timer as timer_module
from samphirelug import result_codes
from samphirelug.result_codes import ResultCode

LOG = logging.getLogger(__name__)

_CODE_OF_FAILURE = {
    backend_model.FailureKind.NOT_SENT: ResultCode.BACKEND_UNREACHABLE,
    backend_model.FailureKind.REFUSED: ResultCode.BACKEND_REFUSED,
    backend_model.FailureKind.LEAVING: ResultCode.BACKEND_REFUSED,
    backend_model.FailureKind.MISDIRECTED: ResultCode.BACKEND_REFUSED,
    backend_model.FailureKind.TIMEOUT: ResultCode.BACKEND_TIMEOUT,
    backend_model.FailureKind.RESET: ResultCode.BACKEND_RESET,
    backend_model.FailureKind.INCOMPLETE: ResultCode.ANSWER_INCOMPLETE,
    backend_model.FailureKind.TOO_LARGE: ResultCode.ANSWER_TOO_LARGE,
}


class Run:
    """Track one piece of work that outlives its callers."""

    def __init__(self) -> None:
        self.task: asyncio.Task[model.Outcome] | None = None
        self.waiting = 0
        # Set when the work may have reached a server.
        self.dispatched = False


class Executor:
    """Admit, send, classify and retry the requests of callers."""

    def __init__(
        self,
        *,
        catalogue: ports.Catalogue,
        admission: model.Admission,
        backend: backend_client.BackendClient,
        health: ports.Health,
        outcomes: outcomes_module.OutcomeTable,
        issuer: tokens.TokenIssuer,
        mesh: mesh_module.PeerMesh,
        timer: timer_module.TimerService,
        rng: random.Random,
        metrics: registry.Metrics,
        host: core.EntryHost,
    ) -> None:
        self.catalogue = catalogue
        self.admission = admission
        self.backend = backend
        self.health = health
        self.outcomes = outcomes
        self.issuer = issuer
        self.mesh = mesh
        self.timer = timer
        self.rng = rng
        self.metrics = metrics
        self.host = host
        self.budget = retry_budget.RetryBudget(now=timer.monotonic())
        # Work under a run token, by token id.
        self.runs: dict[str, Run] = {}
        mesh.set_handler(peer_model.OutcomeQuery, self.on_query)
        mesh.set_handler(peer_model.OutcomeHandover, self.on_handover)

    async def run(self, request: core.CallerRequest) -> model.Outcome:
        """Return the answer to a request, or a truthful refusal.

        Cancelling the call means that the caller is gone. Work under a run
        token that may have reached a server goes on, and its outcome is
        kept; other work is cancelled.
        """
        # A token is obeyed whatever this host's catalogue says of the work:
        # the catalogue of the host that issued it may differ, and a refusal
        # of a repeat may not hide what became of the first request.
        if request.run_token is not None:
            return await self._run_once(request, request.run_token)
        found = self._find_work(request.work)
        if isinstance(found, Failure):
            return Failure(found.failure())
        work = found.unwrap()
        if not work["repeatable"]:
            return _refuse(
                ResultCode.TOKEN_MISSING, "the work needs a run token"
            )
        return await self._run_with_retries(
            request, work, repeatable=True, run=Run()
        )

    def is_unused(self, token: str) -> bool:
        """Return whether a refusal may say that the token was not run.

        False also where this host cannot know.
        """
        read = self.issuer.decode(token)
        if isinstance(read, Failure):
            return True
        content = read.unwrap()
        if content.incarnation != self.host.incarnation:
            return False
        return self.outcomes.is_unused(content)

    async def outcome(self, token: str) -> model.Outcome:
        """Return what became of a run token.

        A token that has not started is revoked, so that "not run" stays
        true.
        """
        read = self.issuer.decode(token)
        if isinstance(read, Failure):
            return Failure(read.failure())
        content = read.unwrap()
        if content.incarnation != self.host.incarnation:
            return await self._ask_named_host(token, content)
        return outcomes_module.outcome_of(self.outcomes.revoke(content))

    async def drained(self) -> None:
        """Return when no work under a run token is running."""
        while self.runs:
            tasks = [run.task for run in self.runs.values() if run.task]
            await asyncio.wait(tasks)

    async def hand_over(self) -> int:
        """Pass all outcomes to the live peers; return how many took them.

        No token starts after this call.
        """
        records = self.outcomes.records()
        # Read after the book has closed, so that no token that the book
        # forgot before closing counts as valid.
        messages = handover.messages_for(
            incarnation=self.host.incarnation,
            records=records,
            clock_ms=self.outcomes.clock_ms(),
        )
        peers = [
            view.heartbeat.host.name
            for view in self.mesh.live_peers()
            if view.connected
        ]
        taken = await asyncio.gather(
            *(self._hand_over_to(peer, messages) for peer in peers)
        )
        return sum(taken)

    async def on_query(
        self,
        sender: str,  # noqa: ARG002
        message: peer_model.Message,
    ) -> peer_model.Message | None:
        """Answer another host's question about a run token."""
        assert isinstance(message, peer_model.OutcomeQuery)
        read = self.issuer.decode(message.token)
        if isinstance(read, Failure):
            return None
        return peer_model.OutcomeReply(self.outcomes.revoke(read.unwrap()))

    async def on_handover(
        self, sender: str, message: peer_model.Message
    ) -> peer_model.Message | None:
        """Keep the outcomes of a peer that is stopping."""
        assert isinstance(message, peer_model.OutcomeHandover)
        if not self.outcomes.accept_handover(message):
            LOG.warning("no room for the outcomes of %s", sender)
            return None
        return peer_model.Acknowledgement()

    def _find_work(
        self, name: str
    ) -> Result[catalogue_model.WorkEntry, result_codes.Refusal]:
        if self.catalogue.position == 0:
            return Failure(
                result_codes.Refusal(
                    ResultCode.NO_CATALOGUE, "no catalogue yet", 1.0
                )
            )
        work = self.catalogue.view.works.get(name)
        if work is None:
            return Failure(
                result_codes.Refusal(
                    ResultCode.UNKNOWN_WORK, "no such work entry"
                )
            )
        return Success(work)

    async def _run_once(
        self, request: core.CallerRequest, token: str
    ) -> model.Outcome:
        read = self.issuer.decode(token)
        if isinstance(read, Failure):
            return Failure(read.failure())
        content = read.unwrap()
        if content.work != request.work:
            return _refuse(
                ResultCode.TOKEN_INVALID, "the token is for other work"
            )
        digest = _digest(request)
        if content.incarnation != self.host.incarnation:
            return await self._ask_named_host(token, content, digest)
        claim = self.outcomes.begin(content, digest)
        if claim.outcome is not None:
            return claim.outcome
        if claim.standing is model.Standing.FIRST:
            # The signed home region counts, since shift caps depend on it.
            request = request._replace(home_region=content.home_region)
            self.runs[content.token_id] = self._start(request, content)
        return await self._wait_for(self.runs[content.token_id], request)

    def _start(
        self, request: core.CallerRequest, token: tokens.RunToken
    ) -> Run:
        run = Run()
        run.task = asyncio.create_task(self._run_to_end(request, run))
        # A task that is cancelled before its first step runs no code of its
        # coroutine, so the outcome is settled by a callback.
        run.task.add_done_callback(lambda _: self._settle(token, run))
        return run

    async def _run_to_end(
        self, request: core.CallerRequest, run: Run
    ) -> model.Outcome:
        found = self._find_work(request.work)
        if isinstance(found, Failure):
            return Failure(found.failure())
        try:
            return await self._run_with_retries(
                request, found.unwrap(), repeatable=False, run=run
            )
        except Exception:
            LOG.exception("attempt failed", extra=_log_fields(request))
            return _refuse(
                ResultCode.ENTRY_HOST_LOST, "the attempt ended unexpectedly"
            )

    def _settle(self, token: tokens.RunToken, run: Run) -> None:
        self.outcomes.finish(token, _result_of(run))
        del self.runs[token.token_id]

    async def _wait_for(
        self, run: Run, request: core.CallerRequest
    ) -> model.Outcome:
        assert run.task is not None
        woken = asyncio.get_running_loop().create_future()

        def wake(_: object = None) -> None:
            if not woken.done():
                woken.set_result(None)

        run.task.add_done_callback(wake)
        timeout = self.timer.call_at(
            when_s=request.deadline_at_s + const.WAIT_MARGIN_S, callback=wake
        )
        run.waiting += 1
        try:
            await woken
        finally:
            timeout.cancel()
            run.task.remove_done_callback(wake)
            run.waiting -= 1
            if run.waiting == 0 and not run.dispatched:
                run.task.cancel()
        if run.task.done():
            return _result_of(run)
        return _refuse(
            ResultCode.ATTEMPT_RUNNING,
            "the work is running",
            const.RUNNING_RETRY_AFTER_S,
        )

    async def _run_with_retries(
        self,
        request: core.CallerRequest,
        work: catalogue_model.WorkEntry,
        *,
        repeatable: bool,
        run: Run,
    ) -> model.Outcome:
        self.budget.count_first_try()
        excluded: frozenset[str] = frozenset()
        # Set once an attempt may have run; no later refusal may then say
        # that the request was not run.
        unknown: result_codes.Refusal | None = None
        # The last attempt's failure says more than that no server is left.
        refused: result_codes.Refusal | None = None
        for number in range(1, const.MAX_ATTEMPTS + 1):
            admitted = await self.admission.admit(request, excluded=excluded)
            if isinstance(admitted, Failure):
                return Failure(unknown or refused or admitted.failure())
            permit = admitted.unwrap()
            sent = await self._send(request, work, permit, run)
            if isinstance(sent, Success):
                return Success(sent.unwrap())
            failure = sent.failure()
            refusal = refused = _refusal_of(failure)
            if not failure.kind.certainly_not_run:
                unknown = refusal
            retryable = failure.kind.certainly_not_run or (
                repeatable
                and failure.kind is not backend_model.FailureKind.TOO_LARGE
            )
            if not retryable or number == const.MAX_ATTEMPTS:
                return Failure(unknown or refusal)
            now = self.timer.monotonic()
            if now + const.MIN_RETRY_TIME_S >= request.deadline_at_s:
                return Failure(unknown or refusal)
            if not self.budget.take(now=now):
                empty = result_codes.Refusal(
                    ResultCode.RETRY_BUDGET_EMPTY,
                    failure.detail,
                    refusal.retry_after_s,
                )
                return Failure(unknown or empty)
            self.metrics.count_retry(failure.kind.value)
            excluded |= {permit.bundle.server}
            if number > 1:
                pause_s = self.rng.uniform(0.0, const.RETRY_PAUSE_S)
                await self.timer.sleep(pause_s)
        raise AssertionError("the last attempt returns")

    async def _send(
        self,
        request: core.CallerRequest,
        work: catalogue_model.WorkEntry,
        permit: admission_model.Permit,
        run: Run,
    ) -> Result[core.Answer, backend_model.BackendFailure]:
        """Send under a permit; the permit is finished on every path."""
        name = permit.bundle.server
        server = self.catalogue.view.servers.get(name)
        if server is None:
            self._finish(
                permit,
                request,
                certain=True,
                answer_bytes=0,
                traffic=backend_model.Traffic(),
            )
            return Failure(
                backend_model.BackendFailure(
                    backend_model.FailureKind.NOT_SENT,
                    "the server left the catalogue",
                )
            )
        query = f"?{request.query}" if request.query else ""
        traffic = backend_model.Traffic()
        attempt = backend_model.BackendRequest(
            request_id=request.request_id,
            server=server,
            method=request.method,
            target=request.path + query,
            headers=request.headers,
            body=request.body,
            deadline_at_s=request.deadline_at_s,
            max_answer_bytes=work["max_answer_bytes"],
            traffic=traffic,
        )
        started_s = self.timer.monotonic()
        run.dispatched = True
        self.health.started(name)
        certain = False
        answer_bytes = 0
        # What is observed when the send is cancelled or raises.
        failure: backend_model.FailureKind | None = (
            backend_model.FailureKind.RESET
        )
        try:
            sent = await self.backend.send(attempt)
            if isinstance(sent, Success):
                failure = None
                certain = True
                answer_bytes = len(sent.unwrap().body)
            else:
                failure = sent.failure().kind
                certain = failure.certainly_not_run
            if certain and failure is not None:
                run.dispatched = False
            return sent
        except asyncio.CancelledError:
            failure = backend_model.FailureKind.CANCELLED
            raise
        finally:
            self._finish(
                permit,
                request,
                certain=certain,
                answer_bytes=answer_bytes,
                traffic=traffic,
            )
            latency_s = self.timer.monotonic() - started_s
            self.health.ended(name, latency_s=latency_s, failure=failure)

    def _finish(
        self,
        permit: admission_model.Permit,
        request: core.CallerRequest,
        *,
        certain: bool,
        answer_bytes: int,
        traffic: backend_model.Traffic,
    ) -> None:
        ended = (
            admission_model.PermitEnd.COMPLETE
            if certain
            else admission_model.PermitEnd.ORPHANED
        )
        self.admission.finish(
            permit,
            ended=ended,
            request=request,
            answer_bytes=answer_bytes,
            traffic=traffic,
        )

    async def _ask_named_host(
        self, token: str, content: tokens.RunToken, digest: bytes = b""
    ) -> model.Outcome:
        """Return what the named host knows; never run the work here.

        With a digest, the outcome is given only to the request that it
        belongs to.
        """
        record = self.outcomes.record_of_stopped(content)
        if (
            record.code != ResultCode.ENTRY_HOST_LOST
            or content.host == self.host.name
        ):
            return outcomes_module.outcome_of(record, digest)
        reply = await self.mesh.request(
            content.host,
            peer_model.OutcomeQuery(token),
            timeout_s=const.OUTCOME_QUERY_TIMEOUT_S,
        )
        if isinstance(reply, Success):
            message = reply.unwrap()
            if (
                isinstance(message, peer_model.OutcomeReply)
                and message.record.token_id == content.token_id
            ):
                return outcomes_module.outcome_of(message.record, digest)
        # The host may have handed over its outcomes while being asked.
        record = self.outcomes.record_of_stopped(content)
        return outcomes_module.outcome_of(record, digest)

    async def _hand_over_to(
        self,
        peer: str,
        messages: tuple[peer_model.OutcomeHandover, ...],
    ) -> bool:
        for message in messages:
            # Accepting is idempotent, so a lost answer is asked for again.
            for _ in range(const.HANDOVER_TRIES):
                reply = await self.mesh.request(
                    peer, message, timeout_s=const.HANDOVER_TIMEOUT_S
                )
                if isinstance(
                    reply.value_or(None), peer_model.Acknowledgement
                ):
                    break
            else:
                return False
        return True


def _result_of(run: Run) -> model.Outcome:
    assert run.task is not None
    if not run.task.cancelled():
        return run.task.result()
    if run.dispatched:
        return _refuse(
            ResultCode.CALLER_GONE_RUNNING, "the attempt was cancelled"
        )
    return _refuse(ResultCode.CALLER_GONE, "the caller is gone")


def _log_fields(request: core.CallerRequest) -> dict[str, str]:
    return {"request_id": request.request_id, "work": request.work}


def _digest(request: core.CallerRequest) -> bytes:
    digest = xxhash.xxh3_128()
    for part in (request.method, request.path, request.query):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.digest()


def _refusal_of(
    failure: backend_model.BackendFailure,
) -> result_codes.Refusal:
    retry_after_s = failure.retry_after_s
    if failure.kind.certainly_not_run:
        retry_after_s = max(const.NOT_RUN_RETRY_AFTER_S, retry_after_s)
    return result_codes.Refusal(
        _CODE_OF_FAILURE[failure.kind], failure.detail, retry_after_s
    )


def _refuse(
    code: ResultCode, detail: str, retry_after_s: float = 0.0
) -> model.Outcome:
    return Failure(result_codes.Refusal(code, detail, retry_after_s))
