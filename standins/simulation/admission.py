"""Simulate admission with a manual clock and simulated servers."""

import asyncio
import collections
from collections.abc import Callable
import heapq
import math
import random
from typing import NamedTuple

from returns.result import Result
from returns.result import Success

from samphirelug.components.admission import controller
from samphirelug.components.admission import model
from samphirelug.components.admission import ports
from samphirelug.components.backend import model as backend_model
from samphirelug.components.catalogue import view as catalogue_view
from samphirelug.components.metrics import registry
from samphirelug.components.peers import mesh as peers_mesh
from samphirelug.components.quota import ledger as quota_ledger
from samphirelug.components.quota import limits
from samphirelug.components.quota import loans
from samphirelug.components.steering import health as steering_health
from samphirelug.components.steering import planner as steering_planner
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from standins import builders

Outcome = Result[model.Permit, result_codes.Refusal]
WORK_OF_RANK = ("file-claim", "case-status", "case-export")
NONE_EXCLUDED: frozenset[str] = frozenset()


class FakeBorrower(ports.UnitBorrower):
    """Return bundles that a test provides, and record what is requested."""

    def __init__(self) -> None:
        self.on_free: list[Callable[[], None]] = []
        self.requested_bundles: list[tuple[str, str, int]] = []
        self.requested_units: dict[str, int] = {}
        self.permits: list[model.Permit] = []
        self.ended_permits: list[model.Permit] = []

    def request_bundles(
        self,
        *,
        work: str,
        region: str,
        home_region: str,  # noqa: ARG002
        body_bytes: int,  # noqa: ARG002
        count: int,
    ) -> None:
        """Record the requested bundles."""
        self.requested_bundles.append((work, region, count))

    def request_units(self, *, key: str, needed: int) -> None:
        """Record the requested units."""
        self.requested_units[key] = needed

    def try_acquire(
        self,
        *,
        work: str,  # noqa: ARG002
        region: str,
        home_region: str,  # noqa: ARG002
        body_bytes: int,  # noqa: ARG002
    ) -> model.Permit | None:
        """Return a permit for the region, if a test provided one."""
        for permit in self.permits:
            if permit.bundle.region == region:
                self.permits.remove(permit)
                return permit
        return None

    def end(
        self,
        permit: model.Permit,
        *,
        ended: model.PermitEnd,  # noqa: ARG002
        deadline_at_s: float,  # noqa: ARG002
    ) -> None:
        """Record the end and make the bundle available again."""
        self.ended_permits.append(permit)
        self.permits.append(permit)
        for callback in self.on_free:
            callback()


class FakeCatalogue:
    """Provide a fixed view in place of the catalogue state."""

    def __init__(self, view: catalogue_view.CatalogueView) -> None:
        self.view = view


