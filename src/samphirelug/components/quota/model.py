"""Define quota keys, units and seats.

A quota key names a limited resource, such as a region's requests in flight
or the bytes per second of a link. Its limit is a number of units. A seat is
an entry host's leased allocation of the units of one group of keys. Units
are lent between hosts in bundles, or as plain units of one key.
"""

from collections.abc import Mapping
from typing import NamedTuple


class QuotaLimit(NamedTuple):
    """Limit the units of one key that may be in use at any moment."""

    key: str
    # Name of the seat table that divides the units: "region/<r>" or
    # "link/<a>+<b>".
    group: str
    limit: int
    # Units remain in use for this long after their request has ended.
    release_delay_s: float


class UnitAmount(NamedTuple):
    """Represent a number of units of one key."""

    key: str
    amount: int


class KeyAccount(NamedTuple):
    """Summarize this entry host's units of one key."""

    key: str
    # For all entry hosts together.
    limit: int
    # Allocated and borrowed units that may be used now.
    share: int
    # Units held by requests, awaiting release or lent to other hosts.
    in_use: int
    lent: int


class Bundle(NamedTuple):
    """Represent all units needed for one request to one backend server."""

    region: str
    server: str
    units: tuple[UnitAmount, ...]


class Seat(NamedTuple):
    """Represent an entry host's leased allocation in one seat table."""

    host: str
    incarnation: str
    # Peer address of the holder. Only one process can be bound to it at a
    # time.
    address: str
    # Incremented with each renewal. The lease expires when it no longer
    # advances.
    renewal: int
    units: Mapping[str, int]
    # Limit of each key when its units were allocated. A holder that has not
    # received a newer limit keeps using its units under this one.
    limits: Mapping[str, int]
    # Set by a holder that is shutting down: it dispatches no more requests
    # under the seat, and all units are free this long after the write.
    free_after_s: float | None = None


class SeatTable(NamedTuple):
    """Represent how the units of one group are divided among hosts."""

    group: str
    seats: Mapping[str, Seat]


class SeatSettings(NamedTuple):
    """Configure the leases on seats."""

    lease_s: float = 900.0
    renew_interval_s: float = 300.0
    # Minimum time to wait after a lease ends; for a long lease, 1 % of it is
    # used instead, to allow for clock drift.
    margin_s: float = 10.0
    # Interval at which changed limits and hosts are detected.
    tick_s: float = 0.5
    # After a change, the hosts of a group spread their store calls over this
    # time multiplied by the number of hosts.
    spread_per_host_s: float = 0.05
    retry_s: float = 0.5
    retry_max_s: float = 30.0
    # Maximum time that a planned stop waits for units in use.
    release_timeout_s: float = 5.0
