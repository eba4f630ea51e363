"""Define backend server instances and entry host instances."""

from typing import NamedTuple

from samphirelug import core


class ServerInstance(NamedTuple):
    """Describe one incarnation of a backend server."""

    instance_id: str
    # Start of the process in Unix milliseconds; tells incarnations with the
    # same instance id apart. 0 if the server does not report it.
    started_unix_ms: int
    service: str
    zone: core.AvailabilityZone
    # host:port
    address: str
    slots: int
    draining: bool
    # On the entry host's monotonic clock; up to then the server is cold.
    cold_until_s: float

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what differs for each start of the server."""
        return (self.instance_id, self.started_unix_ms)


class HostInstance(NamedTuple):
    """Describe one incarnation of an entry host."""

    name: str
    # Differs for each start of the process.
    incarnation: str
    zone: core.AvailabilityZone
    # host:port for callers.
    caller_address: str
    # host:port for datagrams of other entry hosts.
    peer_address: str
    # Requests a second that the host can carry; 0 if it does not say.
    capacity_per_s: float = 0.0
