"""Hold the network, the servers, the store and the callers of a run."""

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
# One of three hosts in a zone does not watch the store.
HOSTS = dict.fromkeys(("t1", "t2", "t3"), "tallinn-a")
HOSTS |= {"u1": "tartu-a", "p1": "parnu-a"}
INTERVAL_S = 5.0
CLASSES = {
    "file-claim": core.WorkClass.FILING,
    "case-status": core.WorkClass.STATUS,
    "case-export": core.WorkClass.EXPORT,
}
# Requests each second from the callers of a region.
RATES = {"file-claim": 1.5, "case-status": 1.5, "case-export": 1.0}
START_S = 4.0
TROUBLE = 0.02
Resolve = Callable[[Any], None]
Inject = Callable[["World"], Coroutine[Any, Any, None]]


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
    for name, kind in CLASSES.items():
        repeatable = kind is not core.WorkClass.FILING
        work = builders.make_work(name, work_class=kind, repeatable=repeatable)
        work["max_answer_bytes"] = 300
        work["deadline_s"] = 5.0
        work["max_in_flight_per_region"] = 8
        entries.append(work)
    return entries


class _Ordered(dict[Any, None]):
    """Be a set that is iterated in the order of insertion."""

    def add(self, item: object) -> None:
        self[item] = None

    def discard(self, item: object) -> None:
        self.pop(item, None)


class StoreCore(store_standin.StoreCore):
    """Record the operators' changes as the store accepts them."""

    def __init__(self, world: "World") -> None:
        super().__init__()
        self.world = world
        # A set of futures has no order that a seed could replay.
        self.waiters = _Ordered()  # type: ignore[assignment]

    def put(
        self, key: str, value: Mapping[str, Any], expected_revision: int
    ) -> store_standin.PutOutcome:
        outcome = super().put(key, value, expected_revision)
        if outcome.written and key.startswith(codec.PREFIX):
            name = key.removeprefix(codec.PREFIX)
            change = record.Change(self.world.now(), name, self.revision)
            self.world.history.changes.append(change)
        return outcome


