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

# Codes that are reported even if a request is refused because the queue is
# full or its deadline cannot be met.
_SPECIFIC_CODES = frozenset(
    (
        Code.SHIFT_CAP,
        Code.LINK_LIMIT,
        Code.WORK_LIMIT,
        Code.NO_BACKEND_SERVER,
        Code.NO_SHARE,
    )
)
# Codes of a region that has no backend server or no share for this host.
_UNAVAILABLE_CODES = frozenset((Code.NO_BACKEND_SERVER, Code.NO_SHARE))


class ActivePermit(NamedTuple):
    """Record what a permit uses until it is finished."""

    rank: core.Rank
    service: str
    granted_at_s: float
    # Units by pool, freed with the permit or after the release delay of a key.
    units: tuple[quota_model.UnitAmount, ...]


class CatalogueRanks:
    """Index the ranks that the work entries of a catalogue view use."""

    def __init__(self, view: catalogue_view.CatalogueView) -> None:
        self.view = view
        self.configured: frozenset[core.Rank] = frozenset(
            work["work_class"].rank for work in view.works.values()
        )
        ranks_by_service: dict[str, set[core.Rank]] = {}
        for work in view.works.values():
            ranks = ranks_by_service.setdefault(work["backend_service"], set())
            ranks.add(work["work_class"].rank)
        self.by_service = {
            service: frozenset(ranks)
            for service, ranks in ranks_by_service.items()
        }


