"""Choose the owners of partitions of teams; no I/O."""

from collections.abc import Iterable
from collections.abc import Sequence
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


def strong_hosts(hosts: Iterable[fleet_model.HostInstance]) -> list[str]:
    """Return the names of the hosts that have time to own teams.

    A weak host that carries callers answers too late, and then all its teams
    are refused at all other hosts.
    """
    hosts = tuple(hosts)
    most = max((host.capacity_per_s for host in hosts), default=0.0)
    return [
        host.name
        for host in hosts
        if host.capacity_per_s >= const.OWNER_CAPACITY_RATIO * most
    ]


def assign_owners(
    names: Sequence[str], *, candidates: Sequence[str]
) -> tuple[str, ...]:
    """Return the owner of each partition.

    Their number follows from the hosts that serve; they are candidates.
    """
    ranked = rendezvous.rank_names(key="allowance/owners", names=candidates)
    owners = ranked[: owner_count(len(names))]
    return tuple(
        rendezvous.rank_names(key=f"allowance/{partition}", names=owners)[0]
        for partition in range(const.PARTITIONS)
    )
