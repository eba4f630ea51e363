"""Test which backend servers may get new requests."""

import pytest

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import registry as fleet_registry
from standins import forwarding as build


def usable_ids(registry: fleet_registry.ServerRegistry) -> set[str]:
    """Return the instance ids of the usable servers."""
    return {server.instance_id for server in registry.usable("desk")}


def make_registry(*server_names: str) -> fleet_registry.ServerRegistry:
    """Return a registry with the servers."""
    registry = fleet_registry.ServerRegistry()
    for name in server_names:
        registry.put(build.server(name), source="test")
    return registry


def test_draining_server_is_not_usable() -> None:
    """Guard against new requests to a server that is draining."""
    registry = make_registry("s0", "s1")
    registry.put(build.server("s0", draining=True), source="test")
    assert usable_ids(registry) == {"s1"}


def test_removed_server_is_not_usable() -> None:
    """Guard against new requests to a server that was removed."""
    registry = make_registry("s0", "s1")
    registry.remove("s0", now=0.0, grace_s=0.0, source="test")
    assert usable_ids(registry) == {"s1"}


def test_server_missing_after_an_outage_stays_for_the_grace_period() -> None:
    """Guard against removing running servers after an outage of the store.

    The entries of running servers can expire during the outage.
    """
    registry = make_registry("s0", "s1")
    registry.replace_all([], now=10.0, grace_s=2.0, source="test")
    assert usable_ids(registry) == {"s0", "s1"}
    registry.put(build.server("s1"), source="test")
    registry.expire_missing(now=12.1)
    assert usable_ids(registry) == {"s1"}


def test_draining_server_gets_no_grace_period() -> None:
    """Guard against keeping a draining server after its removal."""
    registry = make_registry("s0")
    registry.put(build.server("s0", draining=True), source="test")
    registry.remove("s0", now=0.0, grace_s=2.0, source="test")
    assert "s0" not in registry.servers


def test_evacuated_zone_is_not_usable_until_the_evacuation_ends() -> None:
    """Guard against new requests to a zone that is being evacuated."""
    registry = make_registry("s0")
    registry.put(build.server("s1", zone="b1", region="b"), source="test")
    registry.set_evacuated(frozenset({"b1"}), now=1.0, source="test")
    assert usable_ids(registry) == {"s0"}
    registry.set_evacuated(frozenset(), now=2.0, source="test")
    assert usable_ids(registry) == {"s0", "s1"}


def test_superseded_incarnation_is_reported_as_removed() -> None:
    """Guard against keeping connections and load of the previous process."""
    registry = make_registry("s0")
    removed: list[fleet_model.ServerInstance] = []
    registry.on_removed.append(removed.append)
    registry.put(build.server("s0", started_unix_ms=2), source="test")
    assert [server.started_unix_ms for server in removed] == [1]
    assert usable_ids(registry) == {"s0"}


def test_server_that_announced_its_leaving_is_not_usable() -> None:
    """Guard against new requests because the store still says "ready".

    The entry can also lapse in an outage and be written again.
    """
    registry = make_registry("s0", "s1")
    leaving = build.server("s0")
    registry.mark_leaving(leaving.incarnation, source="answer")
    assert usable_ids(registry) == {"s1"}
    assert not registry.may_be_sent(leaving)
    registry.put(leaving._replace(slots=4), source="test")
    registry.remove("s0", now=0.0, grace_s=0.0, source="test")
    registry.put(leaving, source="test")
    assert usable_ids(registry) == {"s1"}


def test_server_that_started_again_is_usable() -> None:
    """Guard against a restarted server that stays without requests."""
    registry = make_registry("s0")
    registry.mark_leaving(build.server("s0").incarnation, source="answer")
    restarted = build.server("s0", started_unix_ms=2)
    registry.put(restarted, source="test")
    assert usable_ids(registry) == {"s0"}
    assert registry.may_be_sent(restarted)
    assert not registry.may_be_sent(build.server("s0"))


def test_server_without_a_start_time_is_usable_after_its_removal() -> None:
    """Guard against an id that can never be used again."""
    registry = fleet_registry.ServerRegistry()
    server = build.server("s0", started_unix_ms=0)
    registry.put(server, source="test")
    registry.mark_leaving(server.incarnation, source="answer")
    registry.remove("s0", now=0.0, grace_s=0.0, source="test")
    registry.put(server, source="test")
    assert usable_ids(registry) == {"s0"}


def test_server_that_does_not_leave_after_all_is_usable() -> None:
    """Guard against a server that is lost because it changed its mind."""
    registry = make_registry("s0")
    server = build.server("s0")
    registry.put(server._replace(draining=True), source="test")
    registry.mark_leaving(server.incarnation, source="answer")
    registry.put(server, source="test")
    assert usable_ids(registry) == {"s0"}


def test_memory_of_leaving_servers_is_bounded() -> None:
    """Guard against memory that grows with each restart in the fleet."""
    registry = make_registry("s0")
    for number in range(fleet_registry.MAX_LEAVING + 5):
        registry.leaving[fleet_model.Incarnation("x", number)] = None
    registry.mark_leaving(build.server("s0").incarnation, source="answer")
    registry.mark_leaving(build.server("s1").incarnation, source="answer")
    assert len(registry.leaving) == fleet_registry.MAX_LEAVING
    assert usable_ids(registry) == set()


def test_first_list_is_applied_and_logged_at_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against starts that take seconds in a fleet of many servers."""
    registry = fleet_registry.ServerRegistry()
    servers = [build.server(f"s{number}") for number in range(500)]
    with caplog.at_level("INFO"):
        registry.replace_all(servers, now=0.0, grace_s=0.0, source="test")
    assert len(usable_ids(registry)) == 500
    assert len(caplog.records) == 1
    assert registry.generation == 1
    registry.replace_all(servers[:-1], now=0.0, grace_s=0.0, source="test")
    assert len(usable_ids(registry)) == 499
