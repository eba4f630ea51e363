"""Define instances of backend servers and entry hosts."""

from typing import NamedTuple

from samphirelug import core


class Incarnation(NamedTuple):
    """Identify one start of a backend server."""

    instance_id: str
    # 0 if the server does not report it.
    started_unix_ms: int


class ServerInstance(NamedTuple):
    """Describe one incarnation of a backend server."""

    instance_id: str
    # Start of the process in Unix milliseconds; distinguishes incarnations
    # with the same instance id. 0 if the server does not report it.
    started_unix_ms: int
    service: str
    zone: core.AvailabilityZone
    # host:port
    address: str
    # Number of requests that the server runs at the same time.
    slots: int
    draining: bool
    # End of the cold start on this entry host's monotonic clock. 0 if the
    # server was not cold when its object was decoded.
    cold_until_s: float
    # Number of the server's report that this entry shows; rises with each
    # report of an incarnation. 0 if the server does not number its reports.
    report_number: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return an identifier that differs for each start of the server."""
        return Incarnation(self.instance_id, self.started_unix_ms)


class Evacuations(NamedTuple):
    """Hold the evacuated zones as of a state of the store."""

    # A position, see store/position.py.
    revision: int
    zones: frozenset[str]


class HostInstance(NamedTuple):
    """Describe one incarnation of an entry host.

    Hosts store it in the platform's store by the names of its fields.
    """

    name: str
    # Identifier that differs for each start of the process.
    incarnation: str
    zone: core.AvailabilityZone
    # host:port for requests of callers.
    caller_address: str
    # host:port for datagrams from other entry hosts.
    peer_address: str
    # Requests per second that the host can handle; 0 if unknown.
    capacity_per_s: float = 0.0