class Server:
    """Run work in slots, and fail on demand."""

    def __init__(self, world: "World", server: core.BackendServer) -> None:
        self.world = world
        self.name = server.name
        self.region = server.zone.region
        self.start = 1
        self.up = True
        self.leaving = False
        # Whether a server that is leaving refuses new work itself.
        self.refuses = False
        self.trouble = TROUBLE
        # Resets the connection of a run, by its place in the history.
        self.active: dict[int, Callable[[], None]] = {}

    def submit(
        self,
        process: hosts_module.HostProcess,
        request: backend_model.BackendRequest,
        resolve: Resolve,
    ) -> Callable[[], None]:
        """Send a request; return what the host calls to cancel it."""
        world, region = self.world, process.region
        left_s = request.deadline_at_s - process.timer.monotonic()
        sent_at_s = world.now()
        stops: list[Callable[[], None]] = []

        def cancel() -> None:
            for stop in stops:
                world.between(region, self.region, stop)

        def arrive() -> None:
            stops.append(
                self._run(process, request, resolve, sent_at_s, left_s)
            )

        if not process.gate.dead:
            world.between(region, self.region, arrive)
            if world.is_cut(region, self.region) and world.rng.random() < 0.5:
                failure = hosts_module.failed(FailureKind.NOT_SENT)
                process.gate.post(lambda: resolve(failure))
        return cancel

    def _run(
        self,
        process: hosts_module.HostProcess,
        request: backend_model.BackendRequest,
        resolve: Resolve,
        sent_at_s: float,
        left_s: float,
    ) -> Callable[[], None]:
        """Refuse a request or run it; return what stops the run."""
        world, rng, runs = self.world, self.world.rng, self.world.history.runs

        def fail(kind: FailureKind) -> None:
            signs = kind is FailureKind.LEAVING
            self._reply(process, resolve, hosts_module.failed(kind), signs)

        kind = (
            (FailureKind.NOT_SENT if not self.up else None)
            or (FailureKind.LEAVING if self.refuses else None)
            or (FailureKind.REFUSED if rng.random() < self.trouble else None)
        )
        if kind is not None:
            fail(kind)
            return lambda: None
        headers = dict(request.headers)
        work_id, token = headers["X-Work-Id"], int(headers["X-Token"])
        place = len(runs)
        runs.append(
            record.Run(
                *(sent_at_s, world.now(), math.inf, work_id, token),
                *(world.homes[work_id], self.region, self.name, self.start),
                process.host.incarnation,
            )
        )
        world.count_bytes(process.region, self.region, request.body)

        def end() -> None:
            del self.active[place]
            runs[place] = runs[place]._replace(until_s=world.now())

        def reset() -> None:
            if place in self.active:
                end()
                fail(FailureKind.RESET)

        def stop() -> None:
            # Some servers go on with work that nobody waits for.
            if place in self.active and rng.random() < 0.5:
                end()

        def finish() -> None:
            if place not in self.active:
                return
            end()
            if duration_s <= left_s:
                body = record.answer_body(work_id).encode()
                world.count_bytes(self.region, process.region, body)
                answer = core.Answer(200, "OK", (), body, self.name)
                self._reply(process, resolve, Success(answer), False)

        self.active[place] = reset
        duration_s = rng.uniform(0.05, 0.5)
        if rng.random() < self.trouble:
            duration_s = rng.uniform(left_s - 0.05, left_s + 0.2)
        # A server gives up soon after the deadline it was given.
        duration_s = min(duration_s, left_s + 0.2)
        world.loop.call_later(duration_s, finish)
        if rng.random() < self.trouble:
            world.loop.call_later(rng.uniform(0.0, duration_s), reset)
        return stop

    def probe(
        self, process: hosts_module.HostProcess, resolve: Resolve
    ) -> None:
        """Answer a probe; the load is made up."""

        def arrive() -> None:
            result: Any = hosts_module.failed(FailureKind.NOT_SENT)
            if self.up:
                load, start = self.world.rng.random(), f"start-{self.start}"
                result = Success(
                    backend_model.HealthReport(
                        self.name, self.leaving, load, start
                    )
                )
            self._reply(process, resolve, result, self.up and self.leaving)

        if not process.gate.dead:
            self.world.between(process.region, self.region, arrive)

    def _reply(
        self,
        process: hosts_module.HostProcess,
        resolve: Resolve,
        result: Any,
        signs: bool,
    ) -> None:
        start = self.start

        def deliver() -> None:
            if signs:
                self.sign(start)
            resolve(result)

        self.world.between(
            self.region, process.region, lambda: process.gate.post(deliver)
        )

    def sign(self, start: int) -> None:
        """Note that a host has received a sign that the server leaves."""
        signs = self.world.history.signs
        signs.setdefault((self.name, start), self.world.now())

    def go_down(self) -> None:
        """Die at once; the work in progress ends."""
        self.up = False
        for reset in list(self.active.values()):
            reset()

    def come_up(self) -> None:
        self.start += not self.up
        self.up = True
        self.leaving = self.refuses = False


