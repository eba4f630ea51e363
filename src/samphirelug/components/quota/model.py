"""Define units of quota and what holds them."""

from collections.abc import Mapping
from typing import NamedTuple


class QuotaLimit(NamedTuple):
    """Bound the units of one key that may be in use at any moment."""

    key: str
    # Seat table that divides the units: "region/<r>" or "link/<a>+<b>".
    group: str
    limit: int
    # Units stay reserved for this long after their request has ended.
    linger_s: float


class UnitAmount(NamedTuple):
    """Count units of one key."""

    key: str
    amount: int


class Bundle(NamedTuple):
    """Hold all units that one request to one backend server needs."""

    region: str
    server: str
    units: tuple[UnitAmount, ...]


class Seat(NamedTuple):
    """Hold an entry host's leased allotment in one seat table."""

    host: str
    incarnation: str
    # Counts up with each renewal; standing still means a lapsing lease.
    renewal: int
    units: Mapping[str, int]


class SeatTable(NamedTuple):
    """Divide the units of one group between entry hosts."""

    group: str
    # Limits that the units were divided under.
    limits: Mapping[str, int]
    seats: Mapping[str, Seat]
