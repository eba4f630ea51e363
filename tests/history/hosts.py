"""Run real entry hosts on virtual time with fakes at their interfaces."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
import json
import random
from typing import Any, TYPE_CHECKING
from unittest import mock

from returns.result import Failure
from returns.result import Result
from returns.result import Success
from tornado import httputil

from samphirelug.components.backend import client as backend_client
from samphirelug.components.backend import io_client
from samphirelug.components.backend import model as backend_model
from samphirelug.components.backend.model import FailureKind
from samphirelug.components.execution import tokens
from samphirelug.components.gateway import exchange
from samphirelug.components.gateway import io_operator
from samphirelug.components.metrics import registry
from samphirelug.components.peers import io_mesh
from samphirelug.components.peers import mesh as peers_mesh
from samphirelug.components.peers import model as peers_model
from samphirelug.components.quota import limits
from samphirelug.components.store import io_http_store
from samphirelug import const
from samphirelug import core
from samphirelug import entry_host
from samphirelug.helpers import loop_lag
from samphirelug import result_codes
from samphirelug import settings
from standins import builders
from standins import store as store_standin
from tests.history import kernel
from tests.history import record

if TYPE_CHECKING:
    from tests.history import world as world_module

# Shared by all simulated processes; the checks do not read it.
METRICS = registry.Metrics()
SECRET = "a secret of the test cluster"
SEAT_LEASE_S = 8.0
LOOKUP_KEEP_S = 3.0
ReplyCallback = Callable[[peers_model.Message | None], None] | None
# References to all tasks, since the event loop holds only weak ones.
TASKS: set[asyncio.Task[Any]] = set()


def spawn(work: Coroutine[Any, Any, Any]) -> None:
    """Start a task; run_seed() cancels those that are left at its end."""
    task = asyncio.get_running_loop().create_task(work)
    TASKS.add(task)
    task.add_done_callback(TASKS.discard)


class Waiter:
    """Hold a future that takes the first of several results."""

    def __init__(self) -> None:
        self.future = asyncio.get_running_loop().create_future()

    def resolve(self, result: Any = None) -> None:
        """Set the result unless there is one."""
        if not self.future.done():
            self.future.set_result(result)


class Connection(httputil.HTTPConnection):
    """Pass the reply of one exchange to the caller unless the host is dead."""

    def __init__(self, process: "HostProcess", work_id: str, token: int):
        self.process, self.work_id, self.token = process, work_id, token
        self.waiter = Waiter()

    def write_headers(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,  # noqa: ARG002
        chunk: bytes | None = None,
    ) -> "asyncio.Future[None]":
        assert isinstance(start_line, httputil.ResponseStartLine)
        if not self.process.gate.dead:
            self.process.exchanges.pop(self, None)
            text = (chunk or b"").decode()
            succeeded = start_line.code == 200
            self.reply(0 if succeeded else json.loads(text)["code"], text)
        return asyncio.get_running_loop().create_future()

    def finish(self) -> None:
        pass

    def reply(self, code: int | None, body: str = "") -> None:
        """Pass a reply to the caller; code is None for a lost connection."""
        world = self.process.world
        host = self.process.host.incarnation
        reply = record.Reply(
            world.now(), self.work_id, self.token, host, code, body
        )
        if self.work_id and code is not None:
            world.history.replies.append(reply)
        self.waiter.resolve(reply)


class FakeMesh(peers_mesh.PeerMesh):
    """Exchange messages over the simulated network."""

    def __init__(self, process: "HostProcess") -> None:
        self.process = process
        self.handlers: dict[type, peers_mesh.Handler] = {}
        self.peer_views: dict[str, peers_model.PeerView] = {}
        self.on_superseded: list[Callable[[], None]] = []
        self.heartbeat_scheduled = False

    async def stop(self) -> None:
        pass

    def is_watcher(self) -> bool:
        return self.process.sync.is_watcher()

    def set_known_hosts(self, hosts: Iterable[core.EntryHost]) -> None:
        """Ignore the host list; every host knows all others."""

    def heartbeat_now(self) -> None:
        if not self.heartbeat_scheduled:
            self.heartbeat_scheduled = True
            timer = self.process.timer
            timer.call_at(
                when_s=timer.monotonic() + 0.02, callback=self.send_heartbeat
            )

    def live_peers(self) -> tuple[peers_model.PeerView, ...]:
        since_s = self.process.timer.monotonic() - const.PEER_TIMEOUT_S
        peer_views = self.peer_views.values()
        return tuple(view for view in peer_views if view.heard_at_s >= since_s)

    async def request(
        self, host: str, message: peers_model.Message, *, timeout_s: float
    ) -> Result[peers_model.Message, result_codes.Refusal]:
        waiter = Waiter()
        self.transmit(host, message, waiter.resolve)
        timer = self.process.timer
        when_s = timer.monotonic() + timeout_s
        timer.call_at(when_s=when_s, callback=waiter.resolve)
        reply = await waiter.future
        if reply is not None:
            return Success(reply)
        code = result_codes.ResultCode.PEER_UNREACHABLE
        return Failure(result_codes.Refusal(code, host))

    def send(self, host: str, message: peers_model.Message) -> None:
        self.transmit(host, message, None)

    def broadcast(self, message: peers_model.Message) -> None:
        for name in self.process.world.hosts:
            if name != self.process.host.name:
                self.transmit(name, message, None)

    def set_handler(self, kind: type, handler: peers_mesh.Handler) -> None:
        self.handlers[kind] = handler

    def send_heartbeat(self) -> None:
        self.heartbeat_scheduled = False
        self.process.record_state()
        self.broadcast(self.process.heartbeat())

    def transmit(
        self, name: str, message: peers_model.Message, on_reply: ReplyCallback
    ) -> None:
        self.process.world.transmit(
            self.process,
            name,
            lambda peer: peer.fake_mesh.receive(
                self.process, message, on_reply
            ),
        )

    def receive(
        self,
        sender: "HostProcess",
        message: peers_model.Message,
        on_reply: ReplyCallback,
    ) -> None:
        name = sender.host.name
        if isinstance(message, peers_model.Heartbeat):
            now = self.process.timer.monotonic()
            self.peer_views[name] = peers_model.PeerView(message, now, True)
            for sighting in message.sightings:
                self.process.health.apply_sighting(sighting)
            return

        async def handle() -> None:
            reply = await self.handlers[type(message)](name, message)
            if on_reply is not None and reply is not None:
                self.process.world.transmit(
                    self.process, name, lambda _: on_reply(reply)
                )

        spawn(handle())


class FakeStore(store_standin.FakeObjectStore):
    """Access the store as one process; its pauses delay the answers."""

    def __init__(self, process: "HostProcess") -> None:
        super().__init__(core=process.world.core, timer=process.timer)
        self.process = process

    async def _await_result(self, call: Coroutine[Any, Any, Any]) -> Any:
        """Return the result of a call once the process receives it."""
        process, waiter = self.process, Waiter()
        # The store is in the region tallinn.
        self.reachable = not process.world.is_partitioned(
            process.region, "tallinn"
        )
        if process.gate.dead:
            # A dead process receives no results, so this never returns.
            await waiter.future
        result = await call
        # The answer takes 2 ms to arrive.
        self.process.world.loop.call_later(
            0.002, process.gate.post, waiter.resolve
        )
        await waiter.future
        if isinstance(result, Success):
            process.world.record_host_list(result.unwrap())
        return result

    async def get(self, key: str) -> Any:
        return await self._await_result(super().get(key))

    async def list(self, prefix: str) -> Any:
        return await self._await_result(super().list(prefix))

    async def watch(self, prefix: str, *, after: int, timeout_s: float) -> Any:
        call = super().watch(prefix, after=after, timeout_s=timeout_s)
        return await self._await_result(call)

    async def put(
        self, key: str, value: Mapping[str, Any], *, expected_revision: int
    ) -> Any:
        world = self.process.world
        if world.late_writes and world.rng.random() < 0.5:
            # The client times out after 1 s; the write takes effect before or
            # after that.
            world.loop.call_later(
                world.rng.uniform(0.5, 5.0),
                lambda: self.core.put(key, value, expected_revision),
            )
            await self.timer.sleep(1.0)
            code = result_codes.ResultCode.STORE_OUTCOME_UNKNOWN
            return Failure(result_codes.Refusal(code, key))
        call = super().put(key, value, expected_revision=expected_revision)
        return await self._await_result(call)


def make_failure(kind: FailureKind) -> Failure[backend_model.BackendFailure]:
    """Return the failure of an attempt."""
    return Failure(backend_model.BackendFailure(kind, kind.value))


class FakeBackendClient(backend_client.BackendClient):
    """Send requests to the simulated backend servers."""

    def __init__(self, process: "HostProcess") -> None:
        self.process = process

    async def send(
        self, request: backend_model.BackendRequest
    ) -> Result[core.Answer, backend_model.BackendFailure]:
        process, waiter = self.process, Waiter()
        if request.deadline_at_s <= process.timer.monotonic():
            return make_failure(FailureKind.NOT_SENT)
        server = process.world.servers[request.server.name]
        cancel = server.submit(process, request, waiter.resolve)
        process.timer.call_at(
            when_s=request.deadline_at_s,
            callback=lambda: waiter.resolve(make_failure(FailureKind.TIMEOUT)),
        )
        result: Result[core.Answer, backend_model.BackendFailure] | None = None
        try:
            result = await waiter.future
            return result
        finally:
            if not isinstance(result, Success):
                cancel()

    async def probe(
        self, server: core.BackendServer, health_path: str, *, timeout_s: float
    ) -> Result[backend_model.HealthReport, backend_model.BackendFailure]:
        del health_path
        process, waiter = self.process, Waiter()
        process.world.servers[server.name].probe(process, waiter.resolve)
        process.timer.call_at(
            when_s=process.timer.monotonic() + timeout_s,
            callback=lambda: waiter.resolve(make_failure(FailureKind.TIMEOUT)),
        )
        result: Result[backend_model.HealthReport, Any] = await waiter.future
        return result


class HostProcess(entry_host.EntryHostProcess):
    """Run one incarnation of an entry host in the simulation.

    Sets the attributes of EntryHostProcess itself, since the initialization of
    that class binds sockets.
    """

    def __init__(
        self,
        world: "world_module.World",
        name: str,
        zone: str,
        start_number: int,
    ) -> None:
        self.world = world
        self.gate = kernel.Gate(world.loop)
        self.rng = random.Random(world.rng.getrandbits(64))
        # The clock is up to 0.4 % fast or slow, so that two clocks differ by
        # less than MAX_CLOCK_DRIFT, and has an origin of its own.
        rate, origin_s = self.rng.uniform(0.996, 1.004), 1e4 * start_number
        self.timer: Any = kernel.ProcessTimer(self.gate, rate, origin_s)
        host = builders.make_host(name, zone=zone)
        self.host = host._replace(incarnation=f"{name}#{start_number}")
        self.region = host.zone.region
        # Addresses, ports and URLs are not used.
        self.settings = settings.EntryHostSettings(
            *(name, zone, self.region, "", "", (0, 0, 0), 0, 0, "", "c"),
            *(SECRET, (), SEAT_LEASE_S, LOOKUP_KEEP_S, 1.0, "ERROR"),
        )
        self.started_at_s = self.timer.monotonic()
        self.metrics = METRICS
        self.lag = loop_lag.LoopLagMonitor(timer_service=self.timer)
        self.state = core.EntryHostState.STARTING
        self.refusing_new_work = False
        self.last_known_hosts = {}
        self.stop_requested = asyncio.Event()
        self.tasks = set()
        # Whether the listeners accept connections of callers.
        self.accepting = True
        listener = mock.MagicMock(close=mock.AsyncMock())
        listener.stop_accepting = lambda: setattr(self, "accepting", False)
        self.listeners = [listener]
        self.issuer = tokens.TokenIssuer(secret=SECRET, timer=self.timer)
        self.exchanges: dict[Connection, exchange.CallerExchange] = {}
        self.fake_mesh = FakeMesh(self)
        self.peer_socket = mock.MagicMock()
        operator = mock.MagicMock(stop=mock.AsyncMock())
        with (
            mock.patch.object(
                io_http_store, "HttpObjectStore", lambda **_: FakeStore(self)
            ),
            mock.patch.object(
                io_mesh, "WebsocketMesh", lambda **_: self.fake_mesh
            ),
            mock.patch.object(
                io_client,
                "HttpBackendClient",
                lambda **_: FakeBackendClient(self),
            ),
            mock.patch.object(
                io_operator, "OperatorServer", lambda **_: operator
            ),
        ):
            self._build_state()
            self._build_serving()

    async def run_until_stopped(self) -> None:
        """Start the components, as run() does, and stop when requested."""
        self.lag.start()
        self.timer.subscribe(
            interval_s=const.HEARTBEAT_INTERVAL_S,
            callback=self.fake_mesh.send_heartbeat,
        )
        for component in (self.sync, self.host_list, self.seats):
            self._spawn(component.run())
        self.prober.start()
        self._spawn(self._become_serving())
        await self.stop_requested.wait()
        await self._stop()
        if not self.gate.dead:
            self.world.end_process(self, planned=True)

    def _on_catalogue(self) -> None:
        super()._on_catalogue()
        self.record_state()

    def record_state(self) -> None:
        """Record the position, the entries and the limits in force."""
        quota_limits = limits.quota_limits(self.catalogue.view)
        objects = self.catalogue.delta_since(0).objects
        state = record.HostState(
            self.world.now(),
            self.host.incarnation,
            self.catalogue.position,
            {item.key: item.revision for item in objects},
            {key: limit.limit for key, limit in quota_limits.items()},
        )
        previous = self.world.latest_states.get(state.host)
        if previous is None or previous[1:] != state[1:]:
            self.world.latest_states[state.host] = state
            self.world.history.states.append(state)

    def receive_request(
        self,
        connection: Connection,
        start_line: httputil.RequestStartLine,
        headers: Mapping[str, str],
        rank: core.Rank,
    ) -> None:
        """Handle a caller's request that has been received completely."""
        if not self.accepting:
            connection.reply(None)
            return
        caller_exchange = exchange.CallerExchange(
            service=self.service, rank=rank, connection=connection
        )
        self.exchanges[connection] = caller_exchange
        caller_exchange.headers_received(
            start_line, httputil.HTTPHeaders(dict(headers))
        )
        if connection.work_id:
            caller_exchange.data_received(connection.work_id.encode())
        caller_exchange.finish()
