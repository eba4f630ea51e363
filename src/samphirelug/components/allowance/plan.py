"""Choose the owners of partitions of teams; no I/O."""

from collections.abc import Iterable
import math

from samphirelug.components.allowance import const
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
