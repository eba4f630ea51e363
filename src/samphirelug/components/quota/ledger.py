"""Track the quota units that this entry host uses, lends and borrows."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import heapq
import itertools
import math

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.quota import const
from samphirelug.components.quota import model
from samphirelug.helpers import timer as timer_helper


class SeatState:
    """Represent this host's seat in one group."""

    __slots__ = ("cap", "limits", "states", "units", "valid_until_s")

    def __init__(self) -> None:
        self.states: list[KeyState] = []
        self.units: Mapping[str, int] = {}
        self.limits: Mapping[str, int] = {}
        self.cap: Mapping[str, int] | None = None
        self.valid_until_s = -math.inf

    def allocated(self, key: str, limit: int) -> int:
        """Return the units that may be used under the limit in force.

        Under a limit lower than at allocation, the units are scaled down.
        """
        units = self.units.get(key, 0)
        allocated_limit = self.limits.get(key, limit)
        if limit < allocated_limit:
            units = units * limit // allocated_limit
        if self.cap is not None:
            units = min(units, self.cap.get(key, 0))
        return units


class KeyState:
    """Track the units of one key."""

    __slots__ = ("allocated", "borrowed", "in_use", "key", "limit", "seat")

    def __init__(self, *, key: str) -> None:
        self.key = key
        self.limit: model.QuotaLimit | None = None
        self.seat: SeatState | None = None
        # Units of the seat under the limit in force, while the seat is valid.
        self.allocated = 0
        # Plain units borrowed from other hosts, until their loans end.
        self.borrowed = 0
        # Units held by requests, awaiting release or lent.
        self.in_use = 0

    def refresh(self) -> None:
        """Recompute the allocated units after the limit or seat changed."""
        self.allocated = 0
        if self.limit is not None and self.seat is not None:
            self.allocated = self.seat.allocated(self.key, self.limit.limit)

    @property
    def release_delay_s(self) -> float:
        """Return the release delay of the key, in seconds."""
        return self.limit.release_delay_s if self.limit is not None else 0.0


class Loan:
    """Represent units lent to a borrower until settled or expired."""

    __slots__ = ("settled", "units")

    def __init__(self, *, units: list[tuple[KeyState, int]]) -> None:
        self.units = units
        self.settled = False


class BorrowedUnits:
    """Represent plain units borrowed from another host."""

    __slots__ = ("active", "units", "until_s")

    def __init__(
        self, *, units: list[tuple[KeyState, int]], until_s: float
    ) -> None:
        self.units = units
        self.until_s = until_s
        self.active = True

    def end(self) -> bool:
        """Stop using the units; return whether they were usable so far."""
        ended, self.active = self.active, False
        if ended:
            for state, amount in self.units:
                state.borrowed -= amount
        return ended


