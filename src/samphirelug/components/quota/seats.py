"""Plan an entry host's part of a seat table, and read and write tables.

A seat's weight for a key is its units divided by the limit that they were
allotted under. The weights of all seats add up to at most 1 in every version
of a table. A holder's units under a lower limit are scaled by its weight, so
the sum over the holders is at most whichever limit they all know.
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
    """Lay out a seat in the store."""

    incarnation: str
    address: str
    renewal: Amount
    # Index into the table's limits.
    limits: Amount
    units: list[Amount]
    free_after_s: NotRequired[Annotated[float, pydantic.Field(ge=0.0)]]


class SeatTableValue(TypedDict):
    """Lay out a seat table in the store.

    Units and limits are lists in the order of keys, and limits are shared
    between seats, since a table must stay below MAX_OBJECT_BYTES.
    """

    keys: list[str]
    limits: list[list[Amount]]
    seats: dict[str, SeatValue]


_TABLE = pydantic.TypeAdapter(SeatTableValue)


class SeatPlan(NamedTuple):
    """Propose the next version of a table, and of one seat in it."""

    table: model.SeatTable
    # None where the host takes no further part in the group.
    seat: model.Seat | None
    changed: bool


class Imbalance(NamedTuple):
    """Compare a seat with its host's fair share."""

    # More units of some key than the share, by any or by a large amount.
    excess: bool
    large_excess: bool
    deficit: bool


def table_key(group: str) -> str:
    """Return the store's key for the table of a group."""
    return f"seats/{group}"


def encode_table(table: model.SeatTable) -> SeatTableValue:
    """Return the JSON object for a table."""
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
    """Check a JSON object and return its table, or what is wrong."""
    try:
        checked = _TABLE.validate_python(dict(value))
    except pydantic.ValidationError as error:
        return Failure(str(error))
    keys = checked["keys"]
    if len(set(keys)) != len(keys):
        return Failure("keys are not distinct")
    seats: dict[str, model.Seat] = {}
    for host, seat in checked["seats"].items():
        if seat["limits"] >= len(checked["limits"]):
            return Failure(f"seat {host} has no limits")
        limits = checked["limits"][seat["limits"]]
        if not len(seat["units"]) == len(limits) == len(keys):
            return Failure(f"seat {host} does not match the keys")
        rows = list(zip(keys, seat["units"], limits, strict=True))
        if any(units > limit for _, units, limit in rows):
            return Failure(f"seat {host} has units above the limit")
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
    """Return for how long units may be in use after their lease, in s."""
    release_delay_s = max(
        (limit.release_delay_s for limit in limits), default=0.0
    )
    return const.LOAN_S + const.REQUEST_HOLD_S + release_delay_s


def fair_share(
    *, limits: Mapping[str, int], host: str, hosts: frozenset[str]
) -> dict[str, int]:
    """Return a host's part of each limit when all hosts share evenly."""
    shares: dict[str, int] = {}
    names = [name.encode() for name in hosts]
    for key, limit in limits.items():
        share, remainder = divmod(limit, len(hosts))
        if remainder:
            share += _place(key, host, hosts, names) < remainder
        shares[key] = share
    return shares


def _place(
    key: str, host: str, hosts: frozenset[str], names: list[bytes]
) -> int:
    """Return the host's place in rendezvous.rank_names, without sorting.

    A table has hundreds of keys and hosts; ranking them all for each key
    holds up the event loop for 20 ms.
    """
    prefix = f"{key}\0".encode()
    weights = [xxhash.xxh64_intdigest(prefix + name) for name in names]
    own = xxhash.xxh64_intdigest(prefix + host.encode())
    if weights.count(own) != 1:
        return rendezvous.rank_names(key=key, names=hosts).index(host)
    return sum(map(own.__lt__, weights))


def units_under(seat: model.Seat | None, key: str, limit: int) -> int:
    """Return what a seat's units are worth under a limit in force."""
    if seat is None:
        return 0
    units = seat.units.get(key, 0)
    limit_then = seat.limits.get(key, limit)
    return units * limit // limit_then if limit < limit_then else units


