"""Simulate the network, the servers, the store and the callers of a run."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
import json
import math
import random
import secrets
from typing import Any
from unittest import mock

from returns.result import Success
from tornado import httputil

from samphirelug.components.backend import model as backend_model
from samphirelug.components.backend.model import FailureKind
from samphirelug.components.catalogue import codec
from samphirelug.components.catalogue import schema
from samphirelug.components.catalogue import view as catalogue_view
from samphirelug.components.catalogue import writer
from samphirelug.components.store import model as store_model
from samphirelug import const
from samphirelug import core
from standins import builders
from standins import store as store_standin
from tests.history import hosts as hosts_module
from tests.history import kernel
from tests.history import record

REGIONS = ("tallinn", "tartu", "parnu")
# Availability zones by entry host. One of the three hosts in tallinn-a does
# not watch the store.
HOSTS = dict.fromkeys(("t1", "t2", "t3"), "tallinn-a")
HOSTS |= {"u1": "tartu-a", "p1": "parnu-a"}
# Interval of the shift caps that builders.make_region() sets.
SHIFT_INTERVAL_S = 5.0
WORK_CLASSES = {
    "file-claim": core.WorkClass.FILING,
    "case-status": core.WorkClass.STATUS,
    "case-export": core.WorkClass.EXPORT,
}
# Requests per second from the callers of each region.
REQUESTS_PER_S = {"file-claim": 1.5, "case-status": 1.5, "case-export": 1.0}
# Time for the entry hosts to start before the first request.
STARTUP_S = 4.0
# Probability that a server refuses, delays or resets a request, for each.
FAILURE_RATE = 0.02
ResultCallback = Callable[[Any], None]
Injector = Callable[["World"], Coroutine[Any, Any, None]]


def make_entries() -> list[schema.Entry]:
    """Return a catalogue with limits that the load of a run reaches."""
    entries: list[schema.Entry] = []
    for name in REGIONS:
        entries.append(
            builders.make_region(name, max_in_flight=9, shift_requests=6)
        )
    for pair in (REGIONS[:2], REGIONS[1:], REGIONS[::2]):
        entries.append(builders.make_link(*pair, bytes_per_s=3000))
    zones = [f"{region}-a" for region in REGIONS]
    service = builders.make_service("filing", zones=zones, slots=6)
    service["ramp_s"] = 1.0
    entries.append(service)
    for name, work_class in WORK_CLASSES.items():
        repeatable = work_class is not core.WorkClass.FILING
        work = builders.make_work(
            name, work_class=work_class, repeatable=repeatable
        )
        work["max_answer_bytes"] = 300
        work["deadline_s"] = 5.0
        work["max_in_flight_per_region"] = 8
        entries.append(work)
    return entries


class _OrderedSet(dict[Any, None]):
    """Implement a set that is iterated in the order of insertion."""

    def add(self, item: object) -> None:
        self[item] = None

    def discard(self, item: object) -> None:
        self.pop(item, None)


class RecordingStoreCore(store_standin.StoreCore):
    """Record the changes of catalogue entries that the store accepts."""

    def __init__(self, world: "World") -> None:
        super().__init__()
        self.world = world
        # A set of futures is iterated in an order that differs between runs
        # of a seed.
        self.waiters = _OrderedSet()  # type: ignore[assignment]

    def put(
        self, key: str, value: Mapping[str, Any], expected_revision: int
    ) -> store_standin.PutOutcome:
        outcome = super().put(key, value, expected_revision)
        if outcome.written and key.startswith(codec.PREFIX):
            name = key.removeprefix(codec.PREFIX)
            change = record.Change(self.world.now(), name, self.revision)
            self.world.history.changes.append(change)
        return outcome


class FakeServer:
    """Simulate a backend server that fails at a given rate."""

    def __init__(self, world: "World", server: core.BackendServer) -> None:
        self.world = world
        self.name = server.name
        self.region = server.zone.region
        self.incarnation = 1
        self.up = True
        self.leaving = False
        # Whether the server refuses new work while it is leaving.
        self.refuses = False
        self.failure_rate = FAILURE_RATE
        # Callbacks that reset the connection of a run in progress, by the
        # index of the run in the history.
        self.reset_callbacks: dict[int, Callable[[], None]] = {}

    def submit(
        self,
        process: hosts_module.HostProcess,
        request: backend_model.BackendRequest,
        resolve: ResultCallback,
    ) -> Callable[[], None]:
        """Send a request; return a callback that cancels it."""
        world, region = self.world, process.region
        remaining_s = request.deadline_at_s - process.timer.monotonic()
        sent_at_s = world.now()
        stops: list[Callable[[], None]] = []

        def cancel() -> None:
            for stop in stops:
                world.send_between(region, self.region, stop)

        def arrive() -> None:
            stops.append(
                self._run(process, request, resolve, sent_at_s, remaining_s)
            )

        if not process.gate.dead:
            world.send_between(region, self.region, arrive)
            if (
                world.is_partitioned(region, self.region)
                and world.rng.random() < 0.5
            ):
                # In the other cases, the request times out at its deadline.
                failure = hosts_module.make_failure(FailureKind.NOT_SENT)
                process.gate.post(lambda: resolve(failure))
        return cancel

    def _run(
        self,
        process: hosts_module.HostProcess,
        request: backend_model.BackendRequest,
        resolve: ResultCallback,
        sent_at_s: float,
        remaining_s: float,
    ) -> Callable[[], None]:
        """Refuse or run a request; return a callback that stops the run."""
        world, rng, runs = self.world, self.world.rng, self.world.history.runs

        def fail(kind: FailureKind) -> None:
            reports_leaving = kind is FailureKind.LEAVING
            self._reply(
                process,
                resolve,
                hosts_module.make_failure(kind),
                reports_leaving,
            )

        kind = (
            (FailureKind.NOT_SENT if not self.up else None)
            or (FailureKind.LEAVING if self.refuses else None)
            or (
                FailureKind.REFUSED
                if rng.random() < self.failure_rate
                else None
            )
        )
        if kind is not None:
            fail(kind)
            return lambda: None
        headers = dict(request.headers)
        work_id, token = headers["X-Work-Id"], int(headers["X-Token"])
        index = len(runs)
        runs.append(
            record.Run(
                *(sent_at_s, world.now(), math.inf, work_id, token),
                *(
                    world.home_regions[work_id],
                    self.region,
                    self.name,
                    self.incarnation,
                ),
                process.host.incarnation,
            )
        )
        world.record_link_bytes(process.region, self.region, request.body)

        def end() -> None:
            del self.reset_callbacks[index]
            runs[index] = runs[index]._replace(end_s=world.now())

        def reset() -> None:
            if index in self.reset_callbacks:
                end()
                fail(FailureKind.RESET)

        def stop() -> None:
            # Half of the runs continue although the host has cancelled them.
            if index in self.reset_callbacks and rng.random() < 0.5:
                end()

        def finish() -> None:
            if index not in self.reset_callbacks:
                return
            end()
            if duration_s <= remaining_s:
                body = record.answer_body(work_id).encode()
                world.record_link_bytes(self.region, process.region, body)
                answer = core.Answer(200, "OK", (), body, self.name)
                self._reply(process, resolve, Success(answer), False)

        self.reset_callbacks[index] = reset
        duration_s = rng.uniform(0.05, 0.5)
        if rng.random() < self.failure_rate:
            # The run ends shortly before or after the deadline.
            duration_s = rng.uniform(remaining_s - 0.05, remaining_s + 0.2)
        # A server ends a run soon after the deadline of the request.
        duration_s = min(duration_s, remaining_s + 0.2)
        world.loop.call_later(duration_s, finish)
        if rng.random() < self.failure_rate:
            world.loop.call_later(rng.uniform(0.0, duration_s), reset)
        return stop

    def probe(
        self, process: hosts_module.HostProcess, resolve: ResultCallback
    ) -> None:
        """Answer a health probe with a random load."""

        def arrive() -> None:
            result: Any = hosts_module.make_failure(FailureKind.NOT_SENT)
            if self.up:
                load, incarnation = (
                    self.world.rng.random(),
                    f"incarnation-{self.incarnation}",
                )
                result = Success(
                    backend_model.HealthReport(
                        self.name, self.leaving, load, incarnation
                    )
                )
            self._reply(process, resolve, result, self.up and self.leaving)

        if not process.gate.dead:
            self.world.send_between(process.region, self.region, arrive)

    def _reply(
        self,
        process: hosts_module.HostProcess,
        resolve: ResultCallback,
        result: Any,
        reports_leaving: bool,
    ) -> None:
        incarnation = self.incarnation

        def deliver() -> None:
            if reports_leaving:
                self.record_leaving(incarnation)
            resolve(result)

        self.world.send_between(
            self.region, process.region, lambda: process.gate.post(deliver)
        )

    def record_leaving(self, incarnation: int) -> None:
        """Record that a host has learned that the server is leaving."""
        known_at_s = self.world.history.leaving_known_at_s
        known_at_s.setdefault((self.name, incarnation), self.world.now())

    def shut_down(self) -> None:
        """Shut down at once and reset the connections of runs in progress."""
        self.up = False
        for reset in list(self.reset_callbacks.values()):
            reset()

    def start_up(self) -> None:
        """Start as a new incarnation if down; stop leaving in any case."""
        self.incarnation += not self.up
        self.up = True
        self.leaving = self.refuses = False


class World:
    """Hold the simulated system of one run."""

    def __init__(self, seed: int, loop: kernel.VirtualLoop) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        # Separate from rng, whose use depends on the code, so that a change of
        # the code leaves the order of faults of a seed as it is.
        self.schedule_rng = random.Random(seed + 1)
        self.history = record.History()
        # By incarnation of the host.
        self.latest_states: dict[str, record.HostState] = {}
        self.core = RecordingStoreCore(self)
        # Whether half of the writes to the store take effect late.
        self.late_writes = False
        self.loss_rate = 0.0
        # Pairs of regions that are disconnected from each other.
        self.partitions: set[frozenset[str]] = set()
        # Latest arrival of a message by sender and receiver.
        self.last_arrival_at_s: dict[tuple[str, str], float] = {}
        # Latest process of each entry host, by name of the host.
        self.hosts: dict[str, hosts_module.HostProcess] = {}
        self.start_count = 0
        # Region of the caller by work ID.
        self.home_regions: dict[str, str] = {}
        # Number of pieces of work that callers have requested.
        self.work_count = 0
        self.request_rates = dict(REQUESTS_PER_S)
        # End of validity and entry hosts of look-up answers, by work and
        # region of the caller.
        self.cached_lookups: dict[
            tuple[str, str], tuple[float, list[str]]
        ] = {}
        self.fault_log: list[str] = []
        entries = make_entries()
        for entry in entries:
            body = codec.encode_body(change_id="first", entry=entry)
            self.core.put(codec.PREFIX + schema.entry_key(entry), body, 0)
        servers = catalogue_view.CatalogueView(entries=entries).servers
        self.servers = {
            name: FakeServer(self, servers[name]) for name in servers
        }
        # For the operators' commands, which are never paused.
        self.timer = kernel.ProcessTimer(kernel.Gate(loop), 1.0, 0.0)

    def now(self) -> float:
        return self.loop.time()

    def is_partitioned(self, region: str, other: str) -> bool:
        return frozenset((region, other)) in self.partitions

    def _latency_s(self, region: str, other: str) -> float:
        base_s = 0.002 if region == other else 0.02
        return base_s * self.rng.uniform(1.0, 2.0)

    def send_between(
        self, region: str, other: str, deliver: Callable[[], None]
    ) -> None:
        """Call back after the latency between regions unless partitioned."""
        if not self.is_partitioned(region, other):
            self.loop.call_later(self._latency_s(region, other), deliver)

    def transmit(
        self,
        source: hosts_module.HostProcess,
        name: str,
        deliver: Callable[[hosts_module.HostProcess], None],
    ) -> None:
        """Deliver a message to a peer, in the order of sending, or lose it."""
        peer = self.hosts.get(name)
        if (
            peer is None
            or source.gate.dead
            or self.rng.random() < self.loss_rate
        ):
            return
        if self.is_partitioned(source.region, peer.region):
            return
        pair = (source.host.name, name)
        at_s = self.now() + self._latency_s(source.region, peer.region)
        at_s = max(at_s, self.last_arrival_at_s.get(pair, 0.0))
        self.last_arrival_at_s[pair] = at_s
        self.loop.call_at(at_s, lambda: peer.gate.post(lambda: deliver(peer)))

    def record_link_bytes(self, source: str, target: str, body: bytes) -> None:
        """Record the bytes on a link, where they count for a second."""
        if source != target:
            now, key = self.now(), f"link:{source}>{target}"
            usage = record.Usage(now, now + 1.0, key, len(body))
            self.history.link_bytes.append(usage)

    def record_host_list(self, result: object) -> None:
        """Record the leaving servers in a host list that a host has read."""
        if not isinstance(result, store_model.Listing):
            return
        for stored in result.objects:
            for listed in stored.value.get("hosts", ()):
                server = self.servers[listed["name"]]
                if server.leaving and listed["state"] == "leaving":
                    server.record_leaving(server.incarnation)

    def start_host(self, name: str) -> None:
        """Start a new incarnation of a host unless the previous one runs."""
        previous = self.hosts.get(name)
        if previous is None or previous.gate.dead:
            self.start_count += 1
            process = hosts_module.HostProcess(
                self, name, HOSTS[name], self.start_count
            )
            self.hosts[name] = process
            hosts_module.spawn(process.run_until_stopped())
            hosts_module.spawn(self._record_serving(process))

    async def _record_serving(self, process: hosts_module.HostProcess) -> None:
        """Record when an incarnation begins to serve."""
        while process.state is core.EntryHostState.STARTING:
            await process.timer.sleep(0.1)
        host = process.host.incarnation
        self.history.spans.append(
            record.Span(self.now(), math.inf, "serving", host)
        )

    def end_process(
        self, process: hosts_module.HostProcess, *, planned: bool
    ) -> None:
        """Mark a process as dead and close its connections."""
        process.gate.dead = True
        now, host = self.now(), process.host.incarnation
        if host in self.latest_states:
            self.history.states.append(
                self.latest_states[host]._replace(at_s=now, limits={})
            )
        for index, span in enumerate(self.history.spans):
            if span[1:] == (math.inf, "serving", host):
                self.history.spans[index] = span._replace(end_s=now)
        for connection in list(process.exchanges):
            if planned:
                self.history.interrupted.append(
                    f"{connection.work_id} on {host}"
                )
            connection.reply(None)

    async def record_span(
        self, kind: str, host: str, duration_s: float
    ) -> None:
        """Record a span that begins now and return at its end."""
        now = self.now()
        span = record.Span(now, now + duration_s, kind, host)
        self.history.spans.append(span)
        await asyncio.sleep(duration_s)

    async def call(
        self,
        name: str,
        region: str,
        request_line: tuple[str, str],
        headers: Mapping[str, str],
        *,
        work_id: str = "",
        timeout_s: float = 0.5,
    ) -> record.Reply:
        """Send one request from a region; disconnect after timeout_s."""
        process = self.hosts[name]
        token = int(headers.get("X-Token", 0))
        connection = hosts_module.Connection(process, work_id, token)
        work_class = WORK_CLASSES.get(
            work_id.partition("/")[0], core.WorkClass.FILING
        )

        def arrive() -> None:
            if process.gate.dead:
                connection.reply(None)
            start_line = httputil.RequestStartLine(*request_line, "HTTP/1.1")
            process.gate.post(
                lambda: process.receive_request(
                    connection, start_line, headers, work_class.rank
                )
            )

        def disconnect() -> None:
            caller_exchange = process.exchanges.pop(connection, None)
            if caller_exchange is not None:
                caller_exchange.on_connection_close()

        self.send_between(region, process.region, arrive)
        waiting = connection.waiter.future
        if not (await asyncio.wait((waiting,), timeout=timeout_s))[0]:
            self.send_between(
                region, process.region, lambda: process.gate.post(disconnect)
            )
            connection.reply(None)
        reply: record.Reply = await waiting
        return reply

    async def look_up(
        self, work: str, region: str
    ) -> tuple[list[str], str | None]:
        """Return entry hosts and a run token from a cached or new answer.

        The token is None for repeatable work and if no entry host answers.
        """
        valid_until_s, names = self.cached_lookups.get(
            (work, region), (0.0, [])
        )
        if valid_until_s > self.now():
            return names, None
        order = self.rng.sample(list(self.hosts), len(self.hosts))
        order.sort(key=lambda name: self.hosts[name].region != region)
        for name in order:
            path = f"/v1/lookup/{work}?from={region}"
            reply = await self.call(name, region, ("GET", path), {})
            if reply.code == 0:
                answer = json.loads(reply.body)
                names = [host["name"] for host in answer["entry_hosts"]]
                if "run_token" not in answer:
                    valid_until_s = self.now() + answer["keep_s"]
                    self.cached_lookups[(work, region)] = (
                        valid_until_s,
                        names,
                    )
                return names, answer.get("run_token")
        return [], None

    async def run_caller(self, work: str, region: str) -> None:
        """Request one piece of work, with up to three repeats."""
        self.work_count += 1
        base_id, rng, token_number = f"{work}/{self.work_count}", self.rng, 1
        names, token = await self.look_up(work, region)
        for attempt in range(4):
            if not names:
                return
            # Work without a run token may run several times, so each attempt
            # counts as work of its own.
            work_id = base_id if token else f"{base_id}/{attempt}"
            self.home_regions[work_id] = region
            targets = [rng.choice(names) if attempt else names[0]]
            if token and rng.random() < 0.15:
                # The request is sent to two hosts at the same time.
                targets.append(rng.choice(names))
            headers = {
                "X-Work-Id": work_id,
                "X-Token": str(token_number if token else 0),
                "Content-Length": str(len(work_id)),
                const.HEADER_HOME_REGION: region,
                const.HEADER_REQUEST_ID: f"r{rng.getrandbits(32)}",
                const.HEADER_RUN_TOKEN: token or "",
                const.HEADER_DEADLINE_MS: str(rng.randint(800, 5000)),
            }
            if not token:
                del headers[const.HEADER_RUN_TOKEN]
            replies = await asyncio.gather(
                *(
                    self.call(
                        name,
                        region,
                        ("POST", f"/v1/run/{work}/x"),
                        headers,
                        work_id=work_id,
                        timeout_s=rng.choice((0.3, 8.0, 8.0, 8.0, 8.0)),
                    )
                    for name in targets
                )
            )
            codes = [reply.code for reply in replies]
            # One in ten callers with a run token repeats work that is done.
            if 0 in codes and (not token or rng.random() < 0.9):
                return
            if 0 not in codes and set(codes) & set(record.NEVER_RUN_CODES):
                # The work was not run, and its token is of no more use.
                names, token = await self.look_up(work, region)
                token_number += 1
            await asyncio.sleep(rng.uniform(0.02, 2.0))

    async def start_callers(self, work: str, region: str) -> None:
        """Start callers at random times at the current rate."""
        while True:
            await asyncio.sleep(self.rng.expovariate(self.request_rates[work]))
            hosts_module.spawn(self.run_caller(work, region))

    async def set_limits(self) -> None:
        """Change limits of a random entry, as an operator's command does."""
        rng = self.rng
        entry = rng.choice(make_entries())
        if entry["kind"] == "region":
            entry["max_in_flight"] = rng.choice((3, 5, 7, 12))
            entry["shift_cap"]["requests"] = rng.choice((1, 3, 9))
        elif entry["kind"] == "link":
            entry["bytes_per_s"] = rng.choice((1300, 2000, 5000))
        elif entry["kind"] == "work":
            entry["max_in_flight_per_region"] = rng.choice((2, 4, 12))
        else:
            for server in entry["servers"]:
                server["slots"] = rng.choice((2, 4, 8))
        store = store_standin.FakeObjectStore(core=self.core, timer=self.timer)
        await writer.CatalogueWriter(
            store=store,
            timer=self.timer,
            new_change_id=lambda: str(rng.getrandbits(64)),
        ).apply({schema.entry_key(entry): entry})


async def _run(
    seed: int, loop: kernel.VirtualLoop, inject: Injector, duration_s: float
) -> World:
    world = World(seed, loop)
    for name in HOSTS:
        world.start_host(name)
    await asyncio.sleep(STARTUP_S)
    for region in REGIONS:
        for work in REQUESTS_PER_S:
            hosts_module.spawn(world.start_callers(work, region))
    hosts_module.spawn(inject(world))
    await asyncio.sleep(duration_s)
    return world


def run_seed(seed: int, inject: Injector, *, duration_s: float) -> World:
    """Run a seed on its own event loop; equal seeds give equal histories."""
    token_rng = random.Random(seed)
    loop = kernel.VirtualLoop()
    try:
        with mock.patch.object(
            secrets,
            "token_urlsafe",
            lambda size: f"{token_rng.getrandbits(8 * size)}",
        ):
            return loop.run_until_complete(
                _run(seed, loop, inject, duration_s)
            )
    finally:
        hosts_module.TASKS.clear()
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
