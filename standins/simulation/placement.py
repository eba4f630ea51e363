"""Replay load on simulated servers, placed by the product's own placer.

Time is simulated, so that a replay takes milliseconds and repeats exactly.
Callers come back once after a refusal, as they are told to.
"""

from collections.abc import Callable
from collections.abc import Sequence
import heapq
import itertools
import random
from typing import NamedTuple

from returns.result import Failure
from returns.result import Success

from samphirelug.components.backend import model as backend_model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.forwarding import model as forwarding_model
from samphirelug.components.placement import load as placement_load
from samphirelug.components.placement import placer as placement_placer
from samphirelug.components.routing import model as routing_model
from samphirelug import core
from standins import forwarding as build

# Work at a server that has handled the object, relative to one that has not.
WARM_FACTOR = 0.3
WORK_SPREAD = 0.15
# Requests that a server queues, as a multiple of its slots.
QUEUE_RATIO = 3
# One way between an entry host and a server.
DELAY_S = 0.01
RETRY_SHARE_OF_TIME = 1 / 3


class Kind(NamedTuple):
    """Describe one kind of request."""

    route: routing_model.Route
    requests_per_s: float
    work_s: float
    objects: int
    deadline_s: float


class Phase(NamedTuple):
    """Change the rate of one kind for a time."""

    route: str
    start_s: float
    end_s: float
    factor: float


class Outcome(NamedTuple):
    """Hold what one caller got."""

    route: str
    sent_at_s: float
    latency_s: float
    result: str


class Report(NamedTuple):
    """Hold what the callers of a replay got."""

    outcomes: tuple[Outcome, ...]
    # Requests that met a server that had not handled their object.
    first_visits: int
    # Times at which refused callers were told to come back.
    return_times_s: tuple[float, ...]

    def share(
        self,
        result: str,
        *,
        route: str = "",
        start_s: float = 0.0,
        end_s: float = float("inf"),
    ) -> float:
        """Return the share of a result among the callers of a time."""
        chosen = [
            one
            for one in self.outcomes
            if route in ("", one.route) and start_s <= one.sent_at_s < end_s
        ]
        hits = sum(one.result == result for one in chosen)
        return hits / max(1, len(chosen))


class SimulatedServer:
    """Run requests in slots, queue a few, refuse the rest."""

    def __init__(self, *, slots: int, rng: random.Random) -> None:
        self.slots = slots
        self.rng = rng
        self.running = 0
        self.queue: list[Callable[[], None]] = []
        self.known_objects: set[str] = set()
        self.slow_factor = 1.0
        self.first_visits = 0

    def work_s(self, kind: Kind, object_key: str) -> float:
        """Return the time that a request takes once it runs."""
        work_s = kind.work_s * self.rng.lognormvariate(0.0, WORK_SPREAD)
        if object_key in self.known_objects:
            work_s *= WARM_FACTOR
        else:
            self.first_visits += 1
            self.known_objects.add(object_key)
        return work_s * self.slow_factor

    @property
    def report(self) -> placement_load.LoadReport:
        """Return what the server tells of its load."""
        return placement_load.LoadReport(
            self.running, len(self.queue), self.slots
        )


class _Request(NamedTuple):
    kind: Kind
    object_key: str
    placer: placement_placer.Placer
    first_sent_at_s: float
    sent_at_s: float
    is_return: bool


