"""Test the order of servers for objects."""

import collections
import tracemalloc

import pytest

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.placement import const
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
    """Guard against entry hosts selecting different servers for an object."""
    for key in KEYS[:20]:
        ordered_servers = ranking.order_servers(key=key, servers=SERVERS)
        assert ordered_servers == ranking.order_servers(
            key=key, servers=reversed(SERVERS)
        )


def test_objects_are_distributed_by_slots() -> None:
    """Guard against one server or region getting most of the objects."""
    per_region = collections.Counter(
        name[0] for name in first_servers(list(SERVERS)).values()
    )
    for region, slots in (("a", 2), ("b", 6), ("c", 8)):
        expected = len(KEYS) * slots / 16
        assert 0.7 * expected < per_region[region] < 1.3 * expected


def test_removed_server_moves_only_its_own_objects() -> None:
    """Guard against a removed server making all other servers cold."""
    before = first_servers(list(SERVERS))
    removed = SERVERS[5]
    after = first_servers([server for server in SERVERS if server != removed])
    moved = [key for key in KEYS if before[key] != after[key]]
    owned = [key for key in KEYS if before[key] == removed.instance_id]
    # The region loses weight, so a few more objects move to other regions.
    assert len(moved) <= 2 * len(owned)
    assert set(owned) <= set(moved)


def test_second_server_is_in_the_region_of_the_first() -> None:
    """Guard against spilled requests moving traffic between regions."""
    for key in KEYS[:50]:
        first, second = ranking.order_servers(key=key, servers=SERVERS)[:2]
        assert first.zone.region == second.zone.region


def test_order_has_only_servers_of_the_allowed_regions() -> None:
    """Guard against requests leaving the allowed regions of their route."""
    registry = fleet_registry.ServerRegistry()
    for server in SERVERS:
        registry.put(server, source="test")
    order = ranking.ServerRanking(registry=registry).order(
        object_key="x", service="desk", regions=frozenset("b")
    )
    assert {server.zone.region for server in order} == {"b"}


def test_cached_order_follows_the_registry() -> None:
    """Guard against requests to a server that was removed."""
    registry = fleet_registry.ServerRegistry()
    for server in SERVERS:
        registry.put(server, source="test")
    server_ranking = ranking.ServerRanking(registry=registry)

    def ordered_names() -> list[str]:
        return [
            server.instance_id
            for server in server_ranking.order(
                object_key="x", service="desk", regions=frozenset()
            )
        ]

    first = ordered_names()[0]
    registry.remove(first, now=0.0, grace_s=0.0, source="test")
    assert first not in ordered_names()


@pytest.mark.parametrize(
    ("keys", "key_length", "servers"),
    [
        pytest.param(2_000, 15_800, 2, id="long-keys"),
        pytest.param(12_000, 20, 250, id="many-servers"),
    ],
)
def test_memory_of_cached_orders_is_bounded(
    keys: int, key_length: int, servers: int
) -> None:
    """Guard against a host that callers fill by the keys of objects."""
    registry = fleet_registry.ServerRegistry()
    for number in range(servers):
        registry.put(build.server(f"s{number}"), source="test")
    server_ranking = ranking.ServerRanking(registry=registry)
    tracemalloc.start()
    try:
        for number in range(keys):
            server_ranking.order(
                object_key=str(number).zfill(key_length),
                service="desk",
                regions=frozenset(),
            )
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 1.5 * const.MAX_CACHED_ORDER_BYTES
