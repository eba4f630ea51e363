"""Drive the pure relay and topology as a fleet, without sockets.

Run as a module, it prints control traffic for several sizes of fleet:
python -m tests.components.peers.fleet 30 10 100 1000 6700
The first number is the time to simulate, in seconds.
"""

from collections.abc import Iterable
import random
import sys
import time

from samphirelug.components.peers import codec
from samphirelug.components.peers import const
from samphirelug.components.peers import model
from samphirelug.components.peers import relay
from samphirelug.components.peers import topology
from samphirelug import const as shared_const
from samphirelug import core
from standins import builders

# Header of a websocket frame of 126 to 65,535 bytes, and mask of a client.
FRAME_BYTES = 6
# Hosts of a zone and zones of a region at full size: 6,700 hosts in 218
# zones of 55 regions.
HOSTS_PER_ZONE = 31
ZONES_PER_REGION = 4


class SimulatedHost:
    """Hold one host's relay, its peers and what it has counted."""

    def __init__(self, *, host: core.EntryHost) -> None:
        self.host = host
        self.relay = relay.Relay(own=host)
        self.peers: set[str] = set()
        self.watcher = False
        self.primary_watcher = False
        self.position = 1
        self.sent = self.received = 0
        self.sent_bytes = self.received_bytes = 0
        # When this host first got each sighting, by server.
        self.received_at: dict[str, float] = {}

    def heartbeat(self, now: float) -> model.Heartbeat:
        """Return the host's heartbeat."""
        return model.Heartbeat(
            host=self.host,
            state=core.EntryHostState.SERVING,
            clock_ms=int(now * 1000),
            catalogue_revision=self.position,
            headroom=(),
            queued=(0, 0, 0),
            wait_s=(0.0, 0.0, 0.0),
            sightings=(),
        )


class Fleet:
    """Connect simulated hosts by the topology and step their relays."""

    def __init__(self, *, size: int, hosts_per_zone: int) -> None:
        self.now = 0.0
        self.hosts: dict[str, SimulatedHost] = {}
        self.zones: dict[str, list[SimulatedHost]] = {}
        for index in range(size):
            zone = index // hosts_per_zone
            region = f"region-{zone // ZONES_PER_REGION:02}"
            host = builders.make_host(f"eh-{index:04}")._replace(
                zone=core.AvailabilityZone(f"{region}-{zone:03}", region)
            )
            simulated = SimulatedHost(host=host)
            self.hosts[host.name] = simulated
            self.zones.setdefault(host.zone.name, []).append(simulated)
        self.full = size <= const.FULL_MESH_MAX_HOSTS
        self.in_flight: list[tuple[str, relay.OutgoingMessage, int]] = []
        self._connect()

    def _connect(self) -> None:
        nodes = [
            topology.Node(name, simulated.host.zone)
            for name, simulated in self.hosts.items()
        ]
        for zone, members in self.zones.items():
            names = [member.host.name for member in members]
            for rank, name in enumerate(topology.watchers_of(zone, names)):
                self.hosts[name].watcher = True
                self.hosts[name].primary_watcher = rank == 0
        # Hosts that are not watchers only look at their own zone.
        for node in nodes:
            simulated = self.hosts[node.name]
            members = self.zones[node.zone.name]
            if self.full or simulated.watcher:
                peers_to_dial = topology.peers_to_dial(node, nodes)
            else:
                peers_to_dial = frozenset(
                    member.host.name for member in members if member.watcher
                )
            for name in peers_to_dial:
                simulated.peers.add(name)
                self.hosts[name].peers.add(node.name)
        if not self.full:
            self.update_relay_peers()

    def update_relay_peers(self) -> None:
        """Give each relay its peers."""
        for simulated in self.hosts.values():
            peers = [self.hosts[name] for name in simulated.peers]
            simulated.relay.set_peers(
                watcher=simulated.watcher,
                primary_watcher=simulated.primary_watcher,
                primary_watchers=[
                    p.host.name for p in peers if p.primary_watcher
                ],
                others=[p.host.name for p in peers if not p.primary_watcher],
            )

    def deliver(self, name: str, sightings: Iterable[model.Sighting]) -> None:
        """Note sightings that reached a host."""
        for sighting in sightings:
            self.hosts[name].received_at.setdefault(sighting.server, self.now)

    def observe(self, name: str, sighting: model.Sighting) -> None:
        """Let a host observe a server itself."""
        self.deliver(name, [sighting])
        self.hosts[name].relay.originate(sighting, now=self.now)

    def step(self, *, rng: random.Random | None = None) -> None:
        """Deliver what is in flight, then let every host send.

        With a generator, messages are reordered and some come twice.
        """
        arriving, self.in_flight = self.in_flight, []
        if rng is not None:
            arriving += [item for item in arriving if rng.random() < 0.3]
            rng.shuffle(arriving)
        self.now += const.RELAY_TICK_S
        for sender, outgoing, size in arriving:
            to = self.hosts[outgoing.peer]
            to.received += 1
            to.received_bytes += size
            new = to.relay.receive(sender, outgoing.message, now=self.now)
            self.deliver(outgoing.peer, new)
        if self.full:
            return
        for name, simulated in self.hosts.items():
            zone: tuple[model.Heartbeat, ...] = ()
            if simulated.primary_watcher:
                zone = tuple(
                    member.heartbeat(self.now)
                    for member in self.zones[simulated.host.zone.name]
                    if member is not simulated
                )
            for outgoing in simulated.relay.tick(
                own=simulated.heartbeat(self.now),
                zone=zone,
                build_summary=simulated.primary_watcher,
                now=self.now,
            ):
                size = len(codec.encode(outgoing.message)) + FRAME_BYTES
                simulated.sent += 1
                simulated.sent_bytes += size
                self.in_flight.append((name, outgoing, size))

    def warm_up(self) -> None:
        """Give every host every zone's summary, as after a long run.

        Sending them over all links takes minutes to simulate at full size.
        """
        known: dict[str, relay.KnownZone] = {}
        for simulated in self.hosts.values():
            if simulated.primary_watcher:
                name = simulated.host.zone.name
                zone = [m.heartbeat(self.now) for m in self.zones[name]]
                simulated.relay.tick(
                    own=zone[0], zone=zone[1:], build_summary=True, now=0.0
                )
                known[name] = simulated.relay.zones[name]
        for simulated in self.hosts.values():
            simulated.relay.zones = dict(known)
            for box in simulated.relay.outboxes.values():
                box.summaries.clear()

    def reset_counters(self) -> None:
        """Set the counts of traffic to zero."""
        for simulated in self.hosts.values():
            simulated.sent = simulated.received = 0
            simulated.sent_bytes = simulated.received_bytes = 0


