"""Simulate how entry hosts synchronise the catalogue.

The hosts run on a manual clock and exchange messages without sockets.
"""

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
    """Deliver messages between the hosts of a cluster without delay."""

    def __init__(self, *, cluster: "Cluster", name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.handlers: dict[type, peers_mesh.Handler] = {}
        self.tasks: set[asyncio.Task[object]] = set()

    def live_peers(self) -> tuple[peers_model.PeerView, ...]:
        """Return the other hosts on the same side of the partition."""
        return tuple(
            peers_model.PeerView(host.heartbeat, 0.0, True)
            for name, host in self.cluster.hosts.items()
            if name != self.name and self.cluster.connected(self.name, name)
        )

    async def request(
        self, host: str, message: peers_model.Message, *, timeout_s: float
    ) -> Result[peers_model.Message, result_codes.Refusal]:
        """Call the peer's handler and return its answer."""
        answer = None
        reachable = self.cluster.connected(self.name, host)
        if reachable and host not in self.cluster.unresponsive:
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
        """Call the peer's handler and discard its answer."""
        if self.cluster.connected(self.name, host):
            mesh = self.cluster.hosts[host].mesh
            task = asyncio.ensure_future(
                mesh.handlers[type(message)](self.name, message)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def broadcast(self, message: peers_model.Message) -> None:
        """Send a message to all connected peers."""
        for name in self.cluster.hosts:
            if name != self.name:
                self.send(name, message)

    def set_handler(self, kind: type, handler: peers_mesh.Handler) -> None:
        """Register the handler of received messages of a type."""
        self.handlers[kind] = handler


class Host:
    """Run CatalogueSync of one host and keep its last heartbeat."""

    def __init__(self, *, cluster: "Cluster", name: str, zone: str) -> None:
        self.name = name
        self.host = builders.make_host(name, zone=zone)
        self.state = catalogue_state.CatalogueState()
        self.mesh = FakeMesh(cluster=cluster, name=name)
        self.store = store_standin.FakeObjectStore(
            core=cluster.store_core, timer=cluster.timer
        )
        self.sync = sync.CatalogueSync(
            state=self.state,
            store=self.store,
            mesh=self.mesh,
            timer=cluster.timer,
            rng=cluster.rng,
            host=self.host,
        )
        self.heartbeat = self.make_heartbeat()
        self.task = asyncio.ensure_future(self.sync.run())

    def make_heartbeat(self) -> peers_model.Heartbeat:
        """Return a heartbeat with the current position and state."""
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
        self.store_core = store_standin.StoreCore()
        self.rng = random.Random(seed)
        self.hosts: dict[str, Host] = {}
        # Hosts that can reach each other, but none of the other hosts.
        self.partitioned: set[str] = set()
        # Hosts that send heartbeats but do not answer requests.
        self.unresponsive: set[str] = set()
        self.next_heartbeat_s = 0.0

    def connected(self, name: str, other: str) -> bool:
        """Return whether two hosts run and are on the same side."""
        return (
            name in self.hosts
            and other in self.hosts
            and (name in self.partitioned) == (other in self.partitioned)
        )

    def start(self, name: str, *, zone: str = "tallinn-a") -> Host:
        """Start a host without a catalogue."""
        host = Host(cluster=self, name=name, zone=zone)
        self.hosts[name] = host
        return host

    async def stop(self, name: str) -> None:
        """Stop a host without notice to its peers."""
        host = self.hosts.pop(name)
        host.task.cancel()
        await asyncio.gather(host.task, return_exceptions=True)

    async def close(self) -> None:
        """Stop all hosts."""
        for name in list(self.hosts):
            await self.stop(name)

    async def advance(self, delta_s: float) -> None:
        """Advance the clock in steps of STEP_S, sending heartbeats."""
        until_s = self.timer.monotonic() + delta_s
        while self.timer.monotonic() < until_s - 1e-9:
            self.timer.advance(STEP_S)
            if self.timer.monotonic() >= self.next_heartbeat_s:
                self.next_heartbeat_s = (
                    self.timer.monotonic() + const.HEARTBEAT_INTERVAL_S
                )
                for host in self.hosts.values():
                    host.heartbeat = host.make_heartbeat()
            # All tasks run until they wait for the clock again.
            for _ in range(12):
                await asyncio.sleep(0)
            for host in self.hosts.values():
                assert not host.task.done(), host.task.exception()

    def write(self, entry: schema.Entry | None, key: str) -> int:
        """Write an entry as a command would and return its revision."""
        stored = self.store_core.objects.get(codec.PREFIX + key)
        outcome = self.store_core.put(
            codec.PREFIX + key,
            dict(
                codec.encode_body(
                    change_id=str(self.store_core.revision), entry=entry
                )
            ),
            stored.revision if stored else 0,
        )
        assert outcome.current is not None
        return outcome.current.revision

    def write_work(self, *, cap: int, name: str = "w") -> int:
        """Write a version of a work entry that its cap identifies."""
        entry = builders.make_work(name, work_class=core.WorkClass.STATUS)
        entry["max_in_flight_per_region"] = cap
        return self.write(entry, f"work/{name}")
