"""Test the order of servers for objects."""

import collections

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.placement import ranking
from standins import forwarding as build

KEYS = [f"object-{number}" for number in range(400)]
SERVERS = [
    build.server(f"{region}{number}", zone=f"{region}1", region=region)
    for region, count in (("a", 2), ("b", 6), ("c", 8))
    for number in range(count)
]


def first_servers(
    servers: list[fleet_model.ServerInstance],
) -> dict[str, str]:
    """Return the first server of each object."""
    return {
        key: ranking.order_servers(key=key, servers=servers)[0].instance_id
        for key in KEYS
    }


def test_order_does_not_depend_on_the_order_of_the_input() -> None:
    """Guard against entry hosts choosing different servers."""
    for key in KEYS[:20]:
        forwards = ranking.order_servers(key=key, servers=SERVERS)
        assert forwards == ranking.order_servers(
            key=key, servers=reversed(SERVERS)
        )


def test_objects_spread_by_slots() -> None:
    """Guard against one server or region getting most objects."""
    per_region = collections.Counter(
        name[0] for name in first_servers(list(SERVERS)).values()
    )
    for region, slots in (("a", 2), ("b", 6), ("c", 8)):
        expected = len(KEYS) * slots / 16
        assert 0.7 * expected < per_region[region] < 1.3 * expected


def test_a_server_that_leaves_moves_only_its_objects() -> None:
    """Guard against a departure making all servers cold."""
    before = first_servers(list(SERVERS))
    gone = SERVERS[5]
    after = first_servers([one for one in SERVERS if one != gone])
    moved = [key for key in KEYS if before[key] != after[key]]
    owned = [key for key in KEYS if before[key] == gone.instance_id]
    # Its region has less weight, so a few objects move to other regions.
    assert len(moved) <= 2 * len(owned)
    assert set(owned) <= set(moved)


def test_second_server_is_in_the_region_of_the_first() -> None:
    """Guard against spilled requests shifting traffic between regions."""
    for key in KEYS[:50]:
        first, second = ranking.order_servers(key=key, servers=SERVERS)[:2]
        assert first.zone.region == second.zone.region


def test_regions_bound_the_order() -> None:
    """Guard against a route with homes leaving them."""
    registry = fleet_registry.ServerRegistry()
    for server in SERVERS:
        registry.put(server, source="test")
    order = ranking.ServerRanking(registry=registry).order(
        object_key="x", service="desk", regions=frozenset("b")
    )
    assert {server.zone.region for server in order} == {"b"}


def test_cached_order_follows_the_registry() -> None:
    """Guard against requests going to a server that has left."""
    registry = fleet_registry.ServerRegistry()
    for server in SERVERS:
        registry.put(server, source="test")
    cached = ranking.ServerRanking(registry=registry)

    def order() -> list[str]:
        return [
            server.instance_id
            for server in cached.order(
                object_key="x", service="desk", regions=frozenset()
            )
        ]

    first = order()[0]
    registry.remove(first, now=0.0, grace_s=0.0, source="test")
    assert first not in order()
