"""Borrow bundles of quota units from other entry hosts."""

import asyncio
from collections.abc import Callable
import itertools
import logging
import math
import random
from typing import NamedTuple

from samphirelug.components.admission import model as admission_model
from samphirelug.components.peers import mesh as peer_mesh
from samphirelug.components.peers import model as peer_model
from samphirelug.components.quota import const
from samphirelug.components.quota import ledger as quota_ledger
from samphirelug.components.quota import model
from samphirelug import const as shared_const
from samphirelug import core
from samphirelug.helpers import timer as timer_helper

LOG = logging.getLogger(__name__)

# An answer that comes later leaves too little of the loan to be of use.
GRANT_TIMEOUT_S = const.LOAN_S / 2
MAX_LENDERS_ASKED = 3
# Headroom is reported with each heartbeat; a lender with nothing to spare is
# asked again after the next one.
REFUSED_BACKOFF_S = shared_const.HEARTBEAT_INTERVAL_S
# Asked for on top of what is missing, since reserves for more urgent ranks
# grow with the units at hand.
UNIT_SURPLUS = 1.25
# Borrowed plain units are looked at this often, and returned when nothing
# has asked for them for a time. A peer that was refused a bundle for want of
# them asks again after REFUSED_BACKOFF_S.
UNIT_CHECK_S = 0.25
UNIT_IDLE_S = 2 * REFUSED_BACKOFF_S
# The lender takes plain units back by itself after this.
UNIT_KEEP_S = const.LOAN_S + const.REQUEST_HOLD_S + const.LINK_RELEASE_DELAY_S
# An unused bundle is returned after this, so that its lender can use it.
IDLE_S = 0.1


class LoanSlot(NamedTuple):
    """Name the requests that a borrowed bundle can serve."""

    work: str
    region: str
    # The region serves the request for another home region.
    shifted: bool


class Borrowed(NamedTuple):
    """Hold one borrowed bundle."""

    slot: LoanSlot
    lender: str
    loan_id: str
    number: int
    bundle: model.Bundle
    # Last time of a dispatch, on this host's clock.
    until_s: float
    # Longest body that the bundle's link units cover.
    body_bytes: float
    reusable: bool


class UnitLoan(NamedTuple):
    """Hold plain units that a peer has lent."""

    key: str
    lender: str
    grant: peer_model.UnitGrant
    sent_s: float


