"""Derive quota keys, limits and bundles from the catalogue."""

import functools

from samphirelug.components.catalogue import model as catalogue_model
from samphirelug.components.catalogue import view as catalogue_view
from samphirelug.components.quota import const
from samphirelug.components.quota import model
from samphirelug import core


def region_key(region: str) -> str:
    """Return the quota key for requests in flight to a region."""
    return f"region:{region}"


def server_key(server: str) -> str:
    """Return the quota key for a backend server's slots."""
    return f"server:{server}"


def work_key(work: str, region: str) -> str:
    """Return the quota key for a work entry's requests in a region."""
    return f"work:{work}@{region}"


def shift_key(region: str) -> str:
    """Return the quota key for requests from callers of other regions.

    Such requests are called shifted; the region's shift_cap limits them.
    """
    return f"shift:{region}"


def link_key(source: str, target: str) -> str:
    """Return the quota key for bytes sent from one region to another."""
    return f"link:{source}>{target}"


def region_group(region: str) -> str:
    """Return the group that contains the keys of a region."""
    return f"region/{region}"


def link_group(region: str, other: str) -> str:
    """Return the group that contains both directions of a link."""
    first, second = sorted((region, other))
    return f"link/{first}+{second}"


def regions_of_group(group: str) -> tuple[str, ...]:
    """Return the regions whose entry hosts share the units of a group."""
    return tuple(group.partition("/")[2].split("+"))


@functools.lru_cache(maxsize=1)
def quota_limits(
    view: catalogue_view.CatalogueView,
) -> dict[str, model.QuotaLimit]:
    """Return the limit of every quota key of the catalogue.

    Cached, since a view is immutable, and both the entry host and its
    SeatKeeper need the limits of each new view. Callers must not modify the
    result.
    """
    limits: dict[str, model.QuotaLimit] = {}

    def add(
        key: str, group: str, limit: int, release_delay_s: float = 0.0
    ) -> None:
        limits[key] = model.QuotaLimit(key, group, limit, release_delay_s)

    for region, entry in view.regions.items():
        group = region_group(region)
        cap = entry["shift_cap"]
        add(region_key(region), group, entry["max_in_flight"])
        # Extended by the clock drift, so that the cap also holds in a window
        # measured on a slower clock.
        release_delay_s = cap["interval_s"] * (1.0 + const.MAX_CLOCK_DRIFT)
        add(shift_key(region), group, cap["requests"], release_delay_s)
    for server in view.servers.values():
        group = region_group(server.zone.region)
        add(server_key(server.name), group, server.slots)
    for name, work in view.works.items():
        for region in work.get("regions", view.regions):
            if region in view.regions:
                add(
                    work_key(name, region),
                    region_group(region),
                    work["max_in_flight_per_region"],
                )
    for link in view.links.values():
        first, second = link["regions"]
        group = link_group(first, second)
        for key in (link_key(first, second), link_key(second, first)):
            add(key, group, link["bytes_per_s"], const.LINK_RELEASE_DELAY_S)
    return limits


def groups_of(
    view: catalogue_view.CatalogueView, region: str
) -> tuple[str, ...]:
    """Return the groups whose units a region's entry hosts share."""
    links = sorted(
        link_group(*link["regions"])
        for link in view.links.values()
        if region in link["regions"]
    )
    own = (region_group(region),) if region in view.regions else ()
    return (*own, *links)


def bundle_for(
    *,
    view: catalogue_view.CatalogueView,  # noqa: ARG001
    work: catalogue_model.WorkEntry,
    server: core.BackendServer,
    host_region: str,
    home_region: str,
    body_bytes: int,
) -> model.Bundle:
    """Return the units needed for one request to a backend server."""
    region = server.zone.region
    units = [
        model.UnitAmount(region_key(region), 1),
        model.UnitAmount(server_key(server.name), 1),
        model.UnitAmount(work_key(work["name"], region), 1),
    ]
    if home_region != region:
        units.append(model.UnitAmount(shift_key(region), 1))
    if host_region != region:
        for key, size in (
            (link_key(host_region, region), body_bytes),
            (link_key(region, host_region), work["max_answer_bytes"]),
        ):
            amount = size + const.LINK_HEADER_BYTES
            units.append(model.UnitAmount(key, amount))
    return model.Bundle(region, server.name, tuple(units))
