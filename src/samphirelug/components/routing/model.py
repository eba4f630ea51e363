"""Define the configuration by which requests are routed to services."""

from collections.abc import Mapping
import enum
from typing import NamedTuple


class Destination(NamedTuple):
    """Hold a service and its weight in a route's traffic split."""

    service: str
    weight: float


class RouteKind(enum.StrEnum):
    """Represent how often a request may run, and how large it is."""

    # May run more than once.
    SAFE = "safe"
    UNSAFE = "unsafe"
    # Has a large body, and must not run twice.
    UPLOAD = "upload"


class Route(NamedTuple):
    """Describe how requests for a host name and path prefix are handled."""

    name: str
    hostname: str
    # The prefix begins and ends with a slash.
    path_prefix: str
    kind: RouteKind
    # A response is fully useful to the caller up to this latency.
    target_latency_s: float
    # 0 is the highest priority.
    priority: int
    # Whether servers handle an object faster after its first request.
    has_affinity: bool
    destinations: tuple[Destination, ...]
    # Maximum time until a request is answered.
    timeout_s: float
    # Maximum number of different servers that one request is sent to.
    max_attempts: int
    # Empty allows every region.
    allowed_regions: frozenset[str]
    # Whether requests need no key of a team.
    is_public: bool = False

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE

    @property
    def key(self) -> str:
        """Return the key that identifies the route in all configurations."""
        return f"{self.hostname}{self.path_prefix}"


class Service(NamedTuple):
    """Hold the settings of all backend servers of a service."""

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    # Requests per second that a cold server can handle.
    cold_requests_per_s: float


class Team(NamedTuple):
    """Describe the callers that share keys and a limit."""

    name: str
    # Digests of the keys, see helpers/credentials.py.
    key_digests: frozenset[str]
    # Takes precedence over a route's priority; None if there is none.
    priority: int | None = None
    # Empty allows every region.
    allowed_regions: frozenset[str] = frozenset()
    # Requests per second on all entry hosts; 0 is no limit.
    requests_per_s: float = 0.0
    # Requests beyond that rate which a team may save up.
    burst: float = 0.0


class CallerLimits(NamedTuple):
    """Limit the size and the duration of what a caller sends."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Configuration(NamedTuple):
    """Hold one version of the complete configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
    # Requests need a key if there are teams.
    teams: tuple[Team, ...] = ()
