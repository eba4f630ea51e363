"""Test the choice of peers that a host connects to."""

import random

from samphirelug.components.catalogue import state
from samphirelug.components.catalogue import sync
from samphirelug.components.peers import const
from samphirelug.components.peers import topology
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from standins import builders
from standins.simulation import steering as fakes
from standins import store
from tests.components.peers import test_io_mesh


def make_nodes(*, zones: int, per_zone: int) -> list[topology.Node]:
    """Return hosts in zones, with two zones per region."""
    return [
        topology.Node(
            f"eh-{zone}-{index}",
            core.AvailabilityZone(f"z{zone:02}", f"r{zone // 2:02}"),
        )
        for zone in range(zones)
        for index in range(per_zone)
    ]


def test_sixteen_hosts_have_a_full_mesh() -> None:
    """Guard against small fleets that depend on watchers."""
    nodes = make_nodes(zones=4, per_zone=4)
    assert len(topology.peers_to_dial(nodes[0], nodes)) == 15
    more = [*nodes, topology.Node("eh-x", nodes[-1].zone)]
    assert len(topology.peers_to_dial(nodes[0], more)) < 15


def test_all_hosts_are_connected_with_few_connections_each() -> None:
    """Guard against a split fleet and too many connections per host."""
    nodes = make_nodes(zones=40, per_zone=6)
    peers_by_host = {n.name: topology.peers_to_dial(n, nodes) for n in nodes}
    watchers = {
        name
        for zone in {n.zone.name for n in nodes}
        for name in topology.watchers_of(
            zone, [n.name for n in nodes if n.zone.name == zone]
        )
    }
    assert len(watchers) == 80
    for node in nodes:
        if node.name not in watchers:
            assert len(peers_by_host[node.name]) == const.WATCHERS_PER_ZONE
        else:
            # The three other watchers of the region and the remote ones.
            assert (
                len(peers_by_host[node.name])
                == 3 + const.REMOTE_ZONES_PER_WATCHER
            )
        assert peers_by_host[node.name] <= watchers - {node.name}
    reached, frontier = {nodes[0].name}, {nodes[0].name}
    while frontier:
        linked = {p for n in frontier for p in peers_by_host[n]} | {
            n for n, peers in peers_by_host.items() if peers & frontier
        }
        frontier = linked - reached
        reached |= frontier
    assert len(reached) == len(nodes)


def test_watchers_change_only_with_their_own_loss() -> None:
    """Guard against a change of watchers when another host is lost."""
    names = [f"eh{n}" for n in range(10)]
    first, second = topology.watchers_of("z", names)
    for lost in names:
        left = topology.watchers_of("z", [n for n in names if n != lost])
        expected = {first, second} - {lost}
        assert expected <= set(left)
    host = builders.make_host("eh1")
    zone = host.zone.name
    others = [n for n in names if n != "eh1"]
    assert topology.is_watcher(host, others) == (
        "eh1" in topology.watchers_of(zone, names)
    )
    assert topology.is_watcher(host, [])


def test_hosts_connected_only_to_watchers_do_not_watch_the_store() -> None:
    """Guard against most hosts of a fleet watching the catalogue."""
    hosts = [builders.make_host(f"eh{number}") for number in range(31)]
    chosen = topology.watchers_of("tallinn-a", [host.name for host in hosts])
    timer = timer_helper.ManualTimerService()
    mesh = fakes.FakeMesh(timer=timer)
    mesh.heartbeats = [
        test_io_mesh.make_heartbeat(host)
        for host in hosts
        if host.name in chosen
    ]
    for host in hosts:
        follower = sync.CatalogueSync(
            state=state.CatalogueState(),
            store=store.FakeObjectStore(core=store.StoreCore(), timer=timer),
            mesh=mesh,
            timer=timer,
            rng=random.Random(1),
            host=host,
        )
        assert follower.is_watcher() == (host.name in chosen)
