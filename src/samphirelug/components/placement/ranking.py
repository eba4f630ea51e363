"""Order the servers for an object identically on every entry host.

A server handles requests for an object faster once it has handled that
object. All requests for an object therefore go to the same few servers,
without any messages between entry hosts.
"""

from collections.abc import Iterable
import sys

import xxhash

from samphirelug.components.fleet import model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.placement import const
from samphirelug.helpers import rendezvous

# Service, hash of the object's key, and regions. Callers choose the key, which
# may be as long as a header field.
CacheKey = tuple[str, bytes, frozenset[str]]


def order_servers(
    *, key: str, servers: Iterable[model.ServerInstance]
) -> tuple[model.ServerInstance, ...]:
    """Order servers by region, then within each region.

    Selecting the region first keeps an object in its region when servers
    join or leave, so that few requests move between regions at a time.
    """
    by_region: dict[str, dict[str, model.ServerInstance]] = {}
    for server in servers:
        in_region = by_region.setdefault(server.zone.region, {})
        in_region[server.instance_id] = server
    region_weights = {
        region: float(sum(server.slots for server in in_region.values()))
        for region, in_region in by_region.items()
    }
    ordered_servers: list[model.ServerInstance] = []
    for region in rendezvous.order_by_weight(key=key, weights=region_weights):
        in_region = by_region[region]
        names = rendezvous.order_by_weight(
            key=key,
            weights={
                name: float(server.slots) for name, server in in_region.items()
            },
        )
        ordered_servers.extend(in_region[name] for name in names)
    return tuple(ordered_servers)


class ServerRanking:
    """Cache the order of servers for each object."""

    def __init__(self, *, registry: fleet_registry.ServerRegistry) -> None:
        self.registry = registry
        self.generation = -1
        self.cache: dict[CacheKey, tuple[model.ServerInstance, ...]] = {}
        # Memory that the cached orders and their keys take.
        self.cached_bytes = 0

    def order(
        self, *, object_key: str, service: str, regions: frozenset[str]
    ) -> tuple[model.ServerInstance, ...]:
        """Return the usable servers in the regions; no regions means all."""
        if (
            self.generation != self.registry.generation
            or self.cached_bytes >= const.MAX_CACHED_ORDER_BYTES
        ):
            self.cache.clear()
            self.cached_bytes = 0
            self.generation = self.registry.generation
        key_hash = xxhash.xxh3_128_digest(object_key.encode())
        cache_key = (service, key_hash, regions)
        ordered_servers = self.cache.get(cache_key)
        if ordered_servers is None:
            ordered_servers = order_servers(
                key=object_key,
                servers=[
                    server
                    for server in self.registry.usable(service)
                    if not regions or server.zone.region in regions
                ],
            )
            self.cache[cache_key] = ordered_servers
            self.cached_bytes += const.CACHED_KEY_BYTES + sys.getsizeof(
                ordered_servers
            )
        return ordered_servers
