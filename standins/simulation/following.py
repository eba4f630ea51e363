"""Simulate hosts that follow the store through each other, in virtual time."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from functools import partial
import heapq
import itertools
import random
from types import MappingProxyType

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.components.following import const
from samphirelug.components.following import coordinator
from samphirelug.components.following import links
from samphirelug.components.store import availability as store_availability
from samphirelug.components.store import feed
from samphirelug.components.store import follower
from samphirelug.components.store import io_transport
from samphirelug.components.store import model
from samphirelug.components.store import view as store_view
from samphirelug import core
from samphirelug.helpers import timer as timer_helper

STEP_S = 0.05
LINK_DELAY_S = 0.02
DIAL_TIMEOUT_S = 0.5
# Time after which a call fails that the store never answers: a watch and the
# time allowed for its answer.
STORE_LOSS_S = follower.WATCH_TIMEOUT_S + io_transport.REQUEST_TIMEOUT_S
# Time within which a draining server must be out of use, at small sites.
DRAIN_S = 2.5


class RecordingConsumer(store_view.ObjectConsumer):
    """Hold the objects that a host knows."""

    def __init__(self) -> None:
        self.objects: dict[str, model.StoredObject] = {}

    def begin_era(self) -> None:
        """Record nothing."""

    def replace_all(
        self, objects: Sequence[model.StoredObject], *, grace_s: float
    ) -> None:
        """Replace all objects."""
        del grace_s
        self.objects = {stored.key: stored for stored in objects}

    def upsert(self, stored: model.StoredObject) -> None:
        """Add or replace an object."""
        self.objects[stored.key] = stored

    def remove(self, name: str, *, grace_s: float) -> None:
        """Remove an object."""
        del grace_s
        self.objects.pop(name, None)


class World:
    """Hold the store, the hosts and the faults."""

    def __init__(
        self,
        *,
        zones: dict[str, str],
        hosts_per_zone: int,
        seed: int = 1,
        start_patience_s: float = const.FIRST_START_PATIENCE_S,
        list_s: float = 0.0,
        start_spread_s: float = 0.0,
        link_mbps: float = 0.0,
    ) -> None:
        # Rate of each host's own link, each way; 0 is no limit.
        self.link_mbps = link_mbps
        self.start_patience_s = start_patience_s
        # Time that the first lists of a host take.
        self.list_s = list_s
        self.timer = timer_helper.ManualTimerService()
        self.rng = random.Random(seed)
        self.revision = 1
        self.objects = {
            kind: {"x": model.StoredObject("x", 1, {"n": 1})}
            for kind in feed.ObjectKind
        }
        self.removals: list[tuple[int, feed.ObjectKind, str]] = []
        # Calls for changes, and those that confirm that there are none.
        self.store_calls = 0
        self.confirmations = 0
        self.sent_bytes = 0
        # Hosts that do not run, stand still, or are out of touch with all
        # hosts; hosts that do not reach the store.
        self.killed: set[str] = set()
        self.frozen: set[str] = set()
        self.cut: set[str] = set()
        self.without_store: set[str] = set()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        instances = [
            fleet_model.HostInstance(
                f"{zone}-{number}",
                "i1",
                core.AvailabilityZone(zone, region),
                "127.0.0.1:1",
                f"{zone}-{number}",
            )
            for zone, region in zones.items()
            for number in range(hosts_per_zone)
        ]
        self.hosts = {
            instance.name: SimulatedHost(instance, world=self)
            for instance in instances
        }
        for host in self.hosts.values():
            host.roster.update_from_list(instances, now=0.0)
        # Until a host has started, connections to it are refused.
        for name in self.hosts:
            if start_spread_s:
                self.killed.add(name)
                self.schedule(
                    self.rng.uniform(0.0, start_spread_s),
                    partial(self.killed.discard, name),
                )

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        heapq.heappush(
            self.events,
            (self.timer.now_s + delay_s, next(self.sequence), action),
        )

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        end_s = self.timer.now_s + seconds
        while self.timer.now_s < end_s:
            self.timer.now_s += STEP_S
            while self.events and self.events[0][0] <= self.timer.now_s:
                heapq.heappop(self.events)[2]()
            for host in self.hosts.values():
                if host.name not in self.killed | self.frozen:
                    host.step()

    def change(
        self,
        kind: feed.ObjectKind,
        name: str,
        *,
        value: Mapping[str, object] = MappingProxyType({}),
    ) -> int:
        """Write an object and return the store's revision."""
        self.revision += 1
        self.objects[kind][name] = model.StoredObject(
            name, self.revision, {"n": self.revision, **value}
        )
        return self.revision

    def remove(self, kind: feed.ObjectKind, name: str) -> int:
        """Remove an object and return the store's revision."""
        self.revision += 1
        del self.objects[kind][name]
        self.removals.append((self.revision, kind, name))
        return self.revision

    def kill(self, name: str) -> None:
        """End a host; its links are closed at once."""
        self.killed.add(name)
        host = self.hosts[name]
        for link in list(host.links):
            link.close()

    def start_again(self, name: str) -> None:
        """Start a host that was killed, without what it knew."""
        instance = self.hosts[name].roster.own
        self.killed.discard(name)
        self.hosts[name] = SimulatedHost(instance, world=self)
        self.hosts[name].roster.update_from_list(
            [host.roster.own for host in self.hosts.values()],
            now=self.timer.now_s,
        )

    def mark_absent(self, name: str) -> None:
        """Let all hosts know that one is absent, as its monitors tell."""
        for host in self.hosts.values():
            if name in host.roster.records:
                host.roster.adopt_absent(
                    [name], now=self.timer.now_s, source="test"
                )

    def behind(self) -> list[str]:
        """Return the running hosts that do not know the store's objects."""
        return [
            host.name
            for host in self.hosts.values()
            if host.name not in self.killed
            and any(
                host.views[kind].objects != objects
                for kind, objects in self.objects.items()
            )
        ]

    def readers(self) -> set[str]:
        """Return the running hosts that read the store."""
        return {
            host.name
            for host in self.hosts.values()
            if host.coordinator.direct and host.name not in self.killed
        }


