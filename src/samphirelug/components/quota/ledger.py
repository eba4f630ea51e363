"""Account for the quota units that this entry host uses or lends."""

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
    """Hold this host's allotment in one group."""

    __slots__ = ("cap", "limits", "states", "units", "valid_until_s")

    def __init__(self) -> None:
        self.states: list[KeyState] = []
        self.units: Mapping[str, int] = {}
        self.limits: Mapping[str, int] = {}
        self.cap: Mapping[str, int] | None = None
        self.valid_until_s = -math.inf

    def allocated(self, key: str, limit: int) -> int:
        """Return the units that may be used under the limit in force."""
        units = self.units.get(key, 0)
        limit_then = self.limits.get(key, limit)
        if limit < limit_then:
            units = units * limit // limit_then
        if self.cap is not None:
            units = min(units, self.cap.get(key, 0))
        return units


class KeyState:
    """Hold the account of one key."""

    __slots__ = ("allocated", "borrowed", "key", "limit", "seat", "taken")

    def __init__(self, *, key: str) -> None:
        self.key = key
        self.limit: model.QuotaLimit | None = None
        self.seat: SeatState | None = None
        # Units allotted under the limit in force, if the seat is valid.
        self.allocated = 0
        # Plain units of other hosts, until their time runs out.
        self.borrowed = 0
        # Units held, lingering and lent.
        self.taken = 0

    def refresh(self) -> None:
        """Derive the allotment anew after its causes changed."""
        self.allocated = 0
        if self.limit is not None and self.seat is not None:
            self.allocated = self.seat.allocated(self.key, self.limit.limit)

    @property
    def release_delay_s(self) -> float:
        """Return the linger time of the key, in seconds."""
        return self.limit.release_delay_s if self.limit is not None else 0.0


class Loan:
    """Hold units lent to a borrower until settled or run out."""

    __slots__ = ("settled", "units")

    def __init__(self, *, units: list[tuple[KeyState, int]]) -> None:
        self.units = units
        self.settled = False


class Borrowing:
    """Hold plain units of another host until they are given back."""

    __slots__ = ("active", "units", "until_s")

    def __init__(
        self, *, units: list[tuple[KeyState, int]], until_s: float
    ) -> None:
        self.units = units
        self.until_s = until_s
        self.active = True

    def end(self) -> bool:
        """Stop using the units; tell if they were in use until now."""
        ended, self.active = self.active, False
        if ended:
            for state, amount in self.units:
                state.borrowed -= amount
        return ended


class QuotaLedger:
    """Decide whether units are free, and count those in use."""

    def __init__(self, *, timer: timer_helper.TimerService) -> None:
        self.timer = timer
        self.on_free: list[Callable[[], None]] = []
        self._keys: dict[str, KeyState] = {}
        self._seats: dict[str, SeatState] = {}
        self._holds: dict[int, list[tuple[KeyState, int]]] = {}
        self._loans: dict[tuple[str, int], Loan] = {}
        self._borrowings: dict[str, Borrowing] = {}
        self._hold_ids = itertools.count(1)
        # Units that come free at a time, ordered by that time.
        self._due: list[tuple[float, int, Callable[[], bool]]] = []
        self._order = itertools.count()
        self._wake: timer_helper.Subscription | None = None
        self._wake_at_s = math.inf

    def set_limits(self, limits: Mapping[str, model.QuotaLimit]) -> None:
        """Put limits in force; keys that are left out get none."""
        for seat in self._seats.values():
            seat.states = []
        for key, state in list(self._keys.items()):
            if key not in limits:
                state.limit = None
                state.refresh()
                if not state.taken:
                    del self._keys[key]
        for key, limit in limits.items():
            known = self._keys.get(key)
            if known is None:
                known = self._keys[key] = KeyState(key=key)
            known.limit = limit
            known.seat = self._seat(limit.group)
            known.seat.states.append(known)
            known.refresh()
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
        """Use an allotment until a time, under a cap if there is one.

        The limits are those that the units were allotted under. The cap
        replaces the former one before anyone hears of free units.
        """
        seat = self._seat(group)
        seat.units = units
        seat.limits = limits
        seat.cap = cap
        seat.valid_until_s = valid_until_s
        self._refresh(seat)
        self._notify()

    def drop_seat(self, group: str) -> None:
        """Stop using the units of a group."""
        seat = self._seat(group)
        seat.units = {}
        seat.cap = None
        seat.valid_until_s = -math.inf
        self._refresh(seat)

    def cap(self, *, group: str, units: Mapping[str, int]) -> None:
        """Stop using units above these amounts, 0 for keys left out.

        The cap stands until the next set_seat or drop_seat.
        """
        seat = self._seat(group)
        seat.cap = units
        self._refresh(seat)

    @property
    def accounts(self) -> tuple[model.KeyAccount, ...]:
        """Return the account of every key, for operators."""
        now = self._now()
        lent: dict[str, int] = {}
        for loan in self._loans.values():
            for state, amount in loan.units:
                lent[state.key] = lent.get(state.key, 0) + amount
        return tuple(
            model.KeyAccount(
                key=key,
                limit=state.limit.limit if state.limit else 0,
                share=self._usable(state, now),
                in_use=state.taken,
                lent=lent.get(key, 0),
            )
            for key, state in self._keys.items()
        )

    @property
    def seat_expiries(self) -> Mapping[str, float]:
        """Return the time until which each seat with units is valid."""
        return {
            group: seat.valid_until_s
            for group, seat in self._seats.items()
            if seat.units
        }

    def usable(self, key: str) -> int:
        """Return the own and borrowed units of a key.

        The own ones are 0 once the seat has lapsed.
        """
        state = self._keys.get(key)
        return 0 if state is None else self._usable(state, self._now())

    def free(self, key: str) -> int:
        """Return the units of a key that may be taken now, at least 0."""
        state = self._keys.get(key)
        if state is None:
            return 0
        return max(0, self._usable(state, self._now()) - state.taken)

    def units_in_use(self, key: str) -> int:
        """Return the least that the allotment can be lowered to now."""
        self._now()
        state = self._keys.get(key)
        return 0 if state is None else state.taken

    def release_delay_s(self, key: str) -> float | None:
        """Return the linger time of a key; None where it has no limit."""
        state = self._keys.get(key)
        if state is None or state.limit is None:
            return None
        return state.limit.release_delay_s

    def keys_in_use(self) -> tuple[str, ...]:
        """Return the keys that have units held, lingering or lent."""
        self._now()
        return tuple(key for key, state in self._keys.items() if state.taken)

    def try_hold(self, bundle: model.Bundle) -> Result[int, str]:
        """Take all units of a bundle, or none and name the key lacking."""
        taken = self._take(bundle.units, self._now(), borrowed=True)
        if isinstance(taken, str):
            return Failure(taken)
        hold_id = next(self._hold_ids)
        self._holds[hold_id] = taken
        return Success(hold_id)

    def shrink(self, hold_id: int, key: str, amount: int) -> None:
        """Give back the units of a hold above an amount, unused."""
        hold = self._holds.get(hold_id, [])
        for index, (state, units) in enumerate(hold):
            if state.key == key and units > amount:
                hold[index] = (state, amount)
                state.taken -= units - amount
                self._notify()
                break

    def release(self, hold_id: int) -> None:
        """End a hold now; units of keys that linger come free later."""
        self.release_at(hold_id, self._now())

    def release_at(self, hold_id: int, when_s: float) -> None:
        """End a hold at a time; has no effect on a hold that has ended."""
        hold = self._holds.pop(hold_id, None)
        if hold is not None and self._end(hold, when_s, self._now()):
            self._notify()

    def lend(
        self,
        bundle_or_units: model.Bundle | Iterable[model.UnitAmount],
        *,
        loan_id: str,
        bundle_number: int,
        until_s: float,
    ) -> bool:
        """Take units for a borrower that may dispatch until until_s.

        The units come free when settled, else after the longest hold that
        may follow until_s. Bundles are numbered from 1; plain units have
        number 0. Returns False where units or the seat do not suffice.
        """
        is_bundle = isinstance(bundle_or_units, model.Bundle)
        if is_bundle != (bundle_number > 0):
            raise ValueError(f"bundle number {bundle_number} out of place")
        units: Iterable[model.UnitAmount] = (
            bundle_or_units.units
            if isinstance(bundle_or_units, model.Bundle)
            else bundle_or_units
        )
        if (loan_id, bundle_number) in self._loans:
            return False
        # Checked at until_s, since a loan may not outlast the lender's seat
        # nor the time of units that are borrowed themselves.
        now = self._now()
        taken = self._take(units, max(now, until_s), borrowed=is_bundle)
        if isinstance(taken, str):
            return False
        loan = Loan(units=taken)
        place = (loan_id, bundle_number)
        self._loans[place] = loan
        release_delay_s = max(
            (state.release_delay_s for state, _ in taken), default=0.0
        )

        def run_out() -> bool:
            if loan.settled:
                return False
            del self._loans[place]
            for state, amount in loan.units:
                state.taken -= amount
            return True

        self._at(until_s + const.REQUEST_HOLD_S + release_delay_s, run_out)
        return True

    def settle(self, loan_id: str, bundle_number: int) -> None:
        """Take back a loan's units; their linger time starts now."""
        loan = self._loans.pop((loan_id, bundle_number), None)
        if loan is None:
            return
        loan.settled = True
        now = self._now()
        if self._end(loan.units, now, now):
            self._notify()

    def borrow(
        self,
        units: Iterable[model.UnitAmount],
        *,
        loan_id: str,
        until_s: float,
    ) -> None:
        """Use plain units of another host until a time.

        They may be lent on in bundles until the same time. Afterwards
        requests that use them go on, and no other is dispatched until the
        own units cover all in use.
        """
        now = self._now()
        taken = [
            (state, amount)
            for state, amount in (
                (self._keys.get(key), amount) for key, amount in units
            )
            if state is not None
        ]
        if loan_id in self._borrowings:
            return
        borrowing = self._borrowings[loan_id] = Borrowing(
            units=taken, until_s=until_s
        )
        for state, amount in taken:
            state.borrowed += amount
        if until_s <= now:
            borrowing.end()
        else:
            self._at(until_s, borrowing.end)

    def give_back(self, loan_id: str) -> bool:
        """Stop using borrowed units; False while requests still need them.

        The lender may use the units as it hears of this, so all in
        use here must fit in the own units and those of other loans.
        """
        borrowing = self._borrowings.get(loan_id)
        if borrowing is None:
            return False
        now = self._now()
        for state, amount in borrowing.units:
            mine = amount if borrowing.active else 0
            if state.taken > max(0, self._usable(state, now) - mine):
                return False
        borrowing.end()
        del self._borrowings[loan_id]
        return True

    def forget(self, loan_id: str) -> None:
        """Drop a loan whose units the lender has taken back by itself."""
        borrowing = self._borrowings.pop(loan_id, None)
        if borrowing is not None:
            borrowing.end()

    def _now(self) -> float:
        now = self.timer.monotonic()
        due = self._due
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

    def _borrowed(self, state: KeyState, at_s: float) -> int:
        if not state.borrowed:
            return 0
        return sum(
            amount
            for borrowing in self._borrowings.values()
            if borrowing.active and at_s < borrowing.until_s
            for other, amount in borrowing.units
            if other is state
        )

    def _take(
        self,
        units: Iterable[model.UnitAmount],
        at_s: float,
        *,
        borrowed: bool,
    ) -> list[tuple[KeyState, int]] | str:
        keys = self._keys
        taken: list[tuple[KeyState, int]] = []
        for key, amount in units:
            state = keys.get(key)
            if state is None or amount > (
                self._usable(state, at_s)
                - state.borrowed
                + (self._borrowed(state, at_s) if borrowed else 0)
                - state.taken
            ):
                for other, other_amount in taken:
                    other.taken -= other_amount
                return key
            state.taken += amount
            taken.append((state, amount))
        return taken

    def _end(
        self, units: list[tuple[KeyState, int]], when_s: float, now: float
    ) -> bool:
        freed = False
        for state, amount in units:
            free_at_s = when_s + state.release_delay_s
            if free_at_s <= now:
                state.taken -= amount
                freed = True
            else:
                self._at(free_at_s, self._free_later(state, amount))
        return freed

    def _free_later(self, state: KeyState, amount: int) -> Callable[[], bool]:
        def free() -> bool:
            state.taken -= amount
            return True

        return free

    def _at(self, when_s: float, action: Callable[[], bool]) -> None:
        heapq.heappush(self._due, (when_s, next(self._order), action))
        self._arm()

    def _arm(self) -> None:
        if not self._due or self._due[0][0] >= self._wake_at_s:
            return
        if self._wake is not None:
            self._wake.cancel()
        self._wake_at_s = self._due[0][0]
        self._wake = self.timer.call_at(
            when_s=self._wake_at_s, callback=self._woken
        )

    def _woken(self) -> None:
        self._wake = None
        self._wake_at_s = math.inf
        self._now()
        self._arm()
        self._notify()

    def _seat(self, group: str) -> SeatState:
        seat = self._seats.get(group)
        if seat is None:
            seat = self._seats[group] = SeatState()
        return seat

    def _refresh(self, seat: SeatState) -> None:
        for state in seat.states:
            state.refresh()

    def _notify(self) -> None:
        for callback in self.on_free:
            callback()