class Harness:
    """Connect one entry host's admission to a real ledger and planner."""

    def __init__(
        self,
        *,
        view: catalogue_view.CatalogueView | None = None,
        seats: tuple[str, ...] = ("tallinn",),
        links: bool = True,
        seed: int = 1,
        timer: timer_helper.ManualTimerService | None = None,
        mesh: peers_mesh.PeerMesh | None = None,
    ) -> None:
        self.timer = timer or timer_helper.ManualTimerService(start_s=100.0)
        self.rng = random.Random(seed)
        self.catalogue = FakeCatalogue(view or builders.make_view())
        self.ledger = quota_ledger.QuotaLedger(timer=self.timer)
        self.limits = limits.quota_limits(self.catalogue.view)
        self.ledger.set_limits(self.limits)
        groups = {f"region/{region}" for region in seats}
        if links:
            groups |= {
                limit.group
                for limit in self.limits.values()
                if limit.group.startswith("link/")
            }
        for group in groups:
            self.allocate_seat(group)
        self.health = steering_health.ServerHealth(timer=self.timer)
        self.fake_borrower = FakeBorrower()
        borrower: ports.UnitBorrower = self.fake_borrower
        if mesh is not None:
            borrower = loans.Borrower(
                ledger=self.ledger,
                mesh=mesh,
                timer=self.timer,
                host=builders.make_host(),
            )
        self.planner = steering_planner.SteeringPlanner(
            catalogue=self.catalogue,
            health=self.health,
            ledger=self.ledger,
            rng=self.rng,
            host=builders.make_host(),
        )
        self.admission = controller.AdmissionController(
            catalogue=self.catalogue,
            ledger=self.ledger,
            borrower=borrower,
            planner=self.planner,
            timer=self.timer,
            metrics=registry.Metrics(),
        )
        self.request_ids = iter(range(10**9))

    def allocate_seat(self, group: str) -> None:
        """Allocate all units of a group to this host."""
        units = {
            key: limit.limit
            for key, limit in self.limits.items()
            if limit.group == group
        }
        self.ledger.set_seat(
            group=group, units=units, limits=units, valid_until_s=1e9
        )

    def request(
        self,
        rank: core.Rank = core.Rank.INTERACTIVE,
        *,
        work: str | None = None,
        home_region: str = "tallinn",
        deadline_s: float = 10.0,
        body: bytes = b"",
    ) -> core.CallerRequest:
        """Return a request whose deadline counts from now, in seconds."""
        return core.CallerRequest(
            request_id=str(next(self.request_ids)),
            work=work or WORK_OF_RANK[rank],
            rank=rank,
            method="POST",
            path="/",
            query="",
            headers=(),
            body=body,
            deadline_at_s=self.timer.monotonic() + deadline_s,
            home_region=home_region,
            run_token=None,
        )

    def submit(
        self,
        request: core.CallerRequest,
        *,
        excluded: frozenset[str] = NONE_EXCLUDED,
    ) -> "asyncio.Task[Outcome]":
        """Start a task that admits a request."""
        return asyncio.ensure_future(
            self.admission.admit(request, excluded=excluded)
        )

    async def admit(self, request: core.CallerRequest) -> Outcome | None:
        """Return the immediate outcome, None if the request is queued."""
        task = self.submit(request)
        await run_ready_tasks()
        return task.result() if task.done() else None

    async def fill(
        self, count: int, rank: core.Rank = core.Rank.INTERACTIVE
    ) -> list[tuple[core.CallerRequest, model.Permit]]:
        """Admit requests, all of which must be admitted without queueing."""
        filled = []
        for _ in range(count):
            request = self.request(rank)
            outcome = await self.admit(request)
            assert outcome is not None
            filled.append((request, outcome.unwrap()))
        return filled

    def finish(
        self, request: core.CallerRequest, permit: model.Permit
    ) -> None:
        """End a request with a short answer."""
        self.admission.finish(
            permit,
            ended=model.PermitEnd.COMPLETE,
            request=request,
            answer_bytes=100,
        )

    async def advance(self, seconds: float, *, step_s: float = 0.02) -> None:
        """Advance the clock in steps and run the ready tasks after each."""
        for _ in range(max(1, round(seconds / step_s))):
            self.timer.advance(step_s)
            await run_ready_tasks()

    def fail_region(self, region: str) -> None:
        """Mark every server of a region as refusing connections."""
        for server in self.catalogue.view.servers.values():
            if server.zone.region != region:
                continue
            for _ in range(3):
                self.health.attempt_ended(
                    server.name,
                    latency_s=0.0,
                    failure=backend_model.FailureKind.NOT_SENT,
                )


async def run_ready_tasks() -> None:
    """Run the tasks that are ready."""
    for _ in range(4):
        await asyncio.sleep(0)


class Counts(NamedTuple):
    """Count the requests of one rank in a simulated run."""

    offered: int
    served: int
    p99_s: float


class Load(NamedTuple):
    """Describe requests of one rank that arrive at random times."""

    rank: core.Rank
    rate_per_s: float
    service_s: float
    deadline_s: float


def arrivals(
    loads: tuple[Load, ...], *, duration_s: float, rng: random.Random
) -> list[tuple[float, Load]]:
    """Return Poisson arrivals, ordered by time."""
    events = []
    for load in loads:
        arrival_s = rng.expovariate(load.rate_per_s)
        while arrival_s < duration_s:
            events.append((arrival_s, load))
            arrival_s += rng.expovariate(load.rate_per_s)
    return sorted(events, key=lambda event: event[0])


