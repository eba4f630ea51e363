"""Test the operator commands against real entry hosts and a store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import signal
from typing import Any

import yaml

from samphirelug import result_codes
from standins import demo
from standins import fleet
from tests.system import harness

Code = result_codes.ResultCode
IN_FORCE_S = 4.0
POLL_INTERVAL_S = 0.2


def run_fleet(scenario: Callable[[fleet.Fleet], Awaitable[None]]) -> None:
    """Run a scenario on a fresh fleet."""

    async def run() -> None:
        async with fleet.Fleet(hosts=demo.HOSTS) as running:
            await harness.start(running)
            await scenario(running)

    asyncio.run(run())


async def set_store_faults(running: fleet.Fleet, **faults: Any) -> None:
    """Set faults of the fake store; the other ones keep their values."""
    await running.post_json(f"{running.store_url}/control/faults", faults)


async def write_region(running: fleet.Fleet, *, max_in_flight: int) -> str:
    """Write a file with a changed region and return its path."""
    entries = demo.demo_catalogue(running.server_ports)
    region = next(entry for entry in entries if entry["name"] == "tartu")
    region["max_in_flight"] = max_in_flight
    path = pathlib.Path(running.directory.name, f"{max_in_flight}.yaml")
    path.write_text(yaml.safe_dump(region))
    return str(path)


async def apply(
    running: fleet.Fleet, path: str, *arguments: str
) -> tuple[int, str, str]:
    """Run the command that applies a file."""
    return await running.command(
        "catalogue",
        "apply",
        path,
        "--store-url",
        running.store_url,
        *arguments,
    )


def host_flags(running: fleet.Fleet) -> list[str]:
    """Return the flags that name every entry host."""
    return [
        argument
        for name in running.hosts
        for argument in ("--entry-host-url", running.operator_url(name))
    ]


async def stored_region(running: fleet.Fleet) -> dict[str, Any]:
    """Return the stored object of the region that the tests change."""
    return await running.get_json(
        f"{running.store_url}/v1/objects/catalogue/region/tartu"
    )


async def peer_names(running: fleet.Fleet, url: str) -> set[str]:
    """Return the peers that an entry host is connected to."""
    status = await running.get_json(f"{url}/v1/status")
    return {peer["name"] for peer in status["peers"]}


def test_change_is_in_force_on_every_host() -> None:
    """Guard against a change that is reported as in force and is not."""

    async def scenario(running: fleet.Fleet) -> None:
        path = await write_region(running, max_in_flight=7)
        code, out, err = await apply(
            running,
            path,
            "--wait",
            "--timeout-s",
            str(IN_FORCE_S),
            *host_flags(running),
        )
        assert code == 0, (out, err)
        revision = (await stored_region(running))["revision"]
        for name in running.hosts:
            status = await running.get_json(
                f"{running.operator_url(name)}/v1/status"
            )
            assert status["catalogue_position"] >= revision

    run_fleet(scenario)


def test_paused_host_is_named_as_lagging() -> None:
    """Guard against a change reported as in force despite a lagging host."""

    async def scenario(running: fleet.Fleet) -> None:
        running.signal("eh-tartu", signal.SIGSTOP)
        path = await write_region(running, max_in_flight=7)
        code, out, err = await apply(
            running,
            path,
            "--wait",
            "--timeout-s",
            "3",
            *host_flags(running),
        )
        assert code == Code.NOT_IN_FORCE.exit_code, (out, err)
        assert running.operator_url("eh-tartu") in err or "eh-tartu" in err

    run_fleet(scenario)


def test_two_operators_get_one_conflict() -> None:
    """Guard against a change that silently overwrites another one."""

    async def scenario(running: fleet.Fleet) -> None:
        paths = [
            await write_region(running, max_in_flight=limit)
            for limit in (7, 8)
        ]
        before = await stored_region(running)
        # The store holds the first write until the second arrives, so that
        # both operators read before either write takes effect.
        await set_store_faults(running, gather_writes=2)
        results = await asyncio.gather(
            *(apply(running, path) for path in paths)
        )
        await set_store_faults(running)
        codes = sorted(code for code, _, _ in results)
        assert codes == [0, Code.CATALOGUE_CONFLICT.exit_code], results
        refused = next(result for result in results if result[0])
        assert "7" in refused[2] + refused[1]
        assert "8" in refused[2] + refused[1]
        after = await stored_region(running)
        assert after["revision"] > before["revision"]

    run_fleet(scenario)


def test_write_with_lost_answer_is_applied_once() -> None:
    """Guard against a lost answer that causes a conflict or a second write.

    The command cannot tell whether its write took effect, and tries again.
    """

    async def scenario(running: fleet.Fleet) -> None:
        path = await write_region(running, max_in_flight=7)
        before = await stored_region(running)
        await set_store_faults(running, lose_answers=1)
        code, out, err = await apply(running, path)
        assert code == 0, (out, err)
        after = await stored_region(running)
        assert after["value"]["entry"]["max_in_flight"] == 7
        assert after["value"]["change_id"] != before["value"]["change_id"]
        assert out.count("applied") == 1

    run_fleet(scenario)


def test_host_with_wrong_secret_cannot_join() -> None:
    """Guard against a host without the cluster secret in the mesh."""

    async def scenario(running: fleet.Fleet) -> None:
        await running.start_host("eh-tartu-2", wait=False)
        url = running.operator_url("eh-tartu")
        metrics = ""
        # The host tries to join once its process has started.
        while "peer_unauthenticated" not in metrics:
            await harness.TIMER.sleep(POLL_INTERVAL_S)
            metrics = await running.get_text(f"{url}/metrics")
            assert "eh-tartu-2" not in await peer_names(running, url)
        await harness.TIMER.sleep(3)
        names = await peer_names(running, url)
        assert names == {"eh-tallinn", "eh-tallinn-2"}

    async def run() -> None:
        async with fleet.Fleet(hosts=demo.HOSTS) as running:
            await harness.start(running)
            running.add_host(
                fleet.HostLocation("eh-tartu-2", "tartu-b", "tartu"),
                secret="another-secret-of-this-length",
            )
            await scenario(running)

    asyncio.run(run())
