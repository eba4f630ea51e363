"""Choose the peers that a host connects to; no input or output."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
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
    # The key by which CatalogueSync ranks too. By another one, most hosts
    # that hear only these watchers would take themselves for a watcher.
    ranked = rendezvous.rank_names(key=zone, names=names)
    return tuple(ranked[: const.WATCHERS_PER_ZONE])


def is_watcher(host: core.EntryHost, zone_members: Iterable[str]) -> bool:
    """Tell whether the host is a watcher of its zone.

    The names of the zone's live hosts may or may not include the host.
    """
    names = {host.name, *zone_members}
    return host.name in watchers_of(host.zone.name, names)


class Plan:
    """Hold the peers that a host dials and who watches which zone."""

    def __init__(
        self, *, wanted: frozenset[str], zones: Mapping[str, Sequence[str]]
    ) -> None:
        self.wanted = wanted
        # Empty for the full mesh, which needs no watchers to pass things on.
        self.zones = zones
        self._watchers: dict[str, tuple[str, ...]] = {}

    def watchers_in(self, zone: str) -> tuple[str, ...]:
        """Return a zone's watchers.

        Ranked when asked for, since a host looks at few of the zones.
        """
        known = self._watchers.get(zone)
        if known is None:
            known = watchers_of(zone, self.zones.get(zone, ()))
            self._watchers[zone] = known
        return known


def wanted_peers(own: Node, others: Iterable[Node]) -> frozenset[str]:
    """Return the names of the peers that the host dials."""
    return make_plan(own, others).wanted


def make_plan(own: Node, others: Iterable[Node]) -> Plan:
    """Return the peers that the host dials and the zones they are in.

    Links count in both directions: a watcher also accepts connections from
    its zone's hosts and from watchers that chose its zone.
    """
    nodes = {node.name: node.zone for node in others}
    nodes[own.name] = own.zone
    if len(nodes) <= const.FULL_MESH_MAX_HOSTS:
        return Plan(wanted=frozenset(nodes) - {own.name}, zones={})
    zones: dict[str, list[str]] = {}
    regions: dict[str, str] = {}
    for name, zone in nodes.items():
        zones.setdefault(zone.name, []).append(name)
        regions[zone.name] = zone.region
    plan = Plan(wanted=frozenset(), zones=zones)
    wanted = set(plan.watchers_in(own.zone.name))
    if own.name in wanted:
        far = []
        for zone_name, region in regions.items():
            if region == own.zone.region:
                wanted.update(plan.watchers_in(zone_name))
            else:
                far.append(zone_name)
        wanted.update(_far_peers(own, far, plan))
    plan.wanted = frozenset(wanted) - {own.name}
    return plan


def _far_peers(own: Node, far: list[str], plan: Plan) -> set[str]:
    # Both watchers of a zone choose by their own names, so that the zone
    # reaches twice as many others. First watchers dial first ones, since
    # these pass positions to each other.
    key = f"far/{own.name}"
    ranked = rendezvous.rank_names(key=key, names=far)[: const.FAR_ZONES]
    place = plan.watchers_in(own.zone.name).index(own.name)
    return {plan.watchers_in(zone)[: place + 1][-1] for zone in ranked}
