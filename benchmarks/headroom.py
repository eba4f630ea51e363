"""Measure how much of the limits is usable, evenly and at one host."""

import asyncio

import typer

from benchmarks import deployment as deployment_module
from benchmarks import load
from standins import checks

TIMER = deployment_module.TIMER
STEP_S = 4.0
PARTS = [0.6, 0.7, 0.8, 0.85, 0.9, 0.93, 0.96, 1.0, 1.05, 1.1]
ONE_HOST_S = 15.0


def in_flight(
    reports: checks.Reports, region: str, from_s: float, until_s: float
) -> float:
    """Return the mean of requests in flight in a region, as servers saw."""
    busy_s: float = sum(
        max(0.0, min(a["ended_at_s"], until_s) - max(a["at_s"], from_s))
        for name, report in reports.items()
        if name.startswith(f"{region}/")
        for a in report["arrivals"]
    )
    return busy_s / (until_s - from_s)


async def measure_even(place: deployment_module.Deployment, seed: int) -> None:
    """Raise an even load step by step until something is refused."""
    works = place.works.items()
    streams = []
    for step, part in enumerate(PARTS):
        for name, work in works:
            service = work["backend_service"]
            sharing = [w for _, w in works if w["backend_service"] == service]
            streams.append(
                load.Stream(
                    f"{part:.2f}",
                    name,
                    place.rank_of(name),
                    part * place.capacity(service) / len(sharing),
                    step * STEP_S,
                    (step + 1) * STEP_S,
                    work["deadline_s"],
                )
            )
    start_at_s = TIMER.monotonic() + deployment_module.LEAD_S
    total = sum(place.slots(s) for s in place.services)
    split = {
        region: sum(place.slots(s, region) for s in place.services) / total
        for region in place.regions
    }
    records = await place.run_load(
        streams, seed=seed, start_at_s=start_at_s, split=split
    )
    reports = await place.reports()
    print("  even load; mean in flight as part of each region's limit")
    print(f"  {'offered':>8}  " + "".join(f"{r:>12}" for r in place.regions))
    for step, part in enumerate(PARTS):
        from_s = start_at_s + step * STEP_S
        used = {
            region: in_flight(reports, region, from_s, from_s + STEP_S)
            / entry["max_in_flight"]
            for region, entry in place.regions.items()
        }
        refused = [
            r for r in records if r.phase == f"{part:.2f}" and r.status != 200
        ]
        names = sorted({r.name for r in refused})
        print(
            f"  {part:8.2f}  "
            + "".join(f"{100 * u:10.1f} %" for u in used.values())
            + f"  refused {len(refused)} {', '.join(names)}"
        )
    # By the time of the refusal, not by that of the arrival.
    refusals = [r for r in records if r.status != 200]
    if refusals:
        first_s = min(r.due_s + r.seconds for r in refusals)
        at_s = start_at_s + first_s
        shown = ", ".join(
            f"{r} {100 * in_flight(reports, r, at_s - 1, at_s) / e:.1f} %"
            for r, e in (
                (r, e["max_in_flight"]) for r, e in place.regions.items()
            )
        )
        print(
            f"  first refusal at {first_s:.1f} s; the second before: {shown}"
        )
    else:
        print("  nothing was refused")
    deployment_module.show_bounds(place, records)


async def measure_one_host(
    place: deployment_module.Deployment, seed: int
) -> None:
    """Send all load of the first region to one of its entry hosts."""
    home = next(iter(place.regions))
    host = next(p.name for p in place.hosts if p.region == home)
    streams = []
    offered = 0.0
    for name, work in place.works.items():
        if place.rank_of(name) != "interactive":
            continue
        service = work["backend_service"]
        offered = place.capacity(service, home)
        rank = deployment_module.load_rank(place.rank_of(name))
        streams.append(
            load.Stream(
                "one host",
                name,
                "interactive",
                offered,
                0.0,
                ONE_HOST_S,
                work["deadline_s"],
                pinned_url=place.running.caller_url(host, rank),
            )
        )
    start_at_s = TIMER.monotonic() + deployment_module.LEAD_S
    records = await place.run_load(
        streams, seed=seed, start_at_s=start_at_s, split={home: 1.0}
    )
    reports = await place.reports()
    slots = offered * place.service_s
    print(
        f"  all load of {home} ({offered:.0f}/s, {slots:.0f} slots of the "
        f"service) at {host} alone; in flight in {home}, as part of the slots"
    )
    shown = []
    for second in range(int(ONE_HOST_S)):
        from_s = start_at_s + second
        used = in_flight(reports, home, from_s, from_s + 1.0)
        shown.append(f"{100 * used / slots:.0f}")
    print(f"  by second: {' '.join(shown)} %")
    for step in range(int(ONE_HOST_S * 10)):
        from_s = start_at_s + step / 10
        used = in_flight(reports, home, from_s, from_s + 0.3)
        if used >= 0.9 * slots:
            print(f"  90 % of the slots in use after {step / 10 + 0.3:.1f} s")
            break
    else:
        print("  90 % of the slots never in use over 0.3 s")
    answered = sum(r.status == 200 for r in records)
    names = sorted({r.name for r in records if r.status != 200})
    times = load.percentiles([r.seconds for r in records if r.status == 200])
    print(
        f"  answered {answered} of {len(records)}, p50 {times['50']:.0f} ms, "
        f"p99 {times['99']:.0f} ms; refused: {', '.join(names) or 'none'}"
    )
    deployment_module.show_bounds(place, records)
    deployment_module.show_checks(await place.check(records))


async def measure(name: str, hosts: int, seed: int, service_s: float) -> None:
    """Run both measurements on one deployment."""
    async with deployment_module.Deployment(
        name=name, hosts=hosts, service_s=service_s
    ) as place:
        print(
            f"{name}, {hosts} entry hosts, seed {seed}, service time "
            f"{service_s} s"
        )
        # The servers' ramps end first.
        await TIMER.sleep(11.0)
        await measure_even(place, seed)
        await TIMER.sleep(3.0)
        await measure_one_host(place, seed)


def main(
    deployment: str = "estonia",
    hosts: int = 8,
    seed: int = 1,
    service_s: float = 0.4,
) -> None:
    """Measure usable headroom and the speed of loans."""
    asyncio.run(measure(deployment, hosts, seed, service_s))


if __name__ == "__main__":
    typer.run(main)
