"""Test the guarantees P1 to P8 in simulated runs, and test their checks."""

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

# Long enough for a server to be drained and for a host to stop.
GUARD_RUN_S = 10.0
# Called by its replacement, decode_with_shared_id().
ORIGINAL_DECODE = tokens.TokenIssuer.decode


def violations(world: World) -> dict[str, list[str]]:
    return record.violations(world.history, world_module.SHIFT_INTERVAL_S)


@pytest.mark.parametrize("seed", range(12))
def test_guarantees_hold_under_faults(seed: int) -> None:
    """Guard against violated guarantees under one or two faults at a time."""
    world = world_module.run_seed(seed, faults.schedule, duration_s=38.0)
    assert not violations(world), world.fault_log
    # A run that serves little work would hardly test the guarantees.
    assert len(world.history.runs) > 100
    assert len({run.host for run in world.history.runs}) >= 3


def test_seed_replays_to_the_same_history() -> None:
    """Guard against failures that their seed does not reproduce."""
    first, second, other = (
        world_module.run_seed(seed, faults.schedule, duration_s=12.0)
        for seed in (5, 5, 6)
    )
    assert vars(first.history) == vars(second.history)
    assert vars(first.history) != vars(other.history)


async def do_nothing(_: World) -> None:
    """Inject no fault; as a replacement of _stop(), skip the stop."""


async def burst(world: World) -> None:
    """Send more requests than the regions can serve."""
    for work in world.request_rates:
        world.request_rates[work] *= 4.0


async def failing_servers(world: World) -> None:
    """Make servers refuse, reset and delay requests under load."""
    await burst(world)
    for server in world.servers.values():
        server.failure_rate = 0.3


async def lose_servers_of_region(world: World) -> None:
    """Shut down the servers of one region, so that its load shifts."""
    await burst(world)
    for server in world.servers.values():
        if server.region == "tallinn":
            server.shut_down()


async def drain_servers(world: World) -> None:
    """Drain half of the servers, which still accept all requests."""
    for server in list(world.servers.values())[::2]:
        server.leaving = True


async def stop_hosts(world: World) -> None:
    """Stop half of the hosts while requests are in flight."""
    await failing_servers(world)
    await asyncio.sleep(2.0)
    for process in list(world.hosts.values())[::2]:
        process.stop_requested.set()


async def serve_stale_reads(world: World) -> None:
    """Answer reads with old revisions after changes."""
    for _ in range(2):
        await world.set_limits()
        await asyncio.sleep(1.0)
    await asyncio.sleep(record.IN_FORCE_S)
    world.core.faults.stale_by = 60
    await world.record_span("fault", "", 60.0)


def finish_as_complete(
    self: Any, permit: Any, request: Any, **arguments: Any
) -> None:
    """Release the permit as if the server had finished every attempt."""
    self.admission.finish(
        permit,
        ended=admission_model.PermitEnd.COMPLETE,
        request=request,
        answer_bytes=arguments["answer_bytes"],
    )


async def run_without_claim(self: Any, request: Any, _: str) -> Any:
    """Run work on any host without a check whether its token was used."""
    work = self.catalogue.view.works[request.work]
    run = executor.Run()
    return await self._run_with_retries(
        request, work, repeatable=False, run=run
    )


def decode_with_shared_id(self: Any, encoded: str) -> Any:
    """Decode all tokens for a work entry as if they had the same ID."""
    decoded = ORIGINAL_DECODE(self, encoded)
    return decoded.map(lambda token: token._replace(token_id=token.work))


def merge_unconditionally(self: Any, objects: Any, revision: int) -> bool:
    """Merge objects without comparing their revisions."""
    self.objects.update({item.key: item for item in objects})
    self.position = revision
    entries = [item.entry for item in self.objects.values() if item.entry]
    self.view = catalogue_view.CatalogueView(entries=entries)
    self.on_change()
    return True


def ignore(*_: Any) -> None:
    """Ignore the call."""


# A guard is a function or value of the program that a guarantee depends on.
# Each row removes one: ID of the guarantee, owner and name of the guard, its
# replacement, and the faults under which the guarantee is then violated.
GUARDS: tuple[tuple[str, Any, str, Any, world_module.Injector], ...] = (
    ("P1", ledger.KeyState, "release_delay_s", 0.0, lose_servers_of_region),
    # Every host uses the whole limit instead of its share.
    ("P2", ledger.SeatState, "allocated", lambda *args: args[2], burst),
    ("P2", executor.Executor, "_finish", finish_as_complete, failing_servers),
    ("P3", tokens.TokenIssuer, "decode", decode_with_shared_id, do_nothing),
    ("P4", FailureKind, "certainly_not_run", True, failing_servers),
    ("P5", executor.Executor, "_run_once", run_without_claim, failing_servers),
    ("P6", health.ServerHealth, "_mark_leaving", ignore, drain_servers),
    ("P7", entry_host.EntryHostProcess, "_stop", do_nothing, stop_hosts),
    (
        "P8",
        catalogue_state.CatalogueState,
        "_merge",
        merge_unconditionally,
        serve_stale_reads,
    ),
    ("P8", sync.CatalogueSync, "_apply_watch", ignore, serve_stale_reads),
)


@functools.cache
def violations_with_all_guards(
    injected: world_module.Injector,
) -> dict[str, list[str]]:
    """Return the violations in a run without a removed guard."""
    return violations(
        world_module.run_seed(1, injected, duration_s=GUARD_RUN_S)
    )


@pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard[2])
def test_checker_reports_a_missing_guard(guard: Any) -> None:
    """Guard against checks that cannot fail."""
    guarantee, owner, name, replacement, injected = guard
    assert guarantee not in violations_with_all_guards(injected)
    with (
        mock.patch.object(owner, name, replacement),
        # Different requests may then use one token ID, which the comparison of
        # their digests would refuse.
        mock.patch.object(executor, "_digest", lambda _: b"same"),
    ):
        world = world_module.run_seed(1, injected, duration_s=GUARD_RUN_S)
    assert guarantee in violations(world)
