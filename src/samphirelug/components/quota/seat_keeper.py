"""Acquire, renew and release this host's seats in the object store."""

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

_LOGGER = logging.getLogger(__name__)

# While units are missing or in surplus, this many polls use the first
# interval. Each further interval is twice as long, up to the renewal interval.
FAST_POLLS = 3


class CatalogueSource(Protocol):
    """Provide the catalogue in force; implemented by CatalogueState."""

    @property
    def view(self) -> catalogue_view.CatalogueView:
        """Return the current view, replaced as a whole at each change."""


class GroupState:
    """Track one group and this host's seat in it."""

    def __init__(self, *, group: str) -> None:
        self.group = group
        self.key = seats.table_key(group)
        self.table = model.SeatTable(group, {})
        self.revision = -1
        self.tracker = seats.SeatTracker()
        self.hosts: frozenset[str] = frozenset()
        self.limits: Mapping[str, int] = {}
        self.fair_shares: Mapping[str, int] = {}
        self.longest_hold_s = 0.0
        self.leaving = False
        # Time just before each write was sent, by its renewal counter.
        self.sent_at_s: dict[int, float] = {}
        # Revision that pending writes expect; they may still take effect.
        self.pending_revision: int | None = None
        # Lowest units per key in the pending writes. Other hosts may already
        # use the units above them.
        self.pending_units: dict[str, int] = {}
        self.next_poll_at_s = -math.inf
        self.renew_at_s = -math.inf
        self.polls = 0
        self.failures = 0
        self.lock = asyncio.Lock()


