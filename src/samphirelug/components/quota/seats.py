"""Plan an entry host's seat in a seat table, and convert tables to JSON.

A seat's weight for a key is its units divided by the limit in force when they
were allocated. The weights of all seats add up to at most 1 in every version
of a table. Under a lower limit, a holder scales its units by its weight, so
the sum over all holders is at most the limit that they all know.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Annotated
from typing import Any
from typing import NamedTuple
from typing import NotRequired

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from typing_extensions import TypedDict
import xxhash

from samphirelug.components.quota import const
from samphirelug.components.quota import model
from samphirelug.helpers import rendezvous

Amount = Annotated[int, pydantic.Field(ge=0, strict=True)]


class SeatValue(TypedDict):
    """Define the stored form of a seat."""

    incarnation: str
    address: str
    renewal: Amount
    # Index into the table's limits.
    limits: Amount
    units: list[Amount]
    free_after_s: NotRequired[Annotated[float, pydantic.Field(ge=0.0)]]


class SeatTableValue(TypedDict):
    """Define the stored form of a seat table.

    Units and limits are lists in the order of keys, and seats share rows of
    limits, since a table must stay below MAX_OBJECT_BYTES.
    """

    keys: list[str]
    limits: list[list[Amount]]
    seats: dict[str, SeatValue]


_TABLE = pydantic.TypeAdapter(SeatTableValue)


class SeatPlan(NamedTuple):
    """Represent a proposed version of a table, and of one seat in it."""

    table: model.SeatTable
    # None if the host leaves the group.
    seat: model.Seat | None
    changed: bool


class Imbalance(NamedTuple):
    """Represent the difference between a seat and its fair share."""

    # The seat has more units of some key than the share, by any amount or by
    # a large one.
    excess: bool
    large_excess: bool
    # The seat has fewer units of some key than the share.
    deficit: bool


def table_key(group: str) -> str:
    """Return the key of a group's table in the object store."""
    return f"seats/{group}"


def encode_table(table: model.SeatTable) -> SeatTableValue:
    """Convert a table to its JSON object."""
    keys = sorted({key for seat in table.seats.values() for key in seat.units})
    limits: dict[tuple[int, ...], int] = {}
    seats: dict[str, SeatValue] = {}
    for host, seat in table.seats.items():
        row = tuple(seat.limits.get(key, 0) for key in keys)
        seats[host] = {
            "incarnation": seat.incarnation,
            "address": seat.address,
            "renewal": seat.renewal,
            "limits": limits.setdefault(row, len(limits)),
            "units": [seat.units.get(key, 0) for key in keys],
        }
        if seat.free_after_s is not None:
            seats[host]["free_after_s"] = seat.free_after_s
    return {
        "keys": keys,
        "limits": [list(row) for row in limits],
        "seats": seats,
    }


def decode_table(
    group: str, value: Mapping[str, Any]
) -> Result[model.SeatTable, str]:
    """Validate a JSON object and return its table, or the error."""
    try:
        parsed = _TABLE.validate_python(dict(value))
    except pydantic.ValidationError as error:
        return Failure(str(error))
    keys = parsed["keys"]
    if len(set(keys)) != len(keys):
        return Failure("duplicate keys")
    seats: dict[str, model.Seat] = {}
    for host, seat in parsed["seats"].items():
        if seat["limits"] >= len(parsed["limits"]):
            return Failure(f"seat {host}: index of limits is out of range")
        limits = parsed["limits"][seat["limits"]]
        if not len(seat["units"]) == len(limits) == len(keys):
            return Failure(
                f"seat {host}: units or limits differ in number from keys"
            )
        rows = list(zip(keys, seat["units"], limits, strict=True))
        if any(units > limit for _, units, limit in rows):
            return Failure(f"seat {host}: units exceed the limit")
        seats[host] = model.Seat(
            host=host,
            incarnation=seat["incarnation"],
            address=seat["address"],
            renewal=seat["renewal"],
            units={key: units for key, units, _ in rows if units},
            limits={key: limit for key, units, limit in rows if units},
            free_after_s=seat.get("free_after_s"),
        )
    return Success(model.SeatTable(group, seats))


def longest_hold_s(limits: Iterable[model.QuotaLimit]) -> float:
    """Return how long units may be in use after their lease, in s."""
    release_delay_s = max(
        (limit.release_delay_s for limit in limits), default=0.0
    )
    return const.LOAN_S + const.REQUEST_HOLD_S + release_delay_s


def fair_share(
    *, limits: Mapping[str, int], host: str, hosts: frozenset[str]
) -> dict[str, int]:
    """Return a host's share of each limit, split evenly between hosts."""
    shares: dict[str, int] = {}
    names = [name.encode() for name in hosts]
    for key, limit in limits.items():
        share, remainder = divmod(limit, len(hosts))
        if remainder:
            share += _rendezvous_index(key, host, hosts, names) < remainder
        shares[key] = share
    return shares


def _rendezvous_index(
    key: str, host: str, hosts: frozenset[str], names: list[bytes]
) -> int:
    """Return the host's index in rendezvous.rank_names, without sorting.

    A table has hundreds of keys and hosts; sorting all hosts for each key
    blocks the event loop for 20 ms.
    """
    prefix = f"{key}\0".encode()
    weights = [xxhash.xxh64_intdigest(prefix + name) for name in names]
    own = xxhash.xxh64_intdigest(prefix + host.encode())
    if weights.count(own) != 1:
        return rendezvous.rank_names(key=key, names=hosts).index(host)
    return sum(map(own.__lt__, weights))


def units_under_limit(seat: model.Seat | None, key: str, limit: int) -> int:
    """Return a seat's units, scaled down under a lower limit in force."""
    if seat is None:
        return 0
    units = seat.units.get(key, 0)
    allocated_limit = seat.limits.get(key, limit)
    return (
        units * limit // allocated_limit if limit < allocated_limit else units
    )