class QuotaLedger:
    """Grant free units to requests and borrowers, and count units in use."""

    def __init__(self, *, timer: timer_helper.TimerService) -> None:
        self.timer = timer
        self.on_free: list[Callable[[], None]] = []
        self._keys: dict[str, KeyState] = {}
        self._seats: dict[str, SeatState] = {}
        self._holds: dict[int, list[tuple[KeyState, int]]] = {}
        self._loans: dict[tuple[str, int], Loan] = {}
        self._borrowed: dict[str, BorrowedUnits] = {}
        self._hold_ids = itertools.count(1)
        # Heap of times and the callbacks that release units at these times.
        self._scheduled: list[tuple[float, int, Callable[[], bool]]] = []
        self._sequence = itertools.count()
        self._timer_subscription: timer_helper.Subscription | None = None
        self._timer_at_s = math.inf

    def set_limits(self, limits: Mapping[str, model.QuotaLimit]) -> None:
        """Replace all limits; keys without a limit have no usable units."""
        for seat in self._seats.values():
            seat.states = []
        for key, state in list(self._keys.items()):
            if key not in limits:
                state.limit = None
                state.refresh()
                if not state.in_use:
                    del self._keys[key]
        for key, limit in limits.items():
            key_state = self._keys.get(key)
            if key_state is None:
                key_state = self._keys[key] = KeyState(key=key)
            key_state.limit = limit
            key_state.seat = self._seat_state(limit.group)
            key_state.seat.states.append(key_state)
            key_state.refresh()
        self._notify()

    def set_seat(
        self,
        *,
        group: str,
        units: Mapping[str, int],
        limits: Mapping[str, int],
        valid_until_s: float,
        cap: Mapping[str, int] | None = None,
    ) -> None:
        """Use the seat's units until valid_until_s, up to the cap if given.

        The limits are those in force when the units were allocated. The cap
        replaces the previous one before the on_free callbacks run.
        """
        seat = self._seat_state(group)
        seat.units = units
        seat.limits = limits
        seat.cap = cap
        seat.valid_until_s = valid_until_s
        self._refresh_keys(seat)
        self._notify()

    def drop_seat(self, group: str) -> None:
        """Stop using the units of a group."""
        seat = self._seat_state(group)
        seat.units = {}
        seat.cap = None
        seat.valid_until_s = -math.inf
        self._refresh_keys(seat)

    def set_cap(self, *, group: str, units: Mapping[str, int]) -> None:
        """Stop using units above these amounts; missing keys count as 0.

        The cap applies until the next call of set_seat or drop_seat.
        """
        seat = self._seat_state(group)
        seat.cap = units
        self._refresh_keys(seat)

    @property
    def accounts(self) -> tuple[model.KeyAccount, ...]:
        """Return a summary of the units of every key, for operators."""
        now = self._process_due()
        lent: dict[str, int] = {}
        for loan in self._loans.values():
            for state, amount in loan.units:
                lent[state.key] = lent.get(state.key, 0) + amount
        return tuple(
            model.KeyAccount(
                key=key,
                limit=state.limit.limit if state.limit else 0,
                share=self._usable(state, now),
                in_use=state.in_use,
                lent=lent.get(key, 0),
            )
            for key, state in self._keys.items()
        )

    @property
    def seat_expiries(self) -> Mapping[str, float]:
        """Return the expiry time of each seat that has units."""
        return {
            group: seat.valid_until_s
            for group, seat in self._seats.items()
            if seat.units
        }

    def usable(self, key: str) -> int:
        """Return the allocated and borrowed units of a key.

        Allocated units do not count once the seat has expired.
        """
        state = self._keys.get(key)
        return 0 if state is None else self._usable(state, self._process_due())

    def free(self, key: str) -> int:
        """Return the units of a key that are free now, at least 0."""
        state = self._keys.get(key)
        if state is None:
            return 0
        return max(0, self._usable(state, self._process_due()) - state.in_use)

    def units_in_use(self, key: str) -> int:
        """Return the units of a key held, awaiting release or lent.

        The allocation cannot be reduced below this amount now.
        """
        self._process_due()
        state = self._keys.get(key)
        return 0 if state is None else state.in_use

    def release_delay_s(self, key: str) -> float | None:
        """Return the release delay of a key in s; None if it has no limit."""
        state = self._keys.get(key)
        if state is None or state.limit is None:
            return None
        return state.limit.release_delay_s

    def keys_in_use(self) -> tuple[str, ...]:
        """Return the keys with units held, awaiting release or lent."""
        self._process_due()
        return tuple(key for key, state in self._keys.items() if state.in_use)

    def try_hold(self, bundle: model.Bundle) -> Result[int, str]:
        """Reserve all units of a bundle and return the id of the hold.

        If a key has too few free units, reserve nothing and return the key.
        """
        reserved = self._reserve(
            bundle.units, self._process_due(), include_borrowed=True
        )
        if isinstance(reserved, str):
            return Failure(reserved)
        hold_id = next(self._hold_ids)
        self._holds[hold_id] = reserved
        return Success(hold_id)

    def shrink(self, hold_id: int, key: str, amount: int) -> None:
        """Reduce the units of a key in a hold to an amount.

        The surplus is free at once, as it was not used.
        """
        hold = self._holds.get(hold_id, [])
        for index, (state, units) in enumerate(hold):
            if state.key == key and units > amount:
                hold[index] = (state, amount)
                state.in_use -= units - amount
                self._notify()
                break

    def release(self, hold_id: int) -> None:
        """End a hold now; its units are free after their release delay."""
        self.release_at(hold_id, self._process_due())

    def release_at(self, hold_id: int, when_s: float) -> None:
        """End a hold at a given time; has no effect once it has ended."""
        hold = self._holds.pop(hold_id, None)
        if hold is not None and self._release_units(
            hold, when_s, self._process_due()
        ):
            self._notify()

    def lend(
        self,
        bundle_or_units: model.Bundle | Iterable[model.UnitAmount],
        *,
        loan_id: str,
        bundle_number: int,
        until_s: float,
    ) -> bool:
        """Reserve units for a borrower that may dispatch until until_s.

        The units are released when the loan is settled, otherwise after the
        longest hold that can start at until_s. Bundles are numbered from 1;
        plain units have number 0. Returns False if too few units are free
        or the seat expires before until_s.
        """
        is_bundle = isinstance(bundle_or_units, model.Bundle)
        if is_bundle != (bundle_number > 0):
            raise ValueError(
                f"bundle number {bundle_number} does not fit: "
                "plain units need 0, bundles at least 1"
            )
        units: Iterable[model.UnitAmount] = (
            bundle_or_units.units
            if isinstance(bundle_or_units, model.Bundle)
            else bundle_or_units
        )
        if (loan_id, bundle_number) in self._loans:
            return False
        # Checked at until_s, since a loan must not outlast the lender's seat
        # or the loans of units that are borrowed themselves.
        now = self._process_due()
        reserved = self._reserve(
            units, max(now, until_s), include_borrowed=is_bundle
        )
        if isinstance(reserved, str):
            return False
        loan = Loan(units=reserved)
        loan_key = (loan_id, bundle_number)
        self._loans[loan_key] = loan
        release_delay_s = max(
            (state.release_delay_s for state, _ in reserved), default=0.0
        )

        def expire() -> bool:
            if loan.settled:
                return False
            del self._loans[loan_key]
            for state, amount in loan.units:
                state.in_use -= amount
            return True

        self._schedule(
            until_s + const.REQUEST_HOLD_S + release_delay_s, expire
        )
        return True

    def settle(self, loan_id: str, bundle_number: int) -> None:
        """Take back the units of a loan; their release delay starts now."""
        loan = self._loans.pop((loan_id, bundle_number), None)
        if loan is None:
            return
        loan.settled = True
        now = self._process_due()
        if self._release_units(loan.units, now, now):
            self._notify()

    def borrow(
        self,
        units: Iterable[model.UnitAmount],
        *,
        loan_id: str,
        until_s: float,
    ) -> None:
        """Use plain units borrowed from another host until until_s.

        Until then they may also be lent to others as part of bundles.
        Afterwards requests that use them continue, but no other request is
        dispatched until the host's own units cover all units in use.
        """
        now = self._process_due()
        borrowed = [
            (state, amount)
            for state, amount in (
                (self._keys.get(key), amount) for key, amount in units
            )
            if state is not None
        ]
        if loan_id in self._borrowed:
            return
        borrowing = self._borrowed[loan_id] = BorrowedUnits(
            units=borrowed, until_s=until_s
        )
        for state, amount in borrowed:
            state.borrowed += amount
        if until_s <= now:
            borrowing.end()
        else:
            self._schedule(until_s, borrowing.end)

    def return_borrowed(self, loan_id: str) -> bool:
        """Stop using borrowed units; return False while they are needed.

        The lender may use the units as soon as it is notified, so all units
        in use here must be covered by own units and other loans.
        """
        borrowing = self._borrowed.get(loan_id)
        if borrowing is None:
            return False
        now = self._process_due()
        for state, amount in borrowing.units:
            returned = amount if borrowing.active else 0
            if state.in_use > max(0, self._usable(state, now) - returned):
                return False
        borrowing.end()
        del self._borrowed[loan_id]
        return True

    def drop_borrowed(self, loan_id: str) -> None:
        """Remove a loan whose units the lender has reclaimed on expiry."""
        borrowing = self._borrowed.pop(loan_id, None)
        if borrowing is not None:
            borrowing.end()

    def _process_due(self) -> float:
        """Release the units that are due and return the current time."""
        now = self.timer.monotonic()
        due = self._scheduled
        while due and due[0][0] <= now:
            heapq.heappop(due)[2]()
        return now

    def _usable(self, state: KeyState, at_s: float) -> int:
        if state.limit is None:
            return 0
        seat = state.seat
        if seat is None or at_s >= seat.valid_until_s:
            return state.borrowed
        return state.allocated + state.borrowed

    def _borrowed_at(self, state: KeyState, at_s: float) -> int:
        if not state.borrowed:
            return 0
        return sum(
            amount
            for borrowing in self._borrowed.values()
            if borrowing.active and at_s < borrowing.until_s
            for other, amount in borrowing.units
            if other is state
        )

    def _reserve(
        self,
        units: Iterable[model.UnitAmount],
        at_s: float,
        *,
        include_borrowed: bool,
    ) -> list[tuple[KeyState, int]] | str:
        """Reserve all units, or none and return the first key that lacks them.

        At at_s the seat and the loans counted here must still be valid.
        """
        keys = self._keys
        reserved: list[tuple[KeyState, int]] = []
        for key, amount in units:
            state = keys.get(key)
            if state is None or amount > (
                self._usable(state, at_s)
                - state.borrowed
                + (self._borrowed_at(state, at_s) if include_borrowed else 0)
                - state.in_use
            ):
                for other, other_amount in reserved:
                    other.in_use -= other_amount
                return key
            state.in_use += amount
            reserved.append((state, amount))
        return reserved

    def _release_units(
        self, units: list[tuple[KeyState, int]], when_s: float, now: float
    ) -> bool:
        """Release units after their delay; return whether any are free now."""
        freed = False
        for state, amount in units:
            free_at_s = when_s + state.release_delay_s
            if free_at_s <= now:
                state.in_use -= amount
                freed = True
            else:
                self._schedule(free_at_s, self._make_release(state, amount))
        return freed

    def _make_release(
        self, state: KeyState, amount: int
    ) -> Callable[[], bool]:
        def free() -> bool:
            state.in_use -= amount
            return True

        return free

    def _schedule(self, when_s: float, action: Callable[[], bool]) -> None:
        heapq.heappush(self._scheduled, (when_s, next(self._sequence), action))
        self._set_timer()

    def _set_timer(self) -> None:
        if not self._scheduled or self._scheduled[0][0] >= self._timer_at_s:
            return
        if self._timer_subscription is not None:
            self._timer_subscription.cancel()
        self._timer_at_s = self._scheduled[0][0]
        self._timer_subscription = self.timer.call_at(
            when_s=self._timer_at_s, callback=self._on_timer
        )

    def _on_timer(self) -> None:
        self._timer_subscription = None
        self._timer_at_s = math.inf
        self._process_due()
        self._set_timer()
        self._notify()

    def _seat_state(self, group: str) -> SeatState:
        seat = self._seats.get(group)
        if seat is None:
            seat = self._seats[group] = SeatState()
        return seat

    def _refresh_keys(self, seat: SeatState) -> None:
        for state in seat.states:
            state.refresh()

    def _notify(self) -> None:
        for callback in self.on_free:
            callback()
