"""Run the whole system once on loopback and print the callers' results."""

import asyncio
import json
import pathlib
import signal
import sys
from typing import Any

import typer
import yaml

from samphirelug.helpers import timer
from standins import caller
from standins import fleet

HOSTS = [
    fleet.HostLocation("eh-tallinn", "tallinn-a", "tallinn"),
    fleet.HostLocation("eh-tallinn-2", "tallinn-b", "tallinn"),
    fleet.HostLocation("eh-tartu", "tartu-a", "tartu"),
]
# Availability zones by region.
REGIONS = {
    "tallinn": ["tallinn-a", "tallinn-b"],
    "tartu": ["tartu-a", "tartu-b"],
}


def demo_catalogue(server_ports: dict[str, int]) -> list[dict[str, Any]]:
    """Return a catalogue of two linked regions with work of each rank."""
    regions = [
        {
            "kind": "region",
            "name": name,
            "owner": "platform",
            "availability_zones": zones,
            "zone_latency_ms": 3,
            "max_in_flight": 12,
            "shift_cap": {"requests": 20, "interval_s": 5},
            "guaranteed": {
                "urgent": 0.1,
                "interactive": 0.1,
                "export": 0.05,
            },
        }
        for name, zones in REGIONS.items()
    ]
    link = {
        "kind": "link",
        "name": "tallinn-tartu",
        "owner": "platform",
        "regions": ["tallinn", "tartu"],
        "latency_ms": 20,
        "bytes_per_s": 500_000_000,
    }
    service = {
        "kind": "backend-service",
        "name": "filing",
        "owner": "registry",
        "health_path": "/health",
        "ramp_s": 0,
        "servers": [
            {
                "name": name,
                "availability_zone": name.rsplit("-", 1)[0],
                "address": f"127.0.0.1:{port}",
                "slots": 3,
                "connections": 360,
            }
            for name, port in server_ports.items()
        ],
    }
    works = [
        {
            "kind": "work",
            "name": name,
            "owner": "registry",
            "work_class": work_class,
            "repeatable": repeatable,
            "backend_service": "filing",
            "max_in_flight_per_region": 12,
            "max_body_bytes": 65536,
            "max_answer_bytes": 65536,
            "deadline_s": 10,
        }
        for name, work_class, repeatable in (
            ("file-claim", "filing", False),
            ("case-status", "status", True),
            ("case-export", "export", True),
        )
    ]
    return [*regions, link, service, *works]


async def run_demo(program: list[str] | None) -> int:
    """Start the system, send requests, stop it; return the exit code."""
    async with fleet.Fleet(hosts=HOSTS, program=program) as running:
        names = [
            f"{zone}-{number}"
            for zones in REGIONS.values()
            for zone in zones
            for number in "12"
        ]
        await running.start_servers("servers", names)
        await asyncio.gather(
            *(running.start_host(host.name, wait=False) for host in HOSTS)
        )
        await apply_catalogue(running)
        for host in HOSTS:
            await running.wait_host_ready(host.name)
        await send_requests(running)
        for host in HOSTS:
            running.signal(host.name, signal.SIGINT)
        codes = [await running.wait_exit(host.name) for host in HOSTS]
        print(f"entry hosts ended with {codes}")
        return 0 if codes == [0, 0, 0] else 1


async def apply_catalogue(running: fleet.Fleet) -> None:
    """Apply the demo's catalogue with the operator's command."""
    path = pathlib.Path(running.directory.name, "demo.yaml")
    entries = demo_catalogue(running.server_ports)
    path.write_text(yaml.safe_dump_all(entries))
    url_flags = [
        argument
        for name in running.hosts
        for argument in ("--entry-host-url", running.operator_url(name))
    ]
    code, out, err = await running.command(
        "catalogue",
        "apply",
        str(path),
        "--store-url",
        running.store_url,
        "--wait",
        *url_flags,
    )
    print(out or err)
    if code != 0:
        logs = "".join(running.log_text(name) for name in running.hosts)
        raise RuntimeError(
            f"catalogue apply exited with code {code}: {err}{logs}"
        )


async def send_requests(running: fleet.Fleet) -> None:
    """Send requests of each rank from both regions, and two invalid ones."""
    timer_service = timer.LoopTimerService()
    urls = [running.caller_url(name) for name in running.hosts]
    for place in REGIONS:
        client = caller.Caller(
            lookup_urls=urls, place=place, timer_service=timer_service
        )
        for work in ("file-claim", "case-status", "case-export"):
            lookup = await client.look_up(work)
            for _ in range(2):
                result = await client.call(
                    work, path="/x?y=1", body="claim", lookup=lookup.body
                )
                print_result(f"{place}: {work}", result)
        print_result(
            f"{place}: no-such-work", await client.call("no-such-work")
        )
        client.close()
    client = caller.Caller(
        lookup_urls=urls, place="tallinn", timer_service=timer_service
    )
    lookup = await client.look_up("file-claim")
    lookup.body.pop("run_token")
    result = await client.call("file-claim", lookup=lookup.body)
    print_result("tallinn: file-claim without a token", result)
    client.close()


def print_result(title: str, result: caller.CallResult) -> None:
    """Print the result of one request in a line."""
    if result.code:
        outcome = f"{result.code} {result.name} ({result.effect})"
    else:
        outcome = f"answer of {result.body.get('server')}"
    detail = result.body.get("detail", "")
    milliseconds = result.seconds * 1000
    print(
        f"{title:40} {result.status} {outcome} by {result.entry_host or '-'}"
        f" in {milliseconds:.0f} ms {detail}"
    )
    if not result.status:
        print(json.dumps(result.body), file=sys.stderr)


def main(
    binary: str = typer.Option("", help="samphirelug binary to start"),
) -> None:
    """Run the whole system once on loopback and print the results."""
    program = [sys.executable, binary] if binary else None
    try:
        code = asyncio.run(run_demo(program))
    except KeyboardInterrupt:
        code = 130
    except RuntimeError as error:
        print(error, file=sys.stderr)
        code = 1
    raise typer.Exit(code)


if __name__ == "__main__":
    typer.run(main)
