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
    release_delay_s: float


class UnitAmount(NamedTuple):
    """Count units of one key."""

    key: str
    amount: int


class KeyAccount(NamedTuple):
    """Report this entry host's units of one key."""

    key: str
    # Of all entry hosts together.
    limit: int
    # Own units that may be used now.
    share: int
    # Own units held, lingering and lent.
    in_use: int
    lent: int


class Bundle(NamedTuple):
    """Hold all units that one request to one backend server needs."""

    region: str
    server: str
    units: tuple[UnitAmount, ...]


class Seat(NamedTuple):
    """Hold an entry host's leased allotment in one seat table."""

    host: str
    incarnation: str
    # Only one process at a time can be bound to it.
    address: str
    # Counts up with each renewal; standing still means a lapsing lease.
    renewal: int
    units: Mapping[str, int]
    # Limit of each key that the units were allotted under. A holder that
    # has not heard of a later limit uses its units under this one.
    limits: Mapping[str, int]
    # Set by a holder that is stopping: it dispatches nothing more under the
    # seat, and all units are free this long after the seat was written.
    free_after_s: float | None = None


class SeatTable(NamedTuple):
    """Divide the units of one group between entry hosts."""

    group: str
    seats: Mapping[str, Seat]


class SeatSettings(NamedTuple):
    """Set the times of the leases on seats."""

    lease_s: float = 900.0
    renew_interval_s: float = 300.0
    # Least time on top of the lease; 1 % of a longer lease for clock drift.
    margin_s: float = 10.0
    # How often changes of limits and hosts are looked for.
    tick_s: float = 0.5
    # Time over which the hosts of a group spread a change, for each host.
    spread_per_host_s: float = 0.05
    retry_s: float = 0.5
    retry_max_s: float = 30.0
    # Longest time that a planned stop waits for units to be released.
    release_timeout_s: float = 5.0
