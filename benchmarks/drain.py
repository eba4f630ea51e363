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
OBSERVATION_S = 6.0
POLL_INTERVAL_S = 0.05


class Drain(NamedTuple):
    """Hold the requests that reached a server after its drain began."""

    server: str
    # Seconds until the last new request; 0.0 if there was none.
    last_request_s: float
    requests: int


async def drain_server(
    deployment: deployment_module.Deployment, name: str
) -> Drain:
    """Drain a server and count the requests that still reach it.

    A server that is leaving refuses new requests and counts them.
    """
    port = deployment.fleet.server_ports[name]
    url = f"http://127.0.0.1:{port}/control"
    refused_before = (await deployment.fleet.get_json(url))["refused"]
    await deployment.fleet.set_faults(name, leaving=True)
    started_s = TIMER.monotonic()
    last_request_s = 0.0
    refused = refused_before
    while TIMER.monotonic() - started_s < OBSERVATION_S:
        await TIMER.sleep(POLL_INTERVAL_S)
        current = (await deployment.fleet.get_json(url))["refused"]
        if current > refused:
            refused = current
            last_request_s = TIMER.monotonic() - started_s
    return Drain(name, last_request_s, refused - refused_before)


async def measure(name: str, hosts: int, seed: int, service_s: float) -> None:
    """Drain servers one after the other, then stop an entry host."""
    async with deployment_module.Deployment(
        name=name, hosts=hosts, service_s=service_s
    ) as deployment:
        # Wait for the end of the servers' slow start (ramp_s).
        await TIMER.sleep(11.0)
        streams = [
            load.Stream(
                "steady",
                work,
                deployment.rank_of(work),
                0.3 * deployment.capacity(entry["backend_service"]),
                0.0,
                LOAD_S,
                entry["deadline_s"],
            )
            for work, entry in deployment.works.items()
        ]
        start_at_s = TIMER.monotonic() + deployment_module.START_DELAY_S
        task = asyncio.create_task(
            deployment.run_load(streams, seed=seed, start_at_s=start_at_s)
        )
        await TIMER.sleep(5.0)
        names = sorted(deployment.servers)
        stride = len(names) // DRAINED_SERVERS
        drains = [
            await drain_server(deployment, names[index * stride])
            for index in range(DRAINED_SERVERS)
        ]
        stopped_host = deployment.hosts[0].name
        stop_s = TIMER.monotonic()
        deployment.fleet.signal(stopped_host, signal.SIGTERM)
        code = await deployment.fleet.wait_exit(stopped_host)
        stop_duration_s = TIMER.monotonic() - stop_s
        records = await task
        print(
            f"{name}, {hosts} entry hosts, seed {seed}, service time "
            f"{service_s} s, load 0.3 of each service's capacity for each "
            f"work entry"
        )
        for drain in drains:
            print(
                f"  {drain.server} leaves: last new request after "
                f"{drain.last_request_s:.2f} s, {drain.requests} requests "
                f"after the first sign"
            )
        print(
            f"  planned stop of {stopped_host}: exit code {code} after "
            f"{stop_duration_s:.1f} s"
        )
        for rank in deployment_module.RANKS:
            rank_records = [
                record for record in records if record.rank == rank
            ]
            before = [
                record.seconds
                for record in rank_records
                if record.due_s < stop_s - start_at_s and record.status == 200
            ]
            during = [
                record.seconds
                for record in rank_records
                if 0 <= record.due_s - (stop_s - start_at_s) < stop_duration_s
                and record.status == 200
            ]
            failures = collections.Counter(
                record.name for record in rank_records if record.status != 200
            )
            p99 = [
                load.percentiles(seconds or [0.0])["99"]
                for seconds in (before, during)
            ]
            print(
                f"  {rank:12} sent {len(rank_records)}, not answered "
                f"{dict(failures)}, p99 before the stop {p99[0]:.0f} ms, "
                f"during it {p99[1]:.0f} ms"
            )
        deployment_module.print_bottlenecks(deployment, records)
        deployment_module.print_violations(
            await deployment.count_violations(records)
        )


def main(
    deployment: str = "estonia",
    hosts: int = 8,
    seed: int = 1,
    service_s: float = 0.3,
) -> None:
    """Measure drains and a planned stop under load."""
    asyncio.run(measure(deployment, hosts, seed, service_s))


if __name__ == "__main__":
    typer.run(main)
