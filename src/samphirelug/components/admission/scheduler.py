"""Divide units between ranks.

Units are reserved for more urgent ranks. Less urgent ranks earn credits, which
guarantee them a fraction of the dispatches. Both are counted by pool: a pool
is a quota key, or all slots of a service in a region.
"""

from collections.abc import Iterable
import heapq
import itertools

from samphirelug.components.admission import const
from samphirelug.components.catalogue import model as catalogue_model
from samphirelug import core


def guaranteed_fraction(
    fractions: catalogue_model.GuaranteedFractions, rank: core.Rank
) -> float:
    """Return the fraction of the capacity that a rank is guaranteed."""
    if rank is core.Rank.URGENT:
        return fractions["urgent"]
    if rank is core.Rank.INTERACTIVE:
        return fractions["interactive"]
    return fractions["export"]


def reserved_for_more_urgent(
    *,
    rank: core.Rank,
    usable: int,
    used: list[int],
    fractions: catalogue_model.GuaranteedFractions,
    configured: frozenset[core.Rank],
) -> int:
    """Return the units that a rank must leave free for more urgent ranks.

    Only configured ranks, those with a work entry, reserve units.
    """
    return sum(
        max(
            0,
            int(guaranteed_fraction(fractions, other) * usable) - used[other],
        )
        for other in configured
        if other < rank
    )


class RankUsage:
    """Count units by pool and rank: in use and awaiting release."""

    def __init__(self) -> None:
        self.pools: dict[str, list[int]] = {}
        self.ends: list[tuple[float, int, str, core.Rank, int]] = []
        self.sequence = itertools.count()

    def used(self, pool: str, now: float) -> list[int]:
        """Return the units in use, indexed by Rank value."""
        ends = self.ends
        while ends and ends[0][0] <= now:
            _, _, ended, rank, amount = heapq.heappop(ends)
            self.add(ended, rank, -amount)
        return self.pools.get(pool) or [0] * len(core.Rank)

    def add(self, pool: str, rank: core.Rank, amount: int) -> None:
        """Add to the units in use; a negative amount subtracts."""
        ranks = self.pools.get(pool)
        if ranks is None:
            ranks = self.pools[pool] = [0] * len(core.Rank)
        ranks[rank] += amount
        if not any(ranks):
            del self.pools[pool]

    def end_at(
        self, pool: str, rank: core.Rank, amount: int, when_s: float
    ) -> None:
        """Schedule the time at which units cease to count as used."""
        heapq.heappush(
            self.ends, (when_s, next(self.sequence), pool, rank, amount)
        )


class CreditAccounts:
    """Track the dispatch credits of less urgent ranks, by pool."""

    def __init__(self) -> None:
        self.credits: dict[tuple[str, core.Rank], float] = {}

    def earn(self, pool: str, rank: core.Rank, fraction: float) -> None:
        """Add what a rank with queued requests earns at a dispatch."""
        key = (pool, rank)
        earned = self.credits.get(key, 0.0) + fraction
        self.credits[key] = min(const.MAX_CREDIT, earned)

    def has_credit(self, pools: Iterable[str], rank: core.Rank) -> bool:
        """Return whether a rank has a full credit in any of the pools."""
        # Ten times 0.1 sums to slightly less than 1.0 in floating point.
        return any(
            self.credits.get((pool, rank), 0.0) >= 1.0 - 1e-9 for pool in pools
        )

    def spend(self, pools: Iterable[str], rank: core.Rank) -> None:
        """Subtract one credit in each pool that a dispatch used."""
        for pool in pools:
            key = (pool, rank)
            if key in self.credits:
                self.credits[key] = max(0.0, self.credits[key] - 1.0)

    def reset(self, rank: core.Rank) -> None:
        """Remove the credits of a rank that has no queued requests."""
        for key in [key for key in self.credits if key[1] is rank]:
            del self.credits[key]
