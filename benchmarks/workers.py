"""Serve fake backend servers in which requests queue for a slot.

The server in standins runs any number of requests at once and reports how
many. The baseline proxy does not know the slots, so this module enforces them.
"""

import asyncio
from typing import Any

import typer

from standins import backend_server

_SEMAPHORES: dict[str, asyncio.Semaphore] = {}
_ORIGINAL_PROCESS = backend_server.WorkHandler._process


async def _process_in_slot(
    handler: backend_server.WorkHandler, faults: backend_server.Faults
) -> Any:
    server = handler.server
    slots = _SEMAPHORES.setdefault(
        server.name, asyncio.Semaphore(server.slots)
    )
    async with slots:
        await _ORIGINAL_PROCESS(handler, faults)


if __name__ == "__main__":
    backend_server.WorkHandler._process = _process_in_slot  # type: ignore
    typer.run(backend_server.main)
