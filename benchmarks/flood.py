"""Measure service by rank during floods of exports and urgent work."""

import asyncio
import collections

import typer

from benchmarks import deployment as deployment_module
from benchmarks import load

# Longer than the servers' slow start (ramp_s).
WARM_UP_S = 11.0
QUIET_S = 9.0
FLOOD_S = 13.0
# Exports have deadlines of 30 s, so that some of the first flood are still
# queued when the next flood begins.
PAUSE_S = 12.0
# The first seconds of a phase, in which queues fill, are not counted.
SETTLE_S = 3.0


def make_streams(
    deployment: deployment_module.Deployment, flood_factor: float
) -> list[load.Stream]:
    """Return a quiet phase, a flood of exports and one of urgent work.

    A flood offers flood_factor times the capacity of its service.
    """
    flooded_service = next(
        work["backend_service"]
        for name, work in deployment.works.items()
        if deployment.rank_of(name) == "export"
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
        for name, work in deployment.works.items():
            rank = deployment.rank_of(name)
            fraction = {"urgent": 0.4, "interactive": 0.25, "export": 0.15}[
                rank
            ]
            if work["backend_service"] == flooded_service:
                if rank == flood_rank:
                    fraction = flood_factor
                elif flood_rank == "urgent":
                    # More than the guaranteed share, to measure how much of it
                    # is served.
                    fraction = 0.5
            capacity = deployment.capacity(work["backend_service"])
            streams.append(
                load.Stream(
                    phase,
                    name,
                    rank,
                    fraction * capacity,
                    from_s,
                    until_s,
                    work["deadline_s"],
                )
            )
    return streams


def print_results(
    deployment: deployment_module.Deployment,
    streams: list[load.Stream],
    records: list[load.Record],
) -> None:
    """Print answers, latency and goodput by phase and work entry."""
    print(
        f"  {'phase':13}{'work':18}{'rank':12}{'sent/s':>8}{'answered':>10}"
        f"{'goodput/s':>10}{'of cap.':>8}{'p50 ms':>8}{'p99 ms':>8}  refusals"
    )
    for stream in streams:
        if stream.phase in ("warm-up", "pause"):
            continue
        stream_records = [
            record
            for record in records
            if (record.phase, record.work) == (stream.phase, stream.work)
            and record.due_s >= stream.from_s + SETTLE_S
        ]
        # Goodput counts answers by the time at which callers received them.
        done = [
            record
            for record in records
            if record.work == stream.work
            and record.status == 200
            and stream.from_s + SETTLE_S
            <= record.due_s + record.seconds
            < stream.until_s
        ]
        answered = [
            record.seconds for record in stream_records if record.status == 200
        ]
        latencies = load.percentiles(answered or [0.0])
        span_s = stream.until_s - stream.from_s - SETTLE_S
        capacity = deployment.capacity(
            deployment.works[stream.work]["backend_service"]
        )
        refusals = collections.Counter(
            record.name for record in stream_records if record.status != 200
        )
        print(
            f"  {stream.phase:13}{stream.work:18}{stream.rank:12}"
            f"{len(stream_records) / span_s:8.1f}"
            f"{100 * len(answered) / max(1, len(stream_records)):9.2f}%"
            f"{len(done) / span_s:10.1f}"
            f"{100 * len(done) / span_s / capacity:7.1f}%"
            f"{latencies['50']:8.0f}{latencies['99']:8.0f}  "
            + ", ".join(
                f"{name} {count}" for name, count in refusals.most_common(4)
            )
        )
    for phase in ("quiet", "export flood", "urgent flood"):
        for service in deployment.services:
            window = next(
                stream for stream in streams if stream.phase == phase
            )
            count = sum(
                record.status == 200
                and deployment.works[record.work]["backend_service"] == service
                and window.from_s + SETTLE_S
                <= record.due_s + record.seconds
                < window.until_s
                for record in records
            )
            span_s = window.until_s - window.from_s - SETTLE_S
            fraction = count / span_s / deployment.capacity(service)
            print(f"  {phase}: goodput of {service} {100 * fraction:.1f} %")


async def measure(
    name: str,
    hosts: int,
    seed: int,
    service_s: float,
    flood_factor: float,
    baseline_choices: list[bool],
) -> None:
    """Run the load against samphirelug and against the baseline."""
    for with_baseline in baseline_choices:
        async with deployment_module.Deployment(
            name=name,
            hosts=hosts,
            service_s=service_s,
            with_baseline=with_baseline,
        ) as deployment:
            streams = make_streams(deployment, flood_factor)
            records = await deployment.run_load(streams, seed=seed)
            title = "baseline" if with_baseline else "samphirelug"
            print(
                f"{title}: {name}, {hosts} entry hosts, seed {seed}, "
                f"service time {service_s} s, floods {flood_factor} x capacity"
            )
            print_results(deployment, streams, records)
            deployment_module.print_bottlenecks(deployment, records)
            deployment_module.print_violations(
                await deployment.count_violations(records)
            )


def main(
    deployment: str = "estonia",
    hosts: int = 8,
    seed: int = 1,
    service_s: float = 0.8,
    times: float = 10.0,
    baseline: bool = True,
) -> None:
    """Run the floods and print the results of callers and servers."""
    baseline_choices = [False, True] if baseline else [False]
    asyncio.run(
        measure(deployment, hosts, seed, service_s, times, baseline_choices)
    )


if __name__ == "__main__":
    typer.run(main)
