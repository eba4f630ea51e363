"""Admit requests to backend servers, queue them, or refuse them."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import itertools
import math
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.admission import const
from samphirelug.components.admission import estimate
from samphirelug.components.admission import model
from samphirelug.components.admission import ports
from samphirelug.components.admission import queue
from samphirelug.components.admission import scheduler
from samphirelug.components.backend import model as backend_model
from samphirelug.components.catalogue import model as catalogue_model
from samphirelug.components.catalogue import view as catalogue_view
from samphirelug.components.metrics import registry
from samphirelug.components.peers import model as peers_model
from samphirelug.components.quota import const as quota_const
from samphirelug.components.quota import ledger as quota_ledger
from samphirelug.components.quota import limits
from samphirelug.components.quota import model as quota_model
from samphirelug.components.steering import model as steering_model
from samphirelug.components.steering import planner as steering_planner
from samphirelug import const as shared_const
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

Code = result_codes.ResultCode

# Codes that name a cause of their own; the others yield to the way in which
# a request was refused (queue full, deadline).
_NAMED_CAUSES = frozenset(
    (
        Code.SHIFT_CAP,
        Code.LINK_LIMIT,
        Code.WORK_LIMIT,
        Code.NO_BACKEND_SERVER,
        Code.NO_SHARE,
    )
)
_ABSENCES = frozenset((Code.NO_BACKEND_SERVER, Code.NO_SHARE))


class OpenPermit(NamedTuple):
    """Remember what a permit uses until it is finished."""

    rank: core.Rank
    service: str
    granted_at_s: float
    # Units freed with the permit, or after the release delay of their key.
    units: tuple[quota_model.UnitAmount, ...]


class ViewFacts:
    """Hold what admission derives from one catalogue view."""

    def __init__(self, view: catalogue_view.CatalogueView) -> None:
        self.view = view
        self.ranks: frozenset[core.Rank] = frozenset(
            work["work_class"].rank for work in view.works.values()
        )
        by_service: dict[str, set[core.Rank]] = {}
        for work in view.works.values():
            ranks = by_service.setdefault(work["backend_service"], set())
            ranks.add(work["work_class"].rank)
        self.ranks_of_service = {
            service: frozenset(ranks) for service, ranks in by_service.items()
        }


class AdmissionController:
    """Decide for each request from the units at hand."""

    def __init__(
        self,
        *,
        catalogue: steering_planner.CatalogueSource,
        ledger: quota_ledger.QuotaLedger,
        borrower: ports.UnitBorrower,
        planner: steering_planner.SteeringPlanner,
        timer: timer_helper.TimerService,
        metrics: registry.Metrics,
    ) -> None:
        self.catalogue = catalogue
        self.ledger = ledger
        self.borrower = borrower
        self.planner = planner
        self.timer = timer
        self.metrics = metrics
        self.host = planner.host
        self.queues = tuple(queue.RankQueue(rank=rank) for rank in core.Rank)
        self.usage = scheduler.RankUsage()
        self.credits = scheduler.CreditBook()
        self.estimator = estimate.WaitEstimator()
        self.open: dict[tuple[model.PermitSource, int], OpenPermit] = {}
        # Pairs of service and home region whose units come by loan only, and
        # for which no loan came in time.
        self.silent: set[tuple[str, str]] = set()
        self.loan_ids = itertools.count(1)
        self.loans_seen = 0
        self._facts = ViewFacts(catalogue.view)
        self._slots: dict[tuple[str, str], steering_model.SlotCount] = {}
        self._tick: timer_helper.Subscription | None = None
        self._paused = False
        self._woken = False
        self._returning = False
        # By link key: a flow that waits for many bytes, and how many.
        self.claims: dict[str, tuple[queue.Flow, int]] = {}
        ledger.on_free.append(self.wake)
        borrower.on_free.append(self._loans_came)
        planner.health.on_usable.append(self.wake)

    async def admit(
        self, request: core.CallerRequest, *, excluded: frozenset[str]
    ) -> Result[model.Permit, result_codes.Refusal]:
        """Return a permit as units for the request can be had.

        Cancelling the task gives up. Fails with the code of the most
        specific cause; nothing has been sent then.
        """
        now = self.timer.monotonic()
        work = self.catalogue.view.works.get(request.work)
        if work is None:
            return Failure(
                result_codes.Refusal(
                    Code.UNKNOWN_WORK,
                    f"the catalogue has no work entry {request.work!r}",
                )
            )
        if request.deadline_at_s <= now:
            return Failure(
                result_codes.Refusal(
                    Code.DEADLINE_EXPIRED, "the deadline has passed"
                )
            )
        ranked = self.queues[request.rank]
        key = queue.FlowKey(
            request.work,
            request.home_region,
            len(request.body).bit_length() // 2,
            excluded,
        )
        flow = ranked.flows.get(key)
        if flow is None:
            flow = queue.Flow(
                key=key, rank=request.rank, service=work["backend_service"]
            )
            self._slots.clear()
            permit = self._place(flow, request, now, now)
            if permit is not None:
                return Success(permit)
        # A flow with queued requests was tried when units last came free, so
        # a request that joins it cannot be placed now either.
        refusal = self._refusal(flow, request, now)
        if refusal is not None:
            return Failure(refusal)
        future: asyncio.Future[queue.Admission] = (
            asyncio.get_running_loop().create_future()
        )
        waiting = ranked.push(flow, request=request, future=future, now=now)
        self._start_tick()
        self._want(flow, now)
        try:
            return await future
        except asyncio.CancelledError:
            ranked.remove(waiting)
            if future.done() and not future.cancelled():
                self._give_back(future.result(), request)
            raise

    def finish(
        self,
        permit: model.Permit,
        *,
        ended: model.PermitEnd,
        request: core.CallerRequest,
        answer_bytes: int,
        traffic: backend_model.Traffic | None = None,
    ) -> None:
        """End a permit; a second call has no effect.

        Give 0 answer bytes when the request was certainly not sent. Without
        the traffic, all bytes reserved for the request count as sent.
        """
        opened = self.open.pop((permit.source, permit.hold_id), None)
        if opened is None:
            return
        now = self.timer.monotonic()
        orphaned = ended is model.PermitEnd.ORPHANED
        end_s = now
        if orphaned:
            end_s = request.deadline_at_s + shared_const.ORPHAN_MARGIN_S
        elif answer_bytes:
            self.estimator.observe_hold(
                opened.service, request.work, now - opened.granted_at_s
            )
        self._paused = True
        try:
            if permit.source is model.PermitSource.LOAN:
                self.borrower.end(
                    permit, ended=ended, deadline_at_s=request.deadline_at_s
                )
            else:
                here = self.host.zone.region
                back = limits.link_key(permit.bundle.region, here)
                sizes = {back: answer_bytes}
                if traffic is not None:
                    there = limits.link_key(here, permit.bundle.region)
                    sizes[there] = traffic.sent_bytes
                    sizes[back] = traffic.received_bytes
                self._release(permit, opened, end_s, orphaned, sizes)
        finally:
            self._paused = False
        if self._woken or permit.source is model.PermitSource.LOAN:
            self.wake()

    def refusal_for(
        self,
        *,
        work: str,
        home_region: str,
        deadline_at_s: float,
        body_bytes: int,
    ) -> result_codes.Refusal | None:
        """Return why a request would be refused, before its body is read."""
        entry = self.catalogue.view.works.get(work)
        if entry is None:
            return None
        ranked = self.queues[entry["work_class"].rank]
        key = queue.FlowKey(
            work, home_region, body_bytes.bit_length() // 2, frozenset()
        )
        flow = ranked.flows.get(key)
        if flow is None:
            return None
        now = self.timer.monotonic()
        return self._bounds_refusal(flow, body_bytes, deadline_at_s, now)

    def wake(self) -> None:
        """Give units that have become free to queued requests."""
        if self._paused:
            self._woken = True
            return
        self._paused = True
        try:
            self._woken = True
            while self._woken:
                self._woken = False
                self._slots.clear()
                self._dispatch()
        finally:
            self._paused = False

    def grant(
        self, request: peers_model.GrantRequest, *, borrower: str
    ) -> peers_model.Grant:
        """Lend bundles that own requests of the same rank do not need."""
        loan_id = self._loan_id(borrower)
        view = self.catalogue.view
        work = view.works.get(request.work)
        bundles: list[quota_model.Bundle] = []
        duration_s = quota_const.LOAN_S
        if work is not None:
            self._slots.clear()
            service = work["backend_service"]
            rank = work["work_class"].rank
            spare = self._spare(service, request.region, rank, request)
            wanted = min(request.bundles_wanted, spare, const.LEND_MAX_BUNDLES)
            for number in range(1, wanted + 1):
                bundle = self._lend_one(
                    view, work, request, loan_id, number, duration_s
                )
                if bundle is None and number == 1:
                    # Units that are borrowed themselves have less time left.
                    duration_s /= 2.0
                    bundle = self._lend_one(
                        view, work, request, loan_id, number, duration_s
                    )
                if bundle is None:
                    break
                bundles.append(bundle)
        return peers_model.Grant(loan_id, tuple(bundles), duration_s)

    def grant_units(
        self, request: peers_model.UnitRequest, *, borrower: str
    ) -> peers_model.UnitGrant:
        """Lend plain units, which leave the guaranteed parts untouched."""
        loan_id = self._loan_id(borrower)
        units: list[quota_model.UnitAmount] = []
        for key, amount in request.units:
            reserve = self._reserve(key, core.Rank.EXPORT, self.ledger.usable)
            spare = max(0, self.ledger.free(key) - reserve)
            # Nothing is kept back, since only a host that needs more than
            # its own share asks.
            lent = min(amount, spare)
            if lent > 0:
                units.append(quota_model.UnitAmount(key, lent))
        until_s = self.timer.monotonic() + quota_const.LOAN_S
        if units and not self.ledger.lend(
            units, loan_id=loan_id, bundle_number=0, until_s=until_s
        ):
            units = []
        return peers_model.UnitGrant(loan_id, tuple(units), quota_const.LOAN_S)

    def queued(self) -> tuple[int, int, int]:
        """Return the requests queued, by Rank value."""
        urgent, interactive, export = (ranked.count for ranked in self.queues)
        return urgent, interactive, export

    def wait_s(self, rank: core.Rank) -> float:
        """Return seconds until a new request of the rank finds room.

        Flows held up by their own work entry's limit do not count, since
        other work of the rank does not wait for them. Flows of callers from
        other regions do not either: they wait for loans, and look-ups near
        this host must not be refused for their sake.
        """
        now = self.timer.monotonic()
        worst_s = 0.0
        for flow in self.queues[rank].flows.values():
            if flow.key.home_region != self.host.zone.region:
                continue
            if self._cause(flow) is Code.WORK_LIMIT:
                continue
            wait_s = self._wait(flow, now)
            if math.isfinite(wait_s):
                worst_s = max(worst_s, wait_s)
        return worst_s

    def headroom(self) -> tuple[peers_model.RegionHeadroom, ...]:
        """Return own units free and in all, by service and region."""
        self._slots.clear()
        rooms: list[peers_model.RegionHeadroom] = []
        view = self.catalogue.view
        for region in view.regions:
            usable = self.ledger.usable(limits.region_key(region))
            if not usable:
                continue
            free = self.ledger.free(limits.region_key(region))
            for service in view.services:
                slots = self._slots_of(service, region)
                if not slots.usable:
                    continue
                rooms.append(
                    peers_model.RegionHeadroom(
                        region=region,
                        service=service,
                        free=min(free, slots.free),
                        held=min(usable, slots.usable),
                    )
                )
        return tuple(rooms)

    # Placing a request.

    def _place(
        self,
        flow: queue.Flow,
        request: core.CallerRequest,
        since_s: float,
        now: float,
        *,
        due: bool = False,
    ) -> model.Permit | None:
        home = request.home_region
        work = self.catalogue.view.works.get(request.work)
        if work is None:
            return None
        regions = self.planner.regions_for(request)
        flow.blocks = {
            region: block
            for region, block in flow.blocks.items()
            if region in regions
        }
        loans = flow.loans_seen != self.loans_seen
        permit = None
        for region in regions:
            if region != home and not self._may_leave(flow, since_s, now):
                break
            permit = self._place_own(flow, work, request, region, now, due)
            if permit is None and loans:
                permit = self._place_borrowed(flow, request, region, now)
            if permit is not None:
                self._count_dispatch(flow, region, now)
                break
        else:
            # No bundle is at hand in any region until new ones come.
            flow.loans_seen = self.loans_seen
        return permit

    def _place_own(
        self,
        flow: queue.Flow,
        work: catalogue_model.WorkEntry,
        request: core.CallerRequest,
        region: str,
        now: float,
        due: bool,
    ) -> model.Permit | None:
        rank = self._rank_for_reserve(flow, region) if due else flow.rank
        known = flow.blocks.get(region)
        if (
            known is not None
            and rank is flow.rank
            and self._still_blocked(known, flow, region)
        ):
            return None
        block = self._missing(flow, work, request, region, rank)
        if block is None:
            taken = self._hold(flow, work, request, region, rank, now)
            if isinstance(taken, model.Permit):
                flow.blocks.pop(region, None)
                return taken
            block = taken
        flow.blocks[region] = block
        return None

    def _missing(
        self,
        flow: queue.Flow,
        work: catalogue_model.WorkEntry,
        request: core.CallerRequest,
        region: str,
        rank: core.Rank,
    ) -> queue.Block | None:
        """Return the first scarce key of those that cost little to check."""
        ledger = self.ledger
        key = limits.region_key(region)
        service = flow.service
        if not self.planner.has_servers(service=service, region=region):
            return queue.Block(Code.NO_BACKEND_SERVER, "", 0)
        if not ledger.usable(key):
            return queue.Block(Code.NO_SHARE, key, 1)
        needed = 1 + self._reserve(key, rank, ledger.usable)
        if ledger.free(key) < needed:
            return queue.Block(Code.REGION_LIMIT, key, needed)
        key = limits.work_key(work["name"], region)
        if ledger.free(key) < 1:
            return queue.Block(Code.WORK_LIMIT, key, 1)
        if region != request.home_region:
            key = limits.shift_key(region)
            needed = 1 + self._reserve(key, rank, ledger.usable)
            if ledger.free(key) < needed:
                return queue.Block(Code.SHIFT_CAP, key, needed)
        slots = self._slots_of(service, region)
        pool = _slot_pool(service, region)
        needed = 1 + self._reserve(
            pool, rank, lambda _: slots.usable, service=service
        )
        if slots.free < needed:
            return queue.Block(Code.OVERLOADED, pool, needed)
        return None

    def _hold(
        self,
        flow: queue.Flow,
        work: catalogue_model.WorkEntry,
        request: core.CallerRequest,
        region: str,
        rank: core.Rank,
        now: float,
    ) -> model.Permit | queue.Block:
        servers = self.planner.servers_for(
            service=flow.service, region=region, excluded=flow.key.excluded
        )
        if not servers:
            return self._no_server(flow, region)
        bundle = limits.bundle_for(
            view=self.catalogue.view,
            work=work,
            server=servers[0],
            host_region=self.host.zone.region,
            home_region=request.home_region,
            body_bytes=len(request.body),
        )
        for key, amount in bundle.units:
            if not key.startswith("link:"):
                continue
            needed = amount + self._reserve(key, rank, self.ledger.usable)
            if self.ledger.free(key) < needed:
                return queue.Block(Code.LINK_LIMIT, key, needed)
        held = self.ledger.try_hold(bundle)
        if not isinstance(held, Success):
            # Each key was free a moment ago, in the same event loop step.
            return queue.Block(Code.OVERLOADED, held.failure(), 1)
        permit = model.Permit(held.unwrap(), bundle, model.PermitSource.OWN)
        self._slots.pop((flow.service, region), None)
        pools = [
            quota_model.UnitAmount(_slot_pool(flow.service, region), 1),
            *(
                unit
                for unit in bundle.units
                if not unit.key.startswith(("server:", "work:"))
            ),
        ]
        for pool, amount in pools:
            self.usage.add(pool, flow.rank, amount)
        self._open(permit, flow, now, tuple(pools))
        return permit

    def _no_server(self, flow: queue.Flow, region: str) -> queue.Block:
        """Return why free slots cannot be used.

        The block names no key, so that each wake tries again.
        """
        servers = self.catalogue.view.servers_in(
            service=flow.service, region=region
        )
        if any(
            self.planner.health.is_usable(server.name)
            and server.name not in flow.key.excluded
            for server in servers
        ):
            # Slow start holds the free ones back, or they are excluded.
            return queue.Block(Code.OVERLOADED, "", 0)
        return queue.Block(Code.NO_BACKEND_SERVER, "", 0)

    def _place_borrowed(
        self,
        flow: queue.Flow,
        request: core.CallerRequest,
        region: str,
        now: float,
    ) -> model.Permit | None:
        rejected: list[model.Permit] = []
        while True:
            permit = self.borrower.take(
                work=request.work,
                region=region,
                home_region=request.home_region,
                body_bytes=len(request.body),
            )
            if permit is None:
                break
            server = permit.bundle.server
            if server not in flow.key.excluded and (
                self.planner.health.is_usable(server)
            ):
                break
            rejected.append(permit)
        # Ended only now, since a bundle that has ended can be taken again.
        # The lender may not know yet that these servers are leaving.
        self._returning = True
        for other in rejected:
            self.borrower.end(
                other,
                ended=model.PermitEnd.COMPLETE,
                deadline_at_s=request.deadline_at_s,
            )
        self._returning = False
        if permit is None:
            return None
        self.silent.discard((flow.service, request.home_region))
        self._open(permit, flow, now, ())
        return permit

    def _open(
        self,
        permit: model.Permit,
        flow: queue.Flow,
        now: float,
        units: tuple[quota_model.UnitAmount, ...],
    ) -> None:
        self.open[(permit.source, permit.hold_id)] = OpenPermit(
            flow.rank, flow.service, now, units
        )

    def _release(
        self,
        permit: model.Permit,
        opened: OpenPermit,
        end_s: float,
        orphaned: bool,
        sizes: Mapping[str, int],
    ) -> None:
        for key, reserved in opened.units:
            amount = reserved
            if key in sizes and not orphaned:
                amount = min(reserved, sizes[key])
                self.ledger.shrink(permit.hold_id, key, amount)
                self.usage.add(key, opened.rank, amount - reserved)
            release_delay_s = self.ledger.release_delay_s(key) or 0.0
            if orphaned or release_delay_s:
                self.usage.end_at(
                    key, opened.rank, amount, end_s + release_delay_s
                )
            else:
                self.usage.add(key, opened.rank, -amount)
        self.ledger.release_at(permit.hold_id, end_s)

    def _give_back(
        self, admission: queue.Admission, request: core.CallerRequest
    ) -> None:
        """End a permit whose caller left before it could be used."""
        if isinstance(admission, Success):
            self.finish(
                admission.unwrap(),
                ended=model.PermitEnd.COMPLETE,
                request=request,
                answer_bytes=0,
            )

    def _may_leave(self, flow: queue.Flow, since_s: float, now: float) -> bool:
        """Return whether a request need not wait for its home region."""
        home = flow.key.home_region
        block = flow.blocks.get(home)
        if block is None or block.code is Code.NO_BACKEND_SERVER:
            return True
        if block.code is Code.NO_SHARE:
            return (flow.service, home) in self.silent
        if now - since_s > const.SPILL_WAIT_S:
            return True
        return self._wait(flow, now) > const.SPILL_WAIT_S

    def _still_blocked(
        self, block: queue.Block, flow: queue.Flow, region: str
    ) -> bool:
        if not block.key:
            return False
        if block.code is Code.OVERLOADED:
            return self._slots_of(flow.service, region).free < block.needed
        return self.ledger.free(block.key) < block.needed

    def _slots_of(self, service: str, region: str) -> steering_model.SlotCount:
        place = (service, region)
        slots = self._slots.get(place)
        if slots is None:
            slots = self.planner.slots(service=service, region=region)
            self._slots[place] = slots
        return slots

    # Ranks.

    def _reserve(
        self,
        key: str,
        rank: core.Rank,
        usable: Callable[[str], int],
        *,
        service: str | None = None,
    ) -> int:
        if rank is core.Rank.URGENT:
            return 0
        facts = self._view_facts()
        parts = _parts_of_key(facts.view, key)
        if parts is None:
            return 0
        present = facts.ranks
        if service is not None:
            present = facts.ranks_of_service.get(service, frozenset())
        return scheduler.reserve_above(
            rank=rank,
            usable=usable(key),
            used=self.usage.used(key, self.timer.monotonic()),
            parts=parts,
            present=present,
        )

    def _rank_for_reserve(self, flow: queue.Flow, region: str) -> core.Rank:
        """Return the rank whose reserves hold for a rank with a credit.

        The unit would otherwise go to the most urgent rank that waits for
        it, which need not leave anything free for the ranks below it.
        """
        for ranked in self.queues[: flow.rank]:
            for other in ranked.flows.values():
                block = other.blocks.get(region)
                if block is not None and block.code is not Code.WORK_LIMIT:
                    return ranked.rank
        return flow.rank

    def _claimed(self, key: str, flow: queue.Flow) -> int:
        claim = self.claims.get(key)
        if claim is None or claim[0] is flow or claim[0].rank > flow.rank:
            return 0
        return claim[1]

    def _claim_link_bytes(self, now: float) -> None:
        """Keep link bytes for requests that need many at once.

        Without this, requests with small bodies and answers would take the
        bytes as they come free, and a large one would never be placed.
        """
        self.claims.clear()
        for ranked in self.queues:
            for flow in ranked.flows.values():
                head = flow.head()
                if head is None or now - head.since_s < const.CLAIM_AFTER_S:
                    continue
                for block in flow.blocks.values():
                    if block.code is Code.LINK_LIMIT and (
                        self.ledger.usable(block.key) >= block.needed
                    ):
                        self.claims.setdefault(block.key, (flow, block.needed))

    def _view_facts(self) -> ViewFacts:
        if self._facts.view is not self.catalogue.view:
            self._facts = ViewFacts(self.catalogue.view)
        return self._facts

    def _count_dispatch(
        self, flow: queue.Flow, region: str, now: float
    ) -> None:
        domain = (flow.service, flow.key.home_region)
        self.estimator.count_dispatch(domain, flow.rank, now)
        if self.claims:
            self.claims = {
                key: claim
                for key, claim in self.claims.items()
                if claim[0] is not flow
            }
        entry = self.catalogue.view.regions.get(region)
        if entry is None:
            return
        pools = (limits.region_key(region), _slot_pool(flow.service, region))
        self.credits.spend(pools, flow.rank)
        # Ranks earn at their own dispatches too: the guaranteed part is one
        # of all dispatches.
        for ranked in self.queues[core.Rank.INTERACTIVE :]:
            part = scheduler.part_of(entry["guaranteed"], ranked.rank)
            waiting = [
                other
                for other in ranked.flows.values()
                if other is flow or region in other.blocks
            ]
            if waiting:
                self.credits.earn(pools[0], ranked.rank, part)
            if any(other.service == flow.service for other in waiting):
                self.credits.earn(pools[1], ranked.rank, part)

    def _dispatch(self) -> None:
        while self._dispatch_one(self.timer.monotonic()):
            pass

    def _dispatch_one(self, now: float) -> bool:
        for flow, due in self._flows_in_order():
            head = flow.head()
            while head is not None and head.future.done():
                # Its caller was cancelled and has not run since.
                self.queues[flow.rank].remove(head)
                head = flow.head()
            if head is None or (
                head.request.deadline_at_s <= now + self._own_time(flow)
            ):
                # The tick refuses it; a server could not answer in time.
                continue
            permit = self._place(
                flow, head.request, head.since_s, now, due=due
            )
            if permit is None:
                continue
            ranked = self.queues[flow.rank]
            ranked.remove(head)
            if not ranked.count:
                self.credits.forget(flow.rank)
            head.future.set_result(Success(permit))
            return True
        return False

    def _flows_in_order(self) -> Iterable[tuple[queue.Flow, bool]]:
        """Return flows whose rank has a whole credit, then all by rank."""
        due: list[tuple[float, int, queue.Flow]] = []
        rest: list[tuple[float, int, queue.Flow]] = []
        for ranked in self.queues:
            for flow in ranked.flows.values():
                head = flow.head()
                if head is None:
                    continue
                item = (head.request.deadline_at_s, len(rest), flow)
                rest.append(item)
                if ranked.rank and self._is_due(flow):
                    due.append(item)
        due.sort()
        rest.sort(key=lambda item: (item[2].rank, item[0], item[1]))
        return [
            *((flow, True) for _, _, flow in due),
            *((flow, False) for _, _, flow in rest),
        ]

    def _is_due(self, flow: queue.Flow) -> bool:
        return any(
            self.credits.is_due(
                (limits.region_key(region), _slot_pool(flow.service, region)),
                flow.rank,
            )
            for region in flow.blocks
        )

    # Refusals and waits.

    def _refusal(
        self, flow: queue.Flow, request: core.CallerRequest, now: float
    ) -> result_codes.Refusal | None:
        codes = {block.code for block in flow.blocks.values()}
        if codes <= {Code.NO_BACKEND_SERVER}:
            return self._refuse(flow, Code.NO_BACKEND_SERVER, math.inf)
        return self._bounds_refusal(
            flow, len(request.body), request.deadline_at_s, now
        )

    def _bounds_refusal(
        self,
        flow: queue.Flow,
        body_bytes: int,
        deadline_at_s: float,
        now: float,
    ) -> result_codes.Refusal | None:
        ranked = self.queues[flow.rank]
        wait_s = self._wait(flow, now)
        if ranked.is_full(work=flow.key.work, body_bytes=body_bytes):
            return self._refuse(flow, Code.OVERLOADED, wait_s)
        left_s = deadline_at_s - now - self._own_time(flow)
        # An unknown wait refuses nothing; nor does one for an empty queue.
        if flow.count and math.isfinite(wait_s) and wait_s > left_s:
            return self._refuse(flow, Code.DEADLINE_UNREACHABLE, wait_s)
        return None

    def _refuse(
        self, flow: queue.Flow, code: result_codes.ResultCode, wait_s: float
    ) -> result_codes.Refusal:
        cause = self._cause(flow)
        if cause in _NAMED_CAUSES or (
            cause is Code.REGION_LIMIT and code is Code.OVERLOADED
        ):
            code = cause
        if not math.isfinite(wait_s) or wait_s <= 0.0:
            wait_s = const.RETRY_AFTER_UNKNOWN_S
        return result_codes.Refusal(
            code,
            f"{flow.rank.label} work {flow.key.work!r} finds no room:"
            f" {cause.name.lower()}, {flow.count} queued",
            wait_s,
        )

    def _cause(self, flow: queue.Flow) -> result_codes.ResultCode:
        """Return what holds a flow up, in the region nearest to home.

        A region that has no server or no share holds nothing up as long as
        another one could serve.
        """
        codes = [block.code for block in flow.blocks.values()]
        for code in codes:
            if code not in _ABSENCES:
                return code
        if Code.NO_SHARE in codes:
            return Code.NO_SHARE
        return Code.NO_BACKEND_SERVER

    def _wait(self, flow: queue.Flow, now: float) -> float:
        domain = (flow.service, flow.key.home_region)
        region, block = next(
            (
                (region, block)
                for region, block in flow.blocks.items()
                if block.code not in _ABSENCES
            ),
            (flow.key.home_region, None),
        )
        own = self.queues[flow.rank]
        ahead = own.by_domain.get(domain, 0)
        places = 0.0
        release_delay_s = 0.0
        if block is None:
            pass
        elif block.code is Code.OVERLOADED:
            places = float(self._slots_of(flow.service, region).usable)
        elif block.code is Code.LINK_LIMIT:
            places = self.ledger.usable(block.key) / max(1, block.needed)
            release_delay_s = quota_const.LINK_RELEASE_DELAY_S
        else:
            places = float(self.ledger.usable(block.key))
            if block.code is Code.WORK_LIMIT:
                ahead = own.by_work.get(flow.key.work, 0)
            if block.code is Code.SHIFT_CAP:
                release_delay_s = self.ledger.release_delay_s(block.key) or 0.0
        if places <= 0.0 and not self._is_backlogged(flow, now):
            # Without own units only the rate of dispatches is known, and
            # that shows what was asked for until requests have to queue.
            return math.inf
        entry = self.catalogue.view.regions.get(region)
        part = 0.0
        if entry is not None and flow.rank:
            part = scheduler.part_of(entry["guaranteed"], flow.rank)
        return self.estimator.wait_s(
            domain=domain,
            rank=flow.rank,
            ahead=ahead,
            part=part,
            places=places,
            release_delay_s=release_delay_s,
            now=now,
        )

    def _is_backlogged(self, flow: queue.Flow, now: float) -> bool:
        head = flow.head()
        return head is not None and (now - head.since_s >= const.RATE_WINDOW_S)

    def _own_time(self, flow: queue.Flow) -> float:
        """Return the seconds before its deadline a request is needed by."""
        work = self.catalogue.view.works.get(flow.key.work)
        if work is None:
            return 0.0
        # A service time near the deadline must not refuse all that queues.
        bound_s = const.OWN_TIME_PART * work["deadline_s"]
        return min(bound_s, self.estimator.own_s(flow.key.work))

    def _want(self, flow: queue.Flow, now: float) -> None:
        if now - flow.wanted_at_s < const.WANT_INTERVAL_S:
            return
        head = flow.head()
        if head is None:
            return
        flow.wanted_at_s = now
        for region, block in flow.blocks.items():
            if block.code is Code.NO_BACKEND_SERVER:
                continue
            self.borrower.request_bundles(
                work=flow.key.work,
                region=region,
                home_region=flow.key.home_region,
                body_bytes=head.body_bytes,
                count=flow.count,
            )
            if block.code is Code.LINK_LIMIT and (
                block.needed > self.ledger.usable(block.key)
            ):
                self.borrower.request_units(key=block.key, needed=block.needed)

    def _start_tick(self) -> None:
        if self._tick is None:
            self._tick = self.timer.call_at(
                when_s=self.timer.monotonic() + const.TICK_S,
                callback=self._run_tick,
            )

    def _run_tick(self) -> None:
        self._tick = None
        now = self.timer.monotonic()
        for ranked in self.queues:
            for waiting in ranked.take_expired(now, self._own_time):
                late = waiting.request.deadline_at_s <= now
                self._fail(
                    waiting,
                    Code.DEADLINE_EXPIRED
                    if late
                    else Code.DEADLINE_UNREACHABLE,
                    now,
                )
            for flow in list(ranked.flows.values()):
                self._check_absence(flow, now)
        self._claim_link_bytes(now)
        self.wake()
        for ranked in self.queues:
            for flow in ranked.flows.values():
                self._want(flow, now)
            self.metrics.queued.set({"rank": ranked.rank.label}, ranked.count)
        if any(ranked.count for ranked in self.queues):
            self._start_tick()

    def _check_absence(self, flow: queue.Flow, now: float) -> None:
        """Act on units that come by loan only and did not come in time."""
        head = flow.head()
        if head is None or now - head.since_s < const.LOAN_WAIT_S:
            return
        home = flow.blocks.get(flow.key.home_region)
        if home is not None and home.code is Code.NO_SHARE:
            self.silent.add((flow.service, flow.key.home_region))
        if {block.code for block in flow.blocks.values()} <= _ABSENCES:
            regions = self.planner.regions_for(head.request)
            if set(flow.blocks) >= set(regions):
                self.queues[flow.rank].remove(head)
                self._fail(head, self._cause(flow), now)

    def _fail(
        self,
        waiting: queue.Waiting,
        code: result_codes.ResultCode,
        now: float,
    ) -> None:
        if not waiting.future.done():
            flow = waiting.flow
            refusal = self._refuse(flow, code, self._wait(flow, now))
            waiting.future.set_result(Failure(refusal))

    # Lending.

    def _spare(
        self,
        service: str,
        region: str,
        rank: core.Rank,
        request: peers_model.GrantRequest,
    ) -> int:
        """Return the bundles that own queued work leaves for a borrower."""
        key = limits.region_key(region)
        pool = _slot_pool(service, region)
        slots = self._slots_of(service, region)
        spare = min(
            self.ledger.free(key)
            - self._reserve(key, rank, self.ledger.usable),
            slots.free
            - self._reserve(
                pool, rank, lambda _: slots.usable, service=service
            ),
        )
        if request.home_region != region:
            key = limits.shift_key(region)
            reserve = self._reserve(key, rank, self.ledger.usable)
            spare = min(spare, self.ledger.free(key) - reserve)
        own = sum(
            flow.count
            for ranked in self.queues[: rank + 1]
            for flow in ranked.flows.values()
            if region in flow.blocks
            and flow.blocks[region].code is not Code.WORK_LIMIT
        )
        return math.ceil(max(0, spare - own) * (1 - const.LEND_KEEP_PART))

    def _lend_one(
        self,
        view: catalogue_view.CatalogueView,
        work: catalogue_model.WorkEntry,
        request: peers_model.GrantRequest,
        loan_id: str,
        number: int,
        duration_s: float,
    ) -> quota_model.Bundle | None:
        servers = self.planner.servers_for(
            service=work["backend_service"],
            region=request.region,
            excluded=frozenset(),
        )
        if not servers:
            return None
        bundle = limits.bundle_for(
            view=view,
            work=work,
            server=servers[0],
            host_region=request.host_region,
            home_region=request.home_region,
            body_bytes=request.body_bytes,
        )
        until_s = self.timer.monotonic() + duration_s
        if self.ledger.lend(
            bundle, loan_id=loan_id, bundle_number=number, until_s=until_s
        ):
            return bundle
        for key, amount in bundle.units:
            if key.startswith("link:") and self.ledger.usable(key) < amount:
                self.borrower.request_units(key=key, needed=amount)
        return None

    def _loan_id(self, borrower: str) -> str:
        number = next(self.loan_ids)
        return f"{self.host.incarnation}/{borrower}/{number}"

    def _loans_came(self) -> None:
        if self._returning:
            return
        self.loans_seen += 1
        self.wake()


def _slot_pool(service: str, region: str) -> str:
    return f"slots:{service}@{region}"


def _parts_of_key(
    view: catalogue_view.CatalogueView, key: str
) -> catalogue_model.GuaranteedParts | None:
    """Return the guaranteed parts of the region that a key belongs to."""
    kind, _, rest = key.partition(":")
    if kind == "slots":
        rest = rest.rpartition("@")[2]
    elif kind == "link":
        rest = rest.rpartition(">")[2]
    entry = view.regions.get(rest)
    return entry["guaranteed"] if entry else None
