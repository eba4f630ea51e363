"""Borrow bundles of quota units from other entry hosts."""

import asyncio
from collections.abc import Callable
import itertools
import logging
import math
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

    def want(
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
                and beat.state is core.EntryHostState.SERVING
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
                reusable=all(self.ledger.linger_s(key) == 0 for key in keys),
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
