"""Test goodput and guaranteed parts in seeded floods."""

import asyncio

import pytest

from samphirelug import core
from standins.simulation import admission as harness

URGENT, INTERACTIVE, EXPORT = core.Rank
CAPACITY_PER_S = 240.0
DURATION_S = 4.0


def load(rank: core.Rank, factor: float) -> harness.Load:
    return harness.Load(rank, factor * CAPACITY_PER_S, 0.05, 2.0)


def part(counts: harness.Counts) -> float:
    return counts.served / (CAPACITY_PER_S * DURATION_S)


@pytest.mark.parametrize("seed", [1, 2])
def test_urgent_work_is_served_through_a_flood_of_exports(seed: int) -> None:
    """Guards against a flood of less urgent work reaching urgent work."""
    loads = (load(URGENT, 0.5), load(INTERACTIVE, 0.2), load(EXPORT, 10.0))
    counts = asyncio.run(
        harness.simulate(loads, duration_s=DURATION_S, seed=seed)
    )
    # Requests of the last 75 ms end after the run.
    assert counts[URGENT].served >= 0.97 * counts[URGENT].offered
    assert counts[URGENT].p99_s < 0.16
    assert sum(map(part, counts.values())) > 0.9


@pytest.mark.parametrize("seed", [1, 2])
def test_ranks_keep_their_part_in_a_flood_of_urgent_work(seed: int) -> None:
    """Guards against starvation, with the other lower rank idle or not."""
    for lower in ((INTERACTIVE, EXPORT), (EXPORT,)):
        loads = (load(URGENT, 10.0), *(load(rank, 0.5) for rank in lower))
        counts = asyncio.run(
            harness.simulate(loads, duration_s=DURATION_S, seed=seed)
        )
        for rank in lower:
            assert part(counts[rank]) > 0.09
        total = sum(map(part, counts.values()))
        assert total > 0.9
        baseline = harness.first_come(loads, duration_s=DURATION_S, seed=seed)
        assert total > sum(map(part, baseline.values()))
