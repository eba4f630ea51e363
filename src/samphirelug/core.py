"""Define the data types shared by all components."""

import enum
from typing import NamedTuple


class Rank(enum.IntEnum):
    """Represent the priority of a class of work, most urgent first."""

    URGENT = 0
    INTERACTIVE = 1
    EXPORT = 2

    @property
    def label(self) -> str:
        """Return the name used in settings, metrics and JSON."""
        return self.name.lower()


class WorkClass(enum.StrEnum):
    """Represent the classes of work that a catalogue entry can have."""

    FILING = "filing"
    PAYMENT = "payment"
    ORDER = "order"
    CERTIFICATE = "certificate"
    STATUS = "status"
    LOOKUP = "lookup"
    EXPORT = "export"

    @property
    def rank(self) -> Rank:
        """Return the rank of the class."""
        return _RANK_OF_CLASS[self]


_RANK_OF_CLASS = {
    WorkClass.FILING: Rank.URGENT,
    WorkClass.PAYMENT: Rank.URGENT,
    WorkClass.ORDER: Rank.URGENT,
    WorkClass.CERTIFICATE: Rank.URGENT,
    WorkClass.STATUS: Rank.INTERACTIVE,
    WorkClass.LOOKUP: Rank.INTERACTIVE,
    WorkClass.EXPORT: Rank.EXPORT,
}


class AvailabilityZone(NamedTuple):
    """Represent an availability zone and the region it belongs to."""

    name: str
    region: str


class EntryHostState(enum.StrEnum):
    """Represent the states that an entry host announces to its peers."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class EntryHost(NamedTuple):
    """Represent one process of an entry host and its addresses."""

    name: str
    # Unique to each start of the process, also on the same host.
    incarnation: str
    zone: AvailabilityZone
    # HTTP base URL for callers of each rank, indexed by Rank value.
    caller_urls: tuple[str, str, str]
    peer_url: str


class BackendServer(NamedTuple):
    """Represent one server of a backend service."""

    name: str
    service: str
    zone: AvailabilityZone
    # host:port
    address: str
    # Maximum number of requests in progress at the server at once.
    slots: int
    connections: int


class CallerRequest(NamedTuple):
    """Represent a request of a caller as the entry host received it."""

    request_id: str
    work: str
    rank: Rank
    method: str
    # Path below the prefix of the work entry, with a leading slash.
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # In seconds on the entry host's monotonic clock.
    deadline_at_s: float
    # Region of the caller. A request that runs in another region counts
    # towards the shift cap of that region.
    home_region: str
    run_token: str | None


class Answer(NamedTuple):
    """Represent the complete answer of a backend server."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    server: str
