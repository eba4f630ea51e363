"""Connect entry hosts by websockets."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import itertools
import logging
import random
import socket
from typing import Any
from urllib import parse

from returns.result import Failure
from returns.result import Result
from returns.result import Success
from websockets.asyncio import client
from websockets.asyncio import connection as ws_connection
from websockets.asyncio import server
from websockets import exceptions

from samphirelug.components.metrics import registry
from samphirelug.components.peers import auth
from samphirelug.components.peers import codec
from samphirelug.components.peers import const
from samphirelug.components.peers import io_connection
from samphirelug.components.peers import io_handshake
from samphirelug.components.peers import membership as peer_membership
from samphirelug.components.peers import mesh
from samphirelug.components.peers import model
from samphirelug.components.peers import relay as peer_relay
from samphirelug.components.peers import topology
from samphirelug import const as shared_const
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

_LOG = logging.getLogger(__name__)
_Code = result_codes.ResultCode
_HANDSHAKE = (model.Challenge, model.Hello, model.Welcome)
# Sent with a normal closure when the pair already has a connection.
_DUPLICATE = "duplicate connection"
# Tells a process that its host name has been taken over by a later start.
_SUPERSEDED = "incarnation superseded"
_TRANSPORT_ERRORS = (OSError, exceptions.WebSocketException, TimeoutError)


class WebsocketMesh(mesh.PeerMesh):
    """Keep one connection to each wanted peer and pass messages."""

    def __init__(
        self,
        *,
        host: core.EntryHost,
        secret: str,
        cluster: str,
        seeds: Iterable[str],
        timer: timer_helper.TimerService,
        heartbeat: Callable[[], model.Heartbeat],
        rng: random.Random | None = None,
        metrics: registry.Metrics | None = None,
        sock: socket.socket | None = None,
    ) -> None:
        self.host = host
        self.timer = timer
        self.heartbeat = heartbeat
        # Only jitter and test nonces come from here.
        self.rng = rng if rng is not None else random.Random()
        self.metrics = metrics
        self.sock = sock
        self.handshake = io_handshake.Handshake(
            host=host,
            timer=timer,
            authenticator=auth.JoinAuthenticator(
                secret=secret, cluster=cluster, host=host, timer=timer
            ),
        )
        self.membership = peer_membership.Membership(own=host)
        self.seeds = {url: "" for url in seeds if url != host.peer_url}
        self.connections: dict[str, io_connection.PeerConnection] = {}
        self.on_members: list[Callable[[], None]] = []
        # Called when a peer has seen a later start under this host's name.
        self.on_superseded: list[Callable[[], None]] = []
        self._live_peers: tuple[float, tuple[model.PeerView, ...]] = (
            float("-inf"),
            (),
        )
        self._planned: topology.Plan | None = None
        self._planned_at_s = float("-inf")
        # Members that the plan was made from.
        self._planned_for: tuple[int, frozenset[str]] | None = None
        self.relay = peer_relay.Relay(own=host)
        self._handlers: dict[type, mesh.Handler] = {}
        self._pending: dict[int, io_connection.PendingRequest] = {}
        self._ids = itertools.count(1)
        self._dialers: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._handling = 0
        self._unjoined = 0
        # Hosts that a dialled handshake is under way with; a setting and the
        # host list may name the same one.
        self._greeting: set[str] = set()
        # Hosts dialled for a request, by when the connection may close.
        self._on_demand: dict[str, float] = {}
        self._connected: dict[str, asyncio.Event] = {}
        self._subscription: timer_helper.Subscription | None = None
        self._relay_subscription: timer_helper.Subscription | None = None
        self._server: server.Server | None = None
        self._last_heartbeat_s = float("-inf")
        # Heartbeat whose amounts were sent last.
        self._amounts_of: model.Heartbeat | None = None
        self._amounts_at_s = float("-inf")
        self._early: timer_helper.Subscription | None = None
        self._stopped = False

    async def start(self) -> None:
        """Listen and begin to dial; OSError if the address is taken."""
        address = parse.urlsplit(self.host.peer_url)
        where: dict[str, Any] = (
            {"sock": self.sock}
            if self.sock is not None
            else {"host": address.hostname, "port": address.port}
        )
        self._server = await server.serve(
            self._accept,
            **where,
            max_size=shared_const.MAX_PEER_MESSAGE_BYTES,
            # Frames read ahead; more only use memory, since the reader
            # handles one frame at a time.
            max_queue=2,
            compression=None,
            ping_interval=None,
            close_timeout=const.CLOSE_S,
        )
        self._subscription = self.timer.subscribe(
            interval_s=shared_const.HEARTBEAT_INTERVAL_S, callback=self._tick
        )
        self._relay_subscription = self.timer.subscribe(
            interval_s=const.RELAY_TICK_S, callback=self._tick_relay
        )
        self._update_dialers()

    async def stop(self) -> None:
        """Close all connections and the listener."""
        self._stopped = True
        for subscription in (self._subscription, self._relay_subscription):
            if subscription is not None:
                subscription.cancel()
        transports = [
            connection.websocket.transport
            for connection in self.connections.values()
        ]
        abort = self.timer.call_at(
            when_s=self.timer.monotonic() + const.CLOSE_S,
            callback=lambda: _abort(transports),
        )
        tasks = [*self._dialers.values(), *self._tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        abort.cancel()
        for pending in self._pending.values():
            pending.finish(None)

    def set_known_hosts(self, hosts: Iterable[core.EntryHost]) -> None:
        """Replace the hosts that the platform's list names."""
        self.membership.set_listed(hosts, now=self.timer.monotonic())
        self._planned_at_s = float("-inf")
        self._update_dialers()

    def is_watcher(self) -> bool:
        """Tell whether this host is a watcher of its zone now."""
        now = self.timer.monotonic()
        if not self._mesh_is_full():
            plan = self._plan(now)
            if plan.zones:
                zone = self.host.zone.name
                return self.host.name in plan.watchers_in(zone)
        return topology.is_watcher(
            self.host, self.membership.zone_members(now=now)
        )

    def live_peers(self) -> tuple[model.PeerView, ...]:
        """Return the peers heard within PEER_TIMEOUT_S.

        Above the full mesh, also the few hosts of each other zone that its
        summary names, without headroom; they are not connected.
        """
        now = self.timer.monotonic()
        kept_until_s, views = self._live_peers
        if now >= kept_until_s:
            views = self._view_peers(now)
            self._live_peers = (now + const.LIVE_PEERS_KEEP_S, views)
        return views

    def _view_peers(self, now: float) -> tuple[model.PeerView, ...]:
        heard = tuple(
            model.PeerView(
                heartbeat=member.heartbeat,
                heard_at_s=member.heard_at_s,
                connected=member.host.name in self.connections,
            )
            for member in self.membership.live(now=now)
            if member.heartbeat is not None and member.heard_at_s is not None
        )
        if self._mesh_is_full():
            return heard
        names = {view.heartbeat.host.name for view in heard}
        return heard + tuple(
            model.PeerView(heartbeat=beat, heard_at_s=now, connected=False)
            for beat in self.relay.far_hosts(now=now)
            if beat.host.name not in names
        )

    async def request(
        self, host: str, message: model.Message, *, timeout_s: float
    ) -> Result[model.Message, result_codes.Refusal]:
        """Send a message and return its answer.

        Fails with PEER_UNREACHABLE when no answer came in time, and with
        PEER_MESSAGE_TOO_LARGE. A known host without a connection is dialled.
        """
        message_id = next(self._ids)
        try:
            frame = codec.encode(message, message_id=message_id)
        except ValueError as error:
            return _refuse(_Code.PEER_MESSAGE_TOO_LARGE, str(error))
        pending = io_connection.PendingRequest(
            host=host, future=asyncio.get_running_loop().create_future()
        )
        self._pending[message_id] = pending
        expiry = self.timer.call_at(
            when_s=self.timer.monotonic() + timeout_s,
            callback=lambda: pending.finish(None),
        )
        try:
            if not await self._reach(host, pending):
                return _refuse(_Code.PEER_UNREACHABLE, f"no link to {host}")
            self.connections[host].put(frame)
            reply = await pending.future
        finally:
            expiry.cancel()
            del self._pending[message_id]
        if reply is None:
            return _refuse(_Code.PEER_UNREACHABLE, f"no reply from {host}")
        return Success(reply)

    def send(self, host: str, message: model.Message) -> None:
        """Send a message without an answer, if the peer is connected."""
        connection = self.connections.get(host)
        if connection is not None:
            self._put([connection], message)

    def broadcast(self, message: model.Message) -> None:
        """Send a message to all connected peers; a sighting, to all hosts."""
        if isinstance(message, model.Sighting) and not self._mesh_is_full():
            self.relay.originate(message, now=self.timer.monotonic())
            return
        self._put(self.connections.values(), message)

    def set_handler(self, kind: type, handler: mesh.Handler) -> None:
        """Call the handler for each received message of the type."""
        self._handlers[kind] = handler

    def heartbeat_now(self) -> None:
        """Send a heartbeat early, such as for a changed state or position."""
        now = self.timer.monotonic()
        due_s = self._last_heartbeat_s + const.HEARTBEAT_MIN_INTERVAL_S
        if now < due_s:
            if self._early is None and not self._stopped:
                self._early = self.timer.call_at(
                    when_s=due_s, callback=self._send_early
                )
            return
        self._last_heartbeat_s = now
        beat = self._thin_out(self.heartbeat(), now)
        for connection in self.connections.values():
            connection.put_heartbeat(beat)

    def _thin_out(self, beat: model.Heartbeat, now: float) -> model.Heartbeat:
        """Repeat the last amounts until new ones are due."""
        last = self._amounts_of
        due_s = self._amounts_at_s + const.AMOUNTS_INTERVAL_S
        if last is None or now >= due_s or self._mesh_is_full():
            self._amounts_of, self._amounts_at_s = beat, now
            return beat
        return beat._replace(
            headroom=last.headroom, queued=last.queued, wait_s=last.wait_s
        )

    def _send_early(self) -> None:
        self._early = None
        if not self._stopped:
            self.heartbeat_now()

    def _tick(self) -> None:
        now = self.timer.monotonic()
        self.heartbeat_now()
        for connection in tuple(self.connections.values()):
            if now - connection.received_at_s > const.SILENT_CONNECTION_S:
                self._drop(connection, 1001, "silent")
        self.membership.forget(now=now)
        self._update_dialers()

    def _tick_relay(self) -> None:
        if self._mesh_is_full():
            return
        now = self.timer.monotonic()
        plan = self._plan(now)
        own_zone = self.host.zone.name
        own_watchers = plan.watchers_in(own_zone) or (self.host.name,)
        watcher = self.host.name in own_watchers
        carriers, others = [], []
        for name, connection in self.connections.items():
            zone = connection.host.zone.name
            watchers = plan.watchers_in(zone)
            if name in watchers[:1]:
                carriers.append(name)
            elif name in watchers or (zone == own_zone and watcher):
                others.append(name)
        first = own_watchers[0] == self.host.name
        self.relay.set_peers(
            watcher=watcher, carrier=first, carriers=carriers, others=others
        )
        for outgoing in self.relay.tick(
            own=self.heartbeat(),
            zone=(
                beat
                for member in self.membership.live(now=now)
                if member.host.zone.name == own_zone
                and (beat := member.heartbeat) is not None
            ),
            first_watcher=first,
            now=now,
        ):
            self.send(outgoing.peer, outgoing.message)

    def _relay_in(self, name: str, message: model.Message) -> None:
        """Give a relayed message to the relay and its news to handlers."""
        now = self.timer.monotonic()
        if isinstance(message, model.Heartbeat):
            # Handlers of heartbeats see the sightings in it anyway.
            if not self._mesh_is_full():
                self.relay.heard(message, now=now)
        elif isinstance(message, model.Relayed):
            for sighting in self.relay.receive(name, message, now=now):
                self._dispatch(name, model.Frame(sighting))

    def _put(
        self,
        connections: Iterable[io_connection.PeerConnection],
        message: model.Message,
    ) -> None:
        try:
            frame = codec.encode(message)
        except ValueError as error:
            _LOG.error("Peer message not sent: %s", error)
            self._count(type(message).__name__, "too_large")
            return
        for connection in connections:
            connection.put(frame)

    async def _reach(
        self, host: str, pending: io_connection.PendingRequest
    ) -> bool:
        if host in self.connections:
            if host in self._on_demand:
                self._keep_on_demand(host)
            return True
        member = self.membership.members.get(host)
        if member is None or not member.host.peer_url or self._stopped:
            return False
        self._keep_on_demand(host)
        self._update_dialers()
        event = self._connected.setdefault(host, asyncio.Event())
        connected = asyncio.ensure_future(event.wait())
        try:
            await asyncio.wait(
                (connected, pending.future),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            connected.cancel()
        return host in self.connections

    def _keep_on_demand(self, host: str) -> None:
        self._on_demand[host] = self.timer.monotonic() + const.ON_DEMAND_IDLE_S

    # Dialling.

    def _wanted(self) -> frozenset[str]:
        now = self.timer.monotonic()
        self._on_demand = {
            name: until
            for name, until in self._on_demand.items()
            if until > now
        }
        if self._mesh_is_full():
            wanted = frozenset(self.membership.members)
        else:
            wanted = self._plan(now).wanted
        # A leaving host still hands over its outcomes.
        leaving = {
            name
            for name in self.connections
            if self.membership.state_of(name, now=now)
            is model.MemberState.LEAVING
        }
        return wanted | self._on_demand.keys() | leaving

    def _plan(self, now: float) -> topology.Plan:
        plan = self._planned
        if plan is None or now - self._planned_at_s >= const.PLAN_INTERVAL_S:
            members = (
                self.membership.version,
                self.membership.unavailable(now=now),
            )
            if plan is None or members != self._planned_for:
                plan = topology.make_plan(
                    topology.Node(self.host.name, self.host.zone),
                    self.membership.candidates(now=now),
                )
                self._planned, self._planned_for = plan, members
            self._planned_at_s = now
        return plan

    def _update_dialers(self) -> None:
        if self._stopped or self._subscription is None:
            return
        wanted = self._wanted()
        # Above the full mesh, settings only help to find the first hosts.
        bootstrap = self._mesh_is_full() or not self.connections
        for name in wanted - self._dialers.keys():
            self._dialers[name] = self._spawn(self._keep_dialled(name))
        for url in self.seeds if bootstrap else ():
            if url not in self._dialers:
                self._dialers[url] = self._spawn(self._keep_seed(url))
        for key in self._dialers.keys() - wanted:
            if key in self.seeds and bootstrap:
                continue
            self._dialers.pop(key).cancel()
            connection = self.connections.get(key)
            if connection is not None and connection.dialled:
                self._drop(connection, 1000, "not wanted")

    def _mesh_is_full(self) -> bool:
        known = len(self.membership.members) + 1
        return known <= const.FULL_MESH_MAX_HOSTS

    async def _keep_dialled(self, name: str) -> None:
        if self.host.name > name and name not in self._on_demand:
            await self.timer.sleep(
                const.SECOND_DIAL_DELAY_S * (1 + self.rng.random())
            )
        delay_s = const.RECONNECT_MIN_S
        while True:
            if name not in self.connections:
                member = self.membership.members.get(name)
                url = member.host.peer_url if member is not None else ""
                if url and await self._dial(url, name):
                    delay_s = const.RECONNECT_MIN_S
                elif name not in self.connections:
                    self.membership.unreachable(
                        name, now=self.timer.monotonic()
                    )
                    delay_s = min(2 * delay_s, const.RECONNECT_MAX_S)
            await self.timer.sleep(delay_s * (0.5 + self.rng.random()))

    async def _keep_seed(self, url: str) -> None:
        delay_s = const.RECONNECT_MIN_S
        while self.seeds[url] != self.host.name:
            if self.seeds[url] not in self.connections and not (
                await self._dial(url, "")
            ):
                delay_s = min(2 * delay_s, const.RECONNECT_MAX_S)
            else:
                delay_s = const.RECONNECT_MIN_S
            await self.timer.sleep(delay_s * (0.5 + self.rng.random()))

    async def _dial(self, url: str, name: str) -> bool:
        """Serve one connection until it ends; False if it never joined."""
        try:
            websocket = await client.connect(
                url,
                max_size=shared_const.MAX_PEER_MESSAGE_BYTES,
                max_queue=2,
                compression=None,
                proxy=None,
                open_timeout=const.JOIN_VALID_S,
                ping_interval=None,
                close_timeout=const.CLOSE_S,
            )
        except (*_TRANSPORT_ERRORS, ValueError) as error:
            _LOG.debug("Peer %s not reached: %s", url, error)
            return False
        try:
            with self.handshake.join_deadline(websocket):
                host = await self._greet(websocket, url=url, name=name)
            if host is None:
                return True
            return await self._serve(websocket, host, dialled=True)
        except io_handshake.TurnedAwayError as error:
            await self._turn_away(websocket, error.refusal, url)
        except exceptions.ConnectionClosed as closed:
            _LOG.warning("Peer %s ended the handshake: %s", url, closed)
            if closed.rcvd is not None and closed.rcvd.reason == _DUPLICATE:
                return True
            self._note_superseded(closed)
        finally:
            await websocket.close()
        return False

    async def _greet(
        self, websocket: ws_connection.Connection, *, url: str, name: str
    ) -> core.EntryHost | None:
        """Join as the client; None where the pair is connected already."""
        challenge = await io_handshake.receive(websocket, model.Challenge)
        if url in self.seeds:
            self.seeds[url] = challenge.host
        if (
            challenge.host == self.host.name
            or challenge.host in self.connections
            or challenge.host in self._greeting
        ):
            return None
        if name and challenge.host != name:
            raise io_handshake.TurnedAwayError(
                result_codes.Refusal(
                    _Code.PEER_UNAUTHENTICATED,
                    f"dialled {name}, reached {challenge.host}",
                )
            )
        protocol = min(const.PROTOCOL_MAX, challenge.protocol_max)
        if protocol < max(const.PROTOCOL_MIN, challenge.protocol_min):
            raise io_handshake.TurnedAwayError(
                io_handshake.version_refusal(challenge.protocol_max)
            )
        self._greeting.add(challenge.host)
        try:
            return await self.handshake.prove(websocket, challenge, protocol)
        finally:
            self._greeting.discard(challenge.host)

    # Accepting.

    async def _accept(self, websocket: server.ServerConnection) -> None:
        where = str(websocket.remote_address)
        if self._unjoined >= const.MAX_UNJOINED_CONNECTIONS:
            await websocket.close(1013, "too many handshakes")
            return
        self._unjoined += 1
        try:
            with self.handshake.join_deadline(websocket):
                host = await self.handshake.admit(websocket)
        except io_handshake.TurnedAwayError as error:
            await self._turn_away(websocket, error.refusal, where)
            return
        except exceptions.ConnectionClosed:
            return
        finally:
            self._unjoined -= 1
        await self._serve(websocket, host, dialled=False)

    async def _turn_away(
        self,
        websocket: ws_connection.Connection,
        refusal: result_codes.Refusal,
        where: str,
    ) -> None:
        _LOG.warning("Peer %s turned away: %s", where, refusal.detail)
        self._count("Hello", refusal.code.name.lower())
        # Result codes from 4000 are private websocket close codes too.
        await websocket.close(int(refusal.code), refusal.detail[:100])

    # Joined connections.

    async def _serve(
        self,
        websocket: ws_connection.Connection,
        host: core.EntryHost,
        *,
        dialled: bool,
    ) -> bool:
        """Run a joined connection until it ends; False if not accepted."""
        now = self.timer.monotonic()
        if not self.membership.joined(host, now=now):
            await self._turn_away(
                websocket,
                result_codes.Refusal(
                    _Code.PEER_UNAUTHENTICATED,
                    _SUPERSEDED,
                ),
                host.name,
            )
            return False
        connection = io_connection.PeerConnection(
            websocket=websocket, host=host, dialled=dialled, now=now
        )
        if not self._register(connection):
            await websocket.close(1000, _DUPLICATE)
            return True
        writer = self._spawn(connection.write())
        try:
            await self._read(connection)
        except exceptions.ConnectionClosed as closed:
            self._note_superseded(closed)
        finally:
            writer.cancel()
            self._unregister(connection)
            await websocket.close()
        return True

    def _note_superseded(self, closed: exceptions.ConnectionClosed) -> None:
        if closed.rcvd is None or closed.rcvd.reason != _SUPERSEDED:
            return
        _LOG.error("A later start has taken over the name %s", self.host.name)
        for callback in self.on_superseded:
            callback()

    def _register(self, connection: io_connection.PeerConnection) -> bool:
        """Take the connection as the pair's only one, unless it loses.

        Both ends keep the one that the smaller name dialled; of two that
        the same host dialled, the newer one, whose handshake is fresh.
        """
        name = connection.host.name
        old = self.connections.get(name)
        if old is not None:
            same = old.host.incarnation == connection.host.incarnation
            if same and old.dialled != connection.dialled:
                keeper = self.host.name < name
                if connection.dialled is not keeper:
                    return False
            self._drop(old, 1000, _DUPLICATE)
        self.connections[name] = connection
        if event := self._connected.pop(name, None):
            event.set()
        connection.put_heartbeat(self.heartbeat())
        self._announce(connection)
        self._update_dialers()
        self._members_changed()
        return True

    def _unregister(self, connection: io_connection.PeerConnection) -> None:
        name = connection.host.name
        if self.connections.get(name) is not connection:
            return
        del self.connections[name]
        for pending in self._pending.values():
            if pending.host == name:
                pending.finish(None)
        self._members_changed()

    def _drop(
        self, connection: io_connection.PeerConnection, code: int, reason: str
    ) -> None:
        self._spawn(connection.websocket.close(code, reason))

    def _announce(self, connection: io_connection.PeerConnection) -> None:
        """Tell peers of each other, so that one setting joins a host."""
        if not self._mesh_is_full():
            return
        hosts = tuple(
            other.host
            for other in self.connections.values()
            if other is not connection
        )
        self._put([connection], model.KnownHosts(hosts))
        others = [
            other
            for other in self.connections.values()
            if other is not connection
        ]
        self._put(others, model.KnownHosts((connection.host,)))

    def _forget_views(self) -> None:
        self._live_peers = (float("-inf"), ())

    def _members_changed(self) -> None:
        self._forget_views()
        for callback in self.on_members:
            callback()

    async def _read(self, connection: io_connection.PeerConnection) -> None:
        async for data in connection.websocket:
            connection.received_at_s = self.timer.monotonic()
            if isinstance(data, str):
                refusal = result_codes.Refusal(
                    _Code.PEER_MESSAGE_INVALID, "text frame"
                )
            else:
                match connection.decoder.decode(data):
                    case Success(codec.UnknownType(name)):
                        # Label values from peers would be unbounded.
                        _LOG.info("Unknown peer message type %s", name)
                        self._count("unknown", "ignored")
                        continue
                    case Success(model.Frame() as frame):
                        refused = self._handle(connection, frame)
                        if refused is None:
                            continue
                        refusal = refused
                    case Failure(result_codes.Refusal() as invalid):
                        refusal = invalid
            self._count("invalid", refusal.code.name.lower())
            _LOG.warning(
                "Connection to %s closed: %s",
                connection.host.name,
                refusal.detail,
            )
            await connection.websocket.close(
                int(refusal.code), refusal.detail[:100]
            )
            return

    def _handle(
        self, connection: io_connection.PeerConnection, frame: model.Frame
    ) -> result_codes.Refusal | None:
        """Act on a frame; a refusal closes the connection."""
        message = frame.message
        name = connection.host.name
        if isinstance(message, _HANDSHAKE):
            return result_codes.Refusal(
                _Code.PEER_MESSAGE_INVALID, "handshake after joining"
            )
        self._count(type(message).__name__, "ok")
        if frame.reply_to is not None:
            pending = self._pending.get(frame.reply_to)
            # Ids are per process, so a peer can only answer its own.
            if pending is not None and pending.host == name:
                pending.finish(message)
            return None
        now = self.timer.monotonic()
        if isinstance(message, model.Heartbeat):
            if message.host != connection.host:
                return result_codes.Refusal(
                    _Code.PEER_MESSAGE_INVALID, "heartbeat of another host"
                )
            last = self.membership.members[name].heartbeat
            if not self.membership.record_heartbeat(message, now=now):
                return None
            if last is None or last.state is not message.state:
                self._forget_views()
        elif isinstance(message, model.KnownHosts):
            self._learn(message)
        self._relay_in(name, message)
        self._dispatch(name, frame)
        return None

    def _dispatch(self, name: str, frame: model.Frame) -> None:
        handler = self._handlers.get(type(frame.message))
        if handler is None:
            return
        if self._handling >= const.MAX_REQUESTS_HANDLED:
            self._count(type(frame.message).__name__, "dropped")
            return
        # Counted here, since a burst arrives before the tasks run.
        self._handling += 1
        self._spawn(self._run_handler(handler, name, frame))

    def _learn(self, message: model.KnownHosts) -> None:
        if not self._mesh_is_full():
            return
        now = self.timer.monotonic()
        for host in message.hosts:
            self.membership.add(host, now=now)
        self._update_dialers()

    async def _run_handler(
        self, handler: mesh.Handler, name: str, frame: model.Frame
    ) -> None:
        try:
            reply = await handler(name, frame.message)
        except Exception:
            _LOG.exception("Handler of a message from %s failed", name)
            self._count(type(frame.message).__name__, "handler_failed")
            return
        finally:
            self._handling -= 1
        # The peer may have reconnected while the handler ran.
        connection = self.connections.get(name)
        if reply is None or frame.message_id is None or connection is None:
            return
        try:
            connection.put(codec.encode(reply, reply_to=frame.message_id))
        except ValueError as error:
            _LOG.error("Reply to %s not sent: %s", name, error)
            self._count(type(reply).__name__, "too_large")

    def _spawn(self, coroutine: Any) -> "asyncio.Task[Any]":
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    def _finished(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        if not isinstance(error, _TRANSPORT_ERRORS):
            _LOG.error("Peer task failed", exc_info=error)

    def _count(self, kind: str, outcome: str) -> None:
        if self.metrics is not None:
            self.metrics.count_peer_message(kind, outcome)


def _abort(transports: Iterable[asyncio.Transport]) -> None:
    for transport in transports:
        transport.abort()


def _refuse(
    code: result_codes.ResultCode, detail: str
) -> Result[Any, result_codes.Refusal]:
    return Failure(result_codes.Refusal(code, detail))
