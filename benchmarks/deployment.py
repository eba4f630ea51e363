"""Run a deployment of examples/ on loopback and send load to it."""

import asyncio
from collections.abc import Iterable
import contextlib
import json
import pathlib
from typing import Any
from typing import NamedTuple

import yaml

from benchmarks import baseline
from benchmarks import load
from benchmarks import path as path_benchmark
from samphirelug import core
from samphirelug.helpers import timer
from standins import caller
from standins import checks
from standins import fleet

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
TIMER = timer.LoopTimerService()
CALLERS_PER_GENERATOR = 12
# CPU use from which on a process counts as the bottleneck of a measurement.
BUSY_CORES = 0.9
# 99th percentile of lateness above which a generator counts as the bottleneck.
MAX_LATENESS_S = 0.05
# Time for the generators to start before the first request is due.
START_DELAY_S = 4.0
# A generator opens some 200 connections/s before its event loop falls behind.
GENERATORS_PER_REGION = 2
RANK_OF_CLASS = {
    "filing": "urgent",
    "payment": "urgent",
    "order": "urgent",
    "certificate": "urgent",
    "status": "interactive",
    "lookup": "interactive",
    "export": "export",
}
RANKS = ("urgent", "interactive", "export")


def rank_with_label(label: str) -> core.Rank:
    """Return the rank with a label."""
    return next(rank for rank in core.Rank if rank.label == label)


class Usage(NamedTuple):
    """Hold the CPU time that each process has used up to a moment."""

    at_s: float
    seconds: dict[str, float]


