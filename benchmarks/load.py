"""Generate open-loop load from one region, as a process of its own.

Requests start at times drawn beforehand, whether or not earlier ones have
ended, and latencies count from those times. A generator that is late thus
shows in its own lateness and is not hidden in fewer requests.
"""

import asyncio
import heapq
import pathlib
import random
from typing import Any
from typing import NamedTuple

from hdrh import histogram
import pydantic
from tornado import netutil
import typer

from samphirelug.helpers import timer
from standins import caller
from standins import checks

MAX_LATENCY_US = 120_000_000
MAX_CLIENTS = 5000
REPEATS = 20
REPEAT_PAUSE_S = 0.5
TIMER = timer.LoopTimerService()


class Stream(NamedTuple):
    """Describe requests of one work entry at an even mean rate."""

    # Label of the phase that the stream belongs to.
    phase: str
    work: str
    rank: str
    rate_per_s: float
    # Seconds after the plan's start.
    from_s: float
    until_s: float
    deadline_s: float
    # Entry host to send to, whatever look-ups say; empty to follow them.
    pinned_url: str = ""


class Plan(NamedTuple):
    """Hold what one generator sends."""

    # Availability zones that the callers stand in.
    places: list[str]
    lookup_urls: list[str]
    callers: int
    seed: int
    # On the clock of TimerService, which all processes share.
    start_at_s: float
    streams: list[Stream]


class Record(NamedTuple):
    """Hold what the caller of one request saw."""

    phase: str
    work: str
    rank: str
    work_id: str
    # Seconds after the plan's start.
    due_s: float
    late_s: float
    seconds: float
    status: int
    code: int
    name: str
    effect: str
    entry_host: str
    # Entry hosts tried in the last repetition.
    attempts: int
    repeats: int
    wrong: bool
    once: bool


class Outcome(NamedTuple):
    """Hold the results of one generator."""

    records: list[Record]
    # By phase and rank: percentile to milliseconds, of answered requests.
    percentiles_ms: dict[str, dict[str, float]]


PLAN = pydantic.TypeAdapter(Plan)
OUTCOME = pydantic.TypeAdapter(Outcome)


class Due(NamedTuple):
    """Say when a request is due, and of which stream."""

    at_s: float
    stream: int
    number: int


def arrivals(plan: Plan) -> list[Due]:
    """Return Poisson arrivals of all streams in order of time."""
    lists = []
    for index, stream in enumerate(plan.streams):
        rng = random.Random(f"{plan.seed}/{plan.places}/{index}")
        due: list[Due] = []
        at_s = stream.from_s
        while stream.rate_per_s > 0:
            at_s += rng.expovariate(stream.rate_per_s)
            if at_s >= stream.until_s:
                break
            due.append(Due(at_s, index, len(due)))
        lists.append(due)
    return list(heapq.merge(*lists))


def percentiles(seconds: list[float]) -> dict[str, float]:
    """Return the usual percentiles in milliseconds."""
    latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    for each in seconds:
        latencies.record_value(max(1, int(each * 1e6)))
    return {
        str(part): latencies.get_value_at_percentile(part) / 1000
        for part in (50, 90, 99, 99.9)
    }


class Generator:
    """Send what a plan says and keep what the callers saw."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.rng = random.Random(f"{plan.seed}/{plan.places}/callers")
        self.records: list[Record] = []
        self.callers = []
        for index in range(plan.callers):
            # Callers start their first look-up at different entry hosts.
            start = index % len(plan.lookup_urls)
            urls = plan.lookup_urls[start:] + plan.lookup_urls[:start]
            self.callers.append(
                caller.Caller(
                    lookup_urls=urls,
                    place=plan.places[index % len(plan.places)],
                    timer_service=TIMER,
                    max_clients=MAX_CLIENTS,
                )
            )

    async def run(self) -> Outcome:
        """Return when every request has its result."""
        tasks = []
        loop = asyncio.get_running_loop()
        for due in arrivals(self.plan):
            wait_s = self.plan.start_at_s + due.at_s - TIMER.monotonic()
            if wait_s > 0:
                await TIMER.sleep(wait_s)
            tasks.append(loop.create_task(self._one(due)))
        await asyncio.gather(*tasks)
        for client in self.callers:
            client.close()
        groups: dict[str, list[float]] = {}
        for record in self.records:
            if record.status == 200:
                key = f"{record.phase}/{record.rank}"
                groups.setdefault(key, []).append(record.seconds)
        return Outcome(
            self.records, {key: percentiles(x) for key, x in groups.items()}
        )

    async def _one(self, due: Due) -> None:
        stream = self.plan.streams[due.stream]
        due_at_s = self.plan.start_at_s + due.at_s
        late_s = TIMER.monotonic() - due_at_s
        client = self.rng.choice(self.callers)
        work_id = (
            f"{self.plan.seed}/{self.plan.places[0]}/{due.stream}/{due.number}"
        )
        body = f"body of {work_id}"
        repeats = 0
        result = found = await client.look_up(stream.work)
        if found.status == 200 and stream.pinned_url:
            hosts = [{"name": "pinned", "url": stream.pinned_url}]
            found = found._replace(body={**found.body, "entry_hosts": hosts})
        if found.status == 200:
            result = await self._call(client, stream, work_id, found.body)
            # A refusal or an answer settles the request; without either the
            # caller repeats it with the same token.
            while repeats < REPEATS and (
                result.status == 0 or result.name == "ATTEMPT_RUNNING"
            ):
                if not found.body.get("run_token") and repeats:
                    break
                repeats += 1
                await TIMER.sleep(REPEAT_PAUSE_S)
                result = await self._call(client, stream, work_id, found.body)
        self.records.append(
            Record(
                phase=stream.phase,
                work=stream.work,
                rank=stream.rank,
                work_id=work_id,
                due_s=due.at_s,
                late_s=late_s,
                seconds=TIMER.monotonic() - due_at_s,
                status=result.status,
                code=result.code,
                name=result.name,
                effect=result.effect,
                entry_host=result.entry_host,
                attempts=result.attempts,
                repeats=repeats,
                wrong=found.status == 200
                and bool(
                    checks.wrong_answers(
                        [checks.Call(work_id, body, result, client.place)]
                    )
                ),
                once=bool(found.body.get("run_token")),
            )
        )

    async def _call(
        self,
        client: caller.Caller,
        stream: Stream,
        work_id: str,
        lookup: dict[str, Any],
    ) -> caller.CallResult:
        token = lookup.get("run_token")
        return await client.call(
            stream.work,
            body=f"body of {work_id}",
            work_id=work_id,
            deadline_s=stream.deadline_s,
            # Kept answers of repeatable work may have been replaced.
            lookup=lookup if token or stream.pinned_url else None,
        )


def main(plan: pathlib.Path, out: pathlib.Path) -> None:
    """Run the load of a plan file and write the results as JSON."""
    # The default resolver asks a thread for each numeric address, which
    # bounds a generator at some hundred requests per second.
    netutil.Resolver.configure("tornado.netutil.BlockingResolver")
    outcome = asyncio.run(
        Generator(PLAN.validate_json(plan.read_bytes())).run()
    )
    out.write_bytes(OUTCOME.dump_json(outcome))


if __name__ == "__main__":
    typer.run(main)
