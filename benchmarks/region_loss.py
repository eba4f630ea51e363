"""Measure urgent work while a region is killed and started again."""

import asyncio
import contextlib
import signal
import statistics

import typer

from benchmarks import deployment as deployment_module
from benchmarks import load

TIMER = deployment_module.TIMER
KILL_AT_S = 20.0
RESTART_AT_S = 45.0
END_AT_S = 75.0
# Time in which urgent work must recover according to the targets.
RECOVERY_S = 10.0


def make_streams(
    deployment: deployment_module.Deployment, urgent_fraction: float
) -> list[load.Stream]:
    """Return constant load of each rank for all regions."""
    fractions = {"urgent": urgent_fraction, "interactive": 0.1, "export": 0.1}
    return [
        load.Stream(
            "steady",
            name,
            deployment.rank_of(name),
            fractions[deployment.rank_of(name)]
            * deployment.capacity(work["backend_service"]),
            0.0,
            END_AT_S,
            work["deadline_s"],
        )
        for name, work in deployment.works.items()
    ]


def allowed_per_s(
    deployment: deployment_module.Deployment,
    streams: list[load.Stream],
    lost_region: str,
) -> float:
    """Return the urgent requests per second that the other regions can serve.

    The load of each service is limited to the remaining slots, less the
    guaranteed shares of the other ranks. The load that shifts from the lost
    region is limited to the shift caps of the others.
    """
    total = 0.0
    for service in deployment.services:
        offered = sum(
            stream.rate_per_s
            for stream in streams
            if stream.rank == "urgent"
            and deployment.works[stream.work]["backend_service"] == service
        )
        available = 0.0
        for region, entry in deployment.regions.items():
            if region != lost_region:
                guaranteed = entry["guaranteed"]
                reserved = guaranteed["interactive"] + guaranteed["export"]
                available += deployment.capacity(service, region) * (
                    1 - reserved
                )
        total += min(offered, available)
    max_shifted: float = sum(
        entry["shift_cap"]["requests"] / entry["shift_cap"]["interval_s"]
        for region, entry in deployment.regions.items()
        if region != lost_region
    )
    load_per_region = sum(
        stream.rate_per_s for stream in streams if stream.rank == "urgent"
    ) / len(deployment.regions)
    return total - max(0.0, load_per_region - max_shifted)


async def measure(
    name: str, hosts: int, seed: int, service_s: float, urgent_fraction: float
) -> None:
    """Run the scenario once and print the results for each second."""
    async with deployment_module.Deployment(
        name=name, hosts=hosts, service_s=service_s
    ) as deployment:
        streams = make_streams(deployment, urgent_fraction)
        # Wait for the end of the servers' slow start (ramp_s).
        await TIMER.sleep(11.0)
        lost_region = next(iter(deployment.regions))
        start_at_s = TIMER.monotonic() + deployment_module.START_DELAY_S
        task = asyncio.create_task(
            deployment.run_load(streams, seed=seed, start_at_s=start_at_s)
        )
        await TIMER.sleep(start_at_s + KILL_AT_S - TIMER.monotonic())
        await deployment.save_reports(lost_region)
        lost_hosts = [
            host.name
            for host in deployment.hosts
            if host.region == lost_region
        ]
        for process_name in (f"servers-{lost_region}", *lost_hosts):
            deployment.fleet.signal(process_name, signal.SIGKILL)
        for process_name in (f"servers-{lost_region}", *lost_hosts):
            await deployment.fleet.wait_exit(process_name)
        await TIMER.sleep(start_at_s + RESTART_AT_S - TIMER.monotonic())
        await deployment.start_servers(lost_region)
        for process_name in lost_hosts:
            await deployment.fleet.start_host(process_name, wait=False)
        records = await task
        print(
            f"{name}, {hosts} entry hosts, seed {seed}, service time "
            f"{service_s} s; {lost_region} killed at {KILL_AT_S:.0f} s, "
            f"started again at {RESTART_AT_S:.0f} s"
        )
        print_results(records, allowed_per_s(deployment, streams, lost_region))
        deployment_module.print_bottlenecks(deployment, records)
        deployment_module.print_violations(
            await deployment.count_violations(records)
        )


def print_results(records: list[load.Record], target_per_s: float) -> None:
    """Print urgent goodput and failures for each second and phase."""
    urgent = [record for record in records if record.rank == "urgent"]
    offered = [0] * int(END_AT_S)
    done = [0] * int(END_AT_S)
    failed: list[dict[str, int]] = [{} for _ in range(int(END_AT_S))]
    for record in urgent:
        offered[int(record.due_s)] += 1
        second = int(record.due_s + record.seconds)
        if second < END_AT_S:
            if record.status == 200:
                done[second] += 1
            else:
                names = failed[second]
                names[record.name[:24]] = names.get(record.name[:24], 0) + 1
    print("  second  sent  answered  not answered (by the time of the end)")
    for second in range(int(KILL_AT_S) - 3, int(END_AT_S)):
        failures = ", ".join(
            f"{name} {count}" for name, count in failed[second].items()
        )
        print(f"  {second:6}{offered[second]:6}{done[second]:10}  {failures}")
    for title, from_s, until_s in (
        ("before", 5.0, KILL_AT_S),
        ("first 10 s", KILL_AT_S, KILL_AT_S + RECOVERY_S),
        ("10 s after the death", KILL_AT_S + RECOVERY_S, RESTART_AT_S),
        ("10 s after the return", RESTART_AT_S + RECOVERY_S, END_AT_S - 1),
    ):
        seconds = range(int(from_s), int(until_s))
        rates = [done[second] for second in seconds]
        sent = [offered[second] for second in seconds]
        mean = statistics.mean(rates)
        allowed = min(target_per_s, statistics.mean(sent))
        print(
            f"  {title:22} sent {statistics.mean(sent):6.1f}/s, answered "
            f"{mean:6.1f}/s, {100 * mean / allowed:5.1f} % of what is allowed "
            f"({allowed:.1f}/s); per second {min(rates)} to {max(rates)}, "
            f"deviation {statistics.pstdev(rates):.1f} (sent "
            f"{statistics.pstdev(sent):.1f})"
        )
    for second in range(int(KILL_AT_S), int(RESTART_AT_S)):
        window = done[second : second + 3]
        allowed = min(
            target_per_s, statistics.mean(offered[second : second + 3])
        )
        if statistics.mean(window) >= 0.95 * allowed:
            after_s = second - KILL_AT_S
            print(f"  95 % of what is allowed {after_s:.0f} s after the death")
            break
    else:
        print("  95 % of what is allowed not reached before the return")


def main(
    deployment: str = "estonia",
    hosts: int = 8,
    seed: int = 1,
    service_s: float = 0.4,
    urgent_part: float = 0.5,
) -> None:
    """Kill the first region of the deployment under load and restart it."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(measure(deployment, hosts, seed, service_s, urgent_part))


if __name__ == "__main__":
    typer.run(main)