class LinkDirection:
    """Pass frames one after the other at the rate of a host's own link."""

    def __init__(self, *, mbps: float) -> None:
        self.mbps = mbps
        self.free_at_s = 0.0

    def pass_at_s(self, size: int, *, now: float) -> float:
        """Return when a number of bytes that arrive now has passed."""
        if self.mbps:
            self.free_at_s = max(now, self.free_at_s) + (
                8 * size / (self.mbps * 1e6)
            )
        return max(now, self.free_at_s)


class SimulatedLink(links.FrameLink):
    """Deliver frames to the other end after a delay."""

    def __init__(
        self, *, world: World, own: str, other: str, opener: bool
    ) -> None:
        self.world = world
        self.own = own
        self.other = other
        self.opener = opener
        self.receiver: links.FrameReceiver | None = None
        self.peer: SimulatedLink | None = None
        self.closed = False
        # Time at which the last frame has left this host.
        self.sent_at_s = 0.0

    @property
    def is_congested(self) -> bool:
        """Return whether frames have not left this host yet."""
        return self.sent_at_s > self.world.timer.now_s

    def send(self, frame: bytes) -> None:
        """Deliver a frame unless one of the hosts is out of touch."""
        self.world.sent_bytes += len(frame)
        if self.closed or self.peer is None:
            return
        hosts = self.world.hosts
        self.sent_at_s = hosts[self.own].uplink.pass_at_s(
            len(frame), now=self.world.timer.now_s
        )
        arrives_at_s = hosts[self.other].downlink.pass_at_s(
            len(frame), now=self.sent_at_s
        )
        self.world.schedule(
            arrives_at_s - self.world.timer.now_s + LINK_DELAY_S,
            lambda: self._deliver(frame),
        )

    def _deliver(self, frame: bytes) -> None:
        peer = self.peer
        if peer is None or peer.closed or peer.receiver is None:
            return
        if {self.own, self.other} & (self.world.cut | self.world.killed):
            return
        if self.other in self.world.frozen:
            self.world.schedule(STEP_S, lambda: self._deliver(frame))
            return
        peer.receiver.handle_frame(frame)

    def close(self) -> None:
        """Close both ends."""
        if self.closed:
            return
        self.closed = True
        self.world.hosts[self.own].links.discard(self)
        peer = self.peer
        if peer is not None and not ({self.own, self.other} & self.world.cut):
            self.world.schedule(LINK_DELAY_S, peer.close_by_peer)

    def close_by_peer(self) -> None:
        """Close this end since the other one was closed."""
        if self.closed:
            return
        self.closed = True
        self.world.hosts[self.own].links.discard(self)
        if self.receiver is not None and self.own not in self.world.killed:
            self.receiver.handle_close()


