"""Build catalogue entries and entry hosts for tests."""

from samphirelug.components.catalogue import model
from samphirelug.components.catalogue import view
from samphirelug import core


def make_region(
    name: str, *, max_in_flight: int = 12, shift_requests: int = 10
) -> model.RegionEntry:
    """Return a region with two availability zones."""
    return {
        "kind": "region",
        "name": name,
        "owner": "platform",
        "availability_zones": [f"{name}-a", f"{name}-b"],
        "zone_latency_ms": 3.0,
        "max_in_flight": max_in_flight,
        "shift_cap": {"requests": shift_requests, "interval_s": 5.0},
        "guaranteed": {"urgent": 0.1, "interactive": 0.1, "export": 0.1},
    }


def make_link(
    region: str, other: str, *, bytes_per_s: int = 37_500_000
) -> model.LinkEntry:
    """Return a link between two regions."""
    return {
        "kind": "link",
        "name": f"{region}-{other}",
        "owner": "platform",
        "regions": [region, other],
        "latency_ms": 20.0,
        "bytes_per_s": bytes_per_s,
    }


def make_service(
    name: str, *, zones: list[str], per_zone: int = 2, slots: int = 3
) -> model.BackendServiceEntry:
    """Return a service with servers in each of the zones."""
    return {
        "kind": "backend-service",
        "name": name,
        "owner": "platform",
        "health_path": "/health",
        "ramp_s": 0.0,
        "servers": [
            {
                "name": f"{name}-{zone}-{index}",
                "availability_zone": zone,
                "address": f"127.0.0.1:{9000 + 10 * zone_index + index}",
                "slots": slots,
                "connections": 360,
            }
            for zone_index, zone in enumerate(zones)
            for index in range(per_zone)
        ],
    }


def make_work(
    name: str,
    *,
    work_class: core.WorkClass,
    service: str = "filing",
    repeatable: bool = True,
) -> model.WorkEntry:
    """Return a work entry served by a service."""
    return {
        "kind": "work",
        "name": name,
        "owner": "registry",
        "work_class": work_class,
        "repeatable": repeatable,
        "backend_service": service,
        "max_in_flight_per_region": 100,
        "max_body_bytes": 65536,
        "max_answer_bytes": 65536,
        "deadline_s": 10.0,
    }


def make_view() -> view.CatalogueView:
    """Return a catalogue of three linked regions with work of each rank."""
    regions = ["tallinn", "tartu", "parnu"]
    zones = [f"{region}-{zone}" for region in regions for zone in "ab"]
    return view.CatalogueView(
        entries=[
            *(make_region(name) for name in regions),
            make_link("tallinn", "tartu"),
            make_link("tallinn", "parnu"),
            make_link("tartu", "parnu"),
            make_service("filing", zones=zones),
            make_work(
                "file-claim",
                work_class=core.WorkClass.FILING,
                repeatable=False,
            ),
            make_work("case-status", work_class=core.WorkClass.STATUS),
            make_work("case-export", work_class=core.WorkClass.EXPORT),
        ]
    )


def make_host(name: str = "eh1", *, zone: str = "tallinn-a") -> core.EntryHost:
    """Return an entry host in an availability zone of make_view()."""
    return core.EntryHost(
        name=name,
        incarnation=f"{name}-1",
        zone=core.AvailabilityZone(zone, zone.rsplit("-", 1)[0]),
        caller_urls=(
            f"http://127.0.0.1:1/{name}/u",
            f"http://127.0.0.1:1/{name}/i",
            f"http://127.0.0.1:1/{name}/e",
        ),
        peer_url=f"ws://127.0.0.1:1/{name}",
    )