class Deployment:
    """Run the servers and entry hosts of a deployment as processes.

    With with_baseline, baseline proxies run in place of the entry hosts.
    """

    def __init__(
        self,
        *,
        name: str,
        hosts: int,
        service_s: float,
        with_baseline: bool = False,
        host_flags: list[str] | None = None,
    ) -> None:
        text = (EXAMPLES / f"{name}.yaml").read_text()
        self.name = name
        self.service_s = service_s
        self.with_baseline = with_baseline
        self.entries: list[dict[str, Any]] = list(yaml.safe_load_all(text))
        self.regions = {
            entry["name"]: entry for entry in self.of_kind("region")
        }
        self.works = {entry["name"]: entry for entry in self.of_kind("work")}
        self.services = {
            entry["name"]: entry for entry in self.of_kind("backend-service")
        }
        self.region_of_zone: dict[str, str] = {
            zone: region
            for region, entry in self.regions.items()
            for zone in entry["availability_zones"]
        }
        self.servers = {
            server["name"]: server
            for service in self.services.values()
            for server in service["servers"]
        }
        # Zone a of each region comes first, so that hosts are spread evenly
        # over the regions.
        zones = sorted(self.region_of_zone, key=lambda zone: zone[-1])
        self.hosts = [
            fleet.HostLocation(
                f"eh-{index}-{zones[index % len(zones)]}",
                zones[index % len(zones)],
                self.region_of_zone[zones[index % len(zones)]],
            )
            for index in range(hosts)
        ]
        self.fleet = fleet.Fleet(hosts=self.hosts, host_flags=host_flags)
        self.usage_samples: list[Usage] = []
        self.generators_started = 0
        # Reports of servers that have been killed since.
        self.saved_reports: checks.Reports = {}

    def of_kind(self, kind: str) -> list[dict[str, Any]]:
        """Return the catalogue entries of a kind."""
        return [entry for entry in self.entries if entry["kind"] == kind]

    def rank_of(self, work: str) -> str:
        """Return the rank of a work entry."""
        return RANK_OF_CLASS[str(self.works[work]["work_class"])]

    def region_of_server(self, name: str) -> str:
        """Return the region of a backend server."""
        zone = str(self.servers[name]["availability_zone"])
        return self.region_of_zone[zone]

    def slots(self, service: str, region: str | None = None) -> int:
        """Return the slots of a service, in one region or in all."""
        return sum(
            int(server["slots"])
            for server in self.services[service]["servers"]
            if region in (None, self.region_of_server(server["name"]))
        )

    def capacity(self, service: str, region: str | None = None) -> float:
        """Return the requests per second that a service can serve."""
        return self.slots(service, region) / self.service_s

    async def __aenter__(self) -> "Deployment":
        """Start all processes and wait until the entry hosts are ready."""
        await self.fleet.__aenter__()
        for region in self.regions:
            await self.start_servers(region)
        for server in self.servers.values():
            port = self.fleet.server_ports[server["name"]]
            server["address"] = f"127.0.0.1:{port}"
        if self.with_baseline:
            await self._start_baseline()
            return self
        await asyncio.gather(
            *(
                self.fleet.start_host(host.name, wait=False)
                for host in self.hosts
            )
        )
        await self.apply(self.entries, "--wait")
        for host in self.hosts:
            await self.fleet.wait_host_ready(host.name)
        return self

    async def __aexit__(self, *error: object) -> None:
        """Kill the processes that still run."""
        await self.fleet.__aexit__(*error)

    async def start_servers(self, region: str) -> None:
        """Start one process with all backend servers of a region."""
        names = [
            name
            for name in self.servers
            if self.region_of_server(name) == region
        ]
        await self.fleet.start_servers(
            f"servers-{region}",
            names,
            module="benchmarks.workers",
            slots=self.servers[names[0]]["slots"],
            service_s=self.service_s,
        )

    async def apply(self, entries: list[dict[str, Any]], *flags: str) -> float:
        """Apply catalogue entries; return how long it took in seconds."""
        directory = pathlib.Path(self.fleet.directory.name)
        document = directory / "catalogue.yaml"
        document.write_text(yaml.safe_dump_all(entries))
        url_flags = [
            argument
            for host in self.hosts
            for argument in (
                "--entry-host-url",
                self.fleet.operator_url(host.name),
            )
        ]
        started_s = TIMER.monotonic()
        code, out, err = await self.fleet.command(
            "catalogue",
            "apply",
            str(document),
            "--store-url",
            self.fleet.store_url,
            *flags,
            *(url_flags if "--wait" in flags else ()),
        )
        if code != 0:
            raise RuntimeError(
                f"catalogue apply exited with code {code}: {out}{err}"
            )
        return TIMER.monotonic() - started_s

    async def run_load(
        self,
        streams: list[load.Stream],
        *,
        seed: int,
        start_at_s: float | None = None,
        split: dict[str, float] | None = None,
        lookup_hosts: list[str] | None = None,
    ) -> list[load.Record]:
        """Send streams of requests from all regions and return the records.

        Rates are totals over all regions. split gives the fraction that each
        region sends; by default they are equal.
        """
        at_s = start_at_s or TIMER.monotonic() + START_DELAY_S
        directory = pathlib.Path(self.fleet.directory.name)
        fractions = split or {
            region: 1 / len(self.regions) for region in self.regions
        }
        names = []
        generators = [
            (region, index, fraction / GENERATORS_PER_REGION)
            for region, fraction in fractions.items()
            for index in range(GENERATORS_PER_REGION)
        ]
        for region, index, fraction in generators:
            self.generators_started += 1
            name = f"load-{self.generators_started}"
            plan = load.Plan(
                places=self.regions[region]["availability_zones"],
                lookup_urls=[
                    self.fleet.caller_url(host)
                    for host in lookup_hosts or self._nearest_hosts(region)
                ],
                callers=CALLERS_PER_GENERATOR,
                seed=seed * GENERATORS_PER_REGION + index,
                start_at_s=at_s,
                streams=[
                    stream._replace(rate_per_s=stream.rate_per_s * fraction)
                    for stream in streams
                ],
            )
            (directory / f"{name}.plan").write_bytes(load.PLAN.dump_json(plan))
            await self.fleet.start_module(
                name,
                "benchmarks.load",
                str(directory / f"{name}.plan"),
                str(directory / f"{name}.json"),
            )
            names.append(name)
        sampler = asyncio.get_running_loop().create_task(self._sample_usage())
        records: list[load.Record] = []
        for name in names:
            if await self.fleet.wait_exit(name):
                raise RuntimeError(
                    f"{name} failed: {self.fleet.log_text(name)}"
                )
            outcome = (directory / f"{name}.json").read_bytes()
            records += load.OUTCOME.validate_json(outcome).records
        sampler.cancel()
        return records

    async def count_violations(
        self, records: Iterable[load.Record]
    ) -> dict[str, int]:
        """Count violated guarantees in records of servers and callers."""
        reports = await self.reports()
        calls = [
            checks.Call(
                record.work_id,
                "",
                caller.CallResult(
                    record.status,
                    record.code,
                    record.name,
                    record.effect,
                    {},
                    record.entry_host,
                    record.seconds,
                    1,
                ),
                "",
            )
            for record in records
            # A refusal concerns the last attempt only; an earlier attempt at
            # repeatable work may have run.
            if record.once or (record.attempts <= 1 and not record.repeats)
        ]
        run_once_ids = [record.work_id for record in records if record.once]
        regions_over = shifts_over = 0
        for region, entry in self.regions.items():
            cap = entry["shift_cap"]
            peak = checks.peak_in_flight(reports, region)
            regions_over += peak > entry["max_in_flight"]
            shifted = checks.peak_shifted(reports, region, cap["interval_s"])
            shifts_over += shifted > cap["requests"]
        return {
            "overfull servers": len(checks.overfull_servers(reports)),
            "overfull regions": regions_over,
            "shift caps passed": shifts_over,
            "double runs": len(checks.double_runs(reports, run_once_ids)),
            "false not run": len(checks.false_not_run(reports, calls)),
            "cut or wrong answers": sum(record.wrong for record in records),
            "no answer": sum(record.status == 0 for record in records),
        }

    async def reports(self) -> checks.Reports:
        """Return the report of each server by REGION/NAME."""
        reports: checks.Reports = dict(self.saved_reports)
        for name, port in self.fleet.server_ports.items():
            with contextlib.suppress(OSError):
                reports[
                    f"{self.region_of_server(name)}/{name}"
                ] = await self.fleet.get_json(
                    f"http://127.0.0.1:{port}/control"
                )
        return reports

    async def save_reports(self, region: str) -> None:
        """Save the reports of a region's servers before they are killed."""
        for name, report in (await self.reports()).items():
            if name.startswith(f"{region}/"):
                self.saved_reports[f"{name}, killed"] = report

    def peak_cores(self) -> dict[str, float]:
        """Return the peak CPU use, in cores, of any process of each kind."""
        peaks: dict[str, float] = {}
        for before, after in zip(
            self.usage_samples, self.usage_samples[1:], strict=False
        ):
            for name, seconds in after.seconds.items():
                used = seconds - before.seconds.get(name, seconds)
                cores = used / (after.at_s - before.at_s)
                kind = name.split("-")[0]
                peaks[kind] = max(peaks.get(kind, 0.0), cores)
        return peaks

    def _nearest_hosts(self, region: str) -> list[str]:
        local = [host.name for host in self.hosts if host.region == region]
        return local + [
            host.name for host in self.hosts if host.region != region
        ]

    async def _sample_usage(self) -> None:
        while True:
            seconds = {}
            for name, process in self.fleet.processes.items():
                if process.returncode is None:
                    with contextlib.suppress(OSError):
                        seconds[name] = path_benchmark.cpu_time_s(process.pid)
            self.usage_samples.append(Usage(TIMER.monotonic(), seconds))
            await TIMER.sleep(1.0)

    async def _start_baseline(self) -> None:
        directory = pathlib.Path(self.fleet.directory.name)
        connections = sum(
            server["connections"] for server in self.servers.values()
        )
        setup = baseline.Setup(
            hosts=[
                baseline.BaselineHost(
                    *host, url=self.fleet.caller_url(host.name)
                )
                for host in self.hosts
            ],
            servers={
                name: [
                    server["address"]
                    for server in self.services[work["backend_service"]][
                        "servers"
                    ]
                ]
                for name, work in self.works.items()
            },
            connections=connections // len(self.hosts),
        )
        setup_path = directory / "baseline.setup"
        setup_path.write_text(json.dumps(baseline.SETUP.dump_python(setup)))
        for host in self.hosts:
            port = self.fleet.ports[host.name].callers[0]
            await self.fleet.start_module(
                host.name,
                "benchmarks.baseline",
                str(setup_path),
                str(port),
                wait_ready=True,
            )


def print_bottlenecks(
    deployment: Deployment, records: Iterable[load.Record]
) -> None:
    """Print which processes limited the measurement, if any."""
    lateness = load.percentiles(
        [max(0.0, record.late_s) for record in records]
    )
    cores = deployment.peak_cores()
    shown = ", ".join(f"{kind} {used:.2f}" for kind, used in cores.items())
    print(f"  busiest second, cores of one process: {shown}")
    print(f"  generator late: p99 {lateness['99']:.1f} ms")
    if (
        lateness["99"] > MAX_LATENESS_S * 1000
        or cores.get("load", 0.0) > BUSY_CORES
    ):
        print("  THE GENERATOR WAS THE BOUND in part of this run")
    if cores.get("eh", 0.0) > BUSY_CORES:
        print("  AN ENTRY HOST'S LOOP WAS THE BOUND in part of this run")


def print_violations(counts: dict[str, int]) -> None:
    """Print the counts of violated guarantees."""
    print(
        "  " + ", ".join(f"{name} {count}" for name, count in counts.items())
    )
