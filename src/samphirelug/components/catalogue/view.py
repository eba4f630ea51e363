"""Answer questions about the catalogue that is in force."""

from collections.abc import Iterable

from samphirelug.components.catalogue import model
from samphirelug import core


class CatalogueView:
    """Index the entries of one catalogue version; never changes."""

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
        self._by_distance: dict[str, tuple[str, ...]] = {}
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
        """Return the one-way delay in ms; None where no link exists."""
        if region == other:
            entry = self.regions.get(region)
            return entry["zone_latency_ms"] if entry else None
        link = self.link(region, other)
        return link["latency_ms"] if link else None

    def regions_by_distance(self, region: str) -> tuple[str, ...]:
        """Return the region and those linked to it, the nearest first."""
        known = self._by_distance.get(region)
        if known is None:
            known = self._order_by_distance(region)
            self._by_distance[region] = known
        return known

    def region_of(self, place: str) -> str | None:
        """Return the region that a zone's or region's name stands for."""
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
        # A catalogue has thousands of servers, and each change builds a view.
        zones, servers, servers_in = self.zones, self.servers, self._servers_in
        for service in self.services.values():
            name = service["name"]
            for entry in service["servers"]:
                zone = zones.get(entry["availability_zone"])
                if zone is None:
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
                place = (name, zone.region)
                known = servers_in.get(place)
                if known is None:
                    servers_in[place] = [server]
                else:
                    known.append(server)