def heartbeat_bytes(*, regions: int, services: int, changed: int) -> int:
    """Return the size of a sparse heartbeat after some headroom changed."""
    headroom = tuple(
        model.RegionHeadroom(f"region-{r:02}", f"service-{s}", 7, 5)
        for r in range(regions)
        for s in range(services)
    )
    host = SimulatedHost(host=builders.make_host("eh-0001"))
    beat = host.heartbeat(1000.0)._replace(headroom=headroom)
    encoder = codec.SparseEncoder()
    encoder.encode(beat)
    after = beat._replace(
        clock_ms=1_000_500,
        queued=(1, 2, 3) if changed else beat.queued,
        wait_s=(0.1, 0.2, 0.3) if changed else beat.wait_s,
        headroom=tuple(
            item._replace(free=item.free - 1) if n < changed else item
            for n, item in enumerate(headroom)
        ),
    )
    return len(encoder.encode(after)) + FRAME_BYTES


def measure(size: int, *, seconds: float, rng: random.Random) -> None:
    """Print control traffic of a fleet of one size."""
    started_s = time.perf_counter()
    fleet = Fleet(size=size, hosts_per_zone=min(HOSTS_PER_ZONE, size))
    if not fleet.full:
        fleet.warm_up()
    while fleet.now < 2.0:
        fleet.step()
    fleet.reset_counters()
    # 20,000 changes a day, and sightings for 450 hosts a day that leave and
    # return; the zones get a change 0.5 to 1.5 s apart.
    change_s = 86_400 / 20_000
    sighting_s = 86_400 / 900
    start = fleet.now
    next_change, next_sighting = start, start
    pending: list[tuple[float, SimulatedHost, int]] = []
    revision, servers = 1, 0
    seen_at: dict[str, float] = {}
    changed_at: dict[int, float] = {}
    in_force: dict[tuple[str, int], float] = {}
    while fleet.now < start + seconds:
        if fleet.now >= next_change:
            revision += 1
            next_change += change_s
            changed_at[revision] = fleet.now
            for simulated in fleet.hosts.values():
                pending.append(
                    (fleet.now + 0.1 + rng.random(), simulated, revision)
                )
        for when, simulated, target in pending:
            if when <= fleet.now:
                simulated.position = max(simulated.position, target)
        pending = [item for item in pending if item[0] > fleet.now]
        if fleet.now >= next_sighting and not fleet.full:
            servers += 1
            next_sighting += sighting_s
            name = rng.choice(list(fleet.hosts))
            server = f"server-{servers:04}"
            seen_at[server] = fleet.now
            fleet.observe(name, model.Sighting(server, "inc", True, 0))
        fleet.step()
        for name, simulated in fleet.hosts.items():
            lowest = simulated.relay.lowest_revision()
            if lowest in changed_at:
                in_force.setdefault((name, lowest), fleet.now)
    report(fleet, seconds)
    report_delays(fleet, seen_at, changed_at, in_force)
    print(f"  simulated in {time.perf_counter() - started_s:.0f} s")


