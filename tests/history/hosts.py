"""Run the real entry host on virtual time with fakes at its interfaces."""

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

METRICS = registry.Metrics()
SECRET = "a secret of the test cluster"
LEASE_S = 8.0
KEEP_S = 3.0
Answered = Callable[[peers_model.Message | None], None] | None
TASKS: set[asyncio.Task[Any]] = set()


def spawn(work: Coroutine[Any, Any, Any]) -> None:
    """Run a coroutine; the run cancels what is left at its end."""
    task = asyncio.get_running_loop().create_task(work)
    TASKS.add(task)
    task.add_done_callback(TASKS.discard)


class Waiter:
    """Wait for the first of several results."""

    def __init__(self) -> None:
        self.done = asyncio.get_running_loop().create_future()

    def resolve(self, result: Any = None) -> None:
        if not self.done.done():
            self.done.set_result(result)


class Connection(httputil.HTTPConnection):
    """Hand the reply of one exchange to the caller, unless it is lost."""

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
            self.process.calls.pop(self, None)
            text = (chunk or b"").decode()
            good = start_line.code == 200
            self.reply(0 if good else json.loads(text)["code"], text)
        return asyncio.get_running_loop().create_future()

    def finish(self) -> None:
        pass

    def reply(self, code: int | None, body: str = "") -> None:
        """Give the caller a reply, or None for a lost connection."""
        world = self.process.world
        name = self.process.host.incarnation
        reply = record.Reply(
            world.now(), self.work_id, self.token, name, code, body
        )
        if self.work_id and code is not None:
            world.history.replies.append(reply)
        self.waiter.resolve(reply)


class Mesh(peers_mesh.PeerMesh):
    """Send messages over the world's network."""

    def __init__(self, process: "HostProcess") -> None:
        self.process = process
        self.handlers: dict[type, peers_mesh.Handler] = {}
        self.views: dict[str, peers_model.PeerView] = {}
        self.on_superseded: list[Callable[[], None]] = []
        self.early = False

    async def stop(self) -> None:
        pass

    def is_watcher(self) -> bool:
        return self.process.sync.is_watcher()

    def set_known_hosts(self, hosts: Iterable[core.EntryHost]) -> None:
        """Ignore the host list; every host knows all others."""

    def heartbeat_now(self) -> None:
        if not self.early:
            self.early = True
            timer = self.process.timer
            timer.call_at(when_s=timer.monotonic() + 0.02, callback=self.beat)

    def live_peers(self) -> tuple[peers_model.PeerView, ...]:
        since_s = self.process.timer.monotonic() - const.PEER_TIMEOUT_S
        views = self.views.values()
        return tuple(view for view in views if view.heard_at_s >= since_s)

    async def request(
        self, host: str, message: peers_model.Message, *, timeout_s: float
    ) -> Result[peers_model.Message, result_codes.Refusal]:
        waiter = Waiter()
        self.transmit(host, message, waiter.resolve)
        timer = self.process.timer
        when_s = timer.monotonic() + timeout_s
        timer.call_at(when_s=when_s, callback=waiter.resolve)
        reply = await waiter.done
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

    def beat(self) -> None:
        self.early = False
        self.process.note_state()
        self.broadcast(self.process.heartbeat())

    def transmit(
        self, name: str, message: peers_model.Message, answered: Answered
    ) -> None:
        self.process.world.transmit(
            self.process,
            name,
            lambda peer: peer.net.receive(self.process, message, answered),
        )

    def receive(
        self,
        sender: "HostProcess",
        message: peers_model.Message,
        answered: Answered,
    ) -> None:
        name = sender.host.name
        if isinstance(message, peers_model.Heartbeat):
            now = self.process.timer.monotonic()
            self.views[name] = peers_model.PeerView(message, now, True)
            for sighting in message.sightings:
                self.process.health.apply_sighting(sighting)
            return

        async def handle() -> None:
            reply = await self.handlers[type(message)](name, message)
            if answered is not None and reply is not None:
                self.process.world.transmit(
                    self.process, name, lambda _: answered(reply)
                )

        spawn(handle())


class Store(store_standin.FakeObjectStore):
    """Give one process's view of the store; answers wait for the process."""

    def __init__(self, process: "HostProcess") -> None:
        super().__init__(core=process.world.core, timer=process.timer)
        self.process = process

    async def _gated(self, call: Coroutine[Any, Any, Any]) -> Any:
        process, waiter = self.process, Waiter()
        self.reachable = not process.world.is_cut(process.region, "tallinn")
        if process.gate.dead:
            await waiter.done
        result = await call
        self.process.world.loop.call_later(
            0.002, process.gate.post, waiter.resolve
        )
        await waiter.done
        if isinstance(result, Success):
            process.world.saw_store(result.unwrap())
        return result

    async def get(self, key: str) -> Any:
        return await self._gated(super().get(key))

    async def list(self, prefix: str) -> Any:
        return await self._gated(super().list(prefix))

    async def watch(self, prefix: str, *, after: int, timeout_s: float) -> Any:
        call = super().watch(prefix, after=after, timeout_s=timeout_s)
        return await self._gated(call)

    async def put(
        self, key: str, value: Mapping[str, Any], *, expected_revision: int
    ) -> Any:
        world = self.process.world
        if world.late_writes and world.rng.random() < 0.5:
            # Takes effect after the caller has given up waiting.
            world.loop.call_later(
                world.rng.uniform(0.5, 5.0),
                lambda: self.core.put(key, value, expected_revision),
            )
            await self.timer.sleep(1.0)
            code = result_codes.ResultCode.STORE_OUTCOME_UNKNOWN
            return Failure(result_codes.Refusal(code, key))
        call = super().put(key, value, expected_revision=expected_revision)
        return await self._gated(call)


