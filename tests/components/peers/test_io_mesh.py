"""Test the websocket mesh over the loopback interface."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import socket

import pytest
from returns.pipeline import is_successful
from websockets.asyncio import client
from websockets.asyncio import server
from websockets import exceptions

from samphirelug.components.peers import auth
from samphirelug.components.peers import codec
from samphirelug.components.peers import const
from samphirelug.components.peers import io_mesh
from samphirelug.components.peers import model
from samphirelug import core
from samphirelug.helpers import timer
from samphirelug import result_codes
from standins import builders

SECRET = "s" * 32


class Cluster:
    """Manage meshes on the loopback interface."""

    def __init__(self) -> None:
        self.timer = timer.LoopTimerService()
        self.meshes: list[io_mesh.WebsocketMesh] = []

    async def add(
        self,
        name: str,
        *,
        seeds: tuple[str, ...] = (),
        secret: str = SECRET,
        incarnation: str | None = None,
        zone: str = "tallinn-a",
    ) -> io_mesh.WebsocketMesh:
        """Start a mesh on a free port."""
        sock = socket.create_server(("127.0.0.1", 0))
        host = builders.make_host(name, zone=zone)._replace(
            incarnation=incarnation or f"{name}-1",
            peer_url=f"ws://127.0.0.1:{sock.getsockname()[1]}/",
        )
        heartbeat = make_heartbeat(host)
        peer = io_mesh.WebsocketMesh(
            host=host,
            secret=secret,
            cluster="test",
            seeds=seeds,
            timer=self.timer,
            heartbeat=lambda: heartbeat,
            rng=random.Random(name),
            sock=sock,
        )
        self.meshes.append(peer)
        await peer.start()
        return peer

    async def stop(self) -> None:
        """Stop all meshes."""
        for peer in self.meshes:
            await peer.stop()


def make_heartbeat(host: core.EntryHost) -> model.Heartbeat:
    """Return a heartbeat of an idle host."""
    return model.Heartbeat(
        host=host,
        state=core.EntryHostState.SERVING,
        clock_ms=1,
        catalogue_revision=7,
        headroom=(),
        queued=(0, 0, 0),
        wait_s=(0.0, 0.0, 0.0),
        sightings=(),
    )


async def wait_until(
    condition: Callable[[], bool], limit_s: float = 8.0
) -> None:
    """Wait until the condition holds; fail after limit_s."""
    async with asyncio.timeout(limit_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def run_test(test: Callable[[Cluster], Awaitable[None]]) -> None:
    """Run a test with a cluster and stop its meshes afterwards."""

    async def wrapped() -> None:
        cluster = Cluster()
        try:
            await test(cluster)
        finally:
            await cluster.stop()

    asyncio.run(wrapped())


async def attempt_join(
    peer: io_mesh.WebsocketMesh, token_of: Callable[[model.Challenge], str]
) -> exceptions.ConnectionClosed | None:
    """Send a Hello with a token; return the closure, or None if joined."""
    name = "stranger"
    host = builders.make_host(name)
    async with client.connect(
        peer.host.peer_url, compression=None, proxy=None
    ) as websocket:
        data = await websocket.recv()
        assert isinstance(data, bytes)
        challenge = codec.decode(data).unwrap()
        assert isinstance(challenge, model.Frame)
        assert isinstance(challenge.message, model.Challenge)
        token = token_of(challenge.message)
        await websocket.send(
            codec.encode(model.Hello(1, host, token, "nonce"))
        )
        try:
            await websocket.recv()
        except exceptions.ConnectionClosed as closed:
            return closed
    return None


def test_one_seed_gives_a_full_mesh_with_one_connection_per_pair() -> None:
    """Guard against hosts that do not connect or connect twice."""

    async def test(cluster: Cluster) -> None:
        first = await cluster.add("eh1")
        seeds = (first.host.peer_url,)
        for name in ("eh2", "eh3", "eh4"):
            await cluster.add(name, seeds=seeds)
        await wait_until(
            lambda: all(len(m.live_peers()) == 3 for m in cluster.meshes)
        )
        await asyncio.sleep(1.0)
        for peer in cluster.meshes:
            assert len(peer.connections) == 3
            assert peer._server is not None
            dialled = sum(c.dialled for c in peer.connections.values())
            # Also detects open connections that are not in use.
            assert len(peer._server.connections) == 3 - dialled

    run_test(test)


def test_one_connection_is_kept_if_both_hosts_dial() -> None:
    """Guard against each host closing the connection the other keeps."""

    async def test(cluster: Cluster) -> None:
        one, two = [await cluster.add(name) for name in ("eh1", "eh2")]
        for _ in range(5):
            dials = [
                asyncio.create_task(one._dial(two.host.peer_url, "eh2")),
                asyncio.create_task(two._dial(one.host.peer_url, "eh1")),
            ]
            await wait_until(
                lambda: len(one.connections) == len(two.connections) == 1
            )
            await asyncio.sleep(0.2)
            assert one.connections["eh2"].dialled
            assert not two.connections["eh1"].dialled
            one._close_connection(one.connections["eh2"], 1000, "next round")
            await asyncio.gather(*dials)
            await wait_until(
                lambda: not one.connections and not two.connections
            )

    run_test(test)


def test_request_reply_and_timeout() -> None:
    """Guard against mismatched replies and missing timeouts."""

    async def test(cluster: Cluster) -> None:
        one = await cluster.add("eh1")
        two = await cluster.add("eh2", seeds=(one.host.peer_url,))

        async def answer(
            name: str, message: model.Message
        ) -> model.Message | None:
            assert name == "eh1"
            assert isinstance(message, model.CatalogueRequest)
            if message.since == 0:
                return None
            await asyncio.sleep(0.02 / message.since)
            return model.GrantReturn("l", message.since)

        two.set_handler(model.CatalogueRequest, answer)
        await wait_until(lambda: "eh2" in one.connections)
        results = await asyncio.gather(
            *(
                one.request("eh2", model.CatalogueRequest(n), timeout_s=1.0)
                for n in range(1, 20)
            )
        )
        assert [r.unwrap() for r in results] == [
            model.GrantReturn("l", n) for n in range(1, 20)
        ]
        unanswered = await one.request(
            "eh2", model.CatalogueRequest(0), timeout_s=0.1
        )
        assert (
            unanswered.failure().code
            is result_codes.ResultCode.PEER_UNREACHABLE
        )
        unknown = await one.request(
            "eh9", model.CatalogueRequest(0), timeout_s=0.1
        )
        assert not is_successful(unknown)
        assert not one._pending
        three = await cluster.add("eh3", seeds=(one.host.peer_url,))
        await wait_until(lambda: "eh1" in three.connections)
        asked = asyncio.create_task(
            one.request("eh2", model.CatalogueRequest(0), timeout_s=0.3)
        )
        await wait_until(lambda: bool(one._pending))
        (message_id,) = one._pending
        forged = codec.encode(model.Acknowledgement(), reply_to=message_id)
        three.connections["eh1"].put(forged)
        assert not is_successful(await asked)

    run_test(test)


def test_invalid_and_replayed_tokens_are_refused_with_the_code() -> None:
    """Guard against joins with an invalid, replayed or foreign token."""

    async def test(cluster: Cluster) -> None:
        peer = await cluster.add("eh1")
        other_secret = await cluster.add(
            "eh2", seeds=(peer.host.peer_url,), secret="other" * 8
        )
        host = builders.make_host("stranger")

        def sign(
            nonce: str, *, audience: str = "eh1", cluster_name: str = "test"
        ) -> str:
            return auth.JoinAuthenticator(
                secret=SECRET,
                cluster=cluster_name,
                host=host,
                timer=cluster.timer,
            ).sign(audience=audience, nonce=nonce, role="client")

        used_tokens: list[str] = []

        def sign_and_keep(challenge: model.Challenge) -> str:
            used_tokens.append(sign(challenge.nonce))
            return used_tokens[0]

        assert await attempt_join(peer, sign_and_keep) is None
        for token_of in (
            lambda c: sign(c.nonce, cluster_name="other"),
            lambda c: sign(c.nonce, audience="eh3"),
            lambda _: used_tokens[0],
            lambda _: "nonsense",
        ):
            closed = await attempt_join(peer, token_of)
            assert closed is not None
            assert closed.rcvd is not None
            assert closed.rcvd.code == 4001
        await wait_until(lambda: "stranger" not in peer.connections)
        assert not peer.connections
        assert not other_secret.connections

    run_test(test)


def test_invalid_message_closes_the_connection_and_peers_reconnect() -> None:
    """Guard against accepting messages that do not match the schema."""

    async def test(cluster: Cluster) -> None:
        one = await cluster.add("eh1")
        two = await cluster.add("eh2", seeds=(one.host.peer_url,))
        await wait_until(lambda: len(one.live_peers()) == 1)
        old = one.connections["eh2"]
        unknown = codec.encode(model.GrantReturn("l", 1)).replace(
            b"GrantReturn", b"GrantFuture"
        )
        two.connections["eh1"].put(unknown)
        await asyncio.sleep(0.2)
        assert one.connections["eh2"] is old
        other = make_heartbeat(builders.make_host("eh3"))
        two.connections["eh1"].put(codec.encode(other))
        await wait_until(lambda: one.connections.get("eh2") not in (None, old))
        assert old.websocket.close_code == 4003
        assert "eh3" not in one.membership.members

    run_test(test)


def test_restart_under_the_same_name_replaces_the_old_incarnation() -> None:
    """Guard against accepting a superseded process of the same host."""

    async def test(cluster: Cluster) -> None:
        one = await cluster.add("eh1")
        seeds = (one.host.peer_url,)
        old = await cluster.add("eh2", seeds=seeds)
        await wait_until(lambda: len(one.live_peers()) == 1)
        superseded: list[str] = []
        old.on_superseded.append(lambda: superseded.append("eh2"))
        await cluster.add("eh2", seeds=seeds, incarnation="eh2-2")
        await wait_until(lambda: bool(superseded))
        await asyncio.sleep(0.5)
        (view,) = one.live_peers()
        assert view.heartbeat.host.incarnation == "eh2-2"

    run_test(test)


def test_a_stalled_peer_does_not_block_or_grow_the_sender() -> None:
    """Guard against unbounded memory use for a peer that does not read."""

    async def test(cluster: Cluster) -> None:
        one = await cluster.add("eh1")
        two = await cluster.add("eh2", seeds=(one.host.peer_url,))
        await wait_until(lambda: "eh2" in one.connections)
        two.connections["eh1"].websocket.transport.pause_reading()
        record = model.OutcomeRecord("t", 0, "x" * 100_000, None, 1)
        started_s = cluster.timer.monotonic()
        for number in range(300):
            one.send("eh2", model.OutcomeReply(record))
            one.heartbeat_now()
            if not number % 20:
                await asyncio.sleep(0)
        queue = one.connections["eh2"].queue
        assert cluster.timer.monotonic() - started_s < 5.0
        assert queue.bytes <= const.SEND_QUEUE_BYTES
        assert queue.dropped_frames > 0

    run_test(test)


def test_a_known_host_is_dialled_for_a_request() -> None:
    """Guard against failed outcome queries to hosts not connected."""

    async def test(cluster: Cluster) -> None:
        one = await cluster.add("eh1")
        two = await cluster.add("eh2")
        listed = [builders.make_host(f"h{n}") for n in range(20)]
        one.set_known_hosts([*listed, two.host])

        async def answer(
            _name: str, _message: model.Message
        ) -> model.Message | None:
            return model.Acknowledgement()

        two.set_handler(model.CatalogueRequest, answer)
        result = await one.request(
            "eh2", model.CatalogueRequest(1), timeout_s=2.0
        )
        assert result.unwrap() == model.Acknowledgement()

    run_test(test)


def test_sightings_are_relayed_between_zones_of_a_larger_fleet() -> None:
    """Guard against sightings and hosts not known in other zones."""

    async def test(cluster: Cluster) -> None:
        for number in range(18):
            await cluster.add(f"h{number}", zone="abc"[number % 3] + "-1")
        received: dict[str, list[model.Message]] = {}
        for peer in cluster.meshes:
            # The host list contains no incarnations and caller URLs.
            peer.set_known_hosts(
                other.host._replace(incarnation="", caller_urls=("", "", ""))
                for other in cluster.meshes
            )

            async def record(
                _: str,
                message: model.Message,
                name: str = peer.host.name,
            ) -> None:
                received.setdefault(name, []).append(message)

            peer.set_handler(model.Sighting, record)
        watchers = [peer for peer in cluster.meshes if peer.is_watcher()]
        assert len(watchers) == 6
        zones = {"a-1", "b-1", "c-1"}

        def zones_named(peer: io_mesh.WebsocketMesh) -> set[str]:
            views = peer.live_peers()
            return {view.heartbeat.host.zone.name for view in views}

        await wait_until(
            lambda: all(zones_named(peer) == zones for peer in cluster.meshes)
        )
        other = next(m for m in cluster.meshes if not m.is_watcher())
        assert len(other.connections) == 2
        sighting = model.Sighting("s1", "", True, 0)
        other.broadcast(sighting)
        await wait_until(lambda: len(received) == 17, limit_s=3.0)
        await asyncio.sleep(0.5)
        assert set(map(len, received.values())) == {1}

    run_test(test)


def test_early_heartbeats_are_rate_limited_but_not_lost() -> None:
    """Guard against delayed state changes and bursts of heartbeats."""

    async def test(cluster: Cluster) -> None:
        one = await cluster.add("eh1")
        two = await cluster.add("eh2", seeds=(one.host.peer_url,))
        await wait_until(lambda: len(one.live_peers()) == 1)
        heartbeat = make_heartbeat(two.host)
        built_count = 0

        def build_heartbeat() -> model.Heartbeat:
            nonlocal built_count
            built_count += 1
            return heartbeat

        two.heartbeat = build_heartbeat
        for clock_ms in range(2, 100):
            heartbeat = heartbeat._replace(clock_ms=clock_ms)
            two.heartbeat_now()
        await wait_until(
            lambda: one.membership.members["eh2"].heartbeat == heartbeat,
            limit_s=0.3,
        )
        assert built_count <= 8

    run_test(test)


def test_a_silent_connection_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against half-open connections that prevent a new one."""
    monkeypatch.setattr(const, "RECEIVE_TIMEOUT_S", 1.2)

    async def test(cluster: Cluster) -> None:
        one = await cluster.add("eh1")
        two = await cluster.add("eh2", seeds=(one.host.peer_url,))
        await wait_until(lambda: len(one.live_peers()) == 1)
        await asyncio.sleep(1.5)
        old = one.connections["eh2"]
        assert two._subscription is not None
        two._subscription.cancel()
        await wait_until(lambda: one.connections.get("eh2") not in (None, old))
        assert old.websocket.close_code == 1001

    run_test(test)