class Borrower:
    """Ask peers for bundles, use them in time and return them."""

    def __init__(
        self,
        *,
        ledger: quota_ledger.QuotaLedger,
        mesh: peer_mesh.PeerMesh,
        timer: timer_helper.TimerService,
        host: core.EntryHost,
    ) -> None:
        self.ledger = ledger
        self.mesh = mesh
        self.timer = timer
        self.host = host
        self.on_free: list[Callable[[], None]] = []
        # Each with the timer that returns it when it stays unused.
        self._idle: dict[
            LoanSlot, dict[Borrowed, timer_helper.Subscription]
        ] = {}
        self._in_use: dict[int, Borrowed] = {}
        self._running: dict[LoanSlot, asyncio.Task[None]] = {}
        self._backoff: dict[tuple[str, LoanSlot], float] = {}
        self._unit_loans: list[UnitLoan] = []
        self._unit_tasks: dict[str, asyncio.Task[None]] = {}
        self._unit_backoff: dict[str, float] = {}
        self._unit_wanted: dict[str, float] = {}
        self._unit_check: timer_helper.Subscription | None = None
        # Two hosts that each got a part of what both need try again at
        # different times.
        self._rng = random.Random(host.incarnation)
        # Apart from the ledger's hold ids, which are positive.
        self._hold_ids = itertools.count(-1, -1)

    @property
    def borrowed(self) -> dict[str, int]:
        """Return the borrowed units by key, in use or at hand."""
        units: dict[str, int] = {}
        idle = (one for ones in self._idle.values() for one in ones)
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
        """Ask peers for bundles unless a request is running."""
        slot = LoanSlot(work, region, home_region != region)
        if slot in self._running:
            return
        request = peer_model.GrantRequest(
            work=work,
            region=region,
            bundles_wanted=count,
            host_region=self.host.zone.region,
            home_region=home_region,
            body_bytes=body_bytes,
        )
        task = asyncio.get_running_loop().create_task(
            self._borrow(slot, request)
        )
        self._running[slot] = task
        task.add_done_callback(lambda _: self._running.pop(slot, None))

    def take(
        self, *, work: str, region: str, home_region: str, body_bytes: int
    ) -> admission_model.Permit | None:
        """Return a permit to dispatch now, if a bundle is at hand."""
        slot = LoanSlot(work, region, home_region != region)
        idle = self._idle.get(slot, {})
        now = self.timer.monotonic()
        for borrowed, timeout in idle.items():
            # Checked here and not only by a timer, since a paused process
            # runs its timers late.
            if now >= borrowed.until_s or body_bytes > borrowed.body_bytes:
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
        """Keep the bundle for reuse, or return it once it is unused.

        Has no effect on a permit that has ended.
        """
        borrowed = self._in_use.pop(permit.hold_id, None)
        if borrowed is None:
            return
        if ended is admission_model.PermitEnd.ORPHANED:
            self.timer.call_at(
                when_s=deadline_at_s + shared_const.ORPHAN_MARGIN_S,
                callback=lambda: self._give_back(borrowed),
            )
        elif borrowed.reusable and self.timer.monotonic() < borrowed.until_s:
            self._keep(borrowed)
            self._notify()
        else:
            self._give_back(borrowed)

    def request_units(self, *, key: str, needed: int) -> None:
        """Ask peers for bytes of a link until this many are free here."""
        now = self.timer.monotonic()
        self._unit_wanted[key] = now
        if key in self._unit_tasks or now < self._unit_backoff.get(key, 0.0):
            return
        task = asyncio.get_running_loop().create_task(
            self._borrow_units(key, needed)
        )
        self._unit_tasks[key] = task
        task.add_done_callback(lambda _: self._unit_tasks.pop(key, None))

    def is_requesting_units(self, key: str) -> bool:
        """Return whether plain units of a key are being asked for."""
        return key in self._unit_tasks

    async def _borrow_units(self, key: str, needed: int) -> None:
        # Units come into use all at once: smaller requests would use up
        # those of the first lenders, and a large one would never fit.
        loans: list[UnitLoan] = []
        for lender in self._unit_lenders(key):
            missing = needed - self.ledger.free(key) - _units_of(loans)
            goal = math.ceil(
                UNIT_SURPLUS * (needed - self.ledger.free(key))
            ) - _units_of(loans)
            if missing <= 0 or goal <= 0:
                break
            sent_s = self.timer.monotonic()
            answer = await self.mesh.request(
                lender,
                peer_model.UnitRequest((model.UnitAmount(key, goal),)),
                timeout_s=GRANT_TIMEOUT_S,
            )
            grant = answer.value_or(None)
            if isinstance(grant, peer_model.UnitGrant) and grant.units:
                loans.append(UnitLoan(key, lender, grant, sent_s))
        if _units_of(loans) < needed - self.ledger.free(key):
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
                until_s=loan.sent_s + duration_s * (1.0 - const.CLOCK_DRIFT),
            )
        self._unit_loans.extend(loans)
        self._check_units_later()
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

    def _check_units_later(self) -> None:
        if self._unit_loans and self._unit_check is None:
            self._unit_check = self.timer.call_at(
                when_s=self.timer.monotonic() + UNIT_CHECK_S,
                callback=self._check_units,
            )

    def _check_units(self) -> None:
        self._unit_check = None
        now = self.timer.monotonic()
        kept: list[UnitLoan] = []
        for loan in self._unit_loans:
            loan_id = loan.grant.loan_id
            wanted_s = self._unit_wanted.get(loan.key, -math.inf)
            wanted = (
                now - wanted_s < UNIT_IDLE_S
                and now < loan.sent_s + const.LOAN_S
            )
            if now >= loan.sent_s + UNIT_KEEP_S:
                self.ledger.forget(loan_id)
            elif not wanted and self.ledger.give_back(loan_id):
                self._return_units(loan)
            else:
                kept.append(loan)
        self._unit_loans = kept
        self._check_units_later()

    def _return_units(self, loan: UnitLoan) -> None:
        self.mesh.send(
            loan.lender, peer_model.GrantReturn(loan.grant.loan_id, 0)
        )

    async def _borrow(
        self, slot: LoanSlot, request: peer_model.GrantRequest
    ) -> None:
        for lender in self._lenders(slot)[:MAX_LENDERS_ASKED]:
            sent_s = self.timer.monotonic()
            answer = await self.mesh.request(
                lender, request, timeout_s=GRANT_TIMEOUT_S
            )
            grant = answer.value_or(None)
            if not isinstance(grant, peer_model.Grant) or not grant.bundles:
                now = self.timer.monotonic()
                self._backoff[(lender, slot)] = now + REFUSED_BACKOFF_S
                continue
            self._accept(slot, request, lender, grant, sent_s)
            return

    def _lenders(self, slot: LoanSlot) -> list[str]:
        now = self.timer.monotonic()
        self._backoff = {
            place: until_s
            for place, until_s in self._backoff.items()
            if until_s > now
        }
        lenders: list[tuple[int, str]] = []
        for peer in self.mesh.live_peers():
            beat = peer.heartbeat
            free = sum(
                headroom.free
                for headroom in beat.headroom
                if headroom.region == slot.region
            )
            name = beat.host.name
            if (
                free > 0
                and peer.connected
                # A host that is leaving has units that it no longer needs.
                and beat.state is not core.EntryHostState.STARTING
                and (name, slot) not in self._backoff
            ):
                lenders.append((-free, name))
        return [name for _, name in sorted(lenders)]

    def _accept(
        self,
        slot: LoanSlot,
        request: peer_model.GrantRequest,
        lender: str,
        grant: peer_model.Grant,
        sent_s: float,
    ) -> None:
        duration_s = min(grant.duration_s, const.LOAN_S)
        until_s = sent_s + duration_s * (1.0 - const.CLOCK_DRIFT)
        for number, bundle in enumerate(grant.bundles, start=1):
            keys = [unit.key for unit in bundle.units]
            crosses_link = any(key.startswith("link:") for key in keys)
            borrowed = Borrowed(
                slot=slot,
                lender=lender,
                loan_id=grant.loan_id,
                number=number,
                bundle=bundle,
                until_s=until_s,
                body_bytes=request.body_bytes if crosses_link else math.inf,
                # A key without a known limit may linger as well.
                reusable=all(
                    self.ledger.release_delay_s(key) == 0 for key in keys
                ),
            )
            self._keep(borrowed)
        self._notify()

    def _keep(self, borrowed: Borrowed) -> None:
        idle_until_s = self.timer.monotonic() + IDLE_S
        idle = self._idle.setdefault(borrowed.slot, {})
        idle[borrowed] = self.timer.call_at(
            when_s=min(idle_until_s, borrowed.until_s),
            callback=lambda: self._drop_idle(borrowed),
        )

    def _drop_idle(self, borrowed: Borrowed) -> None:
        if self._idle.get(borrowed.slot, {}).pop(borrowed, None) is not None:
            self._give_back(borrowed)

    def _give_back(self, borrowed: Borrowed) -> None:
        self.mesh.send(
            borrowed.lender,
            peer_model.GrantReturn(borrowed.loan_id, borrowed.number),
        )

    def _notify(self) -> None:
        for callback in self.on_free:
            callback()


def _units_of(loans: list[UnitLoan]) -> int:
    return sum(
        unit.amount
        for loan in loans
        for unit in loan.grant.units
        if unit.key == loan.key
    )


def make_return_handler(
    ledger: quota_ledger.QuotaLedger,
) -> peer_mesh.Handler:
    """Return the lender's handler of GrantReturn messages."""

    async def settle(
        sender: str,  # noqa: ARG001
        message: peer_model.Message,
    ) -> peer_model.Message | None:
        if isinstance(message, peer_model.GrantReturn):
            ledger.settle(message.loan_id, message.bundle_number)
        return None

    return settle
