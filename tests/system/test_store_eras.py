"""Test real entry hosts whose store comes back from an older copy."""

import asyncio
from collections.abc import Callable
import pathlib
import random

import orjson
import pytest

from standins.soak import callers
from standins.soak import checks
from standins.soak import keys
from standins.soak import world as soak_world

HOST_COUNT = 3
CALLERS = 4
# Changes that the store loses.
LOST_CHANGES = 12
# Time for which the store is away.
AWAY_S = 1.0
# Changes that take the revisions past those seen before.
MORE_CHANGES = 40
# A server that was added gets requests within this time.
ADDED_WITHIN_S = 2.0
POLL_S = 0.05
MAX_POLLS = 200


async def seconds_until(condition: Callable[[], bool]) -> float:
    """Return the time until a condition holds, with a limit."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    for _ in range(MAX_POLLS):
        if condition():
            break
        await asyncio.sleep(POLL_S)
    return loop.time() - start_s


async def get_status(host: soak_world.HostProcess, path: str) -> int:
    """Return the status that a host answers a request with."""
    listen = host.settings["Listen"]
    assert isinstance(listen, dict)
    ip, _, port = listen["Front"].partition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(
        f"GET {path} HTTP/1.1\r\nHost: portal.example\r\n"
        "X-Samphirelug-Request-Id: probe\r\n"
        "X-Samphirelug-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n".encode()
    )
    line = await reader.readline()
    writer.close()
    return int(line.split()[1])


async def seconds_until_served(
    host: soak_world.HostProcess, path: str
) -> float:
    """Return the time until a host has a route in force, with a limit."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    for _ in range(MAX_POLLS):
        if await get_status(host, path) != 404:
            break
        await asyncio.sleep(POLL_S)
    return loop.time() - start_s


class Drill:
    """Let the store come back from a copy while callers send requests."""

    def __init__(self, folder: pathlib.Path, *, is_silent: bool) -> None:
        # Whether the store is back at once, leaves watches without an answer
        # and passes the revisions that hosts have seen.
        self.is_silent = is_silent
        loop = asyncio.get_running_loop()
        self.outcomes: list[callers.Outcome] = []
        self.key_book = keys.KeyBook(rng=random.Random(1), clock=loop.time)
        self.world = soak_world.World(
            folder=folder,
            rng=random.Random(1),
            hosts=HOST_COUNT,
            keys=self.key_book,
        )
        self.world.store.era = 1
        self.in_force_after_s: list[float] = []
        self.added_after_s = 0.0

    async def run(self) -> None:
        """Run the drill and wait until callers have ended."""
        loop = asyncio.get_running_loop()
        try:
            await self.world.start()
            until_s = loop.time() + 14.0
            sending = [
                asyncio.ensure_future(self.make_caller(number).run(until_s))
                for number in range(CALLERS)
            ]
            await asyncio.sleep(2.0)
            await self.lose_changes()
            await self.write_again()
            await asyncio.gather(*sending)
        finally:
            await self.world.stop()

    def make_caller(self, number: int) -> callers.Caller:
        """Return a caller."""
        return callers.Caller(
            name=f"c{number}",
            lookup_addresses=[
                (host.ip, host.directory_port) for host in self.world.hosts
            ],
            rng=random.Random(number),
            keys=self.key_book,
            outcomes=self.outcomes,
        )

    async def lose_changes(self) -> None:
        """Go back to a copy that lacks changes and the leaving of a server."""
        store = self.world.store
        copy = store.copy()
        for _ in range(LOST_CHANGES):
            self.world.change_configuration()
        self.world.drain_server()
        await asyncio.sleep(2.0)
        if self.is_silent:
            store.come_back_from(copy, is_silent=True)
            for _ in range(MORE_CHANGES):
                self.world.change_configuration()
            return
        store.fault = "down"
        await asyncio.sleep(AWAY_S)
        store.come_back_from(copy)
        store.fault = ""

    async def write_again(self) -> None:
        """Write a configuration with a further route, and add a server."""
        store = self.world.store
        self.world.change_configuration()
        spec = orjson.loads(
            orjson.dumps(store.objects["config", "main"]["Spec"])
        )
        rules = spec["Listeners"][0]["Rules"]
        rules.append(
            {**rules[1], "Name": "added", "Match": {"PathPrefix": "/added/"}}
        )
        self.world.version += 3
        spec["Version"] = f"{self.world.version:08x}"
        store.put("config", "main", spec)
        self.in_force_after_s = list(
            await asyncio.gather(
                *(
                    seconds_until_served(host, "/added/1")
                    for host in self.world.hosts
                )
            )
        )
        await self.world.add_server()
        added = list(self.world.servers.values())[-1]
        self.added_after_s = await seconds_until(
            lambda: bool(added.handler.last_answered_id)
        )


@pytest.mark.parametrize("is_silent", [False, True])
def test_hosts_follow_a_store_that_came_back_from_an_older_copy(
    tmp_path: pathlib.Path, is_silent: bool
) -> None:
    """Guard against hosts that stop following the store for good."""

    async def main() -> Drill:
        drill = Drill(tmp_path, is_silent=is_silent)
        await drill.run()
        return drill

    drill = asyncio.run(main())
    delay_s = checks.MAX_SCHEDULING_DELAY_S
    assert max(drill.in_force_after_s) < checks.CONFIG_APPLY_S + delay_s
    assert drill.added_after_s < ADDED_WITHIN_S + delay_s
    assert drill.outcomes
    assert not checks.violations(
        drill.outcomes,
        drill.world.run_log,
        key_book=drill.key_book,
        applied_within_s=checks.CONFIG_APPLY_S,
        planned_periods=[],
        check_drain=True,
    )
    for host in drill.world.hosts:
        log = (tmp_path / f"{host.name}.log").read_text()
        assert log.count('"view begins a new era of the store"') == 4
