"""Borrow quota units from other entry hosts."""

import asyncio
from collections.abc import Callable
import itertools
import logging
import math
import random
from typing import NamedTuple

from samphirelug.components.admission import model as admission_model
from samphirelug.components.peers import mesh as peers_mesh
from samphirelug.components.peers import model as peers_model
from samphirelug.components.quota import const
from samphirelug.components.quota import ledger as quota_ledger
from samphirelug.components.quota import model
from samphirelug import const as shared_const
from samphirelug import core
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)

# A reply after this time leaves too little of the loan to be useful.
GRANT_TIMEOUT_S = const.LOAN_S / 2
MAX_LENDERS_ASKED = 3
# Headroom is reported with each heartbeat, so a lender that had no free units
# is asked again after the next one.
REFUSED_BACKOFF_S = shared_const.HEARTBEAT_INTERVAL_S
# More units are requested than are missing, since the reserves for more urgent
# ranks grow with the usable units.
UNIT_REQUEST_FACTOR = 1.25
# Borrowed plain units are checked at this interval and returned if they have
# not been requested for UNIT_IDLE_S. That is longer than REFUSED_BACKOFF_S,
# after which a peer that was refused a bundle for lack of them asks again.
UNIT_CHECK_S = 0.25
UNIT_IDLE_S = 2 * REFUSED_BACKOFF_S
# The lender reclaims plain units after this time if they are not returned.
MAX_UNIT_LOAN_S = (
    const.LOAN_S + const.REQUEST_HOLD_S + const.LINK_RELEASE_DELAY_S
)
# An unused bundle is returned after this time, so that its lender can use it.
BUNDLE_IDLE_S = 0.1


class LoanScope(NamedTuple):
    """Identify the requests that a borrowed bundle can serve."""

    work: str
    region: str
    # Whether the home region of the request is another region.
    shifted: bool


class BorrowedBundle(NamedTuple):
    """Represent one borrowed bundle."""

    scope: LoanScope
    lender: str
    loan_id: str
    number: int
    bundle: model.Bundle
    # End of the time for dispatches, on this host's clock.
    until_s: float
    # Largest body that the bundle's link units cover.
    max_body_bytes: float
    reusable: bool


class UnitLoan(NamedTuple):
    """Represent plain units that a peer has lent."""

    key: str
    lender: str
    grant: peers_model.UnitGrant
    sent_at_s: float


