"""Run the soak: python -m standins.soak --seed 7 --seconds 20."""

import asyncio
import collections
import logging
import pathlib
import random
import sys
import tempfile
from typing import NamedTuple

import typer

from standins.soak import callers
from standins.soak import checks
from standins.soak import faults
from standins.soak import world as soak_world

CALLERS = 12
SETTLE_S = 3.0


class Report(NamedTuple):
    """Hold what a run brought."""

    violations: list[str]
    faults: list[str]
    statuses: dict[str, int]
    exit_codes: list[int]


async def soak(
    *,
    seed: int,
    seconds: float,
    hosts: int,
    folder: pathlib.Path,
    planned_only: bool = False,
) -> Report:
    """Run one seed and return its report."""
    rng = random.Random(seed)
    world = soak_world.World(folder=folder, rng=rng, hosts=hosts)
    outcomes: list[callers.Outcome] = []
    loop = asyncio.get_running_loop()
    try:
        await world.start()
        start_s = loop.time()
        lookups = [(host.ip, host.directory) for host in world.hosts]
        calling = [
            asyncio.ensure_future(
                callers.Caller(
                    name=f"c{number}",
                    lookups=lookups,
                    rng=random.Random(seed * 1000 + number),
                    outcomes=outcomes,
                ).run(start_s + seconds + SETTLE_S)
            )
            for number in range(CALLERS)
        ]
        kinds = faults.PLANNED if planned_only else faults.FAULTS
        applied = await faults.run(world, seconds=seconds, kinds=kinds)
        await asyncio.gather(*calling)
    finally:
        exit_codes = await world.stop()
    undisturbed = (
        [checks.Undisturbed(start_s, loop.time())] if planned_only else []
    )
    found = checks.violations(
        outcomes,
        world.runs,
        undisturbed=undisturbed,
        drain_holds=planned_only,
    )
    statuses = collections.Counter(str(one.status) for one in outcomes)
    return Report(found, applied, dict(statuses), exit_codes)


def main(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    hosts: int = 4,
    planned_only: bool = False,
) -> None:
    """Run seeds one after the other; keep the logs of those that fail."""
    # Watches that wait when a run ends are no failure of the store.
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    failed = []
    for one in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{one}-"))
        report = asyncio.run(
            soak(
                seed=one,
                seconds=seconds,
                hosts=hosts,
                folder=folder,
                planned_only=planned_only,
            )
        )
        typer.echo(
            f"seed {one}: {report.statuses}, {len(report.faults)} faults,"
            f" exit codes {report.exit_codes}"
        )
        for line in report.violations:
            typer.echo(f"  {line}")
        if report.violations:
            failed.append(one)
            typer.echo(f"  faults {report.faults}; logs in {folder}")
    typer.echo(f"{seeds} seeds, failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