class AdmissionController:
    """Admit, queue or refuse each request, depending on free units."""

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
        self.credits = scheduler.CreditAccounts()
        self.estimator = estimate.WaitEstimator()
        self.active_permits: dict[
            tuple[model.PermitSource, int], ActivePermit
        ] = {}
        # Pairs of service and home region for which this host depends on loans
        # and received none in time.
        self.loan_timeouts: set[tuple[str, str]] = set()
        self.loan_ids = itertools.count(1)
        self.loan_arrivals = 0
        self._catalogue_ranks = CatalogueRanks(catalogue.view)
        self._slot_cache: dict[tuple[str, str], steering_model.SlotCount] = {}
        self._check_timer: timer_helper.Subscription | None = None
        self._dispatch_paused = False
        self._dispatch_pending = False
        self._returning_bundles = False
        # By link key: the flow that bytes are reserved for, and how many.
        self.link_reservations: dict[str, tuple[queue.Flow, int]] = {}
        ledger.on_free.append(self.dispatch_queued)
        borrower.on_free.append(self._on_loans_arrived)
        planner.health.on_usable.append(self.dispatch_queued)

    async def admit(
        self, request: core.CallerRequest, *, excluded: frozenset[str]
    ) -> Result[model.Permit, result_codes.Refusal]:
        """Return a permit once units for the request are available.

        Cancelling the task removes the request from its queue. Fails with
        the code of the most specific cause; nothing has been sent then.
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
        rank_queue = self.queues[request.rank]
        key = queue.FlowKey(
            request.work,
            request.home_region,
            len(request.body).bit_length() // 2,
            excluded,
        )
        flow = rank_queue.flows.get(key)
        if flow is None:
            flow = queue.Flow(
                key=key, rank=request.rank, service=work["backend_service"]
            )
            self._slot_cache.clear()
            permit = self._place(flow, request, now, now)
            if permit is not None:
                return Success(permit)
        # A flow with queued requests was attempted when units last became
        # free, so a request that joins it cannot be placed now either.
        refusal = self._refusal_on_arrival(flow, request, now)
        if refusal is not None:
            return Failure(refusal)
        future: asyncio.Future[queue.AdmissionResult] = (
            asyncio.get_running_loop().create_future()
        )
        queued_request = rank_queue.push(
            flow, request=request, future=future, now=now
        )
        self._schedule_check()
        self._request_loans(flow, now)
        try:
            return await future
        except asyncio.CancelledError:
            rank_queue.remove(queued_request)
            if future.done() and not future.cancelled():
                self._release_unused(future.result(), request)
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

        Pass 0 answer bytes if the request was certainly not sent. Without
        traffic, all bytes reserved for the request count as sent.
        """
        active = self.active_permits.pop((permit.source, permit.hold_id), None)
        if active is None:
            return
        now = self.timer.monotonic()
        orphaned = ended is model.PermitEnd.ORPHANED
        ends_at_s = now
        if orphaned:
            ends_at_s = request.deadline_at_s + shared_const.ORPHAN_MARGIN_S
        elif answer_bytes:
            self.estimator.observe_service_time(
                active.service, request.work, now - active.granted_at_s
            )
        self._dispatch_paused = True
        try:
            if permit.source is model.PermitSource.LOAN:
                self.borrower.end(
                    permit, ended=ended, deadline_at_s=request.deadline_at_s
                )
            else:
                own_region = self.host.zone.region
                answer_link = limits.link_key(permit.bundle.region, own_region)
                link_bytes = {answer_link: answer_bytes}
                if traffic is not None:
                    request_link = limits.link_key(
                        own_region, permit.bundle.region
                    )
                    link_bytes[request_link] = traffic.sent_bytes
                    link_bytes[answer_link] = traffic.received_bytes
                self._release(permit, active, ends_at_s, orphaned, link_bytes)
        finally:
            self._dispatch_paused = False
        if self._dispatch_pending or permit.source is model.PermitSource.LOAN:
            self.dispatch_queued()

    def refusal_for(
        self,
        *,
        work: str,
        home_region: str,
        deadline_at_s: float,
        body_bytes: int,
    ) -> result_codes.Refusal | None:
        """Return a refusal if one is certain before the body is read."""
        entry = self.catalogue.view.works.get(work)
        if entry is None:
            return None
        rank_queue = self.queues[entry["work_class"].rank]
        key = queue.FlowKey(
            work, home_region, body_bytes.bit_length() // 2, frozenset()
        )
        flow = rank_queue.flows.get(key)
        if flow is None:
            return None
        now = self.timer.monotonic()
        return self._bounds_refusal(flow, body_bytes, deadline_at_s, now)

    def dispatch_queued(self) -> None:
        """Dispatch queued requests for which units have become free."""
        if self._dispatch_paused:
            self._dispatch_pending = True
            return
        self._dispatch_paused = True
        try:
            self._dispatch_pending = True
            while self._dispatch_pending:
                self._dispatch_pending = False
                self._slot_cache.clear()
                self._dispatch_all()
        finally:
            self._dispatch_paused = False

    def grant(
        self, request: peers_model.GrantRequest, *, borrower: str
    ) -> peers_model.Grant:
        """Lend bundles that this host's own queued requests do not need."""
        loan_id = self._loan_id(borrower)
        view = self.catalogue.view
        work = view.works.get(request.work)
        bundles: list[quota_model.Bundle] = []
        duration_s = quota_const.LOAN_S
        if work is not None:
            self._slot_cache.clear()
            service = work["backend_service"]
            rank = work["work_class"].rank
            spare = self._spare_bundles(service, request.region, rank, request)
            bundle_count = min(
                request.bundles_wanted, spare, const.LEND_MAX_BUNDLES
            )
            for bundle_number in range(1, bundle_count + 1):
                bundle = self._lend_bundle(
                    view, work, request, loan_id, bundle_number, duration_s
                )
                if bundle is None and bundle_number == 1:
                    # The units may be borrowed themselves and expire sooner.
                    duration_s /= 2.0
                    bundle = self._lend_bundle(
                        view, work, request, loan_id, bundle_number, duration_s
                    )
                if bundle is None:
                    break
                bundles.append(bundle)
        return peers_model.Grant(loan_id, tuple(bundles), duration_s)

    def grant_units(
        self, request: peers_model.UnitRequest, *, borrower: str
    ) -> peers_model.UnitGrant:
        """Lend plain units beyond the guaranteed fractions."""
        loan_id = self._loan_id(borrower)
        units: list[quota_model.UnitAmount] = []
        for key, amount in request.units:
            reserve = self._reserved_units(
                key, core.Rank.EXPORT, self.ledger.usable
            )
            spare = max(0, self.ledger.free(key) - reserve)
            # LEND_KEEP_FRACTION does not apply, since only a host that needs
            # more than its own share sends this request.
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
        """Return the number of queued requests, indexed by Rank value."""
        urgent, interactive, export = (
            rank_queue.count for rank_queue in self.queues
        )
        return urgent, interactive, export

    def wait_s(self, rank: core.Rank) -> float:
        """Return the expected wait of a new request, in seconds.

        Flows blocked by the limit of their work entry are left out, since
        other work of the rank does not wait for them. So are flows of callers
        from other regions: they wait for loans, and look-ups near this host
        must not be refused because of them.
        """
        now = self.timer.monotonic()
        longest_s = 0.0
        for flow in self.queues[rank].flows.values():
            if flow.key.home_region != self.host.zone.region:
                continue
            if self._shortage_code(flow) is Code.WORK_LIMIT:
                continue
            wait_s = self._flow_wait_s(flow, now)
            if math.isfinite(wait_s):
                longest_s = max(longest_s, wait_s)
        return longest_s

    def headroom(self) -> tuple[peers_model.RegionHeadroom, ...]:
        """Return free and total own units, by service and region."""
        self._slot_cache.clear()
        headrooms: list[peers_model.RegionHeadroom] = []
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
                headrooms.append(
                    peers_model.RegionHeadroom(
                        region=region,
                        service=service,
                        free=min(free, slots.free),
                        held=min(usable, slots.usable),
                    )
                )
        return tuple(headrooms)

    # Placing a request.

    def _place(
        self,
        flow: queue.Flow,
        request: core.CallerRequest,
        queued_at_s: float,
        now: float,
        *,
        uses_credit: bool = False,
    ) -> model.Permit | None:
        home = request.home_region
        work = self.catalogue.view.works.get(request.work)
        if work is None:
            return None
        regions = self.planner.regions_for_request(request)
        flow.shortages = {
            region: shortage
            for region, shortage in flow.shortages.items()
            if region in regions
        }
        has_new_loans = flow.loan_arrivals != self.loan_arrivals
        permit = None
        for region in regions:
            if region != home and not self._may_leave_home(
                flow, queued_at_s, now
            ):
                break
            permit = self._place_own(
                flow, work, request, region, now, uses_credit
            )
            if permit is None and has_new_loans:
                permit = self._place_borrowed(flow, request, region, now)
            if permit is not None:
                self._count_dispatch(flow, region, now)
                break
        else:
            # All regions were attempted: no borrowed bundle fits until new
            # ones arrive.
            flow.loan_arrivals = self.loan_arrivals
        return permit

    def _place_own(
        self,
        flow: queue.Flow,
        work: catalogue_model.WorkEntry,
        request: core.CallerRequest,
        region: str,
        now: float,
        uses_credit: bool,
    ) -> model.Permit | None:
        rank = (
            self._rank_for_reserve(flow, region) if uses_credit else flow.rank
        )
        known_shortage = flow.shortages.get(region)
        if (
            known_shortage is not None
            and rank is flow.rank
            and self._is_still_short(known_shortage, flow, region)
        ):
            return None
        shortage = self._find_shortage(flow, work, request, region, rank)
        if shortage is None:
            held = self._try_hold(flow, work, request, region, rank, now)
            if isinstance(held, model.Permit):
                flow.shortages.pop(region, None)
                return held
            shortage = held
        flow.shortages[region] = shortage
        return None

    def _find_shortage(
        self,
        flow: queue.Flow,
        work: catalogue_model.WorkEntry,
        request: core.CallerRequest,
        region: str,
        rank: core.Rank,
    ) -> queue.Shortage | None:
        """Return the first shortage among keys that are cheap to check."""
        ledger = self.ledger
        key = limits.region_key(region)
        service = flow.service
        if not self.planner.has_servers(service=service, region=region):
            return queue.Shortage(Code.NO_BACKEND_SERVER, "", 0)
        if not ledger.usable(key):
            return queue.Shortage(Code.NO_SHARE, key, 1)
        needed = 1 + self._reserved_units(key, rank, ledger.usable)
        if ledger.free(key) < needed:
            return queue.Shortage(Code.REGION_LIMIT, key, needed)
        key = limits.work_key(work["name"], region)
        if ledger.free(key) < 1:
            return queue.Shortage(Code.WORK_LIMIT, key, 1)
        if region != request.home_region:
            key = limits.shift_key(region)
            needed = 1 + self._reserved_units(key, rank, ledger.usable)
            if ledger.free(key) < needed:
                return queue.Shortage(Code.SHIFT_CAP, key, needed)
        slots = self._slots_of(service, region)
        pool = _slot_pool(service, region)
        needed = 1 + self._reserved_units(
            pool, rank, lambda _: slots.usable, service=service
        )
        if slots.free < needed:
            return queue.Shortage(Code.OVERLOADED, pool, needed)
        return None

    def _try_hold(
        self,
        flow: queue.Flow,
        work: catalogue_model.WorkEntry,
        request: core.CallerRequest,
        region: str,
        rank: core.Rank,
        now: float,
    ) -> model.Permit | queue.Shortage:
        servers = self.planner.servers_for(
            service=flow.service, region=region, excluded=flow.key.excluded
        )
        if not servers:
            return self._no_server_shortage(flow, region)
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
            needed = amount + self._reserved_units(
                key, rank, self.ledger.usable
            )
            if self.ledger.free(key) < needed:
                return queue.Shortage(Code.LINK_LIMIT, key, needed)
        held = self.ledger.try_hold(bundle)
        if not isinstance(held, Success):
            # Not expected: each key was free in the same event loop step.
            return queue.Shortage(Code.OVERLOADED, held.failure(), 1)
        permit = model.Permit(held.unwrap(), bundle, model.PermitSource.OWN)
        self._slot_cache.pop((flow.service, region), None)
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
        self._record_permit(permit, flow, now, tuple(pools))
        return permit

    def _no_server_shortage(
        self, flow: queue.Flow, region: str
    ) -> queue.Shortage:
        """Return why free slots cannot be used.

        The shortage names no key, so that each dispatch checks it again.
        """
        servers = self.catalogue.view.servers_in(
            service=flow.service, region=region
        )
        if any(
            self.planner.health.is_usable(server.name)
            and server.name not in flow.key.excluded
            for server in servers
        ):
            # Servers with free slots are in slow start or excluded.
            return queue.Shortage(Code.OVERLOADED, "", 0)
        return queue.Shortage(Code.NO_BACKEND_SERVER, "", 0)

    def _place_borrowed(
        self,
        flow: queue.Flow,
        request: core.CallerRequest,
        region: str,
        now: float,
    ) -> model.Permit | None:
        rejected: list[model.Permit] = []
        while True:
            permit = self.borrower.try_acquire(
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
        # The lender may not know yet that these servers are leaving. Permits
        # are ended only after the loop, since try_acquire() would return their
        # bundles again.
        self._returning_bundles = True
        for rejected_permit in rejected:
            self.borrower.end(
                rejected_permit,
                ended=model.PermitEnd.COMPLETE,
                deadline_at_s=request.deadline_at_s,
            )
        self._returning_bundles = False
        if permit is None:
            return None
        self.loan_timeouts.discard((flow.service, request.home_region))
        self._record_permit(permit, flow, now, ())
        return permit

    def _record_permit(
        self,
        permit: model.Permit,
        flow: queue.Flow,
        now: float,
        units: tuple[quota_model.UnitAmount, ...],
    ) -> None:
        self.active_permits[(permit.source, permit.hold_id)] = ActivePermit(
            flow.rank, flow.service, now, units
        )

    def _release(
        self,
        permit: model.Permit,
        active: ActivePermit,
        ends_at_s: float,
        orphaned: bool,
        link_bytes: Mapping[str, int],
    ) -> None:
        for key, reserved in active.units:
            amount = reserved
            if key in link_bytes and not orphaned:
                amount = min(reserved, link_bytes[key])
                self.ledger.shrink(permit.hold_id, key, amount)
                self.usage.add(key, active.rank, amount - reserved)
            release_delay_s = self.ledger.release_delay_s(key) or 0.0
            if orphaned or release_delay_s:
                self.usage.end_at(
                    key, active.rank, amount, ends_at_s + release_delay_s
                )
            else:
                self.usage.add(key, active.rank, -amount)
        self.ledger.release_at(permit.hold_id, ends_at_s)

    def _release_unused(
        self, result: queue.AdmissionResult, request: core.CallerRequest
    ) -> None:
        """End a permit whose request was cancelled before it was sent."""
        if isinstance(result, Success):
            self.finish(
                result.unwrap(),
                ended=model.PermitEnd.COMPLETE,
                request=request,
                answer_bytes=0,
            )

    def _may_leave_home(
        self, flow: queue.Flow, queued_at_s: float, now: float
    ) -> bool:
        """Return whether other regions may serve the request now."""
        home = flow.key.home_region
        shortage = flow.shortages.get(home)
        if shortage is None or shortage.code is Code.NO_BACKEND_SERVER:
            return True
        if shortage.code is Code.NO_SHARE:
            return (flow.service, home) in self.loan_timeouts
        if now - queued_at_s > const.SPILLOVER_WAIT_S:
            return True
        return self._flow_wait_s(flow, now) > const.SPILLOVER_WAIT_S

    def _is_still_short(
        self, shortage: queue.Shortage, flow: queue.Flow, region: str
    ) -> bool:
        if not shortage.key:
            return False
        if shortage.code is Code.OVERLOADED:
            return self._slots_of(flow.service, region).free < shortage.needed
        return self.ledger.free(shortage.key) < shortage.needed

    def _slots_of(self, service: str, region: str) -> steering_model.SlotCount:
        key = (service, region)
        slots = self._slot_cache.get(key)
        if slots is None:
            slots = self.planner.slots(service=service, region=region)
            self._slot_cache[key] = slots
        return slots

    # Ranks.

    def _reserved_units(
        self,
        key: str,
        rank: core.Rank,
        usable: Callable[[str], int],
        *,
        service: str | None = None,
    ) -> int:
        if rank is core.Rank.URGENT:
            return 0
        ranks = self._current_ranks()
        fractions = _guaranteed_fractions_of(ranks.view, key)
        if fractions is None:
            return 0
        configured = ranks.configured
        if service is not None:
            configured = ranks.by_service.get(service, frozenset())
        return scheduler.reserved_for_more_urgent(
            rank=rank,
            usable=usable(key),
            used=self.usage.used(key, self.timer.monotonic()),
            fractions=fractions,
            configured=configured,
        )

    def _rank_for_reserve(self, flow: queue.Flow, region: str) -> core.Rank:
        """Return the rank whose reserves apply to a dispatch by credit.

        The unit would otherwise go to the most urgent rank that waits for
        it, which need not leave units free for less urgent ranks.
        """
        for rank_queue in self.queues[: flow.rank]:
            for other in rank_queue.flows.values():
                shortage = other.shortages.get(region)
                if (
                    shortage is not None
                    and shortage.code is not Code.WORK_LIMIT
                ):
                    return rank_queue.rank
        return flow.rank

    def _reserved_link_bytes(self, key: str, flow: queue.Flow) -> int:
        reservation = self.link_reservations.get(key)
        if (
            reservation is None
            or reservation[0] is flow
            or reservation[0].rank > flow.rank
        ):
            return 0
        return reservation[1]

    def _reserve_link_bytes(self, now: float) -> None:
        """Record reservations of link bytes for requests that need many.

        Without a reservation, requests with small bodies and answers would
        take the bytes as they become free, and a large one would never be
        dispatched.
        """
        self.link_reservations.clear()
        for rank_queue in self.queues:
            for flow in rank_queue.flows.values():
                head = flow.head()
                if (
                    head is None
                    or now - head.queued_at_s < const.LINK_RESERVATION_AFTER_S
                ):
                    continue
                for shortage in flow.shortages.values():
                    if shortage.code is Code.LINK_LIMIT and (
                        self.ledger.usable(shortage.key) >= shortage.needed
                    ):
                        self.link_reservations.setdefault(
                            shortage.key, (flow, shortage.needed)
                        )

    def _current_ranks(self) -> CatalogueRanks:
        if self._catalogue_ranks.view is not self.catalogue.view:
            self._catalogue_ranks = CatalogueRanks(self.catalogue.view)
        return self._catalogue_ranks

    def _count_dispatch(
        self, flow: queue.Flow, region: str, now: float
    ) -> None:
        service_region = (flow.service, flow.key.home_region)
        self.estimator.count_dispatch(service_region, flow.rank, now)
        if self.link_reservations:
            self.link_reservations = {
                key: reservation
                for key, reservation in self.link_reservations.items()
                if reservation[0] is not flow
            }
        entry = self.catalogue.view.regions.get(region)
        if entry is None:
            return
        pools = (limits.region_key(region), _slot_pool(flow.service, region))
        self.credits.spend(pools, flow.rank)
        # Ranks earn credit at their own dispatches too, since the guaranteed
        # fraction is one of all dispatches.
        for rank_queue in self.queues[core.Rank.INTERACTIVE :]:
            guaranteed_fraction = scheduler.guaranteed_fraction(
                entry["guaranteed"], rank_queue.rank
            )
            waiting_flows = [
                other
                for other in rank_queue.flows.values()
                if other is flow or region in other.shortages
            ]
            if waiting_flows:
                self.credits.earn(
                    pools[0], rank_queue.rank, guaranteed_fraction
                )
            if any(other.service == flow.service for other in waiting_flows):
                self.credits.earn(
                    pools[1], rank_queue.rank, guaranteed_fraction
                )

    def _dispatch_all(self) -> None:
        while self._dispatch_one(self.timer.monotonic()):
            pass

    def _dispatch_one(self, now: float) -> bool:
        for flow, uses_credit in self._flows_in_order():
            head = flow.head()
            while head is not None and head.future.done():
                # The waiting task was cancelled and has not run since.
                self.queues[flow.rank].remove(head)
                head = flow.head()
            if head is None or (
                head.request.deadline_at_s
                <= now + self._service_margin_s(flow)
            ):
                # A server could not answer in time; the periodic check
                # refuses the request.
                continue
            permit = self._place(
                flow,
                head.request,
                head.queued_at_s,
                now,
                uses_credit=uses_credit,
            )
            if permit is None:
                continue
            rank_queue = self.queues[flow.rank]
            rank_queue.remove(head)
            if not rank_queue.count:
                self.credits.reset(flow.rank)
            head.future.set_result(Success(permit))
            return True
        return False

    def _flows_in_order(self) -> Iterable[tuple[queue.Flow, bool]]:
        """Return flows whose rank has a full credit, then all by rank."""
        with_credit: list[tuple[float, int, queue.Flow]] = []
        all_flows: list[tuple[float, int, queue.Flow]] = []
        for rank_queue in self.queues:
            for flow in rank_queue.flows.values():
                head = flow.head()
                if head is None:
                    continue
                item = (head.request.deadline_at_s, len(all_flows), flow)
                all_flows.append(item)
                if rank_queue.rank and self._has_credit(flow):
                    with_credit.append(item)
        with_credit.sort()
        all_flows.sort(key=lambda item: (item[2].rank, item[0], item[1]))
        return [
            *((flow, True) for _, _, flow in with_credit),
            *((flow, False) for _, _, flow in all_flows),
        ]

    def _has_credit(self, flow: queue.Flow) -> bool:
        return any(
            self.credits.has_credit(
                (limits.region_key(region), _slot_pool(flow.service, region)),
                flow.rank,
            )
            for region in flow.shortages
        )

    # Refusals and expected waits.

    def _refusal_on_arrival(
        self, flow: queue.Flow, request: core.CallerRequest, now: float
    ) -> result_codes.Refusal | None:
        codes = {shortage.code for shortage in flow.shortages.values()}
        if codes <= {Code.NO_BACKEND_SERVER}:
            return self._make_refusal(flow, Code.NO_BACKEND_SERVER, math.inf)
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
        rank_queue = self.queues[flow.rank]
        wait_s = self._flow_wait_s(flow, now)
        if rank_queue.is_full(work=flow.key.work, body_bytes=body_bytes):
            return self._make_refusal(flow, Code.OVERLOADED, wait_s)
        remaining_s = deadline_at_s - now - self._service_margin_s(flow)
        # Not refused if the wait is unknown or nothing of the flow is queued.
        if flow.count and math.isfinite(wait_s) and wait_s > remaining_s:
            return self._make_refusal(flow, Code.DEADLINE_UNREACHABLE, wait_s)
        return None

    def _make_refusal(
        self, flow: queue.Flow, code: result_codes.ResultCode, wait_s: float
    ) -> result_codes.Refusal:
        shortage_code = self._shortage_code(flow)
        if shortage_code in _SPECIFIC_CODES or (
            shortage_code is Code.REGION_LIMIT and code is Code.OVERLOADED
        ):
            code = shortage_code
        if not math.isfinite(wait_s) or wait_s <= 0.0:
            wait_s = const.RETRY_AFTER_UNKNOWN_S
        return result_codes.Refusal(
            code,
            f"{flow.rank.label} work {flow.key.work!r} has no free capacity:"
            f" {shortage_code.name.lower()}, {flow.count} queued",
            wait_s,
        )

    def _shortage_code(self, flow: queue.Flow) -> result_codes.ResultCode:
        """Return the code of the shortage in the region nearest to home.

        Regions without a server or share are considered only if no other
        region could serve.
        """
        codes = [shortage.code for shortage in flow.shortages.values()]
        for code in codes:
            if code not in _UNAVAILABLE_CODES:
                return code
        if Code.NO_SHARE in codes:
            return Code.NO_SHARE
        return Code.NO_BACKEND_SERVER

    def _flow_wait_s(self, flow: queue.Flow, now: float) -> float:
        service_region = (flow.service, flow.key.home_region)
        region, shortage = next(
            (
                (region, shortage)
                for region, shortage in flow.shortages.items()
                if shortage.code not in _UNAVAILABLE_CODES
            ),
            (flow.key.home_region, None),
        )
        rank_queue = self.queues[flow.rank]
        queued_ahead = rank_queue.by_service_region.get(service_region, 0)
        concurrency = 0.0
        release_delay_s = 0.0
        if shortage is None:
            pass
        elif shortage.code is Code.OVERLOADED:
            concurrency = float(self._slots_of(flow.service, region).usable)
        elif shortage.code is Code.LINK_LIMIT:
            concurrency = self.ledger.usable(shortage.key) / max(
                1, shortage.needed
            )
            release_delay_s = quota_const.LINK_RELEASE_DELAY_S
        else:
            concurrency = float(self.ledger.usable(shortage.key))
            if shortage.code is Code.WORK_LIMIT:
                queued_ahead = rank_queue.by_work.get(flow.key.work, 0)
            if shortage.code is Code.SHIFT_CAP:
                release_delay_s = (
                    self.ledger.release_delay_s(shortage.key) or 0.0
                )
        if concurrency <= 0.0 and not self._is_backlogged(flow, now):
            # Without own units only the dispatch rate is known. It reflects
            # the demand, not the capacity, until requests have to queue.
            return math.inf
        entry = self.catalogue.view.regions.get(region)
        guaranteed_fraction = 0.0
        if entry is not None and flow.rank:
            guaranteed_fraction = scheduler.guaranteed_fraction(
                entry["guaranteed"], flow.rank
            )
        return self.estimator.wait_s(
            service_region=service_region,
            rank=flow.rank,
            queued_ahead=queued_ahead,
            guaranteed_fraction=guaranteed_fraction,
            concurrency=concurrency,
            release_delay_s=release_delay_s,
            now=now,
        )

    def _is_backlogged(self, flow: queue.Flow, now: float) -> bool:
        head = flow.head()
        return head is not None and (
            now - head.queued_at_s >= const.RATE_WINDOW_S
        )

    def _service_margin_s(self, flow: queue.Flow) -> float:
        """Return how many seconds before its deadline to send a request."""
        work = self.catalogue.view.works.get(flow.key.work)
        if work is None:
            return 0.0
        # Service times near the deadline must not refuse all queued requests.
        max_s = const.SERVICE_MARGIN_MAX_FRACTION * work["deadline_s"]
        return min(max_s, self.estimator.high_service_time_s(flow.key.work))

    def _request_loans(self, flow: queue.Flow, now: float) -> None:
        if now - flow.loans_requested_at_s < const.LOAN_REQUEST_INTERVAL_S:
            return
        head = flow.head()
        if head is None:
            return
        flow.loans_requested_at_s = now
        for region, shortage in flow.shortages.items():
            if shortage.code is Code.NO_BACKEND_SERVER:
                continue
            self.borrower.request_bundles(
                work=flow.key.work,
                region=region,
                home_region=flow.key.home_region,
                body_bytes=head.body_bytes,
                count=flow.count,
            )
            if shortage.code is Code.LINK_LIMIT and (
                shortage.needed > self.ledger.usable(shortage.key)
            ):
                self.borrower.request_units(
                    key=shortage.key, needed=shortage.needed
                )

    def _schedule_check(self) -> None:
        if self._check_timer is None:
            self._check_timer = self.timer.call_at(
                when_s=self.timer.monotonic() + const.QUEUE_CHECK_INTERVAL_S,
                callback=self._run_check,
            )

    def _run_check(self) -> None:
        self._check_timer = None
        now = self.timer.monotonic()
        for rank_queue in self.queues:
            for queued_request in rank_queue.take_expired(
                now, self._service_margin_s
            ):
                late = queued_request.request.deadline_at_s <= now
                self._refuse_queued(
                    queued_request,
                    Code.DEADLINE_EXPIRED
                    if late
                    else Code.DEADLINE_UNREACHABLE,
                    now,
                )
            for flow in list(rank_queue.flows.values()):
                self._check_loan_timeout(flow, now)
        self._reserve_link_bytes(now)
        self.dispatch_queued()
        for rank_queue in self.queues:
            for flow in rank_queue.flows.values():
                self._request_loans(flow, now)
            self.metrics.queued.set(
                {"rank": rank_queue.rank.label}, rank_queue.count
            )
        if any(rank_queue.count for rank_queue in self.queues):
            self._schedule_check()

    def _check_loan_timeout(self, flow: queue.Flow, now: float) -> None:
        """Handle a flow that depends on loans and received none in time."""
        head = flow.head()
        if head is None or now - head.queued_at_s < const.LOAN_TIMEOUT_S:
            return
        home_shortage = flow.shortages.get(flow.key.home_region)
        if home_shortage is not None and home_shortage.code is Code.NO_SHARE:
            self.loan_timeouts.add((flow.service, flow.key.home_region))
        if {
            shortage.code for shortage in flow.shortages.values()
        } <= _UNAVAILABLE_CODES:
            regions = self.planner.regions_for_request(head.request)
            if set(flow.shortages) >= set(regions):
                self.queues[flow.rank].remove(head)
                self._refuse_queued(head, self._shortage_code(flow), now)

    def _refuse_queued(
        self,
        queued_request: queue.QueuedRequest,
        code: result_codes.ResultCode,
        now: float,
    ) -> None:
        if not queued_request.future.done():
            flow = queued_request.flow
            refusal = self._make_refusal(
                flow, code, self._flow_wait_s(flow, now)
            )
            queued_request.future.set_result(Failure(refusal))

    # Lending.

    def _spare_bundles(
        self,
        service: str,
        region: str,
        rank: core.Rank,
        request: peers_model.GrantRequest,
    ) -> int:
        """Return how many bundles this host's queued requests leave free."""
        key = limits.region_key(region)
        pool = _slot_pool(service, region)
        slots = self._slots_of(service, region)
        spare = min(
            self.ledger.free(key)
            - self._reserved_units(key, rank, self.ledger.usable),
            slots.free
            - self._reserved_units(
                pool, rank, lambda _: slots.usable, service=service
            ),
        )
        if request.home_region != region:
            key = limits.shift_key(region)
            reserve = self._reserved_units(key, rank, self.ledger.usable)
            spare = min(spare, self.ledger.free(key) - reserve)
        own_queued = sum(
            flow.count
            for rank_queue in self.queues[: rank + 1]
            for flow in rank_queue.flows.values()
            if region in flow.shortages
            and flow.shortages[region].code is not Code.WORK_LIMIT
        )
        return math.ceil(
            max(0, spare - own_queued) * (1 - const.LEND_KEEP_FRACTION)
        )

    def _lend_bundle(
        self,
        view: catalogue_view.CatalogueView,
        work: catalogue_model.WorkEntry,
        request: peers_model.GrantRequest,
        loan_id: str,
        bundle_number: int,
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
            bundle,
            loan_id=loan_id,
            bundle_number=bundle_number,
            until_s=until_s,
        ):
            return bundle
        for key, amount in bundle.units:
            if key.startswith("link:") and self.ledger.usable(key) < amount:
                self.borrower.request_units(key=key, needed=amount)
        return None

    def _loan_id(self, borrower: str) -> str:
        number = next(self.loan_ids)
        return f"{self.host.incarnation}/{borrower}/{number}"

    def _on_loans_arrived(self) -> None:
        if self._returning_bundles:
            return
        self.loan_arrivals += 1
        self.dispatch_queued()


def _slot_pool(service: str, region: str) -> str:
    return f"slots:{service}@{region}"


def _guaranteed_fractions_of(
    view: catalogue_view.CatalogueView, key: str
) -> catalogue_model.GuaranteedFractions | None:
    """Return the guaranteed fractions in the region of a pool.

    The region of a link is the one that its bytes are sent to.
    """
    kind, _, region = key.partition(":")
    if kind == "slots":
        region = region.rpartition("@")[2]
    elif kind == "link":
        region = region.rpartition(">")[2]
    entry = view.regions.get(region)
    return entry["guaranteed"] if entry else None
