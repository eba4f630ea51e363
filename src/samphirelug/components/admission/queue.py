"""Queue the requests of one rank by deadline, within bounds."""

import asyncio
from collections.abc import Callable
import heapq
import itertools
from typing import NamedTuple

from returns.result import Result

from samphirelug.components.admission import const
from samphirelug.components.admission import model
from samphirelug import core
from samphirelug import result_codes

Admission = Result[model.Permit, result_codes.Refusal]


class FlowKey(NamedTuple):
    """Tell apart requests that need different units."""

    work: str
    home_region: str
    # Bodies of like size need like amounts of link bytes.
    size_class: int
    excluded: frozenset[str]


class Block(NamedTuple):
    """Say what a flow lacked in a region when it was last tried."""

    code: result_codes.ResultCode
    # Key of the ledger, or the slots of a service in a region.
    key: str
    # Free units of the key below which another try is futile.
    needed: int


class Waiting:
    """Hold one queued request."""

    __slots__ = (
        "body_bytes",
        "flow",
        "future",
        "queued",
        "request",
        "since_s",
    )

    def __init__(
        self,
        *,
        request: core.CallerRequest,
        flow: "Flow",
        future: asyncio.Future[Admission],
        since_s: float,
    ) -> None:
        self.request = request
        self.flow = flow
        self.future = future
        self.since_s = since_s
        self.body_bytes = len(request.body)
        self.queued = True


class Flow:
    """Hold queued requests that need the same units, by deadline."""

    __slots__ = (
        "blocks",
        "count",
        "heap",
        "key",
        "loans_seen",
        "rank",
        "service",
        "wanted_at_s",
    )

    def __init__(self, *, key: FlowKey, rank: core.Rank, service: str) -> None:
        self.key = key
        self.rank = rank
        self.service = service
        self.heap: list[tuple[float, int, Waiting]] = []
        self.count = 0
        # By region, in the order of the last try.
        self.blocks: dict[str, Block] = {}
        self.loans_seen = -1
        self.wanted_at_s = float("-inf")

    def head(self) -> Waiting | None:
        """Return the request with the earliest deadline."""
        heap = self.heap
        while heap and not heap[0][2].queued:
            heapq.heappop(heap)
        return heap[0][2] if heap else None


class RankQueue:
    """Hold the flows of one rank."""

    def __init__(
        self,
        *,
        rank: core.Rank,
        max_requests: int = const.QUEUE_MAX_REQUESTS,
        max_bytes: int = const.QUEUE_MAX_BYTES,
    ) -> None:
        self.rank = rank
        self.max_requests = max_requests
        self.max_bytes = max_bytes
        self.flows: dict[FlowKey, Flow] = {}
        self.count = 0
        self.bytes = 0
        self.by_work: dict[str, int] = {}
        # By service and home region, which share what frees up.
        self.by_domain: dict[tuple[str, str], int] = {}
        self.sequence = itertools.count()

    def is_full(self, *, work: str, body_bytes: int) -> bool:
        """Return whether another request would pass a bound."""
        work_bound = self.max_requests * const.QUEUE_WORK_PART
        return (
            self.count >= self.max_requests
            or self.bytes + body_bytes > self.max_bytes
            or self.by_work.get(work, 0) >= work_bound
        )

    def push(
        self,
        flow: Flow,
        *,
        request: core.CallerRequest,
        future: asyncio.Future[Admission],
        now: float,
    ) -> Waiting:
        """Queue a request; the caller has checked is_full."""
        flow = self.flows.setdefault(flow.key, flow)
        waiting = Waiting(
            request=request, flow=flow, future=future, since_s=now
        )
        heapq.heappush(
            flow.heap, (request.deadline_at_s, next(self.sequence), waiting)
        )
        self._count(waiting, 1)
        return waiting

    def remove(self, waiting: Waiting) -> None:
        """Take a request out of the queue; a second call has no effect."""
        if not waiting.queued:
            return
        waiting.queued = False
        self._count(waiting, -1)
        flow = waiting.flow
        if flow.count == 0:
            self.flows.pop(flow.key, None)
            flow.heap.clear()
        elif len(flow.heap) > 2 * flow.count + 16:
            # Cancelled requests stay in the heap until then.
            flow.heap = [item for item in flow.heap if item[2].queued]
            heapq.heapify(flow.heap)

    def take_expired(
        self, now: float, needed_s: Callable[[Flow], float]
    ) -> list[Waiting]:
        """Remove and return the requests with less time left than needed."""
        expired: list[Waiting] = []
        for flow in list(self.flows.values()):
            end_s = now + needed_s(flow)
            head = flow.head()
            while head is not None and head.request.deadline_at_s <= end_s:
                self.remove(head)
                expired.append(head)
                head = flow.head()
        return expired

    def _count(self, waiting: Waiting, step: int) -> None:
        flow = waiting.flow
        flow.count += step
        self.count += step
        self.bytes += step * waiting.body_bytes
        work = flow.key.work
        domain = (flow.service, flow.key.home_region)
        self.by_work[work] = self.by_work.get(work, 0) + step
        self.by_domain[domain] = self.by_domain.get(domain, 0) + step
        if not self.by_work[work]:
            del self.by_work[work]
        if not self.by_domain[domain]:
            del self.by_domain[domain]