class World:
    """Run one seed."""

    def __init__(self, seed: int, loop: kernel.VirtualLoop) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        # Apart, so that a change of the code leaves the schedule as it is.
        self.schedule_rng = random.Random(seed + 1)
        self.history = record.History()
        self.states: dict[str, record.State] = {}
        self.core = StoreCore(self)
        self.late_writes = False
        self.loss = 0.0
        self.cuts: set[frozenset[str]] = set()
        self.last_at_s: dict[tuple[str, str], float] = {}
        self.hosts: dict[str, hosts_module.HostProcess] = {}
        self.starts = 0
        # Region of the caller by work id.
        self.homes: dict[str, str] = {}
        self.pieces = 0
        self.rates = dict(RATES)
        self.kept: dict[tuple[str, str], tuple[float, list[str]]] = {}
        self.log: list[str] = []
        entries = make_entries()
        for entry in entries:
            body = codec.encode_body(change_id="first", entry=entry)
            self.core.put(codec.PREFIX + schema.entry_key(entry), body, 0)
        servers = catalogue_view.CatalogueView(entries=entries).servers
        self.servers = {name: Server(self, servers[name]) for name in servers}
        self.timer = kernel.ProcessTimer(kernel.Gate(loop), 1.0, 0.0)

    def now(self) -> float:
        return self.loop.time()

    def is_cut(self, region: str, other: str) -> bool:
        return frozenset((region, other)) in self.cuts

    def _delay_s(self, region: str, other: str) -> float:
        base_s = 0.002 if region == other else 0.02
        return base_s * self.rng.uniform(1.0, 2.0)

    def between(
        self, region: str, other: str, deliver: Callable[[], None]
    ) -> None:
        """Deliver after the latency between regions, unless they are cut."""
        if not self.is_cut(region, other):
            self.loop.call_later(self._delay_s(region, other), deliver)

    def transmit(
        self,
        source: hosts_module.HostProcess,
        name: str,
        deliver: Callable[[hosts_module.HostProcess], None],
    ) -> None:
        """Deliver a message to a peer in the order of sending."""
        peer = self.hosts.get(name)
        if peer is None or source.gate.dead or self.rng.random() < self.loss:
            return
        if self.is_cut(source.region, peer.region):
            return
        pair = (source.host.name, name)
        at_s = self.now() + self._delay_s(source.region, peer.region)
        at_s = max(at_s, self.last_at_s.get(pair, 0.0))
        self.last_at_s[pair] = at_s
        self.loop.call_at(at_s, lambda: peer.gate.post(lambda: deliver(peer)))

    def count_bytes(self, source: str, target: str, body: bytes) -> None:
        if source != target:
            now, key = self.now(), f"link:{source}>{target}"
            use = record.Use(now, now + 1.0, key, len(body))
            self.history.link_bytes.append(use)

    def saw_store(self, result: object) -> None:
        """Record signs in the host list that a process has read."""
        if not isinstance(result, store_model.Listing):
            return
        for stored in result.objects:
            for listed in stored.value.get("hosts", ()):
                server = self.servers[listed["name"]]
                if server.leaving and listed["state"] == "leaving":
                    server.sign(server.start)

    def start_host(self, name: str) -> None:
        """Start an incarnation once the former one has ended."""
        former = self.hosts.get(name)
        if former is None or former.gate.dead:
            self.starts += 1
            process = hosts_module.HostProcess(
                self, name, HOSTS[name], self.starts
            )
            self.hosts[name] = process
            hosts_module.spawn(process.begin())
            hosts_module.spawn(self._note_serving(process))

    async def _note_serving(self, process: hosts_module.HostProcess) -> None:
        while process.state is core.EntryHostState.STARTING:
            await process.timer.sleep(0.1)
        name = process.host.incarnation
        self.history.spans.append(
            record.Span(self.now(), math.inf, "serving", name)
        )

    def ended(
        self, process: hosts_module.HostProcess, *, planned: bool
    ) -> None:
        """Let a process end and close its connections."""
        process.gate.dead = True
        now, name = self.now(), process.host.incarnation
        if name in self.states:
            self.history.states.append(
                self.states[name]._replace(at_s=now, limits={})
            )
        for place, span in enumerate(self.history.spans):
            if span[1:] == (math.inf, "serving", name):
                self.history.spans[place] = span._replace(until_s=now)
        for connection in list(process.calls):
            if planned:
                self.history.cut_off.append(f"{connection.work_id} on {name}")
            connection.reply(None)

    async def span(self, kind: str, host: str, duration_s: float) -> None:
        """Record a span and return at its end."""
        now = self.now()
        span = record.Span(now, now + duration_s, kind, host)
        self.history.spans.append(span)
        await asyncio.sleep(duration_s)

    async def call(
        self,
        name: str,
        region: str,
        line: tuple[str, str],
        headers: Mapping[str, str],
        *,
        work_id: str = "",
        patience_s: float = 0.5,
    ) -> record.Reply:
        """Make one request from a region; give up after the patience."""
        process = self.hosts[name]
        token = int(headers.get("X-Token", 0))
        connection = hosts_module.Connection(process, work_id, token)
        kind = CLASSES.get(work_id.partition("/")[0], core.WorkClass.FILING)

        def arrive() -> None:
            if process.gate.dead:
                connection.reply(None)
            start = httputil.RequestStartLine(*line, "HTTP/1.1")
            process.gate.post(
                lambda: process.open(connection, start, headers, kind.rank)
            )

        def leave() -> None:
            handler = process.calls.pop(connection, None)
            if handler is not None:
                handler.on_connection_close()

        self.between(region, process.region, arrive)
        waiting = connection.waiter.done
        if not (await asyncio.wait((waiting,), timeout=patience_s))[0]:
            self.between(
                region, process.region, lambda: process.gate.post(leave)
            )
            connection.reply(None)
        reply: record.Reply = await waiting
        return reply

    async def look_up(
        self, work: str, region: str
    ) -> tuple[list[str], str | None]:
        """Return entry hosts and a run token, from any host that answers."""
        until_s, found = self.kept.get((work, region), (0.0, []))
        if until_s > self.now():
            return found, None
        order = self.rng.sample(list(self.hosts), len(self.hosts))
        order.sort(key=lambda name: self.hosts[name].region != region)
        for name in order:
            path = f"/v1/lookup/{work}?from={region}"
            reply = await self.call(name, region, ("GET", path), {})
            if reply.code == 0:
                answer = json.loads(reply.body)
                found = [host["name"] for host in answer["entry_hosts"]]
                if "run_token" not in answer:
                    until_s = self.now() + answer["keep_s"]
                    self.kept[(work, region)] = (until_s, found)
                return found, answer.get("run_token")
        return [], None

    async def caller(self, work: str, region: str) -> None:
        """Have one piece of work done, with repeats."""
        self.pieces += 1
        piece, rng, used = f"{work}/{self.pieces}", self.rng, 1
        names, token = await self.look_up(work, region)
        for number in range(4):
            if not names:
                return
            # Work without a token counts as a new piece each time.
            work_id = piece if token else f"{piece}/{number}"
            self.homes[work_id] = region
            tries = [rng.choice(names) if number else names[0]]
            if token and rng.random() < 0.15:
                tries.append(rng.choice(names))
            headers = {
                "X-Work-Id": work_id,
                "X-Token": str(used if token else 0),
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
                        patience_s=rng.choice((0.3, 8.0, 8.0, 8.0, 8.0)),
                    )
                    for name in tries
                )
            )
            codes = [reply.code for reply in replies]
            if 0 in codes and (not token or rng.random() < 0.9):
                return
            if 0 not in codes and set(codes) & set(record.NEVER_RUN):
                # The work was not run and the token is used up.
                names, token = await self.look_up(work, region)
                used += 1
            await asyncio.sleep(rng.uniform(0.02, 2.0))

    async def arrivals(self, work: str, region: str) -> None:
        """Start callers at the rate in force."""
        while True:
            await asyncio.sleep(self.rng.expovariate(self.rates[work]))
            hosts_module.spawn(self.caller(work, region))

    async def change(self) -> None:
        """Raise or lower limits as an operator's command does."""
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
    seed: int, loop: kernel.VirtualLoop, inject: Inject, duration_s: float
) -> World:
    world = World(seed, loop)
    for name in HOSTS:
        world.start_host(name)
    await asyncio.sleep(START_S)
    for region in REGIONS:
        for work in RATES:
            hosts_module.spawn(world.arrivals(work, region))
    hosts_module.spawn(inject(world))
    await asyncio.sleep(duration_s)
    return world


def run_seed(seed: int, inject: Inject, *, duration_s: float) -> World:
    """Run a seed on a loop of its own; equal seeds give equal histories."""
    ids = random.Random(seed)
    loop = kernel.VirtualLoop()
    try:
        with mock.patch.object(
            secrets,
            "token_urlsafe",
            lambda size: f"{ids.getrandbits(8 * size)}",
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
