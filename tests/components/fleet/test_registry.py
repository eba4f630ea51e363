"""Test which backend servers are usable."""

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import registry as fleet_registry
from standins import forwarding as build


def names(registry: fleet_registry.ServerRegistry) -> set[str]:
    """Return the usable servers of the service."""
    return {server.instance_id for server in registry.usable("desk")}


def make(*server_names: str) -> fleet_registry.ServerRegistry:
    """Return a registry that knows the servers."""
    registry = fleet_registry.ServerRegistry()
    for name in server_names:
        registry.put(build.server(name), source="test")
    return registry


def test_draining_server_gets_nothing() -> None:
    """Guard against new work at a server that is leaving."""
    registry = make("s0", "s1")
    registry.put(build.server("s0", draining=True), source="test")
    assert names(registry) == {"s1"}


def test_removed_server_gets_nothing() -> None:
    """Guard against new work at a server whose entry is gone."""
    registry = make("s0", "s1")
    registry.remove("s0", now=0.0, grace_s=0.0, source="test")
    assert names(registry) == {"s1"}


def test_entries_that_lapsed_in_an_outage_are_kept_for_the_grace() -> None:
    """Guard against an outage of the store emptying the fleet."""
    registry = make("s0", "s1")
    registry.replace_all([], now=10.0, grace_s=2.0, source="test")
    assert names(registry) == {"s0", "s1"}
    registry.put(build.server("s1"), source="test")
    registry.expire_missing(now=12.1)
    assert names(registry) == {"s1"}


def test_draining_server_is_not_kept_after_an_outage() -> None:
    """Guard against the grace bringing a leaving server back."""
    registry = make("s0")
    registry.put(build.server("s0", draining=True), source="test")
    registry.remove("s0", now=0.0, grace_s=2.0, source="test")
    assert "s0" not in registry.servers


def test_evacuated_zone_gets_nothing_until_it_is_taken_back() -> None:
    """Guard against requests to a zone that is being emptied."""
    registry = make("s0")
    registry.put(build.server("s1", zone="b1", region="b"), source="test")
    registry.set_evacuated(frozenset({"b1"}))
    assert names(registry) == {"s0"}
    registry.set_evacuated(frozenset())
    assert names(registry) == {"s0", "s1"}


def test_new_incarnation_under_the_same_id_is_reported() -> None:
    """Guard against connections and load of the former process living on."""
    registry = make("s0")
    gone: list[fleet_model.ServerInstance] = []
    registry.on_removed.append(gone.append)
    registry.put(build.server("s0", started_unix_ms=2), source="test")
    assert [server.started_unix_ms for server in gone] == [1]
    assert names(registry) == {"s0"}
