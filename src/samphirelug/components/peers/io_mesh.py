"""Connect entry hosts to each other over websockets."""

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

_LOGGER = logging.getLogger(__name__)
_Code = result_codes.ResultCode
_HANDSHAKE = (model.Challenge, model.Hello, model.Welcome)
# Close reason if two hosts already have a connection to each other; peers
# match it.
_DUPLICATE = "duplicate connection"
# Close reason that tells a process that a process started later uses its host
# name; peers match it.
_SUPERSEDED = "incarnation superseded"
_TRANSPORT_ERRORS = (OSError, exceptions.WebSocketException, TimeoutError)


class WebsocketMesh(mesh.PeerMesh):
    """Maintain one connection to each chosen peer and exchange messages."""

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
        # Used for jitter only, so it need not be unpredictable.
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
        # Name of the host found at each seed URL; empty if not known yet.
        self.seeds = {url: "" for url in seeds if url != host.peer_url}
        self.connections: dict[str, io_connection.PeerConnection] = {}
        self.on_members_changed: list[Callable[[], None]] = []
        # Called when a peer reports that a process started later uses the name
        # of this host.
        self.on_superseded: list[Callable[[], None]] = []
        # Expiry time and result of the last live_peers().
        self._live_peers_cache: tuple[float, tuple[model.PeerView, ...]] = (
            float("-inf"),
            (),
        )
        self._cached_plan: topology.Plan | None = None
        self._plan_checked_at_s = float("-inf")
        # Version and unavailable hosts of the membership that the cached plan
        # was made from.
        self._plan_inputs: tuple[int, frozenset[str]] | None = None
        self.relay = peer_relay.Relay(own=host)
        self._handlers: dict[type, mesh.Handler] = {}
        self._pending: dict[int, io_connection.PendingRequest] = {}
        self._ids = itertools.count(1)
        self._dialers: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._running_handlers = 0
        self._pending_handshakes = 0
        # Hosts that this one dialled and whose handshake is in progress. A
        # seed URL and the host list may refer to the same host.
        self._handshakes_with: set[str] = set()
        # Time when the connection to a host dialled for a request may be
        # closed, by host.
        self._on_demand: dict[str, float] = {}
        self._connected_events: dict[str, asyncio.Event] = {}
        self._subscription: timer_helper.Subscription | None = None
        self._relay_subscription: timer_helper.Subscription | None = None
        self._server: server.Server | None = None
        self._last_heartbeat_at_s = float("-inf")
        # Heartbeat whose amounts were last sent to the peers.
        self._amounts_heartbeat: model.Heartbeat | None = None
        self._amounts_at_s = float("-inf")
        self._early_heartbeat: timer_helper.Subscription | None = None
        self._stopped = False

    async def start(self) -> None:
        """Start to listen and dial; OSError if the address is in use."""
        address = parse.urlsplit(self.host.peer_url)
        options: dict[str, Any] = (
            {"sock": self.sock}
            if self.sock is not None
            else {"host": address.hostname, "port": address.port}
        )
        self._server = await server.serve(
            self._accept,
            **options,
            max_size=shared_const.MAX_PEER_MESSAGE_BYTES,
            # Number of frames read ahead. More would only use memory, since
            # the reader handles one frame at a time.
            max_queue=2,
            compression=None,
            ping_interval=None,
            close_timeout=const.CLOSE_TIMEOUT_S,
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
            when_s=self.timer.monotonic() + const.CLOSE_TIMEOUT_S,
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
            pending.resolve(None)

    def set_known_hosts(self, hosts: Iterable[core.EntryHost]) -> None:
        """Replace the hosts known from the platform's host list."""
        self.membership.set_listed(hosts, now=self.timer.monotonic())
        self._plan_checked_at_s = float("-inf")
        self._update_dialers()

    def is_watcher(self) -> bool:
        """Return whether this host is currently a watcher of its zone."""
        now = self.timer.monotonic()
        if not self._is_full_mesh():
            plan = self._current_plan(now)
            if plan.zones:
                zone = self.host.zone.name
                return self.host.name in plan.watchers_in(zone)
        return topology.is_watcher(
            self.host, self.membership.zone_members(now=now)
        )

    def live_peers(self) -> tuple[model.PeerView, ...]:
        """Return the peers whose heartbeat is at most PEER_TIMEOUT_S old.

        Above the full mesh, also includes the few hosts of each other zone
        that its summary contains, without headroom; they are not connected.
        """
        now = self.timer.monotonic()
        valid_until_s, views = self._live_peers_cache
        if now >= valid_until_s:
            views = self._collect_live_peers(now)
            self._live_peers_cache = (now + const.LIVE_PEERS_CACHE_S, views)
        return views

    def _collect_live_peers(self, now: float) -> tuple[model.PeerView, ...]:
        heard = tuple(
            model.PeerView(
                heartbeat=member.heartbeat,
                heard_at_s=member.heard_at_s,
                connected=member.host.name in self.connections,
            )
            for member in self.membership.live(now=now)
            if member.heartbeat is not None and member.heard_at_s is not None
        )
        if self._is_full_mesh():
            return heard
        names = {view.heartbeat.host.name for view in heard}
        return heard + tuple(
            model.PeerView(
                heartbeat=heartbeat, heard_at_s=now, connected=False
            )
            for heartbeat in self.relay.remote_hosts(now=now)
            if heartbeat.host.name not in names
        )

    async def request(
        self, host: str, message: model.Message, *, timeout_s: float
    ) -> Result[model.Message, result_codes.Refusal]:
        """Send a message and return its reply.

        Fails with PEER_UNREACHABLE if no reply arrives within timeout_s, and
        with PEER_MESSAGE_TOO_LARGE. Dials a known host if not connected.
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
            callback=lambda: pending.resolve(None),
        )
        try:
            if not await self._ensure_connected(host, pending):
                return _refuse(
                    _Code.PEER_UNREACHABLE, f"no connection to {host}"
                )
            self.connections[host].put(frame)
            reply = await pending.future
        finally:
            expiry.cancel()
            del self._pending[message_id]
        if reply is None:
            return _refuse(_Code.PEER_UNREACHABLE, f"no reply from {host}")
        return Success(reply)

    def send(self, host: str, message: model.Message) -> None:
        """Send a message that needs no reply, if the peer is connected."""
        connection = self.connections.get(host)
        if connection is not None:
            self._send_frame([connection], message)

    def broadcast(self, message: model.Message) -> None:
        """Send to all connected peers; a sighting is relayed to all hosts."""
        if isinstance(message, model.Sighting) and not self._is_full_mesh():
            self.relay.originate(message, now=self.timer.monotonic())
            return
        self._send_frame(self.connections.values(), message)

    def set_handler(self, kind: type, handler: mesh.Handler) -> None:
        """Register the handler of received messages of a type."""
        self._handlers[kind] = handler

    def heartbeat_now(self) -> None:
        """Send a heartbeat before the next tick, after a state change.

        Heartbeats are at least HEARTBEAT_MIN_INTERVAL_S apart; one that is
        requested sooner is sent when this time is over.
        """
        now = self.timer.monotonic()
        due_at_s = self._last_heartbeat_at_s + const.HEARTBEAT_MIN_INTERVAL_S
        if now < due_at_s:
            if self._early_heartbeat is None and not self._stopped:
                self._early_heartbeat = self.timer.call_at(
                    when_s=due_at_s, callback=self._send_early
                )
            return
        self._last_heartbeat_at_s = now
        heartbeat = self._throttle_amounts(self.heartbeat(), now)
        for connection in self.connections.values():
            connection.put_heartbeat(heartbeat)

    def _throttle_amounts(
        self, heartbeat: model.Heartbeat, now: float
    ) -> model.Heartbeat:
        """Return the heartbeat, with the last amounts until others are due."""
        last = self._amounts_heartbeat
        due_at_s = self._amounts_at_s + const.AMOUNTS_INTERVAL_S
        if last is None or now >= due_at_s or self._is_full_mesh():
            self._amounts_heartbeat, self._amounts_at_s = heartbeat, now
            return heartbeat
        return heartbeat._replace(
            headroom=last.headroom, queued=last.queued, wait_s=last.wait_s
        )

    def _send_early(self) -> None:
        self._early_heartbeat = None
        if not self._stopped:
            self.heartbeat_now()

    def _tick(self) -> None:
        now = self.timer.monotonic()
        self.heartbeat_now()
        for connection in tuple(self.connections.values()):
            if now - connection.received_at_s > const.RECEIVE_TIMEOUT_S:
                self._close_connection(connection, 1001, "silent")
        self.membership.remove_expired(now=now)
        self._update_dialers()

    def _tick_relay(self) -> None:
        if self._is_full_mesh():
            return
        now = self.timer.monotonic()
        plan = self._current_plan(now)
        own_zone = self.host.zone.name
        own_watchers = plan.watchers_in(own_zone) or (self.host.name,)
        watcher = self.host.name in own_watchers
        primary_watchers, others = [], []
        for name, connection in self.connections.items():
            zone = connection.host.zone.name
            watchers = plan.watchers_in(zone)
            if name in watchers[:1]:
                primary_watchers.append(name)
            elif name in watchers or (zone == own_zone and watcher):
                others.append(name)
        is_primary = own_watchers[0] == self.host.name
        self.relay.set_peers(
            watcher=watcher,
            primary_watcher=is_primary,
            primary_watchers=primary_watchers,
            others=others,
        )
        for outgoing in self.relay.tick(
            own_heartbeat=self.heartbeat(),
            zone_heartbeats=(
                heartbeat
                for member in self.membership.live(now=now)
                if member.host.zone.name == own_zone
                and (heartbeat := member.heartbeat) is not None
            ),
            build_summary=is_primary,
            now=now,
        ):
            self.send(outgoing.peer, outgoing.message)

    def _pass_to_relay(self, name: str, message: model.Message) -> None:
        """Pass a message to the relay and new sightings to the handler."""
        now = self.timer.monotonic()
        if isinstance(message, model.Heartbeat):
            # The handler of heartbeats processes the sightings in it.
            if not self._is_full_mesh():
                self.relay.handle_heartbeat(message, now=now)
        elif isinstance(message, model.Relayed):
            for sighting in self.relay.receive(name, message, now=now):
                self._dispatch(name, model.Frame(sighting))

    def _send_frame(
        self,
        connections: Iterable[io_connection.PeerConnection],
        message: model.Message,
    ) -> None:
        try:
            frame = codec.encode(message)
        except ValueError as error:
            _LOGGER.error("could not send a peer message: %s", error)
            self._count_message(type(message).__name__, "too_large")
            return
        for connection in connections:
            connection.put(frame)

    async def _ensure_connected(
        self, host: str, pending: io_connection.PendingRequest
    ) -> bool:
        if host in self.connections:
            if host in self._on_demand:
                self._extend_on_demand(host)
            return True
        member = self.membership.members.get(host)
        if member is None or not member.host.peer_url or self._stopped:
            return False
        self._extend_on_demand(host)
        self._update_dialers()
        event = self._connected_events.setdefault(host, asyncio.Event())
        connected = asyncio.ensure_future(event.wait())
        try:
            await asyncio.wait(
                (connected, pending.future),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            connected.cancel()
        return host in self.connections

    def _extend_on_demand(self, host: str) -> None:
        self._on_demand[host] = self.timer.monotonic() + const.ON_DEMAND_IDLE_S

    # Dialling.

    def _peers_to_dial(self) -> frozenset[str]:
        now = self.timer.monotonic()
        self._on_demand = {
            name: until
            for name, until in self._on_demand.items()
            if until > now
        }
        if self._is_full_mesh():
            peers_to_dial = frozenset(self.membership.members)
        else:
            peers_to_dial = self._current_plan(now).to_dial
        # Stay connected to leaving hosts, which hand over their outcomes.
        leaving = {
            name
            for name in self.connections
            if self.membership.state_of(name, now=now)
            is model.MemberState.LEAVING
        }
        return peers_to_dial | self._on_demand.keys() | leaving

    def _current_plan(self, now: float) -> topology.Plan:
        plan = self._cached_plan
        if (
            plan is None
            or now - self._plan_checked_at_s >= const.PLAN_INTERVAL_S
        ):
            members = (
                self.membership.version,
                self.membership.unavailable(now=now),
            )
            if plan is None or members != self._plan_inputs:
                plan = topology.make_plan(
                    topology.Node(self.host.name, self.host.zone),
                    self.membership.candidates(now=now),
                )
                self._cached_plan, self._plan_inputs = plan, members
            self._plan_checked_at_s = now
        return plan

    def _update_dialers(self) -> None:
        if self._stopped or self._subscription is None:
            return
        peers_to_dial = self._peers_to_dial()
        # Above the full mesh, the seeds are only used to find the first hosts.
        bootstrap = self._is_full_mesh() or not self.connections
        for name in peers_to_dial - self._dialers.keys():
            self._dialers[name] = self._spawn(self._maintain_connection(name))
        for url in self.seeds if bootstrap else ():
            if url not in self._dialers:
                self._dialers[url] = self._spawn(self._maintain_seed(url))
        for key in self._dialers.keys() - peers_to_dial:
            if key in self.seeds and bootstrap:
                continue
            self._dialers.pop(key).cancel()
            connection = self.connections.get(key)
            if connection is not None and connection.dialled:
                self._close_connection(connection, 1000, "not wanted")

    def _is_full_mesh(self) -> bool:
        known = len(self.membership.members) + 1
        return known <= const.FULL_MESH_MAX_HOSTS

    async def _maintain_connection(self, name: str) -> None:
        if self.host.name > name and name not in self._on_demand:
            await self.timer.sleep(
                const.LARGER_NAME_DIAL_DELAY_S * (1 + self.rng.random())
            )
        delay_s = const.INITIAL_RECONNECT_BACKOFF_S
        while True:
            if name not in self.connections:
                member = self.membership.members.get(name)
                url = member.host.peer_url if member is not None else ""
                if url and await self._dial(url, name):
                    delay_s = const.INITIAL_RECONNECT_BACKOFF_S
                elif name not in self.connections:
                    self.membership.record_dial_failure(
                        name, now=self.timer.monotonic()
                    )
                    delay_s = min(2 * delay_s, const.MAX_RECONNECT_BACKOFF_S)
            await self.timer.sleep(delay_s * (0.5 + self.rng.random()))

    async def _maintain_seed(self, url: str) -> None:
        delay_s = const.INITIAL_RECONNECT_BACKOFF_S
        while self.seeds[url] != self.host.name:
            if self.seeds[url] not in self.connections and not (
                await self._dial(url, "")
            ):
                delay_s = min(2 * delay_s, const.MAX_RECONNECT_BACKOFF_S)
            else:
                delay_s = const.INITIAL_RECONNECT_BACKOFF_S
            await self.timer.sleep(delay_s * (0.5 + self.rng.random()))

    async def _dial(self, url: str, name: str) -> bool:
        """Connect and serve until closed; False if the handshake failed."""
        try:
            websocket = await client.connect(
                url,
                max_size=shared_const.MAX_PEER_MESSAGE_BYTES,
                max_queue=2,
                compression=None,
                proxy=None,
                open_timeout=const.JOIN_TIMEOUT_S,
                ping_interval=None,
                close_timeout=const.CLOSE_TIMEOUT_S,
            )
        except (*_TRANSPORT_ERRORS, ValueError) as error:
            _LOGGER.debug("could not connect to peer %s: %s", url, error)
            return False
        try:
            with self.handshake.join_deadline(websocket):
                host = await self._join(websocket, url=url, name=name)
            if host is None:
                return True
            return await self._run_connection(websocket, host, dialled=True)
        except io_handshake.HandshakeError as error:
            await self._refuse_connection(websocket, error.refusal, url)
        except exceptions.ConnectionClosed as closed:
            _LOGGER.warning(
                "peer %s closed the connection during the handshake: %s",
                url,
                closed,
            )
            if closed.rcvd is not None and closed.rcvd.reason == _DUPLICATE:
                return True
            self._check_superseded(closed)
        finally:
            await websocket.close()
        return False

    async def _join(
        self, websocket: ws_connection.Connection, *, url: str, name: str
    ) -> core.EntryHost | None:
        """Run the handshake as the client; None if already connected."""
        challenge = await io_handshake.receive(websocket, model.Challenge)
        if url in self.seeds:
            self.seeds[url] = challenge.host
        if (
            challenge.host == self.host.name
            or challenge.host in self.connections
            or challenge.host in self._handshakes_with
        ):
            return None
        if name and challenge.host != name:
            raise io_handshake.HandshakeError(
                result_codes.Refusal(
                    _Code.PEER_UNAUTHENTICATED,
                    f"dialled {name}, but {challenge.host} answered",
                )
            )
        protocol = min(const.PROTOCOL_MAX, challenge.protocol_max)
        if protocol < max(const.PROTOCOL_MIN, challenge.protocol_min):
            raise io_handshake.HandshakeError(
                io_handshake.version_refusal(challenge.protocol_max)
            )
        self._handshakes_with.add(challenge.host)
        try:
            return await self.handshake.join_as_client(
                websocket, challenge, protocol
            )
        finally:
            self._handshakes_with.discard(challenge.host)

    # Accepting.

    async def _accept(self, websocket: server.ServerConnection) -> None:
        address = str(websocket.remote_address)
        if self._pending_handshakes >= const.MAX_PENDING_HANDSHAKES:
            await websocket.close(1013, "too many handshakes")
            return
        self._pending_handshakes += 1
        try:
            with self.handshake.join_deadline(websocket):
                host = await self.handshake.join_as_server(websocket)
        except io_handshake.HandshakeError as error:
            await self._refuse_connection(websocket, error.refusal, address)
            return
        except exceptions.ConnectionClosed:
            return
        finally:
            self._pending_handshakes -= 1
        await self._run_connection(websocket, host, dialled=False)

    async def _refuse_connection(
        self,
        websocket: ws_connection.Connection,
        refusal: result_codes.Refusal,
        address: str,
    ) -> None:
        _LOGGER.warning(
            "refusing the connection with peer %s: %s", address, refusal.detail
        )
        self._count_message("Hello", refusal.code.name.lower())
        # Result codes from 4000 are also valid private websocket close codes.
        await websocket.close(int(refusal.code), refusal.detail[:100])

    # Authenticated connections.

    async def _run_connection(
        self,
        websocket: ws_connection.Connection,
        host: core.EntryHost,
        *,
        dialled: bool,
    ) -> bool:
        """Run an authenticated connection; False if it is not accepted."""
        now = self.timer.monotonic()
        if not self.membership.record_handshake(host, now=now):
            await self._refuse_connection(
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
        writer = self._spawn(connection.send_queued())
        try:
            await self._read(connection)
        except exceptions.ConnectionClosed as closed:
            self._check_superseded(closed)
        finally:
            writer.cancel()
            self._unregister(connection)
            await websocket.close()
        return True

    def _check_superseded(self, closed: exceptions.ConnectionClosed) -> None:
        if closed.rcvd is None or closed.rcvd.reason != _SUPERSEDED:
            return
        _LOGGER.error(
            "a process started later uses the host name %s", self.host.name
        )
        for callback in self.on_superseded:
            callback()

    def _register(self, connection: io_connection.PeerConnection) -> bool:
        """Register the connection; False if an existing one is kept.

        If two hosts dialled each other, both keep the connection dialled by
        the host with the smaller name. Of two connections dialled by the same
        host, the newer one is kept, since its handshake is more recent.
        """
        name = connection.host.name
        old = self.connections.get(name)
        if old is not None:
            same_incarnation = (
                old.host.incarnation == connection.host.incarnation
            )
            if same_incarnation and old.dialled != connection.dialled:
                keep_dialled = self.host.name < name
                if connection.dialled is not keep_dialled:
                    return False
            self._close_connection(old, 1000, _DUPLICATE)
        self.connections[name] = connection
        if event := self._connected_events.pop(name, None):
            event.set()
        connection.put_heartbeat(self.heartbeat())
        self._announce_hosts(connection)
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
                pending.resolve(None)
        self._members_changed()

    def _close_connection(
        self, connection: io_connection.PeerConnection, code: int, reason: str
    ) -> None:
        self._spawn(connection.websocket.close(code, reason))

    def _announce_hosts(
        self, connection: io_connection.PeerConnection
    ) -> None:
        """Report the new peer and the others to each other.

        One seed is therefore enough to join the mesh.
        """
        if not self._is_full_mesh():
            return
        hosts = tuple(
            other.host
            for other in self.connections.values()
            if other is not connection
        )
        self._send_frame([connection], model.KnownHosts(hosts))
        others = [
            other
            for other in self.connections.values()
            if other is not connection
        ]
        self._send_frame(others, model.KnownHosts((connection.host,)))

    def _invalidate_live_peers(self) -> None:
        self._live_peers_cache = (float("-inf"), ())

    def _members_changed(self) -> None:
        self._invalidate_live_peers()
        for callback in self.on_members_changed:
            callback()

    async def _read(self, connection: io_connection.PeerConnection) -> None:
        async for data in connection.websocket:
            connection.received_at_s = self.timer.monotonic()
            if isinstance(data, str):
                refusal = result_codes.Refusal(
                    _Code.PEER_MESSAGE_INVALID, "received a text frame"
                )
            else:
                match connection.decoder.decode(data):
                    case Success(codec.UnknownType(name)):
                        # Not counted by name, since peers could send any
                        # number of names and so of label values.
                        _LOGGER.info(
                            "ignoring peer message of unknown type %s", name
                        )
                        self._count_message("unknown", "ignored")
                        continue
                    case Success(model.Frame() as frame):
                        refused = self._handle(connection, frame)
                        if refused is None:
                            continue
                        refusal = refused
                    case Failure(result_codes.Refusal() as invalid):
                        refusal = invalid
            self._count_message("invalid", refusal.code.name.lower())
            _LOGGER.warning(
                "closing the connection to peer %s: %s",
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
        """Process a frame; a returned refusal closes the connection."""
        message = frame.message
        name = connection.host.name
        if isinstance(message, _HANDSHAKE):
            return result_codes.Refusal(
                _Code.PEER_MESSAGE_INVALID,
                "handshake message after the handshake",
            )
        self._count_message(type(message).__name__, "ok")
        if frame.reply_to is not None:
            pending = self._pending.get(frame.reply_to)
            # Message ids are shared by all peers: accept a reply only from the
            # peer that was asked.
            if pending is not None and pending.host == name:
                pending.resolve(message)
            return None
        now = self.timer.monotonic()
        if isinstance(message, model.Heartbeat):
            if message.host != connection.host:
                return result_codes.Refusal(
                    _Code.PEER_MESSAGE_INVALID,
                    "heartbeat describes another host",
                )
            last = self.membership.members[name].heartbeat
            if not self.membership.record_heartbeat(message, now=now):
                return None
            if last is None or last.state is not message.state:
                self._invalidate_live_peers()
        elif isinstance(message, model.KnownHosts):
            self._add_known_hosts(message)
        self._pass_to_relay(name, message)
        self._dispatch(name, frame)
        return None

    def _dispatch(self, name: str, frame: model.Frame) -> None:
        handler = self._handlers.get(type(frame.message))
        if handler is None:
            return
        if self._running_handlers >= const.MAX_RUNNING_HANDLERS:
            self._count_message(type(frame.message).__name__, "dropped")
            return
        # Incremented here and not in the task, since a burst of messages can
        # arrive before the tasks run.
        self._running_handlers += 1
        self._spawn(self._run_handler(handler, name, frame))

    def _add_known_hosts(self, message: model.KnownHosts) -> None:
        if not self._is_full_mesh():
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
            _LOGGER.exception("error handling a message from peer %s", name)
            self._count_message(type(frame.message).__name__, "handler_failed")
            return
        finally:
            self._running_handlers -= 1
        # The peer may have reconnected while the handler ran.
        connection = self.connections.get(name)
        if reply is None or frame.message_id is None or connection is None:
            return
        try:
            connection.put(codec.encode(reply, reply_to=frame.message_id))
        except ValueError as error:
            _LOGGER.error(
                "could not send the reply to peer %s: %s", name, error
            )
            self._count_message(type(reply).__name__, "too_large")

    def _spawn(self, coroutine: Any) -> "asyncio.Task[Any]":
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._log_task_failure)
        return task

    def _log_task_failure(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        if not isinstance(error, _TRANSPORT_ERRORS):
            _LOGGER.error("unexpected error in a peer task", exc_info=error)

    def _count_message(self, kind: str, outcome: str) -> None:
        if self.metrics is not None:
            self.metrics.count_peer_message(kind, outcome)


def _abort(transports: Iterable[asyncio.Transport]) -> None:
    for transport in transports:
        transport.abort()


def _refuse(
    code: result_codes.ResultCode, detail: str
) -> Result[Any, result_codes.Refusal]:
    return Failure(result_codes.Refusal(code, detail))
