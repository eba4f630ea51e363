"""Choose the peers that a host connects to; no input or output."""

from collections.abc import Iterable
from typing import NamedTuple

from samphirelug.components.peers import const
from samphirelug import core
from samphirelug.helpers import rendezvous


class Node(NamedTuple):
    """Place a candidate host in its availability zone."""

    name: str
    zone: core.AvailabilityZone


def watchers_of(zone: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the watchers of a zone, given its live hosts."""
    ranked = rendezvous.rank_names(key=f"watchers/{zone}", names=names)
    return tuple(ranked[: const.WATCHERS_PER_ZONE])


def is_watcher(host: core.EntryHost, zone_members: Iterable[str]) -> bool:
    """Tell whether the host is a watcher of its zone.

    The names of the zone's live hosts may or may not include the host.
    """
    names = {host.name, *zone_members}
    return host.name in watchers_of(host.zone.name, names)


def wanted_peers(own: Node, others: Iterable[Node]) -> frozenset[str]:
    """Return the names of the peers that the host dials.

    Links count in both directions: a watcher also accepts connections from
    its zone's hosts and from watchers that chose its zone.
    """
    nodes = {node.name: node for node in others}
    nodes[own.name] = own
    if len(nodes) <= const.FULL_MESH_MAX_HOSTS:
        return frozenset(nodes) - {own.name}
    zones: dict[core.AvailabilityZone, list[str]] = {}
    for node in nodes.values():
        zones.setdefault(node.zone, []).append(node.name)
    watchers = set(watchers_of(own.zone.name, zones[own.zone]))
    if own.name not in watchers:
        return frozenset(watchers)
    wanted = watchers
    for zone, names in zones.items():
        if zone.region == own.zone.region:
            wanted.update(watchers_of(zone.name, names))
    wanted.update(_far_peers(own, zones))
    return frozenset(wanted) - {own.name}


def _far_peers(
    own: Node, zones: dict[core.AvailabilityZone, list[str]]
) -> set[str]:
    # Both watchers of a zone choose by their own names, so that the zone
    # reaches twelve others, and each dials one watcher of a zone it chose.
    far = {
        zone.name: names
        for zone, names in zones.items()
        if zone.region != own.zone.region
    }
    key = f"far/{own.name}"
    ranked = rendezvous.rank_names(key=key, names=far)[: const.FAR_ZONES]
    return {
        rendezvous.rank_names(key=key, names=watchers_of(zone, far[zone]))[0]
        for zone in ranked
    }