class Replay:
    """Drive placers and servers through one load."""

    def __init__(
        self,
        *,
        kinds: Sequence[Kind],
        servers: int,
        slots: int = 3,
        hosts: int = 4,
        seed: int = 1,
        phases: Sequence[Phase] = (),
    ) -> None:
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.phases = phases
        self.now_s = 0.0
        self.order = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.outcomes: list[Outcome] = []
        self.return_times_s: list[float] = []
        self.service = build.service()
        registry = fleet_registry.ServerRegistry()
        self.servers: dict[str, SimulatedServer] = {}
        for number in range(servers):
            server = build.server(f"s{number}", slots=slots)
            registry.put(server, source="replay")
            self.servers[server.instance_id] = SimulatedServer(
                slots=slots, rng=self.rng
            )
        self.placers = [
            placement_placer.Placer(
                registry=registry, host=f"h{number}", host_count=lambda: hosts
            )
            for number in range(hosts)
        ]

    def run(self, seconds: float) -> Report:
        """Replay arrivals for a time, then let all requests end."""
        for kind in self.kinds:
            self._schedule_arrival(kind, seconds)
        while self.events:
            self.now_s, _, callback = heapq.heappop(self.events)
            callback()
        return Report(
            tuple(self.outcomes),
            sum(one.first_visits for one in self.servers.values()),
            tuple(self.return_times_s),
        )

    def _at(self, when_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when_s, next(self.order), callback))

    def _schedule_arrival(self, kind: Kind, end_s: float) -> None:
        factor = 1.0
        for phase in self.phases:
            if phase.route == kind.route.name and (
                phase.start_s <= self.now_s < phase.end_s
            ):
                factor *= phase.factor
        when_s = self.now_s + self.rng.expovariate(
            kind.requests_per_s * factor
        )
        if when_s >= end_s:
            return

        def arrive() -> None:
            self._schedule_arrival(kind, end_s)
            number = self.rng.randrange(kind.objects)
            self._send(
                _Request(
                    kind,
                    f"{kind.route.key}\0{number}",
                    self.rng.choice(self.placers),
                    self.now_s,
                    self.now_s,
                    False,
                )
            )

        self._at(when_s, arrive)

    def _send(self, request: _Request) -> None:
        chosen = request.placer.choose(
            route=request.kind.route,
            service=self.service,
            object_key=request.object_key,
            tried=(),
            now=self.now_s,
        )
        if isinstance(chosen, Failure):
            self._refuse(request, chosen.failure().retry_after_s)
            return
        candidate: placement_placer.Candidate = chosen.unwrap()
        request.placer.record_sent(
            candidate.server, service=self.service, now=self.now_s
        )
        sent = request._replace(sent_at_s=self.now_s)
        self._at(self.now_s + DELAY_S, lambda: self._reach(sent, candidate))

    def _reach(
        self, request: _Request, candidate: placement_placer.Candidate
    ) -> None:
        server = self.servers[candidate.server.instance_id]
        if server.running < server.slots:
            self._start(request, candidate)
        elif len(server.queue) < QUEUE_RATIO * server.slots:
            server.queue.append(lambda: self._start(request, candidate))
        else:
            failure = backend_model.BackendFailure(
                backend_model.FailureKind.REFUSED, "full"
            )
            outcome: forwarding_model.AttemptResult = Failure(
                forwarding_model.AttemptFailure(failure, server.report)
            )
            self._learn(request, candidate, outcome)
            self._refuse(request, 0.0)

    def _start(
        self, request: _Request, candidate: placement_placer.Candidate
    ) -> None:
        server = self.servers[candidate.server.instance_id]
        server.running += 1
        work_s = server.work_s(request.kind, request.object_key)
        self._at(self.now_s + work_s, lambda: self._finish(request, candidate))

    def _finish(
        self, request: _Request, candidate: placement_placer.Candidate
    ) -> None:
        server = self.servers[candidate.server.instance_id]
        server.running -= 1
        if server.queue:
            server.queue.pop(0)()
        report = server.report
        self._at(
            self.now_s + DELAY_S,
            lambda: self._answer(request, candidate, report),
        )

    def _answer(
        self,
        request: _Request,
        candidate: placement_placer.Candidate,
        report: placement_load.LoadReport,
    ) -> None:
        answer = core.Answer(200, "", (), b"", candidate.server.instance_id)
        self._learn(
            request,
            candidate,
            Success(forwarding_model.AttemptAnswer(answer, report, None)),
        )
        latency_s = self.now_s - request.first_sent_at_s
        if latency_s <= request.kind.route.target_latency_s:
            self._end(request, "in target")
        elif latency_s <= request.kind.deadline_s:
            self._end(request, "late")
        else:
            self._end(request, "timed out")

    def _learn(
        self,
        request: _Request,
        candidate: placement_placer.Candidate,
        outcome: forwarding_model.AttemptResult,
    ) -> None:
        request.placer.record_ended(candidate.server)
        request.placer.observe(
            candidate.server,
            outcome,
            now=self.now_s,
            took_s=self.now_s - request.sent_at_s,
        )

    def _refuse(self, request: _Request, retry_after_s: float) -> None:
        left_s = request.first_sent_at_s + request.kind.deadline_s - self.now_s
        wait_s = min(retry_after_s, left_s * RETRY_SHARE_OF_TIME)
        if request.is_return or wait_s <= 0.0:
            self._end(request, "refused")
            return
        self.return_times_s.append(self.now_s + wait_s)
        self._at(
            self.now_s + wait_s,
            lambda: self._send(
                request._replace(
                    is_return=True, placer=self.rng.choice(self.placers)
                )
            ),
        )

    def _end(self, request: _Request, result: str) -> None:
        self.outcomes.append(
            Outcome(
                request.kind.route.name,
                request.first_sent_at_s,
                self.now_s - request.first_sent_at_s,
                result,
            )
        )
