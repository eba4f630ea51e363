"""Define the settings of an entry host that forwards by routes."""

from collections.abc import Mapping
from typing import NamedTuple

from samphirelug.components.allowance import model as allowance_model
from samphirelug import core


class SocketAddress(NamedTuple):
    """Represent an address to listen on."""

    host: str
    port: int

    @property
    def text(self) -> str:
        """Return host:port."""
        return f"{self.host}:{self.port}"


class RetryLimits(NamedTuple):
    """Limit the retries of all entry hosts together."""

    # Retries allowed per first attempt in the window.
    ratio: float
    # Retries allowed in the window beyond the ratio.
    slack: float
    window_s: float


class Revocation(NamedTuple):
    """Limit for how long a removed key may still be accepted."""

    # Whether requests that need a key are refused while what this host knows
    # of the configuration is older than max_age_s.
    strict: bool = False
    max_age_s: float = 5.0


class HostResources(NamedTuple):
    """Represent the capacity of the host that this process may use."""

    # Processor cores, of the speed at which the host's times were measured.
    cores: float
    link_mbps: float
    # The platform ends a process that takes more.
    memory_bytes: int
    # File descriptors that connections may take.
    max_descriptors: int


# Settings that take effect while the host runs; the others do so at its next
# start.
RELOADABLE = frozenset(
    ("retries", "stop_grace_s", "lookup_keep_s", "drain_s", "revocation")
)


class ForwardingSettings(NamedTuple):
    """Represent the settings of a forwarding entry host."""

    name: str
    zone: core.AvailabilityZone
    # Regions by availability zone.
    zones: Mapping[str, str]
    # Addresses to listen on, for the requests of callers, readiness probes,
    # look-ups, datagrams of other entry hosts and reads of the metrics.
    callers: SocketAddress
    ready: SocketAddress
    directory: SocketAddress
    peers: SocketAddress
    metrics: SocketAddress
    store_url: str
    retries: RetryLimits
    # Time from the signal to stop until the process is killed.
    stop_grace_s: float
    # Longest time for which callers may reuse a look-up answer.
    lookup_keep_s: float
    # Time within which hosts stop sending new requests to a draining server.
    drain_s: float
    resources: HostResources
    # Whether the whole system starts for the first time, so that the other
    # hosts are just starting too.
    first_start: bool = False
    revocation: Revocation = Revocation()
    # How far requests may exceed the limits of teams; None if these are not
    # enforced.
    allowances: allowance_model.AllowanceBounds | None = None
    # Address for datagrams about allowances.
    second_peers: SocketAddress | None = None