def failed(kind: FailureKind) -> Failure[backend_model.BackendFailure]:
    return Failure(backend_model.BackendFailure(kind, kind.value))


class Backend(backend_client.BackendClient):
    """Send requests to the world's servers."""

    def __init__(self, process: "HostProcess") -> None:
        self.process = process

    async def send(
        self, request: backend_model.BackendRequest
    ) -> Result[core.Answer, backend_model.BackendFailure]:
        process, waiter = self.process, Waiter()
        if request.deadline_at_s <= process.timer.monotonic():
            return failed(FailureKind.NOT_SENT)
        server = process.world.servers[request.server.name]
        cancel = server.submit(process, request, waiter.resolve)
        process.timer.call_at(
            when_s=request.deadline_at_s,
            callback=lambda: waiter.resolve(failed(FailureKind.TIMEOUT)),
        )
        result: Result[core.Answer, backend_model.BackendFailure] | None = None
        try:
            result = await waiter.done
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
            callback=lambda: waiter.resolve(failed(FailureKind.TIMEOUT)),
        )
        result: Result[backend_model.HealthReport, Any] = await waiter.done
        return result


class HostProcess(entry_host.EntryHostProcess):
    """Be one incarnation of an entry host."""

    def __init__(
        self, world: "world_module.World", name: str, zone: str, number: int
    ) -> None:
        self.world = world
        self.gate = kernel.Gate(world.loop)
        self.rng = random.Random(world.rng.getrandbits(64))
        rate, origin_s = self.rng.uniform(0.996, 1.004), 1e4 * number
        self.timer: Any = kernel.ProcessTimer(self.gate, rate, origin_s)
        host = builders.make_host(name, zone=zone)
        self.host = host._replace(incarnation=f"{name}#{number}")
        self.region = host.zone.region
        self.settings = settings.EntryHostSettings(
            *(name, zone, self.region, "", "", (0, 0, 0), 0, 0, "", "c"),
            *(SECRET, (), LEASE_S, KEEP_S, 1.0, "ERROR"),
        )
        self.started_at_s = self.timer.monotonic()
        self.metrics = METRICS
        self.lag = loop_lag.LoopLagMonitor(timer_service=self.timer)
        self.state = core.EntryHostState.STARTING
        self.refusing_new_work = False
        self.last_known_hosts = {}
        self.stop_requested = asyncio.Event()
        self.tasks = set()
        self.accepting = True
        listener = mock.MagicMock(close=mock.AsyncMock())
        listener.stop_accepting = lambda: setattr(self, "accepting", False)
        self.listeners = [listener]
        self.issuer = tokens.TokenIssuer(secret=SECRET, timer=self.timer)
        self.calls: dict[Connection, exchange.CallerExchange] = {}
        self.net = Mesh(self)
        self.peer_socket = mock.MagicMock()
        operator = mock.MagicMock(stop=mock.AsyncMock())
        with (
            mock.patch.object(
                io_http_store, "HttpObjectStore", lambda **_: Store(self)
            ),
            mock.patch.object(io_mesh, "WebsocketMesh", lambda **_: self.net),
            mock.patch.object(
                io_client, "HttpBackendClient", lambda **_: Backend(self)
            ),
            mock.patch.object(
                io_operator, "OperatorServer", lambda **_: operator
            ),
        ):
            self._build_state()
            self._build_serving()

    async def begin(self) -> None:
        """Start all parts, as run() does, and follow a planned stop."""
        self.lag.start()
        self.timer.subscribe(
            interval_s=const.HEARTBEAT_INTERVAL_S, callback=self.net.beat
        )
        for part in (self.sync, self.host_list, self.seats):
            self._spawn(part.run())
        self.prober.start()
        self._spawn(self._become_serving())
        await self.stop_requested.wait()
        await self._stop()
        if not self.gate.dead:
            self.world.ended(self, planned=True)

    def _on_catalogue(self) -> None:
        super()._on_catalogue()
        self.note_state()

    def note_state(self) -> None:
        """Record the position, the entries and the limits in use."""
        counts = limits.quota_limits(self.catalogue.view)
        objects = self.catalogue.delta_since(0).objects
        state = record.State(
            self.world.now(),
            self.host.incarnation,
            self.catalogue.position,
            {item.key: item.revision for item in objects},
            {key: limit.limit for key, limit in counts.items()},
        )
        former = self.world.states.get(state.host)
        if former is None or former[1:] != state[1:]:
            self.world.states[state.host] = state
            self.world.history.states.append(state)

    def open(
        self,
        connection: Connection,
        line: httputil.RequestStartLine,
        headers: Mapping[str, str],
        rank: core.Rank,
    ) -> None:
        """Take a caller's request that has arrived whole."""
        if not self.accepting:
            connection.reply(None)
            return
        handler = exchange.CallerExchange(
            service=self.service, rank=rank, connection=connection
        )
        self.calls[connection] = handler
        handler.headers_received(line, httputil.HTTPHeaders(dict(headers)))
        if connection.work_id:
            handler.data_received(connection.work_id.encode())
        handler.finish()
