"""Provide a bounded queue of the requests of one rank, by deadline."""

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

AdmissionResult = Result[model.Permit, result_codes.Refusal]


class FlowKey(NamedTuple):
    """Identify requests that need the same kinds of units."""

    work: str
    home_region: str
    # Bodies of similar size need similar amounts of link bytes.
    size_class: int
    excluded: frozenset[str]


class Shortage(NamedTuple):
    """Describe what a flow lacked in a region at its last attempt."""

    code: result_codes.ResultCode
    # Quota key in the ledger, or slot pool of a service in a region. Empty if
    # the shortage must be checked again at each attempt.
    key: str
    # Another attempt cannot succeed with fewer free units of the key.
    needed: int


class QueuedRequest:
    """Represent one request in a queue."""

    __slots__ = (
        "body_bytes",
        "flow",
        "future",
        "is_queued",
        "queued_at_s",
        "request",
    )

    def __init__(
        self,
        *,
        request: core.CallerRequest,
        flow: "Flow",
        future: asyncio.Future[AdmissionResult],
        queued_at_s: float,
    ) -> None:
        self.request = request
        self.flow = flow
        self.future = future
        self.queued_at_s = queued_at_s
        self.body_bytes = len(request.body)
        self.is_queued = True


class Flow:
    """Group queued requests that need the same units, by deadline."""

    __slots__ = (
        "count",
        "heap",
        "key",
        "loan_arrivals",
        "loans_requested_at_s",
        "rank",
        "service",
        "shortages",
    )

    def __init__(self, *, key: FlowKey, rank: core.Rank, service: str) -> None:
        self.key = key
        self.rank = rank
        self.service = service
        self.heap: list[tuple[float, int, QueuedRequest]] = []
        self.count = 0
        # By region, in the order of the last attempt.
        self.shortages: dict[str, Shortage] = {}
        # Value of AdmissionController.loan_arrivals at the last attempt.
        self.loan_arrivals = -1
        self.loans_requested_at_s = float("-inf")

    def head(self) -> QueuedRequest | None:
        """Return the queued request with the earliest deadline."""
        heap = self.heap
        while heap and not heap[0][2].is_queued:
            heapq.heappop(heap)
        return heap[0][2] if heap else None


class RankQueue:
    """Queue the requests of one rank, grouped into flows."""

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
        # By service and home region, whose flows compete for the same units.
        self.by_service_region: dict[tuple[str, str], int] = {}
        self.sequence = itertools.count()

    def is_full(self, *, work: str, body_bytes: int) -> bool:
        """Return whether another request would exceed a limit."""
        work_limit = self.max_requests * const.QUEUE_WORK_FRACTION
        return (
            self.count >= self.max_requests
            or self.bytes + body_bytes > self.max_bytes
            or self.by_work.get(work, 0) >= work_limit
        )

    def push(
        self,
        flow: Flow,
        *,
        request: core.CallerRequest,
        future: asyncio.Future[AdmissionResult],
        now: float,
    ) -> QueuedRequest:
        """Add a request; is_full must have been checked before."""
        flow = self.flows.setdefault(flow.key, flow)
        queued_request = QueuedRequest(
            request=request, flow=flow, future=future, queued_at_s=now
        )
        heapq.heappush(
            flow.heap,
            (request.deadline_at_s, next(self.sequence), queued_request),
        )
        self._count(queued_request, 1)
        return queued_request

    def remove(self, queued_request: QueuedRequest) -> None:
        """Remove a request from the queue; a second call has no effect."""
        if not queued_request.is_queued:
            return
        queued_request.is_queued = False
        self._count(queued_request, -1)
        flow = queued_request.flow
        if flow.count == 0:
            self.flows.pop(flow.key, None)
            flow.heap.clear()
        elif len(flow.heap) > 2 * flow.count + 16:
            # Cancelled requests stay in the heap until it is compacted here.
            flow.heap = [item for item in flow.heap if item[2].is_queued]
            heapq.heapify(flow.heap)

    def take_expired(
        self, now: float, needed_s: Callable[[Flow], float]
    ) -> list[QueuedRequest]:
        """Remove and return the requests with less time left than needed."""
        expired: list[QueuedRequest] = []
        for flow in list(self.flows.values()):
            end_s = now + needed_s(flow)
            head = flow.head()
            while head is not None and head.request.deadline_at_s <= end_s:
                self.remove(head)
                expired.append(head)
                head = flow.head()
        return expired

    def _count(self, queued_request: QueuedRequest, step: int) -> None:
        flow = queued_request.flow
        flow.count += step
        self.count += step
        self.bytes += step * queued_request.body_bytes
        work = flow.key.work
        service_region = (flow.service, flow.key.home_region)
        self.by_work[work] = self.by_work.get(work, 0) + step
        self.by_service_region[service_region] = (
            self.by_service_region.get(service_region, 0) + step
        )
        if not self.by_work[work]:
            del self.by_work[work]
        if not self.by_service_region[service_region]:
            del self.by_service_region[service_region]
