"""Replay load on simulated servers, with the placer of the entry host.

Time is simulated, so that a replay takes milliseconds and is reproducible.
Callers retry once after a refusal, at the time that they are given.
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

# Work time at a server that has handled the object before, relative to one
# that has not.
WARM_WORK_FACTOR = 0.3
# Standard deviation of the logarithm of the work time.
WORK_TIME_SIGMA = 0.15
# Maximum queue length of a server, as a multiple of its slots.
QUEUE_RATIO = 3
# One-way delay between an entry host and a server.
NETWORK_DELAY_S = 0.01
# Time after an answer with a limit until its host must keep to it.
TOLD_AFTER_S = 0.5
# Maximum wait before a retry, as a share of the time left to the deadline.
MAX_RETRY_WAIT_SHARE = 1 / 3


class RequestKind(NamedTuple):
    """Describe the load and the work of one kind of request."""

    route: routing_model.Route
    requests_per_s: float
    work_s: float
    objects: int
    deadline_s: float
    # Name of the team that sends the requests; empty if none.
    team: str = ""
    # Number of repeats of a refused request.
    repeats: int = 1
    # Wait before a repeat; None for the time that the refusal names.
    repeat_after_s: float | None = None


class LoadPhase(NamedTuple):
    """Change the request rate of one route for a period."""

    route: str
    start_s: float
    end_s: float
    factor: float
    # Empty changes the rate of all teams.
    team: str = ""


class LimitPhase(NamedTuple):
    """Let a server name a limit for a period."""

    server: str
    start_s: float
    end_s: float
    requests_per_s: float


class Arrival(NamedTuple):
    """Record a request at a server that names a limit."""

    at_s: float
    # Whether its host had been told the limit for a while.
    was_told: bool


class CallerOutcome(NamedTuple):
    """Hold the result of one caller."""

    route: str
    sent_at_s: float
    latency_s: float
    result: str
    team: str = ""


class ReplayReport(NamedTuple):
    """Hold the results of a replay."""

    outcomes: tuple[CallerOutcome, ...]
    # Requests at a server that had not handled their object before.
    affinity_misses: int
    # Times at which refused callers were told to retry.
    retry_times_s: tuple[float, ...]

    def share(
        self,
        result: str,
        *,
        route: str = "",
        team: str = "",
        start_s: float = 0.0,
        end_s: float = float("inf"),
    ) -> float:
        """Return the share of callers of a period that have a result."""
        selected = [
            outcome
            for outcome in self.outcomes
            if route in ("", outcome.route)
            and team in ("", outcome.team)
            and start_s <= outcome.sent_at_s < end_s
        ]
        matching = sum(outcome.result == result for outcome in selected)
        return matching / max(1, len(selected))


class SimulatedServer:
    """Run requests in slots, queue a limited number, refuse the rest."""

    def __init__(self, *, slots: int, rng: random.Random) -> None:
        self.slots = slots
        self.rng = rng
        self.running = 0
        self.queue: list[Callable[[], None]] = []
        self.warm_objects: set[str] = set()
        self.slow_factor = 1.0
        self.affinity_misses = 0
        # Limit that the server names in its answers, None if none.
        self.limit_per_s: float | None = None
        # Time of the first answer with the limit to each host.
        self.told_at_s: dict[str, float] = {}
        self.arrivals: list[Arrival] = []

    def record_arrival(self, host: str, *, now: float) -> None:
        """Record a request while the server names a limit."""
        if self.limit_per_s is not None:
            told_at_s = self.told_at_s.get(host, now)
            self.arrivals.append(Arrival(now, now - told_at_s >= TOLD_AFTER_S))

    def work_s(self, kind: RequestKind, object_key: str) -> float:
        """Return the time for which a request runs in its slot."""
        work_s = kind.work_s * self.rng.lognormvariate(0.0, WORK_TIME_SIGMA)
        if object_key in self.warm_objects:
            work_s *= WARM_WORK_FACTOR
        else:
            self.affinity_misses += 1
            self.warm_objects.add(object_key)
        return work_s * self.slow_factor

    @property
    def report(self) -> placement_load.LoadReport:
        """Return the load report that the server sends with an answer."""
        return placement_load.LoadReport(
            self.running, len(self.queue), self.slots
        )


class _Request(NamedTuple):
    kind: RequestKind
    object_key: str
    placer: placement_placer.Placer
    first_sent_at_s: float
    sent_at_s: float
    repeats: int


class Replay:
    """Simulate callers, entry hosts and servers under one load."""

    def __init__(
        self,
        *,
        kinds: Sequence[RequestKind],
        servers: int,
        slots: int = 3,
        hosts: int = 4,
        seed: int = 1,
        phases: Sequence[LoadPhase] = (),
        limits: Sequence[LimitPhase] = (),
    ) -> None:
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.phases = phases
        self.now_s = 0.0
        # Numbers that keep events at the same time in the order of their
        # scheduling.
        self.sequence = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.outcomes: list[CallerOutcome] = []
        self.retry_times_s: list[float] = []
        self.service = build.service()
        registry = fleet_registry.ServerRegistry()
        self.servers: dict[str, SimulatedServer] = {}
        for number in range(servers):
            server = build.server(f"s{number}", slots=slots)
            registry.put(server, source="replay")
            self.servers[server.instance_id] = SimulatedServer(
                slots=slots, rng=self.rng
            )
        for limit in limits:
            self._schedule_limit(limit)
        self.placers = [
            placement_placer.Placer(
                registry=registry,
                host=f"h{number}",
                host_count=lambda: hosts,
                is_isolated=lambda: False,
            )
            for number in range(hosts)
        ]

    def run(self, seconds: float) -> ReplayReport:
        """Replay arrivals for a period, then run until all requests ended."""
        for kind in self.kinds:
            self._schedule_arrival(kind, seconds)
        while self.events:
            self.now_s, _, callback = heapq.heappop(self.events)
            callback()
        return ReplayReport(
            tuple(self.outcomes),
            sum(server.affinity_misses for server in self.servers.values()),
            tuple(self.retry_times_s),
        )

    def _schedule_limit(self, limit: LimitPhase) -> None:
        server = self.servers[limit.server]

        def set_limit(requests_per_s: float | None) -> None:
            server.limit_per_s = requests_per_s

        self._schedule(limit.start_s, lambda: set_limit(limit.requests_per_s))
        self._schedule(limit.end_s, lambda: set_limit(None))

    def _schedule(self, when_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when_s, next(self.sequence), callback))

    def _schedule_arrival(self, kind: RequestKind, end_s: float) -> None:
        factor = 1.0
        for phase in self.phases:
            if (
                phase.route == kind.route.name
                and phase.team in ("", kind.team)
                and phase.start_s <= self.now_s < phase.end_s
            ):
                factor *= phase.factor
        when_s = self.now_s + self.rng.expovariate(
            kind.requests_per_s * factor
        )
        if when_s >= end_s:
            return

        def arrive() -> None:
            self._schedule_arrival(kind, end_s)
            object_number = self.rng.randrange(kind.objects)
            self._send(
                _Request(
                    kind,
                    f"{kind.route.key}\0{object_number}",
                    self.rng.choice(self.placers),
                    self.now_s,
                    self.now_s,
                    0,
                )
            )

        self._schedule(when_s, arrive)

    def _send(self, request: _Request) -> None:
        placement = request.placer.choose(
            route=request.kind.route,
            service=self.service,
            object_key=request.object_key,
            tried=(),
            now=self.now_s,
            team=request.kind.team,
        )
        if isinstance(placement, Failure):
            self._refuse(request, placement.failure().retry_after_s)
            return
        candidate: placement_placer.Candidate = placement.unwrap()
        request.placer.record_sent(
            candidate.server, service=self.service, now=self.now_s
        )
        sent_request = request._replace(sent_at_s=self.now_s)
        self._schedule(
            self.now_s + NETWORK_DELAY_S,
            lambda: self._arrive(sent_request, candidate),
        )

    def _arrive(
        self, request: _Request, candidate: placement_placer.Candidate
    ) -> None:
        server = self.servers[candidate.server.instance_id]
        server.record_arrival(request.placer.host, now=self.now_s)
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
            self._observe(request, candidate, outcome, server.limit_per_s)
            self._refuse(request, 0.0)

    def _start(
        self, request: _Request, candidate: placement_placer.Candidate
    ) -> None:
        server = self.servers[candidate.server.instance_id]
        server.running += 1
        work_s = server.work_s(request.kind, request.object_key)
        self._schedule(
            self.now_s + work_s, lambda: self._finish(request, candidate)
        )

    def _finish(
        self, request: _Request, candidate: placement_placer.Candidate
    ) -> None:
        server = self.servers[candidate.server.instance_id]
        server.running -= 1
        if server.queue:
            server.queue.pop(0)()
        report, limit_per_s = server.report, server.limit_per_s
        self._schedule(
            self.now_s + NETWORK_DELAY_S,
            lambda: self._deliver_answer(
                request, candidate, report, limit_per_s
            ),
        )

    def _deliver_answer(
        self,
        request: _Request,
        candidate: placement_placer.Candidate,
        report: placement_load.LoadReport,
        limit_per_s: float | None,
    ) -> None:
        answer = core.Answer(200, "", (), b"", candidate.server.instance_id)
        self._observe(
            request,
            candidate,
            Success(forwarding_model.AttemptAnswer(answer, report, None)),
            limit_per_s,
        )
        latency_s = self.now_s - request.first_sent_at_s
        if latency_s <= request.kind.route.target_latency_s:
            self._record_outcome(request, "in target")
        elif latency_s <= request.kind.deadline_s:
            self._record_outcome(request, "late")
        else:
            self._record_outcome(request, "timed out")

    def _observe(
        self,
        request: _Request,
        candidate: placement_placer.Candidate,
        outcome: forwarding_model.AttemptResult,
        limit_per_s: float | None,
    ) -> None:
        request.placer.observe_limit(
            candidate.server, limit_per_s, now=self.now_s
        )
        if limit_per_s is not None:
            self.servers[candidate.server.instance_id].told_at_s.setdefault(
                request.placer.host, self.now_s
            )
        request.placer.record_ended(candidate.server)
        request.placer.observe(
            candidate.server,
            outcome,
            now=self.now_s,
            took_s=self.now_s - request.sent_at_s,
        )

    def _refuse(self, request: _Request, retry_after_s: float) -> None:
        remaining_s = (
            request.first_sent_at_s + request.kind.deadline_s - self.now_s
        )
        if request.kind.repeat_after_s is not None:
            retry_after_s = request.kind.repeat_after_s
        wait_s = min(retry_after_s, remaining_s * MAX_RETRY_WAIT_SHARE)
        if request.repeats >= request.kind.repeats or wait_s <= 0.0:
            self._record_outcome(request, "refused")
            return
        self.retry_times_s.append(self.now_s + wait_s)
        self._schedule(
            self.now_s + wait_s,
            lambda: self._send(
                request._replace(
                    repeats=request.repeats + 1,
                    placer=self.rng.choice(self.placers),
                )
            ),
        )

    def _record_outcome(self, request: _Request, result: str) -> None:
        self.outcomes.append(
            CallerOutcome(
                request.kind.route.name,
                request.first_sent_at_s,
                self.now_s - request.first_sent_at_s,
                result,
                request.kind.team,
            )
        )