def test_unauthenticated_connections_are_limited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against unauthenticated clients holding connections open."""
    monkeypatch.setattr(const, "JOIN_TIMEOUT_S", 0.5)
    monkeypatch.setattr(const, "MAX_PENDING_HANDSHAKES", 3)

    async def test(cluster: Cluster) -> None:
        peer = await cluster.add("eh1")
        idle = [
            await client.connect(peer.host.peer_url, proxy=None)
            for _ in range(4)
        ]
        await wait_until(lambda: idle[3].close_code == 1013, limit_s=0.4)
        assert peer._pending_handshakes == 3
        await wait_until(lambda: peer._pending_handshakes == 0, limit_s=1.5)
        closed = [websocket.wait_closed() for websocket in idle]
        await asyncio.wait_for(asyncio.gather(*closed), 1.0)

    run_test(test)


def test_a_server_without_the_secret_is_disconnected() -> None:
    """Guard against sending heartbeats and work to an impostor."""

    async def test(cluster: Cluster) -> None:
        closed: list[int | None] = []

        async def impostor(websocket: server.ServerConnection) -> None:
            challenge = model.Challenge(1, 1, "eh9", "nonce")
            await websocket.send(codec.encode(challenge))
            await websocket.recv()
            welcome = model.Welcome(1, builders.make_host("eh9"), "token")
            await websocket.send(codec.encode(welcome))
            await websocket.wait_closed()
            closed.append(websocket.close_code)

        async with server.serve(impostor, "127.0.0.1", 0) as listener:
            port = next(iter(listener.sockets)).getsockname()[1]
            peer = await cluster.add("eh1", seeds=(f"ws://127.0.0.1:{port}/",))
            await wait_until(lambda: bool(closed), limit_s=3.0)
            await peer.stop()
        assert closed[0] == 4001
        assert "eh9" not in peer.membership.members

    run_test(test)


def test_amounts_are_sent_less_often_above_the_full_mesh() -> None:
    """Guard against heavy traffic at watchers and delayed state changes."""
    host = builders.make_host("eh1")
    heartbeat = make_heartbeat(host)
    peer = io_mesh.WebsocketMesh(
        host=host,
        secret=SECRET,
        cluster="test",
        seeds=(),
        timer=timer.ManualTimerService(),
        heartbeat=lambda: heartbeat,
    )
    busy = heartbeat._replace(queued=(9, 9, 9), wait_s=(1.0, 1.0, 1.0))
    leaving = busy._replace(state=core.EntryHostState.LEAVING)
    assert peer._throttle_amounts(heartbeat, 0.0) == heartbeat
    assert peer._throttle_amounts(busy, 0.5) == busy
    peer.set_known_hosts(
        builders.make_host(f"h{number}")
        for number in range(const.FULL_MESH_MAX_HOSTS)
    )
    assert peer._throttle_amounts(heartbeat, 1.0) == busy
    later = heartbeat._replace(
        state=leaving.state, sightings=leaving.sightings
    )
    assert peer._throttle_amounts(later, 2.0) == leaving
    assert (
        peer._throttle_amounts(later, 0.5 + const.AMOUNTS_INTERVAL_S) == later
    )
