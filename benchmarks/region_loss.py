"""Kill a whole region under load, start it again, and watch urgent work."""

import asyncio
import contextlib
import signal
import statistics

import typer

from benchmarks import deployment as deployment_module
from benchmarks import load

TIMER = deployment_module.TIMER
KILL_S = 20.0
RETURN_S = 45.0
END_S = 75.0
# The targets give this long for urgent work to recover.
RECOVER_S = 10.0


def plan(
    place: deployment_module.Deployment, urgent_part: float
) -> list[load.Stream]:
    """Return steady work of each rank for all regions."""
    parts = {"urgent": urgent_part, "interactive": 0.1, "export": 0.1}
    return [
        load.Stream(
            "steady",
            name,
            place.rank_of(name),
            parts[place.rank_of(name)]
            * place.capacity(work["backend_service"]),
            0.0,
            END_S,
            work["deadline_s"],
        )
        for name, work in place.works.items()
    ]


def allowed(
    place: deployment_module.Deployment,
    streams: list[load.Stream],
    lost: str,
) -> float:
    """Return the urgent requests per second that the rest can serve.

    The load of each service is bounded by the slots that remain, less the
    guaranteed parts of the other ranks, and what comes from the lost region
    by the shift caps of the others.
    """
    total = 0.0
    for service in place.services:
        offered = sum(
            s.rate_per_s
            for s in streams
            if s.rank == "urgent"
            and place.works[s.work]["backend_service"] == service
        )
        room = 0.0
        for region, entry in place.regions.items():
            if region != lost:
                parts = entry["guaranteed"]
                kept = parts["interactive"] + parts["export"]
                room += place.capacity(service, region) * (1 - kept)
        total += min(offered, room)
    shifted: float = sum(
        entry["shift_cap"]["requests"] / entry["shift_cap"]["interval_s"]
        for region, entry in place.regions.items()
        if region != lost
    )
    home = sum(s.rate_per_s for s in streams if s.rank == "urgent") / len(
        place.regions
    )
    return total - max(0.0, home - shifted)


async def measure(
    name: str, hosts: int, seed: int, service_s: float, urgent_part: float
) -> None:
    """Run the scenario once and print it second by second."""
    async with deployment_module.Deployment(
        name=name, hosts=hosts, service_s=service_s
    ) as place:
        streams = plan(place, urgent_part)
        # Leave time for the servers' ramps before the load counts.
        await TIMER.sleep(11.0)
        lost = next(iter(place.regions))
        start_at_s = TIMER.monotonic() + deployment_module.LEAD_S
        task = asyncio.create_task(
            place.run_load(streams, seed=seed, start_at_s=start_at_s)
        )
        await TIMER.sleep(start_at_s + KILL_S - TIMER.monotonic())
        await place.keep_reports(lost)
        victims = [p.name for p in place.hosts if p.region == lost]
        for victim in (f"servers-{lost}", *victims):
            place.running.signal(victim, signal.SIGKILL)
        for victim in (f"servers-{lost}", *victims):
            await place.running.wait_exit(victim)
        await TIMER.sleep(start_at_s + RETURN_S - TIMER.monotonic())
        await place.start_servers(lost)
        for victim in victims:
            await place.running.start_host(victim, wait=False)
        records = await task
        print(
            f"{name}, {hosts} entry hosts, seed {seed}, service time "
            f"{service_s} s; {lost} killed at {KILL_S:.0f} s, started again "
            f"at {RETURN_S:.0f} s"
        )
        show(records, allowed(place, streams, lost))
        deployment_module.show_bounds(place, records)
        deployment_module.show_checks(await place.check(records))


def show(records: list[load.Record], target: float) -> None:
    """Print urgent goodput and refusals for each second."""
    urgent = [r for r in records if r.rank == "urgent"]
    offered = [0] * int(END_S)
    done = [0] * int(END_S)
    failed: list[dict[str, int]] = [{} for _ in range(int(END_S))]
    for record in urgent:
        offered[int(record.due_s)] += 1
        second = int(record.due_s + record.seconds)
        if second < END_S:
            if record.status == 200:
                done[second] += 1
            else:
                names = failed[second]
                names[record.name[:24]] = names.get(record.name[:24], 0) + 1
    print("  second  sent  answered  not answered (by the time of the end)")
    for second in range(int(KILL_S) - 3, int(END_S)):
        shown = ", ".join(f"{n} {c}" for n, c in failed[second].items())
        print(f"  {second:6}{offered[second]:6}{done[second]:10}  {shown}")
    for title, from_s, until_s in (
        ("before", 5.0, KILL_S),
        ("first 10 s", KILL_S, KILL_S + RECOVER_S),
        ("10 s after the death", KILL_S + RECOVER_S, RETURN_S),
        ("10 s after the return", RETURN_S + RECOVER_S, END_S - 1),
    ):
        span = range(int(from_s), int(until_s))
        rates = [done[s] for s in span]
        sent = [offered[s] for s in span]
        mean = statistics.mean(rates)
        lowered = min(target, statistics.mean(sent))
        print(
            f"  {title:22} sent {statistics.mean(sent):6.1f}/s, answered "
            f"{mean:6.1f}/s, {100 * mean / lowered:5.1f} % of what is allowed "
            f"({lowered:.1f}/s); per second {min(rates)} to {max(rates)}, "
            f"deviation {statistics.pstdev(rates):.1f} (sent "
            f"{statistics.pstdev(sent):.1f})"
        )
    for second in range(int(KILL_S), int(RETURN_S)):
        window = done[second : second + 3]
        lowered = min(target, statistics.mean(offered[second : second + 3]))
        if statistics.mean(window) >= 0.95 * lowered:
            after_s = second - KILL_S
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
    """Kill the first region of the deployment under load."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(measure(deployment, hosts, seed, service_s, urgent_part))


if __name__ == "__main__":
    typer.run(main)
