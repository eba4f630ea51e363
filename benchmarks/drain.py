"""Measure drains of backend servers and planned stops of entry hosts."""

import asyncio
import collections
import signal
from typing import NamedTuple

import typer

from benchmarks import deployment as deployment_module
from benchmarks import load

TIMER = deployment_module.TIMER
LOAD_S = 50.0
DRAINED_SERVERS = 4
WATCH_S = 6.0
POLL_S = 0.05


class Drain(NamedTuple):
    """Hold what a leaving server saw after its first sign."""

    server: str
    # Seconds to the last new request; 0.0 if there was none.
    last_s: float
    requests: int


async def drain_server(
    place: deployment_module.Deployment, name: str
) -> Drain:
    """Let a server leave and watch what still reaches it.

    A leaving server refuses new work, and counts it.
    """
    port = place.running.server_ports[name]
    url = f"http://127.0.0.1:{port}/control"
    before = (await place.running.get_json(url))["refused"]
    await place.running.set_faults(name, leaving=True)
    started_s = TIMER.monotonic()
    last_s = 0.0
    seen = before
    while TIMER.monotonic() - started_s < WATCH_S:
        await TIMER.sleep(POLL_S)
        now = (await place.running.get_json(url))["refused"]
        if now > seen:
            seen = now
            last_s = TIMER.monotonic() - started_s
    return Drain(name, last_s, seen - before)


async def measure(name: str, hosts: int, seed: int, service_s: float) -> None:
    """Drain servers one after the other, then stop an entry host."""
    async with deployment_module.Deployment(
        name=name, hosts=hosts, service_s=service_s
    ) as place:
        await TIMER.sleep(11.0)
        streams = [
            load.Stream(
                "steady",
                work,
                place.rank_of(work),
                0.3 * place.capacity(entry["backend_service"]),
                0.0,
                LOAD_S,
                entry["deadline_s"],
            )
            for work, entry in place.works.items()
        ]
        start_at_s = TIMER.monotonic() + deployment_module.LEAD_S
        task = asyncio.create_task(
            place.run_load(streams, seed=seed, start_at_s=start_at_s)
        )
        await TIMER.sleep(5.0)
        names = sorted(place.servers)
        step = len(names) // DRAINED_SERVERS
        drains = [
            await drain_server(place, names[index * step])
            for index in range(DRAINED_SERVERS)
        ]
        stopped = place.hosts[0].name
        stop_s = TIMER.monotonic()
        place.running.signal(stopped, signal.SIGTERM)
        code = await place.running.wait_exit(stopped)
        seconds = TIMER.monotonic() - stop_s
        records = await task
        print(
            f"{name}, {hosts} entry hosts, seed {seed}, service time "
            f"{service_s} s, load 0.3 of each service's capacity for each "
            f"work entry"
        )
        for drain in drains:
            print(
                f"  {drain.server} leaves: last new request after "
                f"{drain.last_s:.2f} s, {drain.requests} requests after the "
                f"first sign"
            )
        print(
            f"  planned stop of {stopped}: exit code {code} after "
            f"{seconds:.1f} s"
        )
        for rank in deployment_module.RANKS:
            mine = [r for r in records if r.rank == rank]
            before = [
                r.seconds
                for r in mine
                if r.due_s < stop_s - start_at_s and r.status == 200
            ]
            during = [
                r.seconds
                for r in mine
                if 0 <= r.due_s - (stop_s - start_at_s) < seconds
                and r.status == 200
            ]
            other = collections.Counter(
                r.name for r in mine if r.status != 200
            )
            p99 = [
                load.percentiles(x or [0.0])["99"] for x in (before, during)
            ]
            print(
                f"  {rank:12} sent {len(mine)}, not answered "
                f"{dict(other)}, p99 before the stop {p99[0]:.0f} ms, "
                f"during it {p99[1]:.0f} ms"
            )
        deployment_module.show_bounds(place, records)
        deployment_module.show_checks(await place.check(records))


def main(
    deployment: str = "estonia",
    hosts: int = 8,
    seed: int = 1,
    service_s: float = 0.3,
) -> None:
    """Measure drain times under load."""
    asyncio.run(measure(deployment, hosts, seed, service_s))


if __name__ == "__main__":
    typer.run(main)
