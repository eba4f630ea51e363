"""Define the configuration that routes requests to services."""

from collections.abc import Mapping
from typing import NamedTuple


class Destination(NamedTuple):
    """Name a service and its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Describe the requests of a host name below a path prefix."""

    name: str
    hostname: str
    # Begins and ends with a slash.
    path_prefix: str
    idempotent: bool
    # A response within this time has its full value.
    target_latency_s: float
    # 0 is the most urgent.
    priority: int
    # Servers that have handled an object before handle it faster.
    has_affinity: bool
    destinations: tuple[Destination, ...]
    # Longest time until a request is answered.
    timeout_s: float
    # Servers that one request may be sent to.
    max_attempts: int
    # Empty allows every region.
    allowed_regions: frozenset[str]

    @property
    def key(self) -> str:
        """Return what identifies the route across configurations."""
        return f"{self.hostname}{self.path_prefix}"


class Service(NamedTuple):
    """Describe what holds for all backend servers of a service."""

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    # Requests a second that a cold server bears.
    cold_requests_per_s: float


class CallerLimits(NamedTuple):
    """Bound what a caller may send and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Configuration(NamedTuple):
    """Hold one version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits
