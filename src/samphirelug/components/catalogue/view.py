"""Provide indexed access to a version of the catalogue."""

from collections.abc import Iterable

from samphirelug.components.catalogue import model
from samphirelug import core


class CatalogueView:
    """Index the entries of one version of the catalogue; immutable."""

    def __init__(
        self,
        *,
        entries: Iterable[
            model.RegionEntry
            | model.LinkEntry
            | model.BackendServiceEntry
            | model.WorkEntry
        ] = (),
    ) -> None:
        self.regions: dict[str, model.RegionEntry] = {}
        self.links: dict[frozenset[str], model.LinkEntry] = {}
        self.services: dict[str, model.BackendServiceEntry] = {}
        self.works: dict[str, model.WorkEntry] = {}
        self.zones: dict[str, core.AvailabilityZone] = {}
        self.servers: dict[str, core.BackendServer] = {}
        self._servers_in: dict[tuple[str, str], list[core.BackendServer]] = {}
        self._regions_by_distance: dict[str, tuple[str, ...]] = {}
        for entry in entries:
            if entry["kind"] == "region":
                self.regions[entry["name"]] = entry
            elif entry["kind"] == "link":
                self.links[frozenset(entry["regions"])] = entry
            elif entry["kind"] == "backend-service":
                self.services[entry["name"]] = entry
            else:
                self.works[entry["name"]] = entry
        self._index_zones()
        self._index_servers()

    def servers_in(
        self, *, service: str, region: str
    ) -> list[core.BackendServer]:
        """Return the service's servers in a region, in catalogue order."""
        return self._servers_in.get((service, region), [])

    def link(self, region: str, other: str) -> model.LinkEntry | None:
        """Return the link between two regions, if the catalogue has one."""
        return self.links.get(frozenset((region, other)))

    def latency_ms(self, region: str, other: str) -> float | None:
        """Return the one-way delay between regions; None if not linked.

        Within a region, it is the delay between its availability zones.
        """
        if region == other:
            entry = self.regions.get(region)
            return entry["zone_latency_ms"] if entry else None
        link = self.link(region, other)
        return link["latency_ms"] if link else None

    def regions_by_distance(self, region: str) -> tuple[str, ...]:
        """Return the region and those linked to it, nearest first."""
        cached = self._regions_by_distance.get(region)
        if cached is None:
            cached = self._order_by_distance(region)
            self._regions_by_distance[region] = cached
        return cached

    def region_of(self, place: str) -> str | None:
        """Return the region for the name of a region or availability zone."""
        if place in self.regions:
            return place
        zone = self.zones.get(place)
        return zone.region if zone else None

    def _order_by_distance(self, region: str) -> tuple[str, ...]:
        distances = [
            (0.0 if other == region else latency, other)
            for other in self.regions
            if (latency := self.latency_ms(region, other)) is not None
        ]
        return tuple(name for _, name in sorted(distances))

    def _index_zones(self) -> None:
        for region in self.regions.values():
            for name in region["availability_zones"]:
                self.zones[name] = core.AvailabilityZone(name, region["name"])

    def _index_servers(self) -> None:
        # Local names save attribute look-ups: a catalogue has thousands of
        # servers, and each change of the catalogue builds a new view.
        zones, servers, servers_in = self.zones, self.servers, self._servers_in
        for service in self.services.values():
            name = service["name"]
            for entry in service["servers"]:
                zone = zones.get(entry["availability_zone"])
                if zone is None:
                    # The region's entry may be missing, for example in a
                    # catalogue received only in part.
                    continue
                server = core.BackendServer(
                    entry["name"],
                    name,
                    zone,
                    entry["address"],
                    entry["slots"],
                    entry["connections"],
                )
                servers[server.name] = server
                index_key = (name, zone.region)
                in_region = servers_in.get(index_key)
                if in_region is None:
                    servers_in[index_key] = [server]
                else:
                    in_region.append(server)