class SimulatedDialer(links.LinkDialer):
    """Open links to other simulated hosts."""

    def __init__(self, *, world: World, own: str) -> None:
        self.world = world
        self.own = own

    def dial(
        self,
        address: str,
        *,
        receiver: links.FrameReceiver,
        on_open: Callable[[links.FrameLink], None],
    ) -> None:
        """Open a link; it fails if one of the hosts is out of touch."""
        world = self.world
        if address in world.killed:
            world.schedule(LINK_DELAY_S, receiver.handle_close)
            return
        if {self.own, address} & (world.cut | world.frozen):
            world.schedule(DIAL_TIMEOUT_S, receiver.handle_close)
            return

        def connect() -> None:
            ends = [
                SimulatedLink(
                    world=world, own=self.own, other=address, opener=True
                ),
                SimulatedLink(
                    world=world, own=address, other=self.own, opener=False
                ),
            ]
            ends[0].peer, ends[1].peer = ends[1], ends[0]
            world.hosts[self.own].links.add(ends[0])
            world.hosts[address].links.add(ends[1])
            ends[0].receiver = receiver
            ends[1].receiver = world.hosts[address].coordinator.accept(ends[1])
            on_open(ends[0])

        world.schedule(2 * LINK_DELAY_S, connect)


class SimulatedHost:
    """Run the coordinator of one host, with a reader of the store."""

    def __init__(
        self, instance: fleet_model.HostInstance, *, world: World
    ) -> None:
        self.name = instance.name
        self.world = world
        self.links: set[SimulatedLink] = set()
        self.uplink = LinkDirection(mbps=world.link_mbps)
        self.downlink = LinkDirection(mbps=world.link_mbps)
        self.roster = fleet_roster.HostRoster(own=instance)
        self.registry = fleet_registry.ServerRegistry()
        self.availability = store_availability.StoreAvailability(
            timer=world.timer
        )
        self.views = {
            kind: store_view.ObjectView(
                kind=kind, consumer=RecordingConsumer()
            )
            for kind in feed.ObjectKind
        }
        self.reading = False
        self.next_read_at_s = 0.0
        # Time at which the waiting watch was sent.
        self.watch_sent_at_s = 0.0
        self.next_tick_at_s = world.rng.uniform(0.0, const.TICK_INTERVAL_S)
        self.coordinator = coordinator.FollowCoordinator(
            own=instance,
            roster=self.roster,
            registry=self.registry,
            views=self.views,
            availability=self.availability,
            dialer=SimulatedDialer(world=world, own=self.name),
            timer=world.timer,
            rng=world.rng,
            drain_s=DRAIN_S,
            start_patience_s=world.start_patience_s,
            set_direct=self.set_direct,
        )

    def set_direct(self, direct: bool) -> None:
        """Start or end reading the store."""
        self.reading = direct
        self.watch_sent_at_s = self.world.timer.now_s
        self.next_read_at_s = 0.0
        if not self.coordinator.is_complete:
            self.next_read_at_s = self.world.timer.now_s + self.world.list_s
        if direct:
            self.world.store_calls += len(self.views)
        else:
            self.availability.stop_reading()

    def step(self) -> None:
        """Do what is due."""
        now = self.world.timer.now_s
        if self.reading and now >= self.next_read_at_s:
            self._read(now)
        if now >= self.next_tick_at_s:
            self.next_tick_at_s = now + (
                const.TICK_INTERVAL_S
                if self.coordinator.is_complete
                else const.START_TICK_INTERVAL_S
            )
            self.coordinator.tick()

    def _read(self, now: float) -> None:
        if now < self.watch_sent_at_s:
            return
        if {self.name} & (self.world.cut | self.world.without_store):
            if now - self.watch_sent_at_s >= STORE_LOSS_S:
                self.availability.record_failure(self, detail="cut")
            return
        sent_at_s = self.watch_sent_at_s
        if self._read_changes():
            self.availability.record_success()
            self.availability.record_confirmed(sent_at_s)
            self.watch_sent_at_s = now + follower.PAUSE_AFTER_CHANGE_S
        elif now - sent_at_s >= self.coordinator.confirm_interval_s:
            self.world.confirmations += 1
            self.availability.record_success()
            self.availability.record_confirmed(now)
            self.watch_sent_at_s = now

    def _read_changes(self) -> bool:
        """Apply what has changed; return whether anything has."""
        changed = False
        for kind, view in self.views.items():
            objects = self.world.objects[kind]
            if not view.revision:
                changed = True
                self.world.store_calls += 1
                view.replace_all(
                    model.Listing(
                        self.world.revision, tuple(objects.values())
                    ),
                    grace_s=0.0,
                )
                continue
            after = view.revision
            events: list[store_view.Event] = [
                stored
                for stored in objects.values()
                if stored.revision > after
            ]
            events += [
                feed.Removal(name)
                for revision, removed_kind, name in self.world.removals
                if revision > after
                and removed_kind is kind
                and name not in objects
            ]
            if not events:
                continue
            changed = True
            self.world.store_calls += 1
            view.apply(
                events,
                after=after,
                revision=self.world.revision,
                grace_s=0.0,
            )
        return changed
