"""Check P1 to P8 on histories of whole runs, and check the checkers."""

import asyncio
import functools
from typing import Any
from unittest import mock

import pytest

from samphirelug.components.admission import model as admission_model
from samphirelug.components.backend.model import FailureKind
from samphirelug.components.catalogue import state as catalogue_state
from samphirelug.components.catalogue import sync
from samphirelug.components.catalogue import view as catalogue_view
from samphirelug.components.execution import executor
from samphirelug.components.execution import tokens
from samphirelug.components.quota import ledger
from samphirelug.components.steering import health
from samphirelug import entry_host
from tests.history import faults
from tests.history import record
from tests.history import world as world_module
from tests.history.world import World

# Long enough for a server or a host that leaves.
GUARD_RUN_S = 10.0
DECODE = tokens.TokenIssuer.decode


def broken(world: World) -> dict[str, list[str]]:
    return record.broken(world.history, world_module.INTERVAL_S)


@pytest.mark.parametrize("seed", range(12))
def test_promises_hold_under_faults(seed: int) -> None:
    """Guards against a broken promise under any two faults at a time."""
    world = world_module.run_seed(seed, faults.schedule, duration_s=38.0)
    assert not broken(world), world.log
    # A run in which little is served would prove little.
    assert len(world.history.runs) > 100
    assert len({run.host for run in world.history.runs}) >= 3


def test_seed_replays_to_the_same_history() -> None:
    """Guards against failures that cannot be looked into again."""
    first, second, other = (
        world_module.run_seed(seed, faults.schedule, duration_s=12.0)
        for seed in (5, 5, 6)
    )
    assert vars(first.history) == vars(second.history)
    assert vars(first.history) != vars(other.history)


async def calm(_: World) -> None:
    """Inject no fault."""


async def burst(world: World) -> None:
    """Let more callers come than the regions can serve."""
    for work in world.rates:
        world.rates[work] *= 4.0


async def trouble(world: World) -> None:
    """Let servers refuse, reset and answer late under load."""
    await burst(world)
    for server in world.servers.values():
        server.trouble = 0.3


async def empty_region(world: World) -> None:
    """Send the callers of one region to the others."""
    await burst(world)
    for server in world.servers.values():
        if server.region == "tallinn":
            server.go_down()


async def drains(world: World) -> None:
    """Let servers leave that go on taking what they are sent."""
    for server in list(world.servers.values())[::2]:
        server.leaving = True


async def stops(world: World) -> None:
    """Stop hosts while requests are in flight."""
    await trouble(world)
    await asyncio.sleep(2.0)
    for process in list(world.hosts.values())[::2]:
        process.stop_requested.set()


async def stale_store(world: World) -> None:
    """Answer reads from the past after a change."""
    for _ in range(2):
        await world.change()
        await asyncio.sleep(1.0)
    await asyncio.sleep(record.IN_FORCE_S)
    world.core.faults.stale_by = 60
    await world.span("fault", "", 60.0)


def finish(self: Any, permit: Any, request: Any, **sent: Any) -> None:
    """Take every request that is over here for one that has ended."""
    self.admission.finish(
        permit,
        ended=admission_model.PermitEnd.COMPLETE,
        request=request,
        answer_bytes=sent["answer_bytes"],
    )


async def run_anywhere(self: Any, request: Any, _: str) -> Any:
    """Run the work of a token on any host at any time."""
    work = self.catalogue.view.works[request.work]
    run = executor.Run()
    return await self._run_with_retries(
        request, work, repeatable=False, run=run
    )


def decode_by_work(self: Any, token: str) -> Any:
    """Take all tokens for one work entry for the same token."""
    decoded = DECODE(self, token)
    return decoded.map(lambda each: each._replace(token_id=each.work))


def merge(self: Any, objects: Any, revision: int) -> bool:
    """Take what comes last for the newest."""
    self.objects.update({item.key: item for item in objects})
    self.position = revision
    entries = [item.entry for item in self.objects.values() if item.entry]
    self.view = catalogue_view.CatalogueView(entries=entries)
    self.on_change()
    return True


def ignore(*_: Any) -> None:
    """Do nothing."""


# Promise, owner and name of the guard, what replaces it, the run's faults.
GUARDS: tuple[tuple[str, Any, str, Any, world_module.Inject], ...] = (
    ("P1", ledger.KeyState, "release_delay_s", 0.0, empty_region),
    # Each host uses the whole limit.
    ("P2", ledger.SeatState, "allocated", lambda *args: args[2], burst),
    ("P2", executor.Executor, "_finish", finish, trouble),
    ("P3", tokens.TokenIssuer, "decode", decode_by_work, calm),
    ("P4", FailureKind, "certainly_not_run", True, trouble),
    ("P5", executor.Executor, "_run_once", run_anywhere, trouble),
    ("P6", health.ServerHealth, "_mark_leaving", ignore, drains),
    ("P7", entry_host.EntryHostProcess, "_stop", calm, stops),
    ("P8", catalogue_state.CatalogueState, "_merge", merge, stale_store),
    ("P8", sync.CatalogueSync, "_apply_watch", ignore, stale_store),
)


@functools.cache
def unbroken(injected: world_module.Inject) -> dict[str, list[str]]:
    """Return what is reported of a run with all guards."""
    return broken(world_module.run_seed(1, injected, duration_s=GUARD_RUN_S))


@pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard[2])
def test_checker_reports_a_missing_guard(guard: Any) -> None:
    """Guards against a checker that cannot fail."""
    promise, owner, name, replacement, injected = guard
    assert promise not in unbroken(injected)
    with (
        mock.patch.object(owner, name, replacement),
        mock.patch.object(executor, "_digest", lambda _: b"same"),
    ):
        world = world_module.run_seed(1, injected, duration_s=GUARD_RUN_S)
    assert promise in broken(world)
