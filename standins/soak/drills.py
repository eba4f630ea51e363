"""Let the fake store come back from older copies of itself."""

import asyncio
import random

from standins.soak import store
from standins.soak import world as soak_world

# Longest age of a copy and longest time for which the store is away. The age
# fits into a short soak several times.
MAX_AGE_S = 4.0
MAX_AWAY_S = 1.5
# Share of drills that another one with the same copy follows.
REPEATED_SHARE = 0.3


async def run(world: soak_world.World, rng: random.Random) -> None:
    """Play drills until cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        copy = world.store.copy()
        await asyncio.sleep(rng.uniform(0.0, MAX_AGE_S))
        await come_back(world, copy, away_s=rng.uniform(0.0, MAX_AWAY_S))
        if rng.random() < REPEATED_SHARE:
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            await come_back(world, copy, away_s=rng.uniform(0.0, MAX_AWAY_S))


async def come_back(
    world: soak_world.World, copy: store.StoreCopy, *, away_s: float
) -> None:
    """Take the store away, and let owners write again when it is back."""
    earlier_fault, world.store.fault = world.store.fault, "down"
    await asyncio.sleep(away_s)
    world.store.come_back_from(copy)
    world.store.fault = earlier_fault if earlier_fault != "down" else ""
    world.write_again()
