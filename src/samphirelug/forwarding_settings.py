"""Define the settings of an entry host that forwards by routes."""

from collections.abc import Mapping
from typing import NamedTuple

from samphirelug import core


class SocketAddress(NamedTuple):
    """Hold an address to listen on."""

    host: str
    port: int

    @property
    def text(self) -> str:
        """Return host:port."""
        return f"{self.host}:{self.port}"


class RetryLimits(NamedTuple):
    """Bound repeated attempts, summed over all entry hosts."""

    ratio: float
    slack: float
    window_s: float


class HostResources(NamedTuple):
    """Hold what the host may use."""

    # Of the speed that the host's times are measured at.
    cores: float
    link_mbps: float


class ForwardingSettings(NamedTuple):
    """Hold what a forwarding entry host needs to know at start."""

    name: str
    zone: core.AvailabilityZone
    # Region of each availability zone.
    zones: Mapping[str, str]
    callers: SocketAddress
    ready: SocketAddress
    directory: SocketAddress
    peers: SocketAddress
    metrics: SocketAddress
    store_url: str
    retries: RetryLimits
    # Time from the signal to stop until the process is killed.
    stop_grace_s: float
    # Longest time that callers keep a look-up answer.
    lookup_keep_s: float
    # Time after which a server that leaves gets no new request.
    drain_s: float
    resources: HostResources
