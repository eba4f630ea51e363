"""Measure memory and descriptors of an entry host under hostile clients.

Run it with PYTHONPATH=platform, while nothing else runs.
"""

import asyncio
import pathlib
import random
import tempfile
from typing import Annotated

import typer

from standins import crowd
from standins.soak import world as soak_world

FORMS: dict[str, tuple[crowd.Form, tuple[str, ...]]] = {
    **{
        f"unread {name}": (crowd.UnreadAnswers(), (name,))
        for name in crowd.LISTENERS
    },
    "single bytes": (crowd.SingleBytes(), crowd.LISTENERS),
    "endless heads": (crowd.EndlessHeads(), crowd.LISTENERS),
    "left open": (crowd.LeftOpen(), crowd.LISTENERS),
    "unfinished frames": (crowd.UnfinishedFrames(), ("link",)),
}
# The smallest hosts.
MEMORY_MB = 200
MAX_DESCRIPTORS = 4100
SAMPLE_S = 0.1


async def measure(
    form: crowd.Form,
    *,
    listeners: tuple[str, ...],
    connections: int,
    seconds: float,
    folder: pathlib.Path,
) -> tuple[float, int]:
    """Return the peak memory in MB and the largest number of descriptors."""
    world = soak_world.World(
        folder=folder,
        rng=random.Random(1),
        hosts=1,
        memory_mb=MEMORY_MB,
        max_descriptors=MAX_DESCRIPTORS,
    )
    await world.start()
    (host,) = world.hosts
    assert host.process is not None
    targets = crowd.find_targets(host)
    hostile = crowd.Crowd(
        form=form,
        targets=[targets[name] for name in listeners],
        connections=connections,
    )
    running = asyncio.ensure_future(hostile.run())
    descriptors = 0
    try:
        for _ in range(round(seconds / SAMPLE_S)):
            await asyncio.sleep(SAMPLE_S)
            descriptors = max(
                descriptors, crowd.open_descriptors(host.process.pid)
            )
        peak_bytes = crowd.peak_memory_bytes(host.process.pid)
    finally:
        running.cancel()
        await world.stop()
    return peak_bytes / 1e6, descriptors


def main(
    connections: Annotated[list[int], typer.Option()],
    seconds: Annotated[float, typer.Option()] = 4.0,
) -> None:
    """Print a line for each form and number of hostile connections."""
    for name, (form, listeners) in FORMS.items():
        cells = []
        for count in connections:
            with tempfile.TemporaryDirectory() as folder:
                peak_mb, descriptors = asyncio.run(
                    measure(
                        form,
                        listeners=listeners,
                        connections=count,
                        seconds=seconds,
                        folder=pathlib.Path(folder),
                    )
                )
            cells.append(f"{count}: {peak_mb:.0f} MB, {descriptors}")
        print(f"{name:20}", "; ".join(cells), flush=True)


if __name__ == "__main__":
    typer.run(main)
