"""Choose which hosts read the store and whom the others follow; no I/O.

One or two hosts of each region, its watchers, read the store. Two hosts of
each availability zone, its relays, follow two watchers; the other hosts of
the zone follow both relays. Every host computes the same choice from the
names of the running hosts. Hosts that know different ones may choose
differently for a while; the age that is passed on with every view shows if
they follow each other in a circle.
"""

from collections.abc import Iterable
from typing import NamedTuple

from samphirelug.components.fleet import model
from samphirelug.components.following import const
from samphirelug.helpers import rendezvous


class FollowPlan(NamedTuple):
    """Describe what a host does."""

    # Whether the host reads the store.
    is_watcher: bool
    # Hosts to follow, the preferred ones first.
    candidates: tuple[model.HostInstance, ...]


def make_plan(
    own: model.HostInstance, others: Iterable[model.HostInstance]
) -> FollowPlan:
    """Return the role of a host and whom it follows."""
    hosts = {host.name: host for host in others}
    hosts[own.name] = own
    by_region: dict[str, list[model.HostInstance]] = {}
    for host in hosts.values():
        by_region.setdefault(host.zone.region, []).append(host)
    watchers_by_region = {
        region: _watchers(region, in_region, is_only=len(by_region) == 1)
        for region, in_region in by_region.items()
    }
    own_region = own.zone.region
    # Hosts spread over the watchers of other regions.
    other_regions = rendezvous.rank_names(
        key=f"follow/{own.name}",
        names=[region for region in by_region if region != own_region],
    )
    watchers = [
        *watchers_by_region[own_region],
        *(
            name
            for region in other_regions
            for name in watchers_by_region[region]
        ),
    ]
    in_zone = _rank(
        f"relay/{own.zone.name}",
        [host for host in hosts.values() if host.zone.name == own.zone.name],
    )
    is_watcher = own.name in watchers_by_region[own_region]
    preferred = [*watchers, *in_zone]
    if not is_watcher and own.name not in in_zone[: const.RELAYS_PER_ZONE]:
        preferred = [*in_zone[: const.CANDIDATES_IN_ZONE], *watchers]
    names = [name for name in dict.fromkeys(preferred) if name != own.name]
    return FollowPlan(
        is_watcher,
        tuple(hosts[name] for name in names[: const.MAX_CANDIDATES]),
    )


def _watchers(
    region: str, hosts: list[model.HostInstance], *, is_only: bool
) -> list[str]:
    """Return the watchers of a region, in different zones if possible."""
    zones = {host.name: host.zone.name for host in hosts}
    ranked = _rank(f"watch/{region}", hosts)
    first, *rest = ranked
    if len(ranked) < const.TWO_WATCHERS_FROM_HOSTS and not is_only:
        return [first]
    # Stable: the ranks decide among hosts of other zones.
    rest.sort(key=lambda name: zones[name] == zones[first])
    return [first, *rest[:1]]


def _rank(key: str, hosts: list[model.HostInstance]) -> list[str]:
    """Return the names of hosts, those with the highest capacity first."""
    capacities = {host.name: host.capacity_per_s for host in hosts}
    names = rendezvous.rank_names(key=key, names=capacities)
    # Stable: the ranks decide among hosts of the same capacity.
    return sorted(names, key=lambda name: capacities[name], reverse=True)
