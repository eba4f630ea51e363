"""Run requests on backend servers, at most once under a run token."""

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
from samphirelug.components.peers import mesh as peers_mesh
from samphirelug.components.peers import model as peers_model
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from samphirelug.result_codes import ResultCode

_LOGGER = logging.getLogger(__name__)

_CODE_BY_FAILURE = {
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
    """Track the run of a request, which can outlive its callers."""

    def __init__(self) -> None:
        self.task: asyncio.Task[model.Outcome] | None = None
        # Calls that are waiting for the outcome.
        self.waiting_calls = 0
        # True while the request may have reached a backend server.
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
        mesh: peers_mesh.PeerMesh,
        timer: timer_helper.TimerService,
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
        # Runs under a run token that have not ended, by token id.
        self.runs: dict[str, Run] = {}
        mesh.set_handler(peers_model.OutcomeQuery, self.on_query)
        mesh.set_handler(peers_model.OutcomeHandover, self.on_handover)

    async def run(self, request: core.CallerRequest) -> model.Outcome:
        """Return the answer to a request, or the refusal.

        The call is cancelled when the caller disconnects. Work under a run
        token that may have reached a server then goes on, and its outcome
        is kept; other work is cancelled.
        """
        # A token applies even if this host's catalogue does not require one
        # for the work: the catalogue of the issuing host may differ, and
        # refusing a repeated request must not hide the outcome of the first.
        if request.run_token is not None:
            return await self._run_once(request, request.run_token)
        found = self._find_work(request.work)
        if isinstance(found, Failure):
            return Failure(found.failure())
        work = found.unwrap()
        if not work["repeatable"]:
            return _refuse(
                ResultCode.TOKEN_MISSING, "this work requires a run token"
            )
        return await self._run_with_retries(
            request, work, repeatable=True, run=Run()
        )

    def is_unused(self, token: str) -> bool:
        """Return whether the work of a token was certainly not run.

        False if this host cannot know. Only if true may a refusal report
        "not run".
        """
        decoded = self.issuer.decode(token)
        if isinstance(decoded, Failure):
            return True
        run_token = decoded.unwrap()
        if run_token.incarnation != self.host.incarnation:
            return False
        return self.outcomes.is_unused(run_token)

    async def outcome(self, token: str) -> model.Outcome:
        """Return the outcome of a run token.

        A token that is not in use yet is revoked, so that the reported
        "not run" stays true.
        """
        decoded = self.issuer.decode(token)
        if isinstance(decoded, Failure):
            return Failure(decoded.failure())
        run_token = decoded.unwrap()
        if run_token.incarnation != self.host.incarnation:
            return await self._query_token_host(token, run_token)
        return outcomes_module.outcome_from_record(
            self.outcomes.revoke(run_token)
        )

    async def wait_for_runs(self) -> None:
        """Wait until no work under a run token is running."""
        while self.runs:
            tasks = [run.task for run in self.runs.values() if run.task]
            await asyncio.wait(tasks)

    async def hand_over(self) -> int:
        """Send all outcomes to the live peers; return how many accepted them.

        No token of this host can be claimed after this call.
        """
        records = self.outcomes.records()
        # Read the clock only after the table is closed. With an earlier time,
        # peers could report a token as unused whose entry the table had
        # removed before it closed.
        messages = handover.build_messages(
            incarnation=self.host.incarnation,
            records=records,
            clock_ms=self.outcomes.clock_ms(),
        )
        peers = [
            view.heartbeat.host.name
            for view in self.mesh.live_peers()
            if view.connected
        ]
        accepted = await asyncio.gather(
            *(self._hand_over_to_peer(peer, messages) for peer in peers)
        )
        return sum(accepted)

    async def on_query(
        self,
        sender: str,  # noqa: ARG002
        message: peers_model.Message,
    ) -> peers_model.Message | None:
        """Answer another host's query for the outcome of a run token."""
        assert isinstance(message, peers_model.OutcomeQuery)
        decoded = self.issuer.decode(message.token)
        if isinstance(decoded, Failure):
            return None
        return peers_model.OutcomeReply(self.outcomes.revoke(decoded.unwrap()))

    async def on_handover(
        self, sender: str, message: peers_model.Message
    ) -> peers_model.Message | None:
        """Store the outcomes of a peer that is stopping."""
        assert isinstance(message, peers_model.OutcomeHandover)
        if not self.outcomes.accept_handover(message):
            _LOGGER.warning(
                "outcome table full; rejected the outcomes of %s", sender
            )
            return None
        return peers_model.Acknowledgement()

    def _find_work(
        self, name: str
    ) -> Result[catalogue_model.WorkEntry, result_codes.Refusal]:
        if self.catalogue.position == 0:
            return Failure(
                result_codes.Refusal(
                    ResultCode.NO_CATALOGUE,
                    "this entry host has no catalogue yet",
                    1.0,
                )
            )
        work = self.catalogue.view.works.get(name)
        if work is None:
            return Failure(
                result_codes.Refusal(
                    ResultCode.UNKNOWN_WORK,
                    "the catalogue has no work entry of this name",
                )
            )
        return Success(work)

    async def _run_once(
        self, request: core.CallerRequest, token: str
    ) -> model.Outcome:
        decoded = self.issuer.decode(token)
        if isinstance(decoded, Failure):
            return Failure(decoded.failure())
        run_token = decoded.unwrap()
        if run_token.work != request.work:
            return _refuse(
                ResultCode.TOKEN_INVALID, "the run token is for other work"
            )
        digest = _digest(request)
        if run_token.incarnation != self.host.incarnation:
            return await self._query_token_host(token, run_token, digest)
        claim = self.outcomes.begin(run_token, digest)
        if claim.outcome is not None:
            return claim.outcome
        if claim.state is model.ClaimState.FIRST:
            # Shift caps depend on the home region, so the signed one applies.
            request = request._replace(home_region=run_token.home_region)
            self.runs[run_token.token_id] = self._start_run(request, run_token)
        return await self._wait_for_run(self.runs[run_token.token_id], request)

    def _start_run(
        self, request: core.CallerRequest, token: tokens.RunToken
    ) -> Run:
        run = Run()
        run.task = asyncio.create_task(self._run_task(request, run))
        # A task that is cancelled before its first step executes none of its
        # coroutine, so a callback records the outcome.
        run.task.add_done_callback(lambda _: self._record_outcome(token, run))
        return run

    async def _run_task(
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
            _LOGGER.exception(
                "run failed unexpectedly", extra=_log_fields(request)
            )
            return _refuse(
                ResultCode.ENTRY_HOST_LOST, "an internal error ended the run"
            )

    def _record_outcome(self, token: tokens.RunToken, run: Run) -> None:
        self.outcomes.finish(token, _outcome_of_run(run))
        del self.runs[token.token_id]

    async def _wait_for_run(
        self, run: Run, request: core.CallerRequest
    ) -> model.Outcome:
        assert run.task is not None
        waiter = asyncio.get_running_loop().create_future()

        def stop_waiting(_: object = None) -> None:
            if not waiter.done():
                waiter.set_result(None)

        run.task.add_done_callback(stop_waiting)
        timeout = self.timer.call_at(
            when_s=request.deadline_at_s + const.WAIT_MARGIN_S,
            callback=stop_waiting,
        )
        run.waiting_calls += 1
        try:
            await waiter
        finally:
            timeout.cancel()
            run.task.remove_done_callback(stop_waiting)
            run.waiting_calls -= 1
            if run.waiting_calls == 0 and not run.dispatched:
                run.task.cancel()
        if run.task.done():
            return _outcome_of_run(run)
        return _refuse(
            ResultCode.ATTEMPT_RUNNING,
            "the work is still running",
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
        self.budget.record_first_attempt()
        excluded: frozenset[str] = frozenset()
        # Set once an attempt may have run the work; from then on, no refusal
        # may say that the request was not run.
        unknown_outcome: result_codes.Refusal | None = None
        # The refusal of the last attempt is more specific than the one for
        # having no server left to try.
        last_refusal: result_codes.Refusal | None = None
        for attempt_number in range(1, const.MAX_ATTEMPTS + 1):
            admitted = await self.admission.admit(request, excluded=excluded)
            if isinstance(admitted, Failure):
                return Failure(
                    unknown_outcome or last_refusal or admitted.failure()
                )
            permit = admitted.unwrap()
            sent = await self._send_once(request, work, permit, run)
            if isinstance(sent, Success):
                return Success(sent.unwrap())
            failure = sent.failure()
            refusal = last_refusal = _refusal_from_failure(failure)
            if not failure.kind.certainly_not_run:
                unknown_outcome = refusal
            retryable = failure.kind.certainly_not_run or (
                repeatable
                and failure.kind is not backend_model.FailureKind.TOO_LARGE
            )
            if not retryable or attempt_number == const.MAX_ATTEMPTS:
                return Failure(unknown_outcome or refusal)
            now = self.timer.monotonic()
            if now + const.MIN_RETRY_TIME_S >= request.deadline_at_s:
                return Failure(unknown_outcome or refusal)
            if not self.budget.try_acquire(now=now):
                exhausted = result_codes.Refusal(
                    ResultCode.RETRY_BUDGET_EMPTY,
                    failure.detail,
                    refusal.retry_after_s,
                )
                return Failure(unknown_outcome or exhausted)
            self.metrics.count_retry(failure.kind.value)
            excluded |= {permit.bundle.server}
            if attempt_number > 1:
                delay_s = self.rng.uniform(0.0, const.RETRY_JITTER_S)
                await self.timer.sleep(delay_s)
        raise AssertionError("the last attempt returns")

    async def _send_once(
        self,
        request: core.CallerRequest,
        work: catalogue_model.WorkEntry,
        permit: admission_model.Permit,
        run: Run,
    ) -> Result[core.Answer, backend_model.BackendFailure]:
        """Send once under a permit and finish the permit on every path."""
        name = permit.bundle.server
        server = self.catalogue.view.servers.get(name)
        if server is None:
            self._finish(
                permit,
                request,
                server_done=True,
                answer_bytes=0,
                traffic=backend_model.Traffic(),
            )
            return Failure(
                backend_model.BackendFailure(
                    backend_model.FailureKind.NOT_SENT,
                    "the server is no longer in the catalogue",
                )
            )
        query = f"?{request.query}" if request.query else ""
        traffic = backend_model.Traffic()
        backend_request = backend_model.BackendRequest(
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
        started_at_s = self.timer.monotonic()
        run.dispatched = True
        self.health.attempt_started(name)
        server_done = False
        answer_bytes = 0
        # Reported to the health tracking if the client raises.
        failure: backend_model.FailureKind | None = (
            backend_model.FailureKind.RESET
        )
        try:
            sent = await self.backend.send(backend_request)
            if isinstance(sent, Success):
                failure = None
                server_done = True
                answer_bytes = len(sent.unwrap().body)
            else:
                failure = sent.failure().kind
                server_done = failure.certainly_not_run
            if server_done and failure is not None:
                run.dispatched = False
            return sent
        except asyncio.CancelledError:
            failure = backend_model.FailureKind.CANCELLED
            raise
        finally:
            self._finish(
                permit,
                request,
                server_done=server_done,
                answer_bytes=answer_bytes,
                traffic=traffic,
            )
            latency_s = self.timer.monotonic() - started_at_s
            self.health.attempt_ended(
                name, latency_s=latency_s, failure=failure
            )

    def _finish(
        self,
        permit: admission_model.Permit,
        request: core.CallerRequest,
        *,
        server_done: bool,
        answer_bytes: int,
        traffic: backend_model.Traffic,
    ) -> None:
        ended = (
            admission_model.PermitEnd.COMPLETE
            if server_done
            else admission_model.PermitEnd.ORPHANED
        )
        self.admission.finish(
            permit,
            ended=ended,
            request=request,
            answer_bytes=answer_bytes,
            traffic=traffic,
        )

    async def _query_token_host(
        self, token: str, run_token: tokens.RunToken, digest: bytes = b""
    ) -> model.Outcome:
        """Return the outcome known to the token's host; run nothing here.

        With a digest, the outcome is returned only for the same request.
        """
        record = self.outcomes.handed_over_record(run_token)
        if (
            record.code != ResultCode.ENTRY_HOST_LOST
            or run_token.host == self.host.name
        ):
            return outcomes_module.outcome_from_record(record, digest)
        reply = await self.mesh.request(
            run_token.host,
            peers_model.OutcomeQuery(token),
            timeout_s=const.OUTCOME_QUERY_TIMEOUT_S,
        )
        if isinstance(reply, Success):
            message = reply.unwrap()
            if (
                isinstance(message, peers_model.OutcomeReply)
                and message.record.token_id == run_token.token_id
            ):
                return outcomes_module.outcome_from_record(
                    message.record, digest
                )
        # The host may have handed over its outcomes during the query.
        record = self.outcomes.handed_over_record(run_token)
        return outcomes_module.outcome_from_record(record, digest)

    async def _hand_over_to_peer(
        self,
        peer: str,
        messages: tuple[peers_model.OutcomeHandover, ...],
    ) -> bool:
        for message in messages:
            # A peer can accept a message twice, so a lost reply is retried.
            for _ in range(const.HANDOVER_TRIES):
                reply = await self.mesh.request(
                    peer, message, timeout_s=const.HANDOVER_TIMEOUT_S
                )
                if isinstance(
                    reply.value_or(None), peers_model.Acknowledgement
                ):
                    break
            else:
                return False
        return True


def _outcome_of_run(run: Run) -> model.Outcome:
    assert run.task is not None
    if not run.task.cancelled():
        return run.task.result()
    if run.dispatched:
        return _refuse(
            ResultCode.CALLER_GONE_RUNNING,
            "the run was cancelled; a server may have received the request",
        )
    return _refuse(ResultCode.CALLER_GONE, "the caller disconnected")


def _log_fields(request: core.CallerRequest) -> dict[str, str]:
    return {"request_id": request.request_id, "work": request.work}


def _digest(request: core.CallerRequest) -> bytes:
    digest = xxhash.xxh3_128()
    for part in (request.method, request.path, request.query):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return digest.digest()


def _refusal_from_failure(
    failure: backend_model.BackendFailure,
) -> result_codes.Refusal:
    retry_after_s = failure.retry_after_s
    if failure.kind.certainly_not_run:
        retry_after_s = max(const.NOT_RUN_RETRY_AFTER_S, retry_after_s)
    return result_codes.Refusal(
        _CODE_BY_FAILURE[failure.kind], failure.detail, retry_after_s
    )


def _refuse(
    code: ResultCode, detail: str, retry_after_s: float = 0.0
) -> model.Outcome:
    return Failure(result_codes.Refusal(code, detail, retry_after_s))
