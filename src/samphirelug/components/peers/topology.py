"""Choose the peers that a host connects to; no input or output.

Up to FULL_MESH_MAX_HOSTS hosts form a full mesh. In a larger fleet, the hosts
of a zone connect to the zone's watchers only, and the watchers to those of
other zones.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from samphirelug.components.peers import const
from samphirelug import core
from samphirelug.helpers import rendezvous


class Node(NamedTuple):
    """Identify a host that may be connected to, and its zone."""

    name: str
    zone: core.AvailabilityZone


def watchers_of(zone: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the watchers of a zone by rank, given its live hosts.

    The first one is the primary watcher.
    """
    # CatalogueSync ranks with the same key. With another one, most hosts that
    # receive heartbeats of these watchers only would rank themselves as a
    # watcher.
    ranked = rendezvous.rank_names(key=zone, names=names)
    return tuple(ranked[: const.WATCHERS_PER_ZONE])


def is_watcher(host: core.EntryHost, zone_members: Iterable[str]) -> bool:
    """Return whether the host is a watcher of its zone.

    The names of the zone's live hosts need not include the host.
    """
    names = {host.name, *zone_members}
    return host.name in watchers_of(host.zone.name, names)


class Plan:
    """Describe the peers that a host dials and the watchers of zones."""

    def __init__(
        self, *, to_dial: frozenset[str], zones: Mapping[str, Sequence[str]]
    ) -> None:
        self.to_dial = to_dial
        # Names of the hosts by zone; empty for a full mesh, which needs no
        # watchers to relay messages.
        self.zones = zones
        self._watchers: dict[str, tuple[str, ...]] = {}

    def watchers_in(self, zone: str) -> tuple[str, ...]:
        """Return the watchers of a zone by rank.

        Computed on first use, since a host needs few of the zones.
        """
        cached = self._watchers.get(zone)
        if cached is None:
            cached = watchers_of(zone, self.zones.get(zone, ()))
            self._watchers[zone] = cached
        return cached


def peers_to_dial(own: Node, others: Iterable[Node]) -> frozenset[str]:
    """Return the names of the peers that the host dials."""
    return make_plan(own, others).to_dial


def make_plan(own: Node, others: Iterable[Node]) -> Plan:
    """Return the peers that the host dials and the hosts of each zone.

    Connections carry messages in both directions: a watcher also accepts
    connections from the hosts of its zone and from watchers of other zones
    that chose its zone.
    """
    nodes = {node.name: node.zone for node in others}
    nodes[own.name] = own.zone
    if len(nodes) <= const.FULL_MESH_MAX_HOSTS:
        return Plan(to_dial=frozenset(nodes) - {own.name}, zones={})
    zones: dict[str, list[str]] = {}
    regions: dict[str, str] = {}
    for name, zone in nodes.items():
        zones.setdefault(zone.name, []).append(name)
        regions[zone.name] = zone.region
    plan = Plan(to_dial=frozenset(), zones=zones)
    to_dial = set(plan.watchers_in(own.zone.name))
    if own.name in to_dial:
        remote_zones = []
        for zone_name, region in regions.items():
            if region == own.zone.region:
                to_dial.update(plan.watchers_in(zone_name))
            else:
                remote_zones.append(zone_name)
        to_dial.update(_remote_peers(own, remote_zones, plan))
    plan.to_dial = frozenset(to_dial) - {own.name}
    return plan


def _remote_peers(own: Node, remote_zones: list[str], plan: Plan) -> set[str]:
    # Each watcher ranks the zones by its own name, so that the two watchers of
    # a zone connect it to twice as many zones. Primary watchers dial primary
    # watchers, since these exchange positions.
    key = f"far/{own.name}"
    ranked = rendezvous.rank_names(key=key, names=remote_zones)[
        : const.REMOTE_ZONES_PER_WATCHER
    ]
    rank = plan.watchers_in(own.zone.name).index(own.name)
    return {plan.watchers_in(zone)[: rank + 1][-1] for zone in ranked}
