"""Define the identities that all components share."""

import enum
from typing import NamedTuple


class Rank(enum.IntEnum):
    """Order classes of work, the most urgent first."""

    URGENT = 0
    INTERACTIVE = 1
    EXPORT = 2

    @property
    def label(self) -> str:
        """Return the name that settings, metrics and JSON use."""
        return self.name.lower()


class WorkClass(enum.StrEnum):
    """Name the classes of work that a catalogue entry can have."""

    FILING = "filing"
    PAYMENT = "payment"
    ORDER = "order"
    CERTIFICATE = "certificate"
    STATUS = "status"
    LOOKUP = "lookup"
    EXPORT = "export"

    @property
    def rank(self) -> Rank:
        """Return the rank that follows from the class."""
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
    """Name an availability zone and the region that it is part of."""

    name: str
    region: str


class EntryHostState(enum.StrEnum):
    """Name the states that an entry host announces to its peers."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class EntryHost(NamedTuple):
    """Identify one process of an entry host and where it listens."""

    name: str
    # Differs for each start of the process, also on the same host.
    incarnation: str
    zone: AvailabilityZone
    # HTTP base address for callers, one for each rank, by Rank value.
    caller_urls: tuple[str, str, str]
    peer_url: str


class BackendServer(NamedTuple):
    """Describe one worker of a backend service."""

    name: str
    service: str
    zone: AvailabilityZone
    # host:port
    address: str
    slots: int
    connections: int


class CallerRequest(NamedTuple):
    """Hold one request of a caller as the entry host received it."""

    request_id: str
    work: str
    rank: Rank
    method: str
    # Path below the work's prefix, with a leading slash.
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # On the entry host's own monotonic clock.
    deadline_at_s: float
    home_region: str
    run_token: str | None


class Answer(NamedTuple):
    """Hold the whole answer of a backend server."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    server: str
