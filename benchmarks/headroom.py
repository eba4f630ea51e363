"""Measure the usable part of limits, for even load and at one host."""

import asyncio

import typer

from benchmarks import deployment as deployment_module
from benchmarks import load
from standins import checks

TIMER = deployment_module.TIMER
STEP_S = 4.0
LOAD_FRACTIONS = [0.6, 0.7, 0.8, 0.85, 0.9, 0.93, 0.96, 1.0, 1.05, 1.1]
ONE_HOST_S = 15.0


def mean_in_flight(
    reports: checks.Reports, region: str, from_s: float, until_s: float
) -> float:
    """Return the mean requests in flight at a region's servers."""
    busy_s: float = sum(
        max(
            0.0,
            min(arrival["ended_at_s"], until_s) - max(arrival["at_s"], from_s),
        )
        for name, report in reports.items()
        if name.startswith(f"{region}/")
        for arrival in report["arrivals"]
    )
    return busy_s / (until_s - from_s)


async def measure_even(
    deployment: deployment_module.Deployment, seed: int
) -> None:
    """Raise an even load in steps and find the first refusal."""
    works = deployment.works.items()
    streams = []
    for step, fraction in enumerate(LOAD_FRACTIONS):
        for name, work in works:
            service = work["backend_service"]
            service_works = [
                entry
                for _, entry in works
                if entry["backend_service"] == service
            ]
            streams.append(
                load.Stream(
                    f"{fraction:.2f}",
                    name,
                    deployment.rank_of(name),
                    fraction
                    * deployment.capacity(service)
                    / len(service_works),
                    step * STEP_S,
                    (step + 1) * STEP_S,
                    work["deadline_s"],
                )
            )
    start_at_s = TIMER.monotonic() + deployment_module.START_DELAY_S
    total = sum(deployment.slots(service) for service in deployment.services)
    split = {
        region: sum(
            deployment.slots(service, region)
            for service in deployment.services
        )
        / total
        for region in deployment.regions
    }
    records = await deployment.run_load(
        streams, seed=seed, start_at_s=start_at_s, split=split
    )
    reports = await deployment.reports()
    print("  even load; mean in flight as part of each region's limit")
    print(
        f"  {'offered':>8}  "
        + "".join(f"{region:>12}" for region in deployment.regions)
    )
    for step, fraction in enumerate(LOAD_FRACTIONS):
        from_s = start_at_s + step * STEP_S
        used = {
            region: mean_in_flight(reports, region, from_s, from_s + STEP_S)
            / entry["max_in_flight"]
            for region, entry in deployment.regions.items()
        }
        refused = [
            record
            for record in records
            if record.phase == f"{fraction:.2f}" and record.status != 200
        ]
        names = sorted({record.name for record in refused})
        print(
            f"  {fraction:8.2f}  "
            + "".join(f"{100 * usage:10.1f} %" for usage in used.values())
            + f"  refused {len(refused)} {', '.join(names)}"
        )
    # First by the time of the refusal, not by that of the request.
    refusals = [record for record in records if record.status != 200]
    if refusals:
        first_s = min(record.due_s + record.seconds for record in refusals)
        at_s = start_at_s + first_s
        usages = ", ".join(
            f"{name} "
            f"{100 * mean_in_flight(reports, name, at_s - 1, at_s) / cap:.1f}"
            " %"
            for name, cap in (
                (region, entry["max_in_flight"])
                for region, entry in deployment.regions.items()
            )
        )
        print(
            f"  first refusal at {first_s:.1f} s; the second before: {usages}"
        )
    else:
        print("  nothing was refused")
    deployment_module.print_bottlenecks(deployment, records)


async def measure_one_host(
    deployment: deployment_module.Deployment, seed: int
) -> None:
    """Send all load of the first region to one of its entry hosts.

    Shows how fast that host borrows the units that the others hold.
    """
    home_region = next(iter(deployment.regions))
    host_name = next(
        host.name for host in deployment.hosts if host.region == home_region
    )
    streams = []
    offered_per_s = 0.0
    for name, work in deployment.works.items():
        if deployment.rank_of(name) != "interactive":
            continue
        service = work["backend_service"]
        offered_per_s = deployment.capacity(service, home_region)
        rank = deployment_module.rank_with_label(deployment.rank_of(name))
        streams.append(
            load.Stream(
                "one host",
                name,
                "interactive",
                offered_per_s,
                0.0,
                ONE_HOST_S,
                work["deadline_s"],
                pinned_url=deployment.fleet.caller_url(host_name, rank),
            )
        )
    start_at_s = TIMER.monotonic() + deployment_module.START_DELAY_S
    records = await deployment.run_load(
        streams, seed=seed, start_at_s=start_at_s, split={home_region: 1.0}
    )
    reports = await deployment.reports()
    slots = offered_per_s * deployment.service_s
    print(
        f"  all load of {home_region} ({offered_per_s:.0f}/s, {slots:.0f} "
        f"slots of the service) at {host_name} alone; in flight in "
        f"{home_region}, as part of the slots"
    )
    percentages = []
    for second in range(int(ONE_HOST_S)):
        from_s = start_at_s + second
        used = mean_in_flight(reports, home_region, from_s, from_s + 1.0)
        percentages.append(f"{100 * used / slots:.0f}")
    print(f"  by second: {' '.join(percentages)} %")
    for step in range(int(ONE_HOST_S * 10)):
        from_s = start_at_s + step / 10
        used = mean_in_flight(reports, home_region, from_s, from_s + 0.3)
        if used >= 0.9 * slots:
            print(f"  90 % of the slots in use after {step / 10 + 0.3:.1f} s")
            break
    else:
        print("  90 % of the slots never in use over 0.3 s")
    answered = sum(record.status == 200 for record in records)
    names = sorted({record.name for record in records if record.status != 200})
    latencies = load.percentiles(
        [record.seconds for record in records if record.status == 200]
    )
    print(
        f"  answered {answered} of {len(records)}, "
        f"p50 {latencies['50']:.0f} ms, p99 {latencies['99']:.0f} ms; "
        f"refused: {', '.join(names) or 'none'}"
    )
    deployment_module.print_bottlenecks(deployment, records)
    deployment_module.print_violations(
        await deployment.count_violations(records)
    )


async def measure(name: str, hosts: int, seed: int, service_s: float) -> None:
    """Run both measurements on one deployment."""
    async with deployment_module.Deployment(
        name=name, hosts=hosts, service_s=service_s
    ) as deployment:
        print(
            f"{name}, {hosts} entry hosts, seed {seed}, service time "
            f"{service_s} s"
        )
        # Wait for the end of the servers' slow start (ramp_s).
        await TIMER.sleep(11.0)
        await measure_even(deployment, seed)
        await TIMER.sleep(3.0)
        await measure_one_host(deployment, seed)


def main(
    deployment: str = "estonia",
    hosts: int = 8,
    seed: int = 1,
    service_s: float = 0.4,
) -> None:
    """Measure the usable part of limits and the speed of loans."""
    asyncio.run(measure(deployment, hosts, seed, service_s))


if __name__ == "__main__":
    typer.run(main)
