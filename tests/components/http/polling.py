"""Wait for a condition in tests of connections."""

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.005
MAX_POLLS = 2000


async def wait_until(condition: Callable[[], bool]) -> None:
    """Return when a condition holds."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError("the condition does not hold in time")
