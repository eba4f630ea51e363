"""Simulate entry hosts, a lossy mesh and a server that counts runs."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.admission import model as admission_model
from samphirelug.components.admission.model import PermitEnd
from samphirelug.components.backend import client
from samphirelug.components.backend import model as backend_model
from samphirelug.components.backend.model import FailureKind
from samphirelug.components.catalogue import view as catalogue_view
from samphirelug.components.execution import executor
from samphirelug.components.execution import model
from samphirelug.components.execution import outcomes
from samphirelug.components.execution import tokens
from samphirelug.components.metrics import registry
from samphirelug.components.peers import mesh
from samphirelug.components.peers import model as peers_model
from samphirelug.components.quota import model as quota_model
from samphirelug import core
from samphirelug.helpers import timer
from samphirelug import result_codes
from samphirelug.result_codes import Effect
from samphirelug.result_codes import ResultCode
from standins import builders

Admitted = Result[admission_model.Permit, result_codes.Refusal]
Sent = Result[core.Answer, backend_model.BackendFailure]
METRICS = registry.Metrics()
VIEW = builders.make_view()
SERVERS = tuple(VIEW.servers)
UNREACHABLE = result_codes.Refusal(ResultCode.PEER_UNREACHABLE, "lost")


class Attempt:
    """Hold one attempt as the backend server sees it."""

    def __init__(
        self, request: backend_model.BackendRequest, runs: dict[str, int]
    ) -> None:
        self.request = request
        # ID of the work of one run token or repeatable request.
        self.work_id = request.body.decode()
        self.runs = runs
        self.result: asyncio.Future[Sent] = (
            asyncio.get_running_loop().create_future()
        )
        self.may_run = True
        # Set when a caller was told that the work was not run.
        self.reported_not_run = False
        self.ran_after_not_run_report = False

    def run(self) -> None:
        """Run the work on the server, even if the host no longer waits."""
        if not self.may_run:
            return
        self.may_run = False
        self.ran_after_not_run_report = self.reported_not_run
        self.runs[self.work_id] = self.runs.get(self.work_id, 0) + 1

    def reply(self, kind: FailureKind | None) -> None:
        """Deliver an answer or a failure to the host."""
        if kind is not None and kind.certainly_not_run:
            # Work that was run cannot count as not sent or refused, so the
            # host sees a reset instead.
            if not self.may_run:
                kind = FailureKind.RESET
            self.may_run = False
        if self.result.done():
            return
        if kind is None:
            self.run()
            self.result.set_result(Success(self.answer()))
        else:
            failure = backend_model.BackendFailure(kind, kind.value)
            self.result.set_result(Failure(failure))

    def answer(self) -> core.Answer:
        """Return an answer whose body identifies the piece of work."""
        body = self.request.body
        return core.Answer(200, "OK", (), body, self.request.server.name)


class FakeBackendClient(client.BackendClient):
    """Hold attempts until the schedule decides their result."""

    def __init__(self, world: "World") -> None:
        self.world = world

    async def send(self, request: backend_model.BackendRequest) -> Sent:
        """Return the result from the schedule, or a timeout."""
        attempt = Attempt(request, self.world.runs)
        self.world.attempts.append(attempt)
        timeout = self.world.clock.call_at(
            when_s=request.deadline_at_s,
            callback=lambda: attempt.reply(FailureKind.TIMEOUT),
        )
        try:
            return await attempt.result
        finally:
            timeout.cancel()

    async def probe(
        self, server: core.BackendServer, health_path: str, *, timeout_s: float
    ) -> Result[backend_model.HealthReport, backend_model.BackendFailure]:
        """Raise an error, since the executor sends no probes."""
        raise NotImplementedError(server, health_path, timeout_s)


class FakeAdmission:
    """Admit as the schedule decides and check that permits end once."""

    def __init__(self) -> None:
        self.pending: list[asyncio.Future[Admitted]] = []
        self.held: set[int] = set()
        self.ended: list[PermitEnd] = []
        self.excluded: list[frozenset[str]] = []
        self.home_regions: list[str] = []
        self.issued = 0

    async def admit(
        self,
        request: core.CallerRequest,
        *,
        excluded: frozenset[str],
    ) -> Admitted:
        """Wait for the decision of the schedule and return it."""
        self.home_regions.append(request.home_region)
        self.excluded.append(excluded)
        decision: asyncio.Future[Admitted] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending.append(decision)
        result = await decision
        if isinstance(result, Success):
            self.held.add(result.unwrap().hold_id)
        return result

    def finish(
        self,
        permit: admission_model.Permit,
        *,
        ended: PermitEnd,
        request: core.CallerRequest,  # noqa: ARG002
        answer_bytes: int,  # noqa: ARG002
        traffic: backend_model.Traffic | None = None,
    ) -> None:
        """Record how a permit ended; fail if it ends twice."""
        assert traffic is not None
        self.held.remove(permit.hold_id)
        self.ended.append(ended)

    def decide(self, refusal: result_codes.Refusal | None = None) -> None:
        """Admit or refuse the request that has waited the longest."""
        self.pending = [
            decision for decision in self.pending if not decision.done()
        ]
        if not self.pending:
            return
        if refusal is not None:
            self.pending.pop(0).set_result(Failure(refusal))
            return
        self.issued += 1
        server = SERVERS[self.issued % len(SERVERS)]
        bundle = quota_model.Bundle("tallinn", server, ())
        permit = admission_model.Permit(
            self.issued, bundle, admission_model.PermitSource.OWN
        )
        self.pending.pop(0).set_result(Success(permit))


class FakeHealth:
    """Count attempts that have started but not ended."""

    def __init__(self) -> None:
        self.outstanding = 0
        self.failures: list[FailureKind | None] = []

    def attempt_started(self, server: str) -> None:
        """Count the start of an attempt."""
        assert server in SERVERS
        self.outstanding += 1

    def attempt_ended(
        self,
        server: str,
        *,
        latency_s: float,
        failure: FailureKind | None,
    ) -> None:
        """Record how an attempt ended."""
        assert server in SERVERS
        assert latency_s >= 0.0
        self.outstanding -= 1
        self.failures.append(failure)


class FakeCatalogue:
    """Provide a fixed view in place of the catalogue state."""

    def __init__(self) -> None:
        self.view: catalogue_view.CatalogueView = VIEW
        self.position = 1


class FakeMesh(mesh.PeerMesh):
    """Deliver or lose messages as the schedule decides."""

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.handlers: dict[type, mesh.Handler] = {}

    def live_peers(self) -> tuple[peers_model.PeerView, ...]:
        """Return the other running hosts with their clocks."""
        return tuple(
            peers_model.PeerView(host.heartbeat(), self.world.now(), True)
            for name, host in self.world.hosts.items()
            if name != self.name
        )

    async def request(
        self, host: str, message: peers_model.Message, *, timeout_s: float
    ) -> Result[peers_model.Message, result_codes.Refusal]:
        """Return the reply; fails when the schedule loses a message."""
        future: asyncio.Future[
            Result[peers_model.Message, result_codes.Refusal]
        ] = asyncio.get_running_loop().create_future()

        async def deliver(reply_lost: bool) -> None:
            peer = self.world.hosts.get(host)
            if peer is None:
                return
            handler = peer.mesh.handlers[type(message)]
            reply = await handler(self.name, message)
            if reply is not None and not reply_lost and not future.done():
                future.set_result(Success(reply))

        self.world.messages.append(deliver)
        timeout = self.world.clock.call_at(
            when_s=self.world.now() + timeout_s,
            callback=lambda: (
                None
                if future.done()
                else future.set_result(Failure(UNREACHABLE))
            ),
        )
        try:
            return await future
        finally:
            timeout.cancel()

    def send(self, host: str, message: peers_model.Message) -> None:
        """Fail, since the executor only sends requests."""
        raise NotImplementedError(host, message)

    def broadcast(self, message: peers_model.Message) -> None:
        """Fail, since the executor only sends requests."""
        raise NotImplementedError(message)

    def set_handler(self, kind: type, handler: mesh.Handler) -> None:
        """Store the handler."""
        self.handlers[kind] = handler


class Host:
    """Hold the simulated parts of one entry host incarnation."""

    def __init__(self, world: "World", name: str, number: int) -> None:
        self.world = world
        self.identity = builders.make_host(name)._replace(
            incarnation=f"{name}-{number}"
        )
        self.mesh = FakeMesh(world, name)
        self.admission = FakeAdmission()
        self.health = FakeHealth()
        self.outcomes = outcomes.OutcomeTable(
            host=self.identity,
            timer=world.clock,
            started_at_s=world.now(),
            max_outcomes=world.max_outcomes,
            max_answer_bytes=world.max_answer_bytes,
        )
        self.executor = executor.Executor(
            catalogue=FakeCatalogue(),
            admission=self.admission,
            backend=FakeBackendClient(world),
            health=self.health,
            outcomes=self.outcomes,
            issuer=world.issuer,
            mesh=self.mesh,
            timer=world.clock,
            rng=random.Random(1),
            metrics=METRICS,
            host=self.identity,
        )

    def heartbeat(self) -> peers_model.Heartbeat:
        """Return the heartbeat that peers have received."""
        return peers_model.Heartbeat(
            host=self.identity,
            state=core.EntryHostState.SERVING,
            clock_ms=self.outcomes.clock_ms(),
            catalogue_revision=1,
            headroom=(),
            queued=(0, 0, 0),
            wait_s=(0.0, 0.0, 0.0),
            sightings=(),
        )


class World:
    """Hold all hosts and check answers against what the server ran."""

    def __init__(
        self,
        *,
        names: tuple[str, ...] = ("eh1", "eh2", "eh3"),
        max_outcomes: int = 1000,
        max_answer_bytes: int = 1000,
    ) -> None:
        self.clock = timer.ManualTimerService()
        self.issuer = tokens.TokenIssuer(secret="s", timer=self.clock)
        self.max_outcomes = max_outcomes
        self.max_answer_bytes = max_answer_bytes
        self.runs: dict[str, int] = {}
        self.attempts: list[Attempt] = []
        self.messages: list[Callable[[bool], Coroutine[Any, Any, None]]] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.errors: list[str] = []
        # Pieces of work whose token was reported as revoked or expired.
        self.must_not_run: set[str] = set()
        self.started = 0
        self.hosts: dict[str, Host] = {}
        for name in names:
            self.start_host(name)

    def now(self) -> float:
        """Return the time of the manual clock."""
        return self.clock.monotonic()

    def start_host(self, name: str) -> None:
        """Start a new incarnation, which replaces the previous one."""
        self.started += 1
        self.hosts[name] = Host(self, name, self.started)

    def token(self, name: str = "eh1") -> str:
        """Return a run token for filings on a host."""
        host = self.hosts[name]
        return self.issuer.issue(
            work="file-claim",
            host=host.identity,
            home_region="tallinn",
            clock_ms=host.outcomes.clock_ms(),
        )

    def call(
        self,
        name: str,
        work_id: str,
        token: str | None,
        *,
        timeout_s: float = 5.0,
    ) -> asyncio.Task[model.Outcome]:
        """Send a caller's request to a host and check the answer."""
        request = core.CallerRequest(
            request_id="r1",
            work="file-claim" if token else "case-status",
            rank=core.Rank.URGENT,
            method="POST",
            path="/claims",
            query="",
            headers=(),
            body=work_id.encode(),
            deadline_at_s=self.now() + timeout_s,
            home_region="parnu",
            run_token=token,
        )
        return self.track(self.hosts[name].executor.run(request), work_id)

    def query_outcome(
        self, name: str, work_id: str, token: str
    ) -> asyncio.Task[model.Outcome]:
        """Query a host for the outcome of a token and check the answer."""
        return self.track(self.hosts[name].executor.outcome(token), work_id)

    def track(
        self, call: Coroutine[Any, Any, model.Outcome], work_id: str
    ) -> asyncio.Task[model.Outcome]:
        """Check the result of a call at the moment it is returned."""

        async def checked() -> model.Outcome:
            outcome = await call
            self.check_outcome(outcome, work_id)
            return outcome

        task = asyncio.create_task(checked())
        self.tasks.append(task)
        return task

    def check_outcome(self, outcome: model.Outcome, work_id: str) -> None:
        """Compare an answer with what the server has run so far."""
        runs = self.runs.get(work_id, 0)
        if isinstance(outcome, Success):
            if outcome.unwrap().body != work_id.encode() or runs == 0:
                self.errors.append(
                    f"{work_id}: wrong answer, or an answer without a run"
                )
            return
        code = outcome.failure().code
        if code.effect is not Effect.NOT_RUN:
            return
        if runs:
            self.errors.append(f"{work_id}: {code.name} although it was run")
        if code in (ResultCode.TOKEN_REVOKED, ResultCode.TOKEN_EXPIRED):
            self.must_not_run.add(work_id)
        for attempt in self.attempts:
            attempt.reported_not_run |= attempt.work_id == work_id

    async def run_ready_tasks(self) -> None:
        """Run the event loop until all tasks wait for the schedule."""
        for _ in range(12):
            await asyncio.sleep(0)

    def violations(self, *, once: frozenset[str]) -> list[str]:
        """Return all violations of at-most-once seen so far."""
        found = list(self.errors)
        for work_id, runs in self.runs.items():
            if work_id in once and runs > 1:
                found.append(f"{work_id}: run {runs} times")
            if work_id in self.must_not_run:
                found.append(
                    f"{work_id}: run after its token was reported as unusable"
                )
        for attempt in self.attempts:
            if attempt.ran_after_not_run_report:
                found.append(
                    f"{attempt.work_id}: run after it was reported as not run"
                )
        return found
