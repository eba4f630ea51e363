"""Build routes, servers and requests for tests of forwarding."""

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.forwarding import model as forwarding_model
from samphirelug.components.http import held_memory
from samphirelug.components.http import model as http_model
from samphirelug.components.routing import model as routing_model
from samphirelug import core

HOSTNAME = "portal.example"
NAMES = http_model.HeaderNames(
    request_id="x-request-id",
    deadline_ms="x-deadline-ms",
    affinity_cookie="object",
    response_seal="x-seal",
    expected_instance="x-expected-instance",
    server_load="x-load",
    not_executed="x-not-executed",
    cold_ms="x-cold-ms",
    server_leaving="x-leaving",
    server_limit="x-limit",
    credential="x-credential",
    team="x-team",
)
LIMITS = routing_model.CallerLimits(
    max_header_bytes=1000,
    max_body_bytes=1000,
    header_timeout_s=1.0,
    idle_timeout_s=5.0,
)
MAX_CONNECTIONS = 1000
# Memory that the messages of all connections may take.
MEMORY_BYTES = 64 * 1024 * 1024


def memory() -> held_memory.HeldMemory:
    """Return an empty account of the memory of messages."""
    return held_memory.HeldMemory(limit_bytes=MEMORY_BYTES)


def route(
    *,
    name: str = "status",
    path_prefix: str = "/status/",
    kind: routing_model.RouteKind = routing_model.RouteKind.SAFE,
    destinations: tuple[tuple[str, float], ...] = (("desk", 1.0),),
    timeout_s: float = 1.0,
    max_attempts: int = 2,
    allowed_regions: frozenset[str] = frozenset(),
    priority: int = 0,
) -> routing_model.Route:
    """Return a route with affinity."""
    return routing_model.Route(
        name=name,
        hostname=HOSTNAME,
        path_prefix=path_prefix,
        kind=kind,
        target_latency_s=0.4,
        priority=priority,
        has_affinity=True,
        destinations=tuple(
            routing_model.Destination(*destination)
            for destination in destinations
        ),
        timeout_s=timeout_s,
        max_attempts=max_attempts,
        allowed_regions=allowed_regions,
    )


def service(name: str = "desk") -> routing_model.Service:
    """Return the settings of a service."""
    return routing_model.Service(
        name=name,
        health_path="/health",
        max_connections=100,
        cold_start_s=3.0,
        cold_requests_per_s=2.0,
    )


def configuration(
    *routes: routing_model.Route, version: int = 1
) -> routing_model.Configuration:
    """Return a configuration with all services of the routes."""
    names = {
        destination.service
        for each_route in routes
        for destination in each_route.destinations
    }
    return routing_model.Configuration(
        version=version,
        routes=routes,
        services={name: service(name) for name in names},
        limits=LIMITS,
    )


def server(
    name: str,
    *,
    service_name: str = "desk",
    zone: str = "a1",
    region: str = "a",
    address: str = "127.0.0.1:1",
    slots: int = 3,
    draining: bool = False,
    cold_until_s: float = 0.0,
    started_unix_ms: int = 1,
    report_number: int = 0,
) -> fleet_model.ServerInstance:
    """Return a backend server."""
    return fleet_model.ServerInstance(
        instance_id=name,
        started_unix_ms=started_unix_ms,
        service=service_name,
        zone=core.AvailabilityZone(zone, region),
        address=address,
        slots=slots,
        draining=draining,
        cold_until_s=cold_until_s,
        report_number=report_number,
    )


def request(
    *,
    request_id: str = "r1",
    method: str = "GET",
    target: str = "/status/2f",
    affinity_key: str = "17",
    body: bytes = b"",
    received_at_s: float = 0.0,
    deadline_at_s: float | None = None,
    key_digest: str | None = None,
) -> forwarding_model.ReceivedRequest:
    """Return a completely received request of a caller."""
    return forwarding_model.ReceivedRequest(
        request_id=request_id,
        method=method,
        target=target,
        hostname=HOSTNAME,
        headers=(("Host", HOSTNAME), ("X-Request-Id", request_id)),
        body=body,
        affinity_key=affinity_key,
        received_at_s=received_at_s,
        deadline_at_s=deadline_at_s,
        key_digest=key_digest,
    )