def compare_with_fair_shares(
    seat: model.Seat | None,
    *,
    fair_shares: Mapping[str, int],
    limits: Mapping[str, int],
) -> Imbalance:
    """Compare a seat with its host's fair share of each key.

    An excess is large if it is more than a quarter of the share. In a large
    group a new host changes each share by less; if every host wrote the
    table for each new host, they would exceed the store's call budget.
    """
    excess = large_excess = deficit = False
    for key, limit in limits.items():
        share = fair_shares.get(key, 0)
        surplus = units_under_limit(seat, key, limit) - share
        excess = excess or surplus > 0
        large_excess = large_excess or surplus * 4 > share
        deficit = deficit or surplus < 0
    return Imbalance(excess, large_excess, deficit)


def plan_seat(
    *,
    table: model.SeatTable,
    host: str,
    incarnation: str,
    address: str,
    renewal: int,
    fair_shares: Mapping[str, int],
    limits: Mapping[str, int],
    units_in_use: Mapping[str, int],
    expired: frozenset[str],
    leaving: bool,
    free_after_s: float | None = None,
) -> SeatPlan:
    """Plan the host's own seat and remove the expired seats of others.

    Units are raised to the fair share as far as others leave them free, or
    lowered to it, but not below the units in use.
    """
    own_seat = table.seats.get(host)
    others = {
        name: seat
        for name, seat in table.seats.items()
        if name != host and name not in expired
    }
    units_of_others = _units_of_others(others.values(), limits)
    units: dict[str, int] = {}
    unit_limits: dict[str, int] = {}
    for key in limits.keys() | (own_seat.units.keys() if own_seat else set()):
        amount, limit = _plan_key(
            key,
            limit=limits.get(key, 0),
            share=0 if leaving else fair_shares.get(key, 0),
            units_in_use=units_in_use.get(key, 0),
            own_seat=own_seat,
            units_of_others=units_of_others.get(key, 0),
        )
        if amount:
            units[key] = amount
            unit_limits[key] = limit
    seat: model.Seat | None = None
    if units or not leaving:
        seat = model.Seat(
            host,
            incarnation,
            address,
            renewal,
            units,
            unit_limits,
            free_after_s,
        )
        others[host] = seat
    unchanged = (
        seat is not None
        and own_seat is not None
        and seat._replace(renewal=0, address="")
        == own_seat._replace(renewal=0, address="")
    )
    return SeatPlan(
        table=model.SeatTable(table.group, others),
        seat=seat,
        changed=not unchanged and (seat is not None or own_seat is not None),
    )


def _units_of_others(
    others: Iterable[model.Seat], limits: Mapping[str, int]
) -> dict[str, int]:
    """Return the units of each limit in force that other seats have.

    Rounded up, so that the weights never add up to more than 1.
    """
    units_of_others = dict.fromkeys(limits, 0)
    for seat in others:
        allocated_limits = seat.limits
        for key, units in seat.units.items():
            limit, allocated_limit = limits.get(key, 0), allocated_limits[key]
            if limit == allocated_limit:
                units_of_others[key] += units
            elif limit:
                units_of_others[key] -= -units * limit // allocated_limit
    return units_of_others


def _plan_key(
    key: str,
    *,
    limit: int,
    share: int,
    units_in_use: int,
    own_seat: model.Seat | None,
    units_of_others: int,
) -> tuple[int, int]:
    current_units = own_seat.units.get(key, 0) if own_seat else 0
    current_limit = own_seat.limits.get(key, limit) if own_seat else limit
    scaled = units_under_limit(own_seat, key, limit)
    target = min(share, max(scaled, limit - units_of_others))
    units_in_use = min(units_in_use, current_units)
    if units_in_use <= target:
        return target, limit
    if units_in_use <= scaled:
        return units_in_use, limit
    # More units are in use than the lowered limit allows. They keep the old
    # limit, since the seat's weight must not grow.
    return units_in_use, current_limit


class SeatTracker:
    """Measure by the local clock how long seats have not been renewed."""

    def __init__(self) -> None:
        # Incarnation, renewal counter and the time when that pair was first
        # seen, by host.
        self.seen: dict[str, tuple[str, int, float]] = {}
        self.free_after_s: dict[str, float] = {}

    def observe(self, table: model.SeatTable, *, now: float) -> None:
        """Record a table that has been read from the store by now."""
        seen: dict[str, tuple[str, int, float]] = {}
        for host, seat in table.seats.items():
            previous = self.seen.get(host)
            if previous and previous[:2] == (seat.incarnation, seat.renewal):
                seen[host] = previous
            else:
                seen[host] = (seat.incarnation, seat.renewal, now)
        self.seen = seen
        self.free_after_s = {
            host: seat.free_after_s / (1.0 - const.MAX_CLOCK_DRIFT)
            for host, seat in table.seats.items()
            if seat.free_after_s is not None
        }

    def expired(self, *, now: float, wait_s: float) -> frozenset[str]:
        """Return the hosts whose units can no longer be in use.

        Their renewal counter has not changed for wait_s, or for the shorter
        free_after_s that a stopping holder has stored.
        """
        return frozenset(
            host
            for host, (_, _, first_seen_at_s) in self.seen.items()
            if now - first_seen_at_s >= min(wait_s, self._free_after(host))
        )

    def next_free_at_s(self) -> float:
        """Return when the next units of a stopping holder become free."""
        return min(
            (
                self.seen[host][2] + wait_s
                for host, wait_s in self.free_after_s.items()
            ),
            default=math.inf,
        )

    def _free_after(self, host: str) -> float:
        return self.free_after_s.get(host, math.inf)
