"""Run the soak test: python -m standins.soak --seed 7 --seconds 20."""

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
from standins.soak import drills as drill_module
from standins.soak import faults
from standins.soak import keys
from standins.soak import world as soak_world

CALLERS = 12
# Time for which callers send requests after the faults end.
RECOVERY_S = 3.0


class Report(NamedTuple):
    """Hold the results of one seed."""

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
    drills: bool = False,
) -> Report:
    """Run one seed and return its report.

    With drills, the store also comes back from older copies.
    """
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    # The schedule of the faults stays that of the seed.
    key_rng = random.Random(f"keys-{seed}")
    key_book = keys.KeyBook(rng=key_rng, clock=loop.time)
    world = soak_world.World(
        folder=folder,
        rng=rng,
        hosts=hosts,
        keys=key_book,
        # With faults, removed keys end in time only if hosts are strict.
        strict_revoke=not planned_only,
    )
    outcomes: list[callers.Outcome] = []
    try:
        world.store.era = 1 if drills else 0
        await world.start()
        start_s = loop.time()
        lookup_addresses = [
            (host.ip, host.directory_port) for host in world.hosts
        ]
        caller_tasks = [
            asyncio.ensure_future(
                callers.Caller(
                    name=f"c{number}",
                    lookup_addresses=lookup_addresses,
                    rng=random.Random(seed * 1000 + number),
                    keys=key_book,
                    outcomes=outcomes,
                ).run(start_s + seconds + RECOVERY_S)
            )
            for number in range(CALLERS)
        ]
        key_changes = asyncio.ensure_future(
            faults.change_keys(world, key_book, key_rng)
        )
        # The schedule of the faults stays that of the seed.
        drill_rng = random.Random(f"drills-{seed}")
        background = [key_changes]
        if drills:
            background.append(
                asyncio.ensure_future(drill_module.run(world, drill_rng))
            )
        kinds = faults.PLANNED if planned_only else faults.FAULTS
        applied = await faults.run(world, seconds=seconds, kinds=kinds)
        await asyncio.gather(*caller_tasks)
        for task in background:
            task.cancel()
    finally:
        exit_codes = await world.stop()
    planned_periods = (
        [checks.PlannedPeriod(start_s, loop.time())] if planned_only else []
    )
    violations = checks.violations(
        outcomes,
        world.run_log,
        key_book=key_book,
        applied_within_s=checks.CONFIG_APPLY_S
        if planned_only
        else checks.REVOKE_S,
        planned_periods=planned_periods,
        check_drain=planned_only,
    )
    violations.extend(
        f"{name} logged a key" for name in world.hosts_with_logged_keys()
    )
    statuses = collections.Counter(str(outcome.status) for outcome in outcomes)
    return Report(violations, applied, dict(statuses), exit_codes)


def main(
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    hosts: int = 4,
    planned_only: bool = False,
    drills: bool = False,
) -> None:
    """Run seeds one after the other; exit with 1 if any of them fails."""
    # Watches that are open when a run ends are cut off, which tornado
    # would log as errors.
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    failed = []
    for one_seed in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{one_seed}-"))
        report = asyncio.run(
            soak(
                seed=one_seed,
                seconds=seconds,
                hosts=hosts,
                folder=folder,
                planned_only=planned_only,
                drills=drills,
            )
        )
        typer.echo(
            f"seed {one_seed}: {report.statuses},"
            f" {len(report.faults)} faults, exit codes {report.exit_codes}"
        )
        for line in report.violations:
            typer.echo(f"  {line}")
        if report.violations:
            failed.append(one_seed)
            typer.echo(f"  faults {report.faults}; logs in {folder}")
    typer.echo(f"{seeds} seeds, failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