def report(fleet: Fleet, seconds: float) -> None:
    """Print messages and bytes a second by role."""
    for kind, regions, changed in (("idle", 3, 0), ("busy", 3, 6)):
        beat = heartbeat_bytes(regions=regions, services=2, changed=changed)
        rate = 1 / shared_const.HEARTBEAT_INTERVAL_S
        if not fleet.full:
            # The amounts are part of some of the heartbeats only.
            still = heartbeat_bytes(regions=regions, services=2, changed=0)
            part = shared_const.HEARTBEAT_INTERVAL_S / const.AMOUNTS_INTERVAL_S
            beat = round(part * beat + (1 - part) * still)
        for role in ("watcher", "other", "all"):
            chosen = [
                simulated
                for simulated in fleet.hosts.values()
                if role == "all" or simulated.watcher is (role == "watcher")
            ]
            if not chosen:
                continue
            rows = []
            for simulated in chosen:
                beats = rate * len(simulated.peers)
                rows.append(
                    (
                        simulated.sent / seconds + beats,
                        simulated.sent_bytes / seconds + beats * beat,
                        simulated.received_bytes / seconds + beats * beat,
                        simulated.sent_bytes / seconds,
                        simulated.received_bytes / seconds,
                        len(simulated.peers),
                    )
                )
            mean = [
                sum(column) / len(rows) for column in zip(*rows, strict=True)
            ]
            worst = [max(column) for column in zip(*rows, strict=True)]
            both = max(row[1] + row[2] for row in rows)
            print(
                f"{len(fleet.hosts):5} nodes {kind} {role:7} n={len(rows):4}"
                f" peers {mean[5]:.1f}/{worst[5]}"
                f" sent msg/s {mean[0]:.1f}/{worst[0]:.1f}"
                f" sent B/s {mean[1]:.0f}/{worst[1]:.0f}"
                f" received B/s {mean[2]:.0f}/{worst[2]:.0f}"
                f" sum {mean[1] + mean[2]:.0f}/{both:.0f}"
                f" of it relay {mean[3] + mean[4]:.0f} (mean/worst)"
            )


def report_delays(
    fleet: Fleet,
    seen_at: dict[str, float],
    changed_at: dict[int, float],
    in_force: dict[tuple[str, int], float],
) -> None:
    """Print how long sightings and positions took to reach all hosts."""
    delays = [
        simulated.received_at[server] - when
        for server, when in seen_at.items()
        for simulated in fleet.hosts.values()
        if server in simulated.received_at
    ]
    reached = len(delays)
    print(
        f"  sightings {len(seen_at)}, reached {reached} of "
        f"{len(seen_at) * len(fleet.hosts)}, worst "
        f"{max(delays, default=0.0):.2f} s"
    )
    late = [
        when - changed_at[revision] for (_, revision), when in in_force.items()
    ]
    print(
        f"  lowest position known at {len(late)} of "
        f"{len(changed_at) * len(fleet.hosts)} host changes, worst "
        f"{max(late, default=0.0):.2f} s after the change (hosts take "
        f"it over 0.1 to 1.1 s after it)"
    )


if __name__ == "__main__":
    for text in sys.argv[2:]:
        measure(int(text), seconds=float(sys.argv[1]), rng=random.Random(1))
