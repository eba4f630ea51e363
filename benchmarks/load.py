"""Generate open-loop load from one region in a process of its own.

Requests start at times drawn beforehand, whether or not earlier ones have
ended, and latencies are measured from these times. A generator that falls
behind thus shows in late_s of its records and does not send fewer requests.
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
MAX_REPEATS = 20
REPEAT_PAUSE_S = 0.5
TIMER = timer.LoopTimerService()


class Stream(NamedTuple):
    """Describe requests for one work entry at a constant mean rate."""

    # Label of the phase that the stream belongs to.
    phase: str
    work: str
    rank: str
    rate_per_s: float
    # Seconds after the plan's start.
    from_s: float
    until_s: float
    deadline_s: float
    # URL of the entry host to send to instead of those that look-ups return;
    # empty to use the look-ups.
    pinned_url: str = ""


class Plan(NamedTuple):
    """Describe the load that one generator sends."""

    # Availability zones of the callers.
    places: list[str]
    lookup_urls: list[str]
    callers: int
    seed: int
    # On the clock of TimerService, which all processes share.
    start_at_s: float
    streams: list[Stream]


class Record(NamedTuple):
    """Hold the result of one request as its caller saw it."""

    phase: str
    work: str
    rank: str
    work_id: str
    # Seconds after the plan's start.
    due_s: float
    # Delay of the actual start after due_s.
    late_s: float
    # From due_s to the result.
    seconds: float
    status: int
    code: int
    name: str
    effect: str
    entry_host: str
    # Entry hosts tried in the last repetition.
    attempts: int
    repeats: int
    # Whether the answer is truncated or belongs to another request.
    wrong: bool
    # Whether the work must not run more than once; it has a run token then.
    once: bool


class Outcome(NamedTuple):
    """Hold the results of one generator."""

    records: list[Record]
    # Latency percentiles of answered requests by phase and rank.
    percentiles_ms: dict[str, dict[str, float]]


PLAN = pydantic.TypeAdapter(Plan)
OUTCOME = pydantic.TypeAdapter(Outcome)


class ScheduledRequest(NamedTuple):
    """Identify a request by its stream and its number in it."""

    # Seconds after the plan's start.
    at_s: float
    # Index of the stream in the plan.
    stream: int
    number: int


def schedule_requests(plan: Plan) -> list[ScheduledRequest]:
    """Return the requests of all streams, as Poisson arrivals, by time."""
    schedules = []
    for index, stream in enumerate(plan.streams):
        rng = random.Random(f"{plan.seed}/{plan.places}/{index}")
        schedule: list[ScheduledRequest] = []
        at_s = stream.from_s
        while stream.rate_per_s > 0:
            at_s += rng.expovariate(stream.rate_per_s)
            if at_s >= stream.until_s:
                break
            schedule.append(ScheduledRequest(at_s, index, len(schedule)))
        schedules.append(schedule)
    return list(heapq.merge(*schedules))


def percentiles(seconds: list[float]) -> dict[str, float]:
    """Return the 50th, 90th, 99th and 99.9th percentile in milliseconds."""
    latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    for each in seconds:
        latencies.record_value(max(1, int(each * 1e6)))
    return {
        str(percentile): latencies.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 90, 99, 99.9)
    }


class Generator:
    """Send the load of a plan and record the results."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.rng = random.Random(f"{plan.seed}/{plan.places}/callers")
        self.records: list[Record] = []
        self.callers = []
        for index in range(plan.callers):
            # Callers send their look-ups to different entry hosts first.
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
        """Send all requests and return when each has its result."""
        tasks = []
        loop = asyncio.get_running_loop()
        for scheduled in schedule_requests(self.plan):
            wait_s = self.plan.start_at_s + scheduled.at_s - TIMER.monotonic()
            if wait_s > 0:
                await TIMER.sleep(wait_s)
            tasks.append(loop.create_task(self._send(scheduled)))
        await asyncio.gather(*tasks)
        for client in self.callers:
            client.close()
        groups: dict[str, list[float]] = {}
        for record in self.records:
            if record.status == 200:
                key = f"{record.phase}/{record.rank}"
                groups.setdefault(key, []).append(record.seconds)
        return Outcome(
            self.records,
            {key: percentiles(seconds) for key, seconds in groups.items()},
        )

    async def _send(self, scheduled: ScheduledRequest) -> None:
        stream = self.plan.streams[scheduled.stream]
        due_at_s = self.plan.start_at_s + scheduled.at_s
        late_s = TIMER.monotonic() - due_at_s
        client = self.rng.choice(self.callers)
        work_id = (
            f"{self.plan.seed}/{self.plan.places[0]}/"
            f"{scheduled.stream}/{scheduled.number}"
        )
        body = f"body of {work_id}"
        repeats = 0
        result = found = await client.look_up(stream.work)
        if found.status == 200 and stream.pinned_url:
            hosts = [{"name": "pinned", "url": stream.pinned_url}]
            found = found._replace(body={**found.body, "entry_hosts": hosts})
        if found.status == 200:
            result = await self._call(client, stream, work_id, found.body)
            # An answer or a refusal ends the request. Without either, the
            # caller repeats it with the same run token; a request without
            # a token is repeated once.
            while repeats < MAX_REPEATS and (
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
                due_s=scheduled.at_s,
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
            # Without a run token, the caller uses the look-up answer that it
            # has cached, which may be more recent.
            lookup=lookup if token or stream.pinned_url else None,
        )


def main(plan: pathlib.Path, out: pathlib.Path) -> None:
    """Send the load of a plan file and write the results as JSON."""
    # The default resolver passes even numeric addresses to a thread, which
    # limits a generator to some hundred requests per second.
    netutil.Resolver.configure("tornado.netutil.BlockingResolver")
    outcome = asyncio.run(
        Generator(PLAN.validate_json(plan.read_bytes())).run()
    )
    out.write_bytes(OUTCOME.dump_json(outcome))


if __name__ == "__main__":
    typer.run(main)
