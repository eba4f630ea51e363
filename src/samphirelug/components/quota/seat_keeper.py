"""Keep this host's seats through the object store."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import logging
import math
import random
from typing import Protocol

from returns.result import Failure
from returns.result import Success

from samphirelug.components.catalogue import view as catalogue_view
from samphirelug.components.quota import const
from samphirelug.components.quota import ledger as quota_ledger
from samphirelug.components.quota import limits as quota_limits
from samphirelug.components.quota import model
from samphirelug.components.quota import seats
from samphirelug.components.store import object_store
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

LOG = logging.getLogger(__name__)

# Looks for missing units are this many at the first interval; each further
# interval is twice as long, up to the renewal interval.
QUICK_LOOKS = 3


class CatalogueSource(Protocol):
    """Give the catalogue that is in force, as CatalogueState does."""

    @property
    def view(self) -> catalogue_view.CatalogueView:
        """Return the view, which is replaced at each change."""


class GroupState:
    """Hold what the keeper knows of one group."""

    def __init__(self, *, group: str) -> None:
        self.group = group
        self.key = seats.table_key(group)
        self.table = model.SeatTable(group, {})
        self.revision = -1
        self.tracker = seats.SeatTracker()
        self.hosts: frozenset[str] = frozenset()
        self.limits: Mapping[str, int] = {}
        self.fair_shares: Mapping[str, int] = {}
        self.hold_s = 0.0
        self.leaving = False
        # Renewal counter of each attempt to the time before it was sent.
        self.sent: dict[int, float] = {}
        # Writes on top of this revision may still take effect.
        self.pending_on: int | None = None
        # Least units of the pending writes; others may count on them.
        self.pending_units: dict[str, int] = {}
        self.next_look_s = -math.inf
        self.renew_at_s = -math.inf
        self.looks = 0
        self.failures = 0
        self.lock = asyncio.Lock()


class SeatKeeper:
    """Renew, raise and lower this host's seats.

    run() may start only after the host has bound its peer address: a seat
    of an earlier incarnation at that address is taken over on this proof.
    """

    def __init__(
        self,
        *,
        store: object_store.ObjectStore,
        ledger: quota_ledger.QuotaLedger,
        timer: timer_helper.TimerService,
        rng: random.Random,
        host: core.EntryHost,
        catalogue: CatalogueSource,
        hosts_of: Callable[[str], frozenset[str]],
        settings: model.SeatSettings,
    ) -> None:
        self.store = store
        self.ledger = ledger
        self.timer = timer
        self.rng = rng
        self.host = host
        self.catalogue = catalogue
        self.hosts_of = hosts_of
        self.settings = settings
        self.groups: dict[str, GroupState] = {}
        self.started_at_s = math.inf
        self.stopping = False
        self._view: object = None
        self._limits: dict[str, dict[str, model.QuotaLimit]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Keep the seats until cancelled or given up."""
        self.started_at_s = self.timer.monotonic()
        try:
            while not self.stopping:
                self._tick()
                await self.timer.sleep(self.settings.tick_s)
        except asyncio.CancelledError:
            for task in self._tasks:
                task.cancel()
            raise

    async def release_seats(self) -> None:
        """Return all units; waits up to give_up_s for those in use."""
        self.stopping = True
        end_s = self.timer.monotonic() + self.settings.release_timeout_s
        for state in self.groups.values():
            state.leaving = True
            self.ledger.cap(group=state.group, units={})
        await asyncio.gather(
            *(self._leave(state, end_s) for state in self.groups.values())
        )

    async def _leave(self, state: GroupState, end_s: float) -> None:
        while True:
            async with state.lock:
                await self._step(state)
            if self._is_gone(state):
                return
            if self.timer.monotonic() >= end_s:
                LOG.warning("seat in %s is left to lapse", state.group)
                return
            await self.timer.sleep(self.settings.retry_s)

    def _is_gone(self, state: GroupState) -> bool:
        return state.pending_on is None and self._own_seat(state) is None

    def _tick(self) -> None:
        self._follow_catalogue()
        now = self.timer.monotonic()
        wanted = self._wanted_groups()
        for group in sorted(self.groups.keys() | wanted.keys()):
            state = self.groups.get(group)
            if state is None:
                state = self.groups[group] = GroupState(group=group)
            self._follow(state, wanted.get(group), now)
            if state.next_look_s <= now and not state.lock.locked():
                task = asyncio.get_running_loop().create_task(
                    self._guarded_step(state)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _follow_catalogue(self) -> None:
        view = self.catalogue.view
        if view is self._view:
            return
        self._view = view
        limits = quota_limits.quota_limits(view)
        self._limits = {}
        for key, limit in limits.items():
            self._limits.setdefault(limit.group, {})[key] = limit
        self.ledger.set_limits(limits)

    def _wanted_groups(self) -> dict[str, frozenset[str]]:
        view = self.catalogue.view
        region = self.host.zone.region
        own = frozenset((self.host.name,))
        wanted: dict[str, frozenset[str]] = {}
        for group in quota_limits.groups_of(view, region):
            hosts = own.union(
                *map(self.hosts_of, quota_limits.regions_of_group(group))
            )
            wanted[group] = hosts
        for other in view.regions:
            # The hosts of the nearest region that has any step in. With all
            # regions, the table would be as the fleet.
            if other == region or self.hosts_of(other):
                continue
            nearest = next(
                (
                    name
                    for name in view.regions_by_distance(other)
                    if name == region or self.hosts_of(name)
                ),
                None,
            )
            if nearest == region:
                group = quota_limits.region_group(other)
                wanted[group] = own | self.hosts_of(region)
        return wanted

    def _follow(
        self, state: GroupState, hosts: frozenset[str] | None, now: float
    ) -> None:
        """Note changes of limits and hosts, and look soon where they matter.

        A change that leaves this host near its fair share waits for the next
        renewal, so it costs no call to the store.
        """
        limits = self._limits.get(state.group, {})
        counts = {key: limit.limit for key, limit in limits.items()}
        leaving = hosts is None
        if (counts, leaving) == (state.limits, state.leaving) and (
            leaving or hosts == state.hosts
        ):
            return
        state.limits = counts
        state.leaving = leaving
        state.hold_s = max(state.hold_s, seats.longest_hold_s(limits.values()))
        state.hosts = hosts if hosts is not None else frozenset()
        state.fair_shares = (
            {}
            if leaving
            else seats.fair_share(
                limits=counts, host=self.host.name, hosts=state.hosts
            )
        )
        balance = self._weigh(state)
        if leaving or balance.large_excess or balance.deficit:
            state.looks = 0
            soon_s = now + self.rng.random() * self._spread_s(state)
            state.next_look_s = min(state.next_look_s, soon_s)

    def _weigh(self, state: GroupState) -> seats.Imbalance:
        return seats.weigh(
            self._own_seat(state),
            fair_shares=state.fair_shares,
            limits=state.limits,
        )

    def _own_seat(self, state: GroupState) -> model.Seat | None:
        seat = state.table.seats.get(self.host.name)
        if seat is None or seat.incarnation != self.host.incarnation:
            return None
        return seat

    def _spread_s(self, state: GroupState) -> float:
        spread_s = len(state.hosts) * self.settings.spread_per_host_s
        return max(self.settings.tick_s, spread_s)

    async def _guarded_step(self, state: GroupState) -> None:
        if state.lock.locked():
            return
        async with state.lock:
            if self.stopping:
                return
            try:
                await self._step(state)
            except Exception:
                LOG.exception("renewal of the seat in %s failed", state.group)
                self._retry_later(state)
            if state.leaving and self._is_gone(state):
                self.groups.pop(state.group, None)

    async def _step(self, state: GroupState) -> None:
        """Read the table, plan the own seat and write it if needed."""
        if not await self._read(state):
            self._retry_later(state)
            return
        now = self.timer.monotonic()
        mine = state.table.seats.get(self.host.name)
        if mine is not None and not self._may_plan(state, mine, now):
            self._look_again(state, now)
            takeover_s = self.started_at_s + state.hold_s
            if now < takeover_s:
                state.next_look_s = min(state.next_look_s, takeover_s)
            return
        plan = self._plan(state, now)
        settled = not plan.changed and state.pending_on is None
        if settled and now < state.renew_at_s:
            self._look_again(state, now)
            return
        if self._is_gone(state) and plan.seat is None:
            return
        # In the same step of the event loop as the plan, so that nothing
        # given up comes into use again before the write.
        self._expect(state, plan.seat.units if plan.seat else {})
        if plan.seat is not None:
            state.sent[plan.seat.renewal] = now
        await self._write(state, plan, now)

    def _plan(self, state: GroupState, now: float) -> seats.SeatPlan:
        mine = state.table.seats.get(self.host.name)
        # Every attempt has its own counter, which tells when the one that
        # took effect was sent.
        renewal = 1 + max(*state.sent, mine.renewal if mine else 0, 0)
        return seats.plan_seat(
            table=state.table,
            host=self.host.name,
            incarnation=self.host.incarnation,
            address=self.host.peer_url,
            renewal=renewal,
            fair_shares=state.fair_shares,
            limits=state.limits,
            units_in_use={
                key: self.ledger.units_in_use(key)
                for key in state.limits.keys()
                | (mine.units.keys() if mine else set())
            },
            expired=self._expired(state, now),
            leaving=state.leaving,
            # The cap has been 0 since before this plan, so no request and
            # no loan under this seat starts later.
            free_after_s=state.hold_s if self.stopping else None,
        )

    def _may_plan(
        self, state: GroupState, mine: model.Seat, now: float
    ) -> bool:
        """Tell whether the seat under this host's name is this host's."""
        if mine.incarnation == self.host.incarnation:
            return True
        if mine.address == self.host.peer_url:
            # The old process is gone, but its requests and loans may last.
            return now >= self.started_at_s + state.hold_s
        return self.host.name in self._expired(state, now)

    def _expired(self, state: GroupState, now: float) -> frozenset[str]:
        """Return the seats whose units nobody can still be using."""
        held_s = self.settings.lease_s + state.hold_s
        # The holder's clock may run slower than this one's.
        drift_s = held_s * const.CLOCK_DRIFT / (1.0 - const.CLOCK_DRIFT)
        return state.tracker.expired(
            now=now, wait_s=held_s + max(self.settings.margin_s, drift_s)
        )

    async def _read(self, state: GroupState) -> bool:
        answer = await self.store.get(state.key)
        if isinstance(answer, Success):
            found = answer.unwrap()
            table = seats.decode_table(state.group, found.value)
            if isinstance(table, Failure):
                LOG.error("%s is invalid: %s", state.key, table.failure())
                return False
            if found.revision < state.revision:
                return False
            self._adopt(state, table.unwrap(), found.revision)
            return True
        refusal = answer.failure()
        if refusal.code == result_codes.ResultCode.OBJECT_NOT_FOUND:
            if state.revision > 0:
                LOG.error("%s has vanished from the store", state.key)
                return False
            self._adopt(state, model.SeatTable(state.group, {}), 0)
            return True
        LOG.info("%s cannot be read: %s", state.key, refusal.detail)
        return False

    async def _write(
        self, state: GroupState, plan: seats.SeatPlan, now: float
    ) -> None:
        answer = await self.store.put(
            state.key,
            seats.encode_table(plan.table),
            expected_revision=max(0, state.revision),
        )
        if isinstance(answer, Success):
            self._adopt(state, plan.table, answer.unwrap().revision)
            self._look_again(state, now)
            return
        refusal = answer.failure()
        LOG.info("%s was not written: %s", state.key, refusal.detail)
        if refusal.code == result_codes.ResultCode.STORE_CONFLICT:
            state.next_look_s = now + self.rng.random() * self._spread_s(state)
        else:
            self._retry_later(state)

    def _expect(self, state: GroupState, units: Mapping[str, int]) -> None:
        """Count on the least of the writes that may take effect."""
        if state.pending_on == state.revision:
            units = {
                key: min(amount, units.get(key, 0))
                for key, amount in state.pending_units.items()
            }
        state.pending_on = state.revision
        state.pending_units = dict(units)
        cap = self._cap(state)
        if cap is not None:
            self.ledger.cap(group=state.group, units=cap)

    def _cap(self, state: GroupState) -> Mapping[str, int] | None:
        """Return what may be used while units are being given back.

        Units above the fair share that are in use run out first. Without
        the cap a busy host would use them again and never give them back.
        """
        caps: list[Mapping[str, int]] = []
        if self.stopping or state.leaving:
            caps.append({})
        if state.pending_on is not None:
            caps.append(state.pending_units)
        if self._weigh(state).excess:
            caps.append(state.fair_shares)
        if not caps:
            return None
        return {
            key: min(cap.get(key, 0) for cap in caps) for key in state.limits
        }

    def _adopt(
        self, state: GroupState, table: model.SeatTable, revision: int
    ) -> None:
        """Use what the store says about the own seat."""
        now = self.timer.monotonic()
        before = self._own_seat(state)
        state.table = table
        state.revision = revision
        state.tracker.observe(table, now=now)
        if state.pending_on is not None and revision > state.pending_on:
            # No write on top of an older revision can take effect now.
            state.pending_on = None
        seat = self._own_seat(state)
        units_before = before.units if before is not None else {}
        units = seat.units if seat is not None else {}
        if units != units_before:
            LOG.info(
                "units of the seat in %s changed",
                state.group,
                extra={
                    "group": state.group,
                    "before": dict(units_before),
                    "after": dict(units),
                },
            )
        if seat is None:
            self.ledger.drop_seat(state.group)
            return
        sent_s = state.sent.get(seat.renewal, -math.inf)
        state.sent = {
            renewal: when_s
            for renewal, when_s in state.sent.items()
            if renewal >= seat.renewal
        }
        # A look in the second half of the interval renews as well.
        state.renew_at_s = sent_s + self.settings.renew_interval_s / 2
        self.ledger.set_seat(
            group=state.group,
            units=seat.units,
            limits=seat.limits,
            valid_until_s=sent_s + self.settings.lease_s,
            cap=self._cap(state),
        )

    def _look_again(self, state: GroupState, now: float) -> None:
        """Look soon while units are missing or in surplus, then rarely."""
        state.failures = 0
        renew_interval_s = self.settings.renew_interval_s * self.rng.uniform(
            0.8, 1.0
        )
        balance = self._weigh(state)
        if state.leaving or balance.excess or balance.deficit:
            doublings = max(0, state.looks - QUICK_LOOKS)
            state.looks += 1
            wait_s = self._spread_s(state) * 2.0 ** min(doublings, 30)
            wait_s *= self.rng.uniform(0.5, 1.0)
            state.next_look_s = now + min(wait_s, renew_interval_s)
            # The units of a host that has stopped come free at a known time.
            soon_s = self.rng.random() * self._spread_s(state)
            free_at_s = max(now, state.tracker.next_free_s()) + soon_s
            state.next_look_s = min(state.next_look_s, free_at_s)
            return
        state.looks = 0
        state.next_look_s = now + renew_interval_s

    def _retry_later(self, state: GroupState) -> None:
        wait_s = min(
            self.settings.retry_s * 2.0 ** min(state.failures, 30),
            self.settings.retry_max_s,
        )
        state.failures += 1
        state.next_look_s = self.timer.monotonic() + wait_s * self.rng.uniform(
            0.5, 1.0
        )
