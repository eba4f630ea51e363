"""Serve backend servers whose requests queue for a slot, as workers do.

The stand-in runs any number of requests at once and reports how many. A
comparison that does not know of slots needs them enforced here.
"""

import asyncio
from typing import Any

import typer

from standins import backend_server

_SLOTS: dict[str, asyncio.Semaphore] = {}
_WORK = backend_server.WorkHandler._process


async def _work_in_slot(
    handler: backend_server.WorkHandler, faults: backend_server.Faults
) -> Any:
    server = handler.server
    slots = _SLOTS.setdefault(server.name, asyncio.Semaphore(server.slots))
    async with slots:
        await _WORK(handler, faults)


if __name__ == "__main__":
    backend_server.WorkHandler._process = _work_in_slot  # type: ignore
    typer.run(backend_server.main)
