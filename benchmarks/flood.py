"""Measure service by rank in floods of exports and of urgent work."""

import asyncio
import collections

import typer

from benchmarks import deployment as deployment_module
from benchmarks import load

WARM_UP_S = 11.0
QUIET_S = 9.0
FLOOD_S = 13.0
# Exports have deadlines of 30 s, so some of the first flood's still queue
# when the next flood begins.
PAUSE_S = 12.0
# The first seconds of a phase fill the queues and are not counted.
SETTLE_S = 3.0


def plan(
    place: deployment_module.Deployment, times: float
) -> list[load.Stream]:
    """Return a quiet phase, a flood of exports and one of urgent work."""
    flooded = next(
        work["backend_service"]
        for name, work in place.works.items()
        if place.rank_of(name) == "export"
    )
    streams = []
    quiet_s = WARM_UP_S
    exports_s = quiet_s + QUIET_S
    pause_s = exports_s + FLOOD_S
    urgent_s = pause_s + PAUSE_S
    end_s = urgent_s + FLOOD_S
    for phase, from_s, until_s, flood_rank in (
        ("warm-up", 0.0, quiet_s, ""),
        ("quiet", quiet_s, exports_s, ""),
        ("export flood", exports_s, pause_s, "export"),
        ("pause", pause_s, urgent_s, ""),
        ("urgent flood", urgent_s, end_s, "urgent"),
    ):
        for name, work in place.works.items():
            rank = place.rank_of(name)
            part = {"urgent": 0.4, "interactive": 0.25, "export": 0.15}[rank]
            if work["backend_service"] == flooded:
                if rank == flood_rank:
                    part = times
                elif flood_rank == "urgent":
                    # More than the guaranteed part, to see how much is kept.
                    part = 0.5
            capacity = place.capacity(work["backend_service"])
            streams.append(
                load.Stream(
                    phase,
                    name,
                    rank,
                    part * capacity,
                    from_s,
                    until_s,
                    work["deadline_s"],
                )
            )
    return streams


def show(
    place: deployment_module.Deployment,
    streams: list[load.Stream],
    records: list[load.Record],
) -> None:
    """Print service, latency and goodput by phase and work entry."""
    print(
        f"  {'phase':13}{'work':18}{'rank':12}{'sent/s':>8}{'answered':>10}"
        f"{'goodput/s':>10}{'of cap.':>8}{'p50 ms':>8}{'p99 ms':>8}  refusals"
    )
    for stream in streams:
        if stream.phase in ("warm-up", "pause"):
            continue
        mine = [
            r
            for r in records
            if (r.phase, r.work) == (stream.phase, stream.work)
            and r.due_s >= stream.from_s + SETTLE_S
        ]
        # Goodput counts answers by their time of arrival at the caller.
        done = [
            r
            for r in records
            if r.work == stream.work
            and r.status == 200
            and stream.from_s + SETTLE_S
            <= r.due_s + r.seconds
            < stream.until_s
        ]
        answered = [r.seconds for r in mine if r.status == 200]
        times = load.percentiles(answered or [0.0])
        span_s = stream.until_s - stream.from_s - SETTLE_S
        capacity = place.capacity(place.works[stream.work]["backend_service"])
        names = collections.Counter(r.name for r in mine if r.status != 200)
        print(
            f"  {stream.phase:13}{stream.work:18}{stream.rank:12}"
            f"{len(mine) / span_s:8.1f}"
            f"{100 * len(answered) / max(1, len(mine)):9.2f}%"
            f"{len(done) / span_s:10.1f}"
            f"{100 * len(done) / span_s / capacity:7.1f}%"
            f"{times['50']:8.0f}{times['99']:8.0f}  "
            + ", ".join(f"{n} {c}" for n, c in names.most_common(4))
        )
    for phase in ("quiet", "export flood", "urgent flood"):
        for service in place.services:
            window = next(s for s in streams if s.phase == phase)
            count = sum(
                r.status == 200
                and place.works[r.work]["backend_service"] == service
                and window.from_s + SETTLE_S
                <= r.due_s + r.seconds
                < window.until_s
                for r in records
            )
            span_s = window.until_s - window.from_s - SETTLE_S
            part = count / span_s / place.capacity(service)
            print(f"  {phase}: goodput of {service} {100 * part:.1f} %")


async def measure(
    name: str,
    hosts: int,
    seed: int,
    service_s: float,
    times: float,
    kinds: list[bool],
) -> None:
    """Run the load against samphirelug and against the baseline."""
    for with_baseline in kinds:
        async with deployment_module.Deployment(
            name=name,
            hosts=hosts,
            service_s=service_s,
            with_baseline=with_baseline,
        ) as place:
            streams = plan(place, times)
            records = await place.run_load(streams, seed=seed)
            title = "baseline" if with_baseline else "samphirelug"
            print(
                f"{title}: {name}, {hosts} entry hosts, seed {seed}, "
                f"service time {service_s} s, floods {times} x capacity"
            )
            show(place, streams, records)
            deployment_module.show_bounds(place, records)
            deployment_module.show_checks(await place.check(records))


def main(
    deployment: str = "estonia",
    hosts: int = 8,
    seed: int = 1,
    service_s: float = 0.8,
    times: float = 10.0,
    baseline: bool = True,
) -> None:
    """Run the floods and print what callers and servers saw."""
    kinds = [False, True] if baseline else [False]
    asyncio.run(measure(deployment, hosts, seed, service_s, times, kinds))


if __name__ == "__main__":
    typer.run(main)