class SeatKeeper:
    """Renew this host's seats and adjust their units to the fair share.

    run() must start only after the host has bound its peer address. The bind
    proves that the holder of an earlier seat at this address has stopped, so
    that the seat can be taken over.
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
        """Renew the seats until cancelled or released."""
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
        """Release all seats; wait up to release_timeout_s for units in use."""
        self.stopping = True
        end_s = self.timer.monotonic() + self.settings.release_timeout_s
        for state in self.groups.values():
            state.leaving = True
            self.ledger.set_cap(group=state.group, units={})
        await asyncio.gather(
            *(
                self._release_seat(state, end_s)
                for state in self.groups.values()
            )
        )

    async def _release_seat(self, state: GroupState, end_s: float) -> None:
        while True:
            async with state.lock:
                await self._reconcile(state)
            if self._is_released(state):
                return
            if self.timer.monotonic() >= end_s:
                _LOGGER.warning(
                    "seat in %s was not released in time; it will expire",
                    state.group,
                )
                return
            await self.timer.sleep(self.settings.retry_s)

    def _is_released(self, state: GroupState) -> bool:
        return state.pending_revision is None and self._own_seat(state) is None

    def _tick(self) -> None:
        self._update_limits()
        now = self.timer.monotonic()
        groups = self._groups_to_serve()
        for group in sorted(self.groups.keys() | groups.keys()):
            state = self.groups.get(group)
            if state is None:
                state = self.groups[group] = GroupState(group=group)
            self._update_group(state, groups.get(group), now)
            if state.next_poll_at_s <= now and not state.lock.locked():
                task = asyncio.get_running_loop().create_task(
                    self._try_reconcile(state)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _update_limits(self) -> None:
        view = self.catalogue.view
        if view is self._view:
            return
        self._view = view
        limits = quota_limits.quota_limits(view)
        self._limits = {}
        for key, limit in limits.items():
            self._limits.setdefault(limit.group, {})[key] = limit
        self.ledger.set_limits(limits)

    def _groups_to_serve(self) -> dict[str, frozenset[str]]:
        view = self.catalogue.view
        region = self.host.zone.region
        own = frozenset((self.host.name,))
        groups: dict[str, frozenset[str]] = {}
        for group in quota_limits.groups_of(view, region):
            hosts = own.union(
                *map(self.hosts_of, quota_limits.regions_of_group(group))
            )
            groups[group] = hosts
        for other in view.regions:
            # A region without entry hosts is served by those of the nearest
            # region that has some. If all regions took part, the table would
            # have a seat for every host of the fleet.
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
                groups[group] = own | self.hosts_of(region)
        return groups

    def _update_group(
        self, state: GroupState, hosts: frozenset[str] | None, now: float
    ) -> None:
        """Apply changed limits and hosts, and poll soon if units must change.

        A change that leaves this host near its fair share is handled by the
        next renewal, so it costs no extra call to the store.
        """
        limits = self._limits.get(state.group, {})
        limit_amounts = {key: limit.limit for key, limit in limits.items()}
        leaving = hosts is None
        if (limit_amounts, leaving) == (state.limits, state.leaving) and (
            leaving or hosts == state.hosts
        ):
            return
        state.limits = limit_amounts
        state.leaving = leaving
        state.longest_hold_s = max(
            state.longest_hold_s, seats.longest_hold_s(limits.values())
        )
        state.hosts = hosts if hosts is not None else frozenset()
        state.fair_shares = (
            {}
            if leaving
            else seats.fair_share(
                limits=limit_amounts, host=self.host.name, hosts=state.hosts
            )
        )
        imbalance = self._compare_with_fair_shares(state)
        if leaving or imbalance.large_excess or imbalance.deficit:
            state.polls = 0
            poll_at_s = now + self.rng.random() * self._spread_s(state)
            state.next_poll_at_s = min(state.next_poll_at_s, poll_at_s)

    def _compare_with_fair_shares(self, state: GroupState) -> seats.Imbalance:
        return seats.compare_with_fair_shares(
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

    async def _try_reconcile(self, state: GroupState) -> None:
        if state.lock.locked():
            return
        async with state.lock:
            if self.stopping:
                return
            try:
                await self._reconcile(state)
            except Exception:
                _LOGGER.exception(
                    "unexpected error while renewing the seat in %s",
                    state.group,
                )
                self._retry_later(state)
            if state.leaving and self._is_released(state):
                self.groups.pop(state.group, None)

    async def _reconcile(self, state: GroupState) -> None:
        """Read the table, plan the host's seat and write it if needed."""
        if not await self._read_table(state):
            self._retry_later(state)
            return
        now = self.timer.monotonic()
        own_seat = state.table.seats.get(self.host.name)
        if own_seat is not None and not self._owns_seat(state, own_seat, now):
            self._schedule_poll(state, now)
            takeover_at_s = self.started_at_s + state.longest_hold_s
            if now < takeover_at_s:
                state.next_poll_at_s = min(state.next_poll_at_s, takeover_at_s)
            return
        plan = self._plan_seat(state, now)
        settled = not plan.changed and state.pending_revision is None
        if settled and now < state.renew_at_s:
            self._schedule_poll(state, now)
            return
        if self._is_released(state) and plan.seat is None:
            return
        # There is no await between the plan and this call, so that no unit
        # that the plan gives back is used again before the write.
        self._set_pending_write(state, plan.seat.units if plan.seat else {})
        if plan.seat is not None:
            state.sent_at_s[plan.seat.renewal] = now
        await self._write_table(state, plan, now)

    def _plan_seat(self, state: GroupState, now: float) -> seats.SeatPlan:
        own_seat = state.table.seats.get(self.host.name)
        # Each attempt has its own counter, so that the one that took effect
        # can be matched to the time when it was sent.
        renewal = 1 + max(
            *state.sent_at_s, own_seat.renewal if own_seat else 0, 0
        )
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
                | (own_seat.units.keys() if own_seat else set())
            },
            expired=self._expired_hosts(state, now),
            leaving=state.leaving,
            # The cap was set to 0 before this plan, so no request or loan
            # under this seat starts later.
            free_after_s=state.longest_hold_s if self.stopping else None,
        )

    def _owns_seat(
        self, state: GroupState, own_seat: model.Seat, now: float
    ) -> bool:
        """Return whether this process may use the seat of its host name."""
        if own_seat.incarnation == self.host.incarnation:
            return True
        if own_seat.address == self.host.peer_url:
            # The old process has ended, but its requests and loans may not.
            return now >= self.started_at_s + state.longest_hold_s
        return self.host.name in self._expired_hosts(state, now)

    def _expired_hosts(self, state: GroupState, now: float) -> frozenset[str]:
        """Return the hosts whose units can no longer be in use."""
        lease_and_hold_s = self.settings.lease_s + state.longest_hold_s
        # The holder's clock may run slower than this one's.
        drift_s = (
            lease_and_hold_s
            * const.MAX_CLOCK_DRIFT
            / (1.0 - const.MAX_CLOCK_DRIFT)
        )
        return state.tracker.expired(
            now=now,
            wait_s=lease_and_hold_s + max(self.settings.margin_s, drift_s),
        )

    async def _read_table(self, state: GroupState) -> bool:
        answer = await self.store.get(state.key)
        if isinstance(answer, Success):
            found = answer.unwrap()
            table = seats.decode_table(state.group, found.value)
            if isinstance(table, Failure):
                _LOGGER.error(
                    "seat table %s is invalid: %s", state.key, table.failure()
                )
                return False
            if found.revision < state.revision:
                return False
            self._apply_table(state, table.unwrap(), found.revision)
            return True
        refusal = answer.failure()
        if refusal.code == result_codes.ResultCode.OBJECT_NOT_FOUND:
            if state.revision > 0:
                _LOGGER.error(
                    "seat table %s is missing from the store", state.key
                )
                return False
            self._apply_table(state, model.SeatTable(state.group, {}), 0)
            return True
        _LOGGER.info(
            "seat table %s cannot be read: %s", state.key, refusal.detail
        )
        return False

    async def _write_table(
        self, state: GroupState, plan: seats.SeatPlan, now: float
    ) -> None:
        answer = await self.store.put(
            state.key,
            seats.encode_table(plan.table),
            expected_revision=max(0, state.revision),
        )
        if isinstance(answer, Success):
            self._apply_table(state, plan.table, answer.unwrap().revision)
            self._schedule_poll(state, now)
            return
        refusal = answer.failure()
        _LOGGER.info(
            "seat table %s was not written: %s", state.key, refusal.detail
        )
        if refusal.code == result_codes.ResultCode.STORE_CONFLICT:
            state.next_poll_at_s = now + self.rng.random() * self._spread_s(
                state
            )
        else:
            self._retry_later(state)

    def _set_pending_write(
        self, state: GroupState, units: Mapping[str, int]
    ) -> None:
        """Limit use to the lowest units of the writes that may take effect."""
        if state.pending_revision == state.revision:
            units = {
                key: min(amount, units.get(key, 0))
                for key, amount in state.pending_units.items()
            }
        state.pending_revision = state.revision
        state.pending_units = dict(units)
        cap = self._usage_cap(state)
        if cap is not None:
            self.ledger.set_cap(group=state.group, units=cap)

    def _usage_cap(self, state: GroupState) -> Mapping[str, int] | None:
        """Return the cap on use while units are being given back, or None.

        Units above the fair share are given back once their requests end.
        Without the cap, a busy host would reuse them and never do so.
        """
        caps: list[Mapping[str, int]] = []
        if self.stopping or state.leaving:
            caps.append({})
        if state.pending_revision is not None:
            caps.append(state.pending_units)
        if self._compare_with_fair_shares(state).excess:
            caps.append(state.fair_shares)
        if not caps:
            return None
        return {
            key: min(cap.get(key, 0) for cap in caps) for key in state.limits
        }

    def _apply_table(
        self, state: GroupState, table: model.SeatTable, revision: int
    ) -> None:
        """Apply a table from the store to the ledger and the group's state."""
        now = self.timer.monotonic()
        before = self._own_seat(state)
        state.table = table
        state.revision = revision
        state.tracker.observe(table, now=now)
        if (
            state.pending_revision is not None
            and revision > state.pending_revision
        ):
            # Writes that expect an older revision can no longer take effect.
            state.pending_revision = None
        seat = self._own_seat(state)
        units_before = before.units if before is not None else {}
        units = seat.units if seat is not None else {}
        if units != units_before:
            _LOGGER.info(
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
        sent_at_s = state.sent_at_s.get(seat.renewal, -math.inf)
        state.sent_at_s = {
            renewal: when_s
            for renewal, when_s in state.sent_at_s.items()
            if renewal >= seat.renewal
        }
        # A poll in the second half of the interval also renews the lease.
        state.renew_at_s = sent_at_s + self.settings.renew_interval_s / 2
        self.ledger.set_seat(
            group=state.group,
            units=seat.units,
            limits=seat.limits,
            valid_until_s=sent_at_s + self.settings.lease_s,
            cap=self._usage_cap(state),
        )

    def _schedule_poll(self, state: GroupState, now: float) -> None:
        """Schedule a poll: soon if units are missing or in surplus."""
        state.failures = 0
        renew_interval_s = self.settings.renew_interval_s * self.rng.uniform(
            0.8, 1.0
        )
        imbalance = self._compare_with_fair_shares(state)
        if state.leaving or imbalance.excess or imbalance.deficit:
            doublings = max(0, state.polls - FAST_POLLS)
            state.polls += 1
            wait_s = self._spread_s(state) * 2.0 ** min(doublings, 30)
            wait_s *= self.rng.uniform(0.5, 1.0)
            state.next_poll_at_s = now + min(wait_s, renew_interval_s)
            # The units of a stopped host become free at a known time.
            jitter_s = self.rng.random() * self._spread_s(state)
            free_at_s = max(now, state.tracker.next_free_at_s()) + jitter_s
            state.next_poll_at_s = min(state.next_poll_at_s, free_at_s)
            return
        state.polls = 0
        state.next_poll_at_s = now + renew_interval_s

    def _retry_later(self, state: GroupState) -> None:
        wait_s = min(
            self.settings.retry_s * 2.0 ** min(state.failures, 30),
            self.settings.retry_max_s,
        )
        state.failures += 1
        state.next_poll_at_s = (
            self.timer.monotonic() + wait_s * self.rng.uniform(0.5, 1.0)
        )