def summarize(
    offered: list[tuple[float, Load]],
    served: dict[core.Rank, list[float]],
) -> dict[core.Rank, Counts]:
    """Return counts by rank; latencies are from arrival to answer."""
    counts = {}
    for rank in core.Rank:
        latencies = sorted(served.get(rank, []))
        p99_index = math.ceil(0.99 * len(latencies)) - 1
        counts[rank] = Counts(
            offered=sum(load.rank is rank for _, load in offered),
            served=len(latencies),
            p99_s=latencies[p99_index] if latencies else math.inf,
        )
    return counts


async def simulate(
    loads: tuple[Load, ...], *, duration_s: float, seed: int
) -> dict[core.Rank, Counts]:
    """Send the loads through admission to one region with twelve slots.

    Requests count as served if they are answered before their deadline and
    before the end of the run.
    """
    harness = Harness(seed=seed)
    rng = random.Random(seed)
    offered = arrivals(loads, duration_s=duration_s, rng=rng)
    start_s = harness.timer.monotonic()
    served: dict[core.Rank, list[float]] = {rank: [] for rank in core.Rank}

    async def run_request(load: Load) -> None:
        request = harness.request(load.rank, deadline_s=load.deadline_s)
        arrived_at_s = harness.timer.monotonic()
        outcome = await harness.admission.admit(
            request, excluded=NONE_EXCLUDED
        )
        if not isinstance(outcome, Success):
            return
        permit = outcome.unwrap()
        service_s = load.service_s * rng.uniform(0.5, 1.5)
        end_s = harness.timer.monotonic() + service_s
        await harness.timer.sleep(service_s)
        harness.finish(request, permit)
        in_run = end_s <= start_s + duration_s
        if in_run and end_s <= request.deadline_at_s:
            served[load.rank].append(end_s - arrived_at_s)

    tasks = []
    for arrival_s, load in offered:
        while harness.timer.monotonic() < start_s + arrival_s:
            advance_s = start_s + arrival_s - harness.timer.monotonic()
            pending = harness.timer.pending
            if pending:
                next_timer_s = pending[0][0] - harness.timer.monotonic()
                # A step of zero would never reach the arrival.
                advance_s = min(advance_s, max(1e-9, next_timer_s))
            harness.timer.advance(advance_s)
            await run_ready_tasks()
        tasks.append(asyncio.ensure_future(run_request(load)))
        await asyncio.sleep(0)
    await harness.advance(12.0)
    for task in tasks:
        assert task.done()
    return summarize(offered, served)


def simulate_first_come(
    loads: tuple[Load, ...], *, duration_s: float, seed: int, slots: int = 12
) -> dict[core.Rank, Counts]:
    """Send the same loads to one bounded first-come-first-served queue."""
    rng = random.Random(seed)
    offered = arrivals(loads, duration_s=duration_s, rng=rng)
    served: dict[core.Rank, list[float]] = {rank: [] for rank in core.Rank}
    end_times: list[float] = []
    queue: collections.deque[tuple[float, Load]] = collections.deque()

    def start(started_at_s: float, arrived_at_s: float, load: Load) -> None:
        end_s = started_at_s + load.service_s * rng.uniform(0.5, 1.5)
        heapq.heappush(end_times, end_s)
        if end_s <= min(duration_s, arrived_at_s + load.deadline_s):
            served[load.rank].append(end_s - arrived_at_s)

    def run_until(until_s: float) -> None:
        while end_times and end_times[0] <= until_s:
            freed_at_s = heapq.heappop(end_times)
            while queue:
                arrived_at_s, queued = queue.popleft()
                if freed_at_s - arrived_at_s < queued.deadline_s:
                    start(freed_at_s, arrived_at_s, queued)
                    break

    for arrival_s, load in offered:
        run_until(arrival_s)
        if len(end_times) < slots:
            start(arrival_s, arrival_s, load)
        # As many as the queues of the three ranks hold together.
        elif len(queue) < 1536:
            queue.append((arrival_s, load))
    run_until(duration_s)
    return summarize(offered, served)