def weigh(
    seat: model.Seat | None,
    *,
    fair_shares: Mapping[str, int],
    limits: Mapping[str, int],
) -> Imbalance:
    """Compare a seat with the fair share.

    An excess is large above a quarter of the share: in a large group a
    newcomer changes each share by less, and a write by every host for each
    newcomer would exceed the store's call budget.
    """
    excess = large_excess = deficit = False
    for key, limit in limits.items():
        share = fair_shares.get(key, 0)
        over = units_under(seat, key, limit) - share
        excess = excess or over > 0
        large_excess = large_excess or over * 4 > share
        deficit = deficit or over < 0
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
    """Plan the host's own seat, without the expired seats of others.

    Units are raised from the free pool up to the fair share, or lowered to
    it but not below the floors, which are in use.
    """
    mine = table.seats.get(host)
    others = {
        name: seat
        for name, seat in table.seats.items()
        if name != host and name not in expired
    }
    taken = _taken(others.values(), limits)
    units: dict[str, int] = {}
    unit_limits: dict[str, int] = {}
    for key in limits.keys() | (mine.units.keys() if mine else set()):
        amount, limit = _plan_key(
            key,
            limit=limits.get(key, 0),
            share=0 if leaving else fair_shares.get(key, 0),
            units_in_use=units_in_use.get(key, 0),
            mine=mine,
            taken=taken.get(key, 0),
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
    same = (
        seat is not None
        and mine is not None
        and seat._replace(renewal=0, address="")
        == mine._replace(renewal=0, address="")
    )
    return SeatPlan(
        table=model.SeatTable(table.group, others),
        seat=seat,
        changed=not same and (seat is not None or mine is not None),
    )


def _taken(
    others: Iterable[model.Seat], limits: Mapping[str, int]
) -> dict[str, int]:
    """Return what the seats of others take of each limit in force.

    Rounded up, so that the weights never add up to more than 1.
    """
    taken = dict.fromkeys(limits, 0)
    for seat in others:
        limits_then = seat.limits
        for key, units in seat.units.items():
            limit, limit_then = limits.get(key, 0), limits_then[key]
            if limit == limit_then:
                taken[key] += units
            elif limit:
                taken[key] -= -units * limit // limit_then
    return taken


def _plan_key(
    key: str,
    *,
    limit: int,
    share: int,
    units_in_use: int,
    mine: model.Seat | None,
    taken: int,
) -> tuple[int, int]:
    have = mine.units.get(key, 0) if mine else 0
    have_limit = mine.limits.get(key, limit) if mine else limit
    scaled = units_under(mine, key, limit)
    target = min(share, max(scaled, limit - taken))
    units_in_use = min(units_in_use, have)
    if units_in_use <= target:
        return target, limit
    if units_in_use <= scaled:
        return units_in_use, limit
    # More is in use than the lowered limit leaves. The old limit is kept
    # with the units, since the weight may not grow.
    return units_in_use, have_limit


class SeatTracker:
    """Measure on the own clock for how long seats were not renewed."""

    def __init__(self) -> None:
        # Host to incarnation, renewal counter and time first seen.
        self.seen: dict[str, tuple[str, int, float]] = {}
        self.free_after_s: dict[str, float] = {}

    def observe(self, table: model.SeatTable, *, now: float) -> None:
        """Record a table that was read from the store before now."""
        seen: dict[str, tuple[str, int, float]] = {}
        for host, seat in table.seats.items():
            known = self.seen.get(host)
            if known and known[:2] == (seat.incarnation, seat.renewal):
                seen[host] = known
            else:
                seen[host] = (seat.incarnation, seat.renewal, now)
        self.seen = seen
        self.free_after_s = {
            host: seat.free_after_s / (1.0 - const.CLOCK_DRIFT)
            for host, seat in table.seats.items()
            if seat.free_after_s is not None
        }

    def expired(self, *, now: float, wait_s: float) -> frozenset[str]:
        """Return the hosts whose units nobody can still be using.

        Their counter stood still for wait_s, or for the time that a holder
        that has stopped gave for its units.
        """
        return frozenset(
            host
            for host, (_, _, since_s) in self.seen.items()
            if now - since_s >= min(wait_s, self._free_after(host))
        )

    def next_free_s(self) -> float:
        """Return when the units of a stopped holder come free next."""
        return min(
            (
                self.seen[host][2] + wait_s
                for host, wait_s in self.free_after_s.items()
            ),
            default=math.inf,
        )

    def _free_after(self, host: str) -> float:
        return self.free_after_s.get(host, math.inf)