class Borrower:
    """Borrow bundles and plain units from peers and return them.

    The callbacks in on_free are called when borrowed units become usable.
    """

    def __init__(
        self,
        *,
        ledger: quota_ledger.QuotaLedger,
        mesh: peers_mesh.PeerMesh,
        timer: timer_helper.TimerService,
        host: core.EntryHost,
    ) -> None:
        self.ledger = ledger
        self.mesh = mesh
        self.timer = timer
        self.host = host
        self.on_free: list[Callable[[], None]] = []
        # Unused bundles, each with the timer that returns it.
        self._idle: dict[
            LoanScope, dict[BorrowedBundle, timer_helper.Subscription]
        ] = {}
        self._in_use: dict[int, BorrowedBundle] = {}
        self._requests: dict[LoanScope, asyncio.Task[None]] = {}
        self._backoff: dict[tuple[str, LoanScope], float] = {}
        self._unit_loans: list[UnitLoan] = []
        self._unit_tasks: dict[str, asyncio.Task[None]] = {}
        self._unit_backoff: dict[str, float] = {}
        self._unit_requested_at_s: dict[str, float] = {}
        self._unit_check_timer: timer_helper.Subscription | None = None
        # Seeded by incarnation, so that two hosts that each received part of
        # the units that both need retry at different times.
        self._rng = random.Random(host.incarnation)
        # Negative, to differ from the ledger's hold ids.
        self._hold_ids = itertools.count(-1, -1)

    @property
    def borrowed(self) -> dict[str, int]:
        """Return the units of borrowed bundles by key, in use or idle."""
        units: dict[str, int] = {}
        idle = (
            bundle for bundles in self._idle.values() for bundle in bundles
        )
        for borrowed in (*self._in_use.values(), *idle):
            for unit in borrowed.bundle.units:
                units[unit.key] = units.get(unit.key, 0) + unit.amount
        return units

    def request_bundles(
        self,
        *,
        work: str,
        region: str,
        home_region: str,
        body_bytes: int,
        count: int,
    ) -> None:
        """Ask peers for bundles unless such a request is in progress."""
        scope = LoanScope(work, region, home_region != region)
        if scope in self._requests:
            return
        request = peers_model.GrantRequest(
            work=work,
            region=region,
            bundles_wanted=count,
            host_region=self.host.zone.region,
            home_region=home_region,
            body_bytes=body_bytes,
        )
        task = asyncio.get_running_loop().create_task(
            self._request_from_lenders(scope, request)
        )
        self._requests[scope] = task
        task.add_done_callback(lambda _: self._requests.pop(scope, None))

    def try_acquire(
        self, *, work: str, region: str, home_region: str, body_bytes: int
    ) -> admission_model.Permit | None:
        """Return a permit to dispatch now, or None if no bundle fits."""
        scope = LoanScope(work, region, home_region != region)
        idle = self._idle.get(scope, {})
        now = self.timer.monotonic()
        for borrowed, timeout in idle.items():
            # Not left to the timer alone, since a paused process runs its
            # timers late.
            if now >= borrowed.until_s or body_bytes > borrowed.max_body_bytes:
                continue
            del idle[borrowed]
            timeout.cancel()
            hold_id = next(self._hold_ids)
            self._in_use[hold_id] = borrowed
            return admission_model.Permit(
                hold_id, borrowed.bundle, admission_model.PermitSource.LOAN
            )
        return None

    def end(
        self,
        permit: admission_model.Permit,
        *,
        ended: admission_model.PermitEnd,
        deadline_at_s: float,
    ) -> None:
        """End a permit and keep its bundle for reuse, or return it.

        Units of an orphaned request are returned after its deadline. Has no
        effect on a permit that has ended.
        """
        borrowed = self._in_use.pop(permit.hold_id, None)
        if borrowed is None:
            return
        if ended is admission_model.PermitEnd.ORPHANED:
            self.timer.call_at(
                when_s=deadline_at_s + shared_const.ORPHAN_MARGIN_S,
                callback=lambda: self._return_bundle(borrowed),
            )
        elif borrowed.reusable and self.timer.monotonic() < borrowed.until_s:
            self._keep_idle(borrowed)
            self._notify()
        else:
            self._return_bundle(borrowed)

    def request_units(self, *, key: str, needed: int) -> None:
        """Ask peers for plain units until the needed number is free here."""
        now = self.timer.monotonic()
        self._unit_requested_at_s[key] = now
        if key in self._unit_tasks or now < self._unit_backoff.get(key, 0.0):
            return
        task = asyncio.get_running_loop().create_task(
            self._collect_units(key, needed)
        )
        self._unit_tasks[key] = task
        task.add_done_callback(lambda _: self._unit_tasks.pop(key, None))

    def is_requesting_units(self, key: str) -> bool:
        """Return whether a request for plain units of a key is in progress."""
        return key in self._unit_tasks

    async def _collect_units(self, key: str, needed: int) -> None:
        # Units become usable all at once. Otherwise smaller requests would
        # consume those of the first lenders, and a large one would never fit.
        loans: list[UnitLoan] = []
        for lender in self._unit_lenders(key):
            missing = needed - self.ledger.free(key) - _total_units(loans)
            requested = math.ceil(
                UNIT_REQUEST_FACTOR * (needed - self.ledger.free(key))
            ) - _total_units(loans)
            if missing <= 0 or requested <= 0:
                break
            sent_at_s = self.timer.monotonic()
            answer = await self.mesh.request(
                lender,
                peers_model.UnitRequest((model.UnitAmount(key, requested),)),
                timeout_s=GRANT_TIMEOUT_S,
            )
            grant = answer.value_or(None)
            if isinstance(grant, peers_model.UnitGrant) and grant.units:
                loans.append(UnitLoan(key, lender, grant, sent_at_s))
        if _total_units(loans) < needed - self.ledger.free(key):
            wait_s = self._rng.uniform(1.0, 3.0) * REFUSED_BACKOFF_S
            self._unit_backoff[key] = self.timer.monotonic() + wait_s
            for loan in loans:
                self._return_units(loan)
            return
        for loan in loans:
            duration_s = min(loan.grant.duration_s, const.LOAN_S)
            self.ledger.borrow(
                loan.grant.units,
                loan_id=loan.grant.loan_id,
                until_s=loan.sent_at_s
                + duration_s * (1.0 - const.MAX_CLOCK_DRIFT),
            )
        self._unit_loans.extend(loans)
        self._schedule_unit_check()
        if loans:
            self._notify()

    def _unit_lenders(self, key: str) -> list[str]:
        regions = key.partition(":")[2].split(">")
        return [
            peer.heartbeat.host.name
            for peer in self.mesh.live_peers()
            if peer.connected
            and peer.heartbeat.state is core.EntryHostState.SERVING
            and peer.heartbeat.host.zone.region in regions
        ]

    def _schedule_unit_check(self) -> None:
        if self._unit_loans and self._unit_check_timer is None:
            self._unit_check_timer = self.timer.call_at(
                when_s=self.timer.monotonic() + UNIT_CHECK_S,
                callback=self._check_units,
            )

    def _check_units(self) -> None:
        self._unit_check_timer = None
        now = self.timer.monotonic()
        remaining: list[UnitLoan] = []
        for loan in self._unit_loans:
            loan_id = loan.grant.loan_id
            requested_at_s = self._unit_requested_at_s.get(loan.key, -math.inf)
            in_demand = (
                now - requested_at_s < UNIT_IDLE_S
                and now < loan.sent_at_s + const.LOAN_S
            )
            if now >= loan.sent_at_s + MAX_UNIT_LOAN_S:
                self.ledger.drop_borrowed(loan_id)
            elif not in_demand and self.ledger.return_borrowed(loan_id):
                self._return_units(loan)
            else:
                remaining.append(loan)
        self._unit_loans = remaining
        self._schedule_unit_check()

    def _return_units(self, loan: UnitLoan) -> None:
        self.mesh.send(
            loan.lender, peers_model.GrantReturn(loan.grant.loan_id, 0)
        )

    async def _request_from_lenders(
        self, scope: LoanScope, request: peers_model.GrantRequest
    ) -> None:
        for lender in self._lenders(scope)[:MAX_LENDERS_ASKED]:
            sent_at_s = self.timer.monotonic()
            answer = await self.mesh.request(
                lender, request, timeout_s=GRANT_TIMEOUT_S
            )
            grant = answer.value_or(None)
            if not isinstance(grant, peers_model.Grant) or not grant.bundles:
                now = self.timer.monotonic()
                self._backoff[(lender, scope)] = now + REFUSED_BACKOFF_S
                continue
            self._store_bundles(scope, request, lender, grant, sent_at_s)
            return

    def _lenders(self, scope: LoanScope) -> list[str]:
        now = self.timer.monotonic()
        self._backoff = {
            lender_scope: until_s
            for lender_scope, until_s in self._backoff.items()
            if until_s > now
        }
        lenders: list[tuple[int, str]] = []
        for peer in self.mesh.live_peers():
            heartbeat = peer.heartbeat
            free = sum(
                headroom.free
                for headroom in heartbeat.headroom
                if headroom.region == scope.region
            )
            name = heartbeat.host.name
            if (
                free > 0
                and peer.connected
                # A leaving host may lend too: it no longer needs its units.
                and heartbeat.state is not core.EntryHostState.STARTING
                and (name, scope) not in self._backoff
            ):
                lenders.append((-free, name))
        return [name for _, name in sorted(lenders)]

    def _store_bundles(
        self,
        scope: LoanScope,
        request: peers_model.GrantRequest,
        lender: str,
        grant: peers_model.Grant,
        sent_at_s: float,
    ) -> None:
        duration_s = min(grant.duration_s, const.LOAN_S)
        until_s = sent_at_s + duration_s * (1.0 - const.MAX_CLOCK_DRIFT)
        for number, bundle in enumerate(grant.bundles, start=1):
            keys = [unit.key for unit in bundle.units]
            crosses_link = any(key.startswith("link:") for key in keys)
            borrowed = BorrowedBundle(
                scope=scope,
                lender=lender,
                loan_id=grant.loan_id,
                number=number,
                bundle=bundle,
                until_s=until_s,
                max_body_bytes=request.body_bytes
                if crosses_link
                else math.inf,
                # A key without a known limit (None) may have a delay too.
                reusable=all(
                    self.ledger.release_delay_s(key) == 0 for key in keys
                ),
            )
            self._keep_idle(borrowed)
        self._notify()

    def _keep_idle(self, borrowed: BorrowedBundle) -> None:
        idle_until_s = self.timer.monotonic() + BUNDLE_IDLE_S
        idle = self._idle.setdefault(borrowed.scope, {})
        idle[borrowed] = self.timer.call_at(
            when_s=min(idle_until_s, borrowed.until_s),
            callback=lambda: self._return_idle(borrowed),
        )

    def _return_idle(self, borrowed: BorrowedBundle) -> None:
        if self._idle.get(borrowed.scope, {}).pop(borrowed, None) is not None:
            self._return_bundle(borrowed)

    def _return_bundle(self, borrowed: BorrowedBundle) -> None:
        self.mesh.send(
            borrowed.lender,
            peers_model.GrantReturn(borrowed.loan_id, borrowed.number),
        )

    def _notify(self) -> None:
        for callback in self.on_free:
            callback()


def _total_units(loans: list[UnitLoan]) -> int:
    return sum(
        unit.amount
        for loan in loans
        for unit in loan.grant.units
        if unit.key == loan.key
    )


def make_return_handler(
    ledger: quota_ledger.QuotaLedger,
) -> peers_mesh.Handler:
    """Return the handler for GrantReturn messages to a lender."""

    async def settle(
        sender: str,  # noqa: ARG001
        message: peers_model.Message,
    ) -> peers_model.Message | None:
        if isinstance(message, peers_model.GrantReturn):
            ledger.settle(message.loan_id, message.bundle_number)
        return None

    return settle
