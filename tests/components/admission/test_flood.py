"""Test goodput and guaranteed fractions in seeded overload runs."""

import asyncio

import pytest

from samphirelug import core
from standins.simulation import admission as simulation

URGENT, INTERACTIVE, EXPORT = core.Rank
CAPACITY_PER_S = 240.0
DURATION_S = 4.0


def load(rank: core.Rank, factor: float) -> simulation.Load:
    return simulation.Load(rank, factor * CAPACITY_PER_S, 0.05, 2.0)


def capacity_fraction(counts: simulation.Counts) -> float:
    return counts.served / (CAPACITY_PER_S * DURATION_S)


@pytest.mark.parametrize("seed", [1, 2])
def test_urgent_work_is_served_during_overload_by_exports(seed: int) -> None:
    """Guard against overload by less urgent work that delays urgent work."""
    loads = (load(URGENT, 0.5), load(INTERACTIVE, 0.2), load(EXPORT, 10.0))
    counts = asyncio.run(
        simulation.simulate(loads, duration_s=DURATION_S, seed=seed)
    )
    # Requests that arrive in the last 75 ms may end after the run.
    assert counts[URGENT].served >= 0.97 * counts[URGENT].offered
    assert counts[URGENT].p99_s < 0.16
    assert sum(map(capacity_fraction, counts.values())) > 0.9


@pytest.mark.parametrize("seed", [1, 2])
def test_less_urgent_ranks_keep_their_guaranteed_fraction(seed: int) -> None:
    """Guard against starvation by urgent work, with one rank or both busy."""
    for less_urgent in ((INTERACTIVE, EXPORT), (EXPORT,)):
        loads = (
            load(URGENT, 10.0),
            *(load(rank, 0.5) for rank in less_urgent),
        )
        counts = asyncio.run(
            simulation.simulate(loads, duration_s=DURATION_S, seed=seed)
        )
        for rank in less_urgent:
            assert capacity_fraction(counts[rank]) > 0.09
        total = sum(map(capacity_fraction, counts.values()))
        assert total > 0.9
        baseline = simulation.simulate_first_come(
            loads, duration_s=DURATION_S, seed=seed
        )
        assert total > sum(map(capacity_fraction, baseline.values()))
