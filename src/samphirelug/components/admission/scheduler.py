"""Share units between ranks: the reserve upward, the credit downward."""

from collections.abc import Iterable
import heapq
import itertools

from samphirelug.components.admission import const
from samphirelug.components.catalogue import model as catalogue_model
from samphirelug import core


def part_of(parts: catalogue_model.GuaranteedParts, rank: core.Rank) -> float:
    """Return the guaranteed fraction of capacity of a rank."""
    if rank is core.Rank.URGENT:
        return parts["urgent"]
    if rank is core.Rank.INTERACTIVE:
        return parts["interactive"]
    return parts["export"]


def reserve_above(
    *,
    rank: core.Rank,
    usable: int,
    used: list[int],
    parts: catalogue_model.GuaranteedParts,
    present: frozenset[core.Rank],
) -> int:
    """Return the units that a rank must leave free for more urgent ones.

    Ranks without any work entry reserve nothing.
    """
    return sum(
        max(0, int(part_of(parts, other) * usable) - used[other])
        for other in present
        if other < rank
    )


class RankUsage:
    """Count units by pool and rank: in use and awaiting release."""

    def __init__(self) -> None:
        self.pools: dict[str, list[int]] = {}
        self.ends: list[tuple[float, int, str, core.Rank, int]] = []
        self.sequence = itertools.count()

    def used(self, pool: str, now: float) -> list[int]:
        """Return the units in use by Rank value."""
        ends = self.ends
        while ends and ends[0][0] <= now:
            _, _, ended, rank, amount = heapq.heappop(ends)
            self.add(ended, rank, -amount)
        return self.pools.get(pool) or [0] * len(core.Rank)

    def add(self, pool: str, rank: core.Rank, amount: int) -> None:
        """Count units as used, or as no longer used where negative."""
        ranks = self.pools.get(pool)
        if ranks is None:
            ranks = self.pools[pool] = [0] * len(core.Rank)
        ranks[rank] += amount
        if not any(ranks):
            del self.pools[pool]

    def end_at(
        self, pool: str, rank: core.Rank, amount: int, when_s: float
    ) -> None:
        """Count units as used until a time."""
        heapq.heappush(
            self.ends, (when_s, next(self.sequence), pool, rank, amount)
        )


class CreditBook:
    """Earn and spend the credit of less urgent ranks, by pool."""

    def __init__(self) -> None:
        self.credits: dict[tuple[str, core.Rank], float] = {}

    def earn(self, pool: str, rank: core.Rank, part: float) -> None:
        """Add what a rank with queued work earns at a dispatch."""
        key = (pool, rank)
        earned = self.credits.get(key, 0.0) + part
        self.credits[key] = min(const.CREDIT_MAX, earned)

    def is_due(self, pools: Iterable[str], rank: core.Rank) -> bool:
        """Return whether a rank has a whole credit in one of the pools."""
        # Tenths do not sum to exactly one.
        return any(
            self.credits.get((pool, rank), 0.0) >= 1.0 - 1e-9 for pool in pools
        )

    def spend(self, pools: Iterable[str], rank: core.Rank) -> None:
        """Take one credit from each pool that a dispatch used."""
        for pool in pools:
            key = (pool, rank)
            if key in self.credits:
                self.credits[key] = max(0.0, self.credits[key] - 1.0)

    def forget(self, rank: core.Rank) -> None:
        """Drop the credit of a rank that has no queued work."""
        for key in [key for key in self.credits if key[1] is rank]:
            del self.credits[key]
