"""Start a deployment of examples/ on loopback and send load to it."""

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
# A process this busy is taken as the bound of a measurement.
BUSY_CORES = 0.9
LATE_S = 0.05
# Time that generators get to start before the first request is due.
LEAD_S = 4.0
# One generator sends some 200 new connections/s before its loop is late.
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


def load_rank(name: str) -> core.Rank:
    """Return the rank with a label."""
    return next(rank for rank in core.Rank if rank.label == name)


class Usage(NamedTuple):
    """Hold processor time of all processes at a moment."""

    at_s: float
    seconds: dict[str, float]


class Deployment:
    """Run one deployment's servers and entry hosts as processes."""

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
        self.regions = {e["name"]: e for e in self.of_kind("region")}
        self.works = {e["name"]: e for e in self.of_kind("work")}
        self.services = {e["name"]: e for e in self.of_kind("backend-service")}
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
        # Zone a of each region first, so that hosts spread evenly.
        zones = sorted(self.region_of_zone, key=lambda zone: zone[-1])
        self.hosts = [
            fleet.HostLocation(
                f"eh-{index}-{zones[index % len(zones)]}",
                zones[index % len(zones)],
                self.region_of_zone[zones[index % len(zones)]],
            )
            for index in range(hosts)
        ]
        self.running = fleet.Fleet(hosts=self.hosts, host_flags=host_flags)
        self.usages: list[Usage] = []
        self.generators = 0
        # What servers saw that have been killed since.
        self.kept: checks.Reports = {}

    def of_kind(self, kind: str) -> list[dict[str, Any]]:
        """Return the catalogue entries of a kind."""
        return [e for e in self.entries if e["kind"] == kind]

    def rank_of(self, work: str) -> str:
        """Return the rank of a work entry."""
        return RANK_OF_CLASS[str(self.works[work]["work_class"])]

    def region_of_server(self, name: str) -> str:
        """Return the region that a backend server stands in."""
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
        """Start everything and wait until all entry hosts serve."""
        await self.running.__aenter__()
        for region in self.regions:
            await self.start_servers(region)
        for server in self.servers.values():
            port = self.running.server_ports[server["name"]]
            server["address"] = f"127.0.0.1:{port}"
        if self.with_baseline:
            await self._start_baseline()
            return self
        await asyncio.gather(
            *(
                self.running.start_host(place.name, wait=False)
                for place in self.hosts
            )
        )
        await self.apply(self.entries, "--wait")
        for place in self.hosts:
            await self.running.wait_host_ready(place.name)
        return self

    async def __aexit__(self, *error: object) -> None:
        """Kill what still runs."""
        await self.running.__aexit__(*error)

    async def start_servers(self, region: str) -> None:
        """Start the process with all backend servers of a region."""
        names = [n for n in self.servers if self.region_of_server(n) == region]
        await self.running.start_servers(
            f"servers-{region}",
            names,
            module="benchmarks.workers",
            slots=self.servers[names[0]]["slots"],
            service_s=self.service_s,
        )

    async def apply(self, entries: list[dict[str, Any]], *flags: str) -> float:
        """Apply catalogue entries; return the seconds it took."""
        directory = pathlib.Path(self.running.directory.name)
        document = directory / "catalogue.yaml"
        document.write_text(yaml.safe_dump_all(entries))
        words = [
            word
            for place in self.hosts
            for word in (
                "--entry-host-url",
                self.running.operator_url(place.name),
            )
        ]
        started_s = TIMER.monotonic()
        code, out, err = await self.running.command(
            "catalogue",
            "apply",
            str(document),
            "--store-url",
            self.running.store_url,
            *flags,
            *(words if "--wait" in flags else ()),
        )
        if code != 0:
            raise RuntimeError(
                f"catalogue apply ended with {code}: {out}{err}"
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
        """Send streams from all regions; rates are those of all together.

        Each region sends the part that split gives it.
        """
        at_s = start_at_s or TIMER.monotonic() + LEAD_S
        directory = pathlib.Path(self.running.directory.name)
        parts = split or {r: 1 / len(self.regions) for r in self.regions}
        names = []
        shares = [
            (region, share, part / GENERATORS_PER_REGION)
            for region, part in parts.items()
            for share in range(GENERATORS_PER_REGION)
        ]
        for region, share, part in shares:
            self.generators += 1
            name = f"load-{self.generators}"
            plan = load.Plan(
                places=self.regions[region]["availability_zones"],
                lookup_urls=[
                    self.running.caller_url(n)
                    for n in lookup_hosts or self._nearest(region)
                ],
                callers=CALLERS_PER_GENERATOR,
                seed=seed * GENERATORS_PER_REGION + share,
                start_at_s=at_s,
                streams=[
                    s._replace(rate_per_s=s.rate_per_s * part) for s in streams
                ],
            )
            (directory / f"{name}.plan").write_bytes(load.PLAN.dump_json(plan))
            await self.running.start_module(
                name,
                "benchmarks.load",
                str(directory / f"{name}.plan"),
                str(directory / f"{name}.json"),
            )
            names.append(name)
        sampler = asyncio.get_running_loop().create_task(self._sample())
        records: list[load.Record] = []
        for name in names:
            if await self.running.wait_exit(name):
                raise RuntimeError(f"{name}: {self.running.log_text(name)}")
            written = (directory / f"{name}.json").read_bytes()
            records += load.OUTCOME.validate_json(written).records
        sampler.cancel()
        return records

    async def check(self, records: Iterable[load.Record]) -> dict[str, int]:
        """Count what broke a promise, by what servers and callers saw."""
        reports = await self.reports()
        calls = [
            checks.Call(
                each.work_id,
                "",
                caller.CallResult(
                    each.status,
                    each.code,
                    each.name,
                    each.effect,
                    {},
                    each.entry_host,
                    each.seconds,
                    1,
                ),
                "",
            )
            for each in records
            # An earlier attempt at repeatable work may have run; the refusal
            # speaks of the last one only.
            if each.once or (each.attempts <= 1 and not each.repeats)
        ]
        once = [each.work_id for each in records if each.once]
        regions_over = shifts_over = 0
        for region, entry in self.regions.items():
            cap = entry["shift_cap"]
            most = checks.peak_in_flight(reports, region)
            regions_over += most > entry["max_in_flight"]
            shifted = checks.peak_shifted(reports, region, cap["interval_s"])
            shifts_over += shifted > cap["requests"]
        return {
            "overfull servers": len(checks.overfull_servers(reports)),
            "overfull regions": regions_over,
            "shift caps passed": shifts_over,
            "double runs": len(checks.double_runs(reports, once)),
            "false not run": len(checks.false_not_run(reports, calls)),
            "cut or wrong answers": sum(each.wrong for each in records),
            "no answer": sum(each.status == 0 for each in records),
        }

    async def reports(self) -> checks.Reports:
        """Return what each server saw, by region and name."""
        found: checks.Reports = dict(self.kept)
        for name, port in self.running.server_ports.items():
            with contextlib.suppress(OSError):
                found[
                    f"{self.region_of_server(name)}/{name}"
                ] = await self.running.get_json(
                    f"http://127.0.0.1:{port}/control"
                )
        return found

    async def keep_reports(self, region: str) -> None:
        """Keep the reports of servers that are about to be killed."""
        for name, report in (await self.reports()).items():
            if name.startswith(f"{region}/"):
                self.kept[f"{name}, killed"] = report

    def busiest(self) -> dict[str, float]:
        """Return the most cores that each kind of process used in a second."""
        most: dict[str, float] = {}
        for before, after in zip(self.usages, self.usages[1:], strict=False):
            for name, seconds in after.seconds.items():
                used = seconds - before.seconds.get(name, seconds)
                cores = used / (after.at_s - before.at_s)
                kind = name.split("-")[0]
                most[kind] = max(most.get(kind, 0.0), cores)
        return most

    def _nearest(self, region: str) -> list[str]:
        near = [p.name for p in self.hosts if p.region == region]
        return near + [p.name for p in self.hosts if p.region != region]

    async def _sample(self) -> None:
        while True:
            seconds = {}
            for name, process in self.running.processes.items():
                if process.returncode is None:
                    with contextlib.suppress(OSError):
                        seconds[name] = path_benchmark.processor_s(process.pid)
            self.usages.append(Usage(TIMER.monotonic(), seconds))
            await TIMER.sleep(1.0)

    async def _start_baseline(self) -> None:
        directory = pathlib.Path(self.running.directory.name)
        connections = sum(s["connections"] for s in self.servers.values())
        setup = baseline.Setup(
            hosts=[
                baseline.BaselineHost(
                    *place, url=self.running.caller_url(place.name)
                )
                for place in self.hosts
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
        written = directory / "baseline.setup"
        written.write_text(json.dumps(baseline.SETUP.dump_python(setup)))
        for place in self.hosts:
            port = self.running.ports[place.name].callers[0]
            await self.running.start_module(
                place.name,
                "benchmarks.baseline",
                str(written),
                str(port),
                wait_ready=True,
            )


def show_bounds(
    deployment: Deployment, records: Iterable[load.Record]
) -> None:
    """Say whether a process of the measurement was the bound."""
    late = load.percentiles([max(0.0, r.late_s) for r in records])
    cores = deployment.busiest()
    shown = ", ".join(f"{kind} {used:.2f}" for kind, used in cores.items())
    print(f"  busiest second, cores of one process: {shown}")
    print(f"  generator late: p99 {late['99']:.1f} ms")
    if late["99"] > LATE_S * 1000 or cores.get("load", 0.0) > BUSY_CORES:
        print("  THE GENERATOR WAS THE BOUND in part of this run")
    if cores.get("eh", 0.0) > BUSY_CORES:
        print("  AN ENTRY HOST'S LOOP WAS THE BOUND in part of this run")


def show_checks(counts: dict[str, int]) -> None:
    """Print the counts of broken promises."""
    print("  " + ", ".join(f"{name} {n}" for name, n in counts.items()))
