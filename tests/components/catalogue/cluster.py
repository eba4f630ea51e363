"""Run entry hosts' catalogue parts on a manual clock, without sockets."""

import asyncio
import random

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.catalogue import codec
from samphirelug.components.catalogue import schema
from samphirelug.components.catalogue import state as catalogue_state
from samphirelug.components.catalogue import sync
from samphirelug.components.peers import mesh as peers_mesh
from samphirelug.components.peers import model as peers_model
from samphirelug import const
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from standins import builders
from standins import store as store_standin

STEP_S = 0.1


class FakeMesh(peers_mesh.PeerMesh):
    """Deliver messages at once between the hosts of a cluster."""

    def __init__(self, *, cluster: "Cluster", name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.handlers: dict[type, peers_mesh.Handler] = {}
        self.tasks: set[asyncio.Task[object]] = set()

    def live_peers(self) -> tuple[peers_model.PeerView, ...]:
        """Return the hosts on this side of any partition."""
        return tuple(
            peers_model.PeerView(host.beat, 0.0, True)
            for name, host in self.cluster.hosts.items()
            if name != self.name and self.cluster.connected(self.name, name)
        )

    async def request(
        self, host: str, message: peers_model.Message, *, timeout_s: float
    ) -> Result[peers_model.Message, result_codes.Refusal]:
        """Call the peer's handler."""
        answer = None
        reachable = self.cluster.connected(self.name, host)
        if reachable and host not in self.cluster.mute:
            mesh = self.cluster.hosts[host].mesh
            answer = await mesh.handlers[type(message)](self.name, message)
        if answer is None:
            await self.cluster.timer.sleep(timeout_s)
            return Failure(
                result_codes.Refusal(
                    result_codes.ResultCode.PEER_UNREACHABLE, host
                )
            )
        return Success(answer)

    def send(self, host: str, message: peers_model.Message) -> None:
        """Call the peer's handler and forget its answer."""
        if self.cluster.connected(self.name, host):
            mesh = self.cluster.hosts[host].mesh
            task = asyncio.ensure_future(
                mesh.handlers[type(message)](self.name, message)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def broadcast(self, message: peers_model.Message) -> None:
        """Send to all peers."""
        for name in self.cluster.hosts:
            if name != self.name:
                self.send(name, message)

    def set_handler(self, kind: type, handler: peers_mesh.Handler) -> None:
        """Keep the handler."""
        self.handlers[kind] = handler


class Host:
    """Hold one running host and its last heartbeat."""

    def __init__(self, *, cluster: "Cluster", name: str, zone: str) -> None:
        self.name = name
        self.host = builders.make_host(name, zone=zone)
        self.state = catalogue_state.CatalogueState()
        self.mesh = FakeMesh(cluster=cluster, name=name)
        self.store = store_standin.FakeObjectStore(
            core=cluster.core, timer=cluster.timer
        )
        self.sync = sync.CatalogueSync(
            state=self.state,
            store=self.store,
            mesh=self.mesh,
            timer=cluster.timer,
            rng=cluster.rng,
            host=self.host,
        )
        self.beat = self.make_beat()
        self.task = asyncio.ensure_future(self.sync.run())

    def make_beat(self) -> peers_model.Heartbeat:
        """Return a heartbeat with the present position."""
        return peers_model.Heartbeat(
            host=self.host,
            state=core.EntryHostState.SERVING
            if self.sync.ready
            else core.EntryHostState.STARTING,
            clock_ms=0,
            catalogue_revision=self.state.position,
            headroom=(),
            queued=(0, 0, 0),
            wait_s=(0.0, 0.0, 0.0),
            sightings=(),
        )


class Cluster:
    """Run hosts against one store on one manual clock."""

    def __init__(self, *, seed: int = 0) -> None:
        self.timer = timer_helper.ManualTimerService()
        self.core = store_standin.StoreCore()
        self.rng = random.Random(seed)
        self.hosts: dict[str, Host] = {}
        self.cut_off: set[str] = set()
        # Hosts that send heartbeats but do not answer.
        self.mute: set[str] = set()
        self.next_beat_s = 0.0

    def connected(self, name: str, other: str) -> bool:
        """Tell whether two hosts are on the same side of a partition."""
        return (
            name in self.hosts
            and other in self.hosts
            and (name in self.cut_off) == (other in self.cut_off)
        )

    def start(self, name: str, *, zone: str = "tallinn-a") -> Host:
        """Start a host with no state."""
        host = Host(cluster=self, name=name, zone=zone)
        self.hosts[name] = host
        return host

    async def stop(self, name: str) -> None:
        """Kill a host."""
        host = self.hosts.pop(name)
        host.task.cancel()
        await asyncio.gather(host.task, return_exceptions=True)

    async def close(self) -> None:
        """Stop all hosts."""
        for name in list(self.hosts):
            await self.stop(name)

    async def advance(self, delta_s: float) -> None:
        """Let time pass in small steps, with heartbeats."""
        until_s = self.timer.monotonic() + delta_s
        while self.timer.monotonic() < until_s - 1e-9:
            self.timer.advance(STEP_S)
            if self.timer.monotonic() >= self.next_beat_s:
                self.next_beat_s = (
                    self.timer.monotonic() + const.HEARTBEAT_INTERVAL_S
                )
                for host in self.hosts.values():
                    host.beat = host.make_beat()
            for _ in range(12):
                await asyncio.sleep(0)
            for host in self.hosts.values():
                assert not host.task.done(), host.task.exception()

    def write(self, entry: schema.Entry | None, key: str) -> int:
        """Write an entry as an operator's command would; return revision."""
        stored = self.core.objects.get(codec.PREFIX + key)
        outcome = self.core.put(
            codec.PREFIX + key,
            dict(
                codec.encode_body(
                    change_id=str(self.core.revision), entry=entry
                )
            ),
            stored.revision if stored else 0,
        )
        assert outcome.current is not None
        return outcome.current.revision

    def write_work(self, *, cap: int, name: str = "w") -> int:
        """Write a work entry that its cap tells apart."""
        entry = builders.make_work(name, work_class=core.WorkClass.STATUS)
        entry["max_in_flight_per_region"] = cap
        return self.write(entry, f"work/{name}")
