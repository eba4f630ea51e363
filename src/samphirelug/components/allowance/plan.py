"""Choose owners of partitions and witnesses of their leases; no I/O."""

from collections.abc import Iterable
import math

from samphirelug.components.allowance import const
from samphirelug.components.fleet import model as fleet_model
from samphirelug.helpers import rendezvous


def owner_count(hosts: int) -> int:
    """Return the number of distinct owners for a number of hosts.

    Each host sends to at most this many owners, and each owner hears from all
    hosts. More hosts need more owners, so that one owner has fewer teams.
    """
    return max(
        1,
        min(const.MAX_OWNERS, math.ceil(hosts / const.HOSTS_PER_OWNER)),
    )


def assign_owners(names: Iterable[str]) -> tuple[str, ...]:
    """Return the owner of each partition among the hosts that serve."""
    ranked = rendezvous.rank_names(key="allowance/owners", names=names)
    owners = ranked[: owner_count(len(ranked))]
    return tuple(
        rendezvous.rank_names(key=f"allowance/{partition}", names=owners)[0]
        for partition in range(const.PARTITIONS)
    )


def choose_witnesses(
    hosts: Iterable[fleet_model.HostInstance],
) -> tuple[str, ...]:
    """Return the hosts whose majority decides on owners.

    All hosts with an entry count, running or not: otherwise both sides of a
    partition would have a majority of their own. They are spread over regions
    and availability zones.
    """
    by_region: dict[str, dict[str, list[str]]] = {}
    for host in hosts:
        zones = by_region.setdefault(host.zone.region, {})
        zones.setdefault(host.zone.name, []).append(host.name)
    queues = {
        region: _interleave(
            [
                rendezvous.rank_names(key="allowance/witness", names=names)
                for _, names in sorted(zones.items())
            ]
        )
        for region, zones in by_region.items()
    }
    ranked = _interleave([queues[region] for region in sorted(queues)])
    return tuple(ranked[: const.WITNESSES])


def _interleave(queues: list[list[str]]) -> list[str]:
    longest = max(map(len, queues), default=0)
    return [
        queue[index]
        for index in range(longest)
        for queue in queues
        if index < len(queue)
    ]
