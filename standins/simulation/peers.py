"""Simulate a fleet of entry hosts with the real topology and relay code.

Uses no sockets. Run as a module, it prints the control traffic of fleets of
several sizes:
python -m standins.simulation.peers 30 10 100 1000 6700
The first number is the time to simulate in seconds, the others are the
numbers of hosts.
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

# Size of the websocket header of a frame of 126 to 65,535 bytes, with the mask
# that clients add.
FRAME_BYTES = 6
# Hosts per zone and zones per region of the full fleet, which has 6,700 hosts
# in 218 zones of 55 regions.
HOSTS_PER_ZONE = 31
ZONES_PER_REGION = 4


class SimulatedHost:
    """Simulate one host: its relay, peers and traffic counters."""

    def __init__(self, *, host: core.EntryHost) -> None:
        self.host = host
        self.relay = relay.Relay(own=host)
        self.peers: set[str] = set()
        self.watcher = False
        self.primary_watcher = False
        self.position = 1
        self.sent = self.received = 0
        self.sent_bytes = self.received_bytes = 0
        # Time at which this host first received a sighting of a server, by
        # server.
        self.received_at: dict[str, float] = {}

    def heartbeat(self, now: float) -> model.Heartbeat:
        """Return the heartbeat of the host."""
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
    """Connect simulated hosts by the topology and run their relays."""

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
        self.full_mesh = size <= const.FULL_MESH_MAX_HOSTS
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
        # Other hosts than watchers connect only to the watchers of their zone.
        for node in nodes:
            simulated = self.hosts[node.name]
            members = self.zones[node.zone.name]
            if self.full_mesh or simulated.watcher:
                peers_to_dial = topology.peers_to_dial(node, nodes)
            else:
                peers_to_dial = frozenset(
                    member.host.name for member in members if member.watcher
                )
            for name in peers_to_dial:
                simulated.peers.add(name)
                self.hosts[name].peers.add(node.name)
        if not self.full_mesh:
            self.update_relay_peers()

    def update_relay_peers(self) -> None:
        """Set the peers of each relay from the peers of its host."""
        for simulated in self.hosts.values():
            peers = [self.hosts[name] for name in simulated.peers]
            simulated.relay.set_peers(
                watcher=simulated.watcher,
                primary_watcher=simulated.primary_watcher,
                primary_watchers=[
                    peer.host.name for peer in peers if peer.primary_watcher
                ],
                others=[
                    peer.host.name
                    for peer in peers
                    if not peer.primary_watcher
                ],
            )

    def record_sightings(
        self, name: str, sightings: Iterable[model.Sighting]
    ) -> None:
        """Record the sightings that reached a host."""
        for sighting in sightings:
            self.hosts[name].received_at.setdefault(sighting.server, self.now)

    def observe(self, name: str, sighting: model.Sighting) -> None:
        """Make a host originate a sighting."""
        self.record_sightings(name, [sighting])
        self.hosts[name].relay.originate(sighting, now=self.now)

    def step(self, *, rng: random.Random | None = None) -> None:
        """Deliver the messages in flight, then run one tick of each relay.

        With a generator, messages are reordered and some are duplicated.
        """
        arriving, self.in_flight = self.in_flight, []
        if rng is not None:
            arriving += [item for item in arriving if rng.random() < 0.3]
            rng.shuffle(arriving)
        self.now += const.RELAY_TICK_S
        for sender, outgoing, size in arriving:
            receiver = self.hosts[outgoing.peer]
            receiver.received += 1
            receiver.received_bytes += size
            new_sightings = receiver.relay.receive(
                sender, outgoing.message, now=self.now
            )
            self.record_sightings(outgoing.peer, new_sightings)
        if self.full_mesh:
            return
        for name, simulated in self.hosts.items():
            zone_heartbeats: tuple[model.Heartbeat, ...] = ()
            if simulated.primary_watcher:
                zone_heartbeats = tuple(
                    member.heartbeat(self.now)
                    for member in self.zones[simulated.host.zone.name]
                    if member is not simulated
                )
            for outgoing in simulated.relay.tick(
                own_heartbeat=simulated.heartbeat(self.now),
                zone_heartbeats=zone_heartbeats,
                build_summary=simulated.primary_watcher,
                now=self.now,
            ):
                size = len(codec.encode(outgoing.message)) + FRAME_BYTES
                simulated.sent += 1
                simulated.sent_bytes += size
                self.in_flight.append((name, outgoing, size))

    def warm_up(self) -> None:
        """Set the summaries of all zones at every host.

        Simulating their distribution takes minutes for the full fleet.
        """
        summaries: dict[str, relay.KnownZone] = {}
        for simulated in self.hosts.values():
            if simulated.primary_watcher:
                name = simulated.host.zone.name
                heartbeats = [
                    member.heartbeat(self.now) for member in self.zones[name]
                ]
                simulated.relay.tick(
                    own_heartbeat=heartbeats[0],
                    zone_heartbeats=heartbeats[1:],
                    build_summary=True,
                    now=0.0,
                )
                summaries[name] = simulated.relay.zones[name]
        for simulated in self.hosts.values():
            simulated.relay.zones = dict(summaries)
            for outbox in simulated.relay.outboxes.values():
                outbox.summaries.clear()

    def reset_counters(self) -> None:
        """Reset the traffic counters."""
        for simulated in self.hosts.values():
            simulated.sent = simulated.received = 0
            simulated.sent_bytes = simulated.received_bytes = 0


def heartbeat_bytes(*, regions: int, services: int, changed: int) -> int:
    """Return the size of a sparse heartbeat in bytes.

    Of the headroom items, the given number has changed.
    """
    headroom = tuple(
        model.RegionHeadroom(
            f"region-{region_number:02}", f"service-{service_number}", 7, 5
        )
        for region_number in range(regions)
        for service_number in range(services)
    )
    host = SimulatedHost(host=builders.make_host("eh-0001"))
    heartbeat = host.heartbeat(1000.0)._replace(headroom=headroom)
    encoder = codec.SparseEncoder()
    encoder.encode(heartbeat)
    changed_heartbeat = heartbeat._replace(
        clock_ms=1_000_500,
        queued=(1, 2, 3) if changed else heartbeat.queued,
        wait_s=(0.1, 0.2, 0.3) if changed else heartbeat.wait_s,
        headroom=tuple(
            item._replace(free=item.free - 1) if index < changed else item
            for index, item in enumerate(headroom)
        ),
    )
    return len(encoder.encode(changed_heartbeat)) + FRAME_BYTES


def measure(size: int, *, seconds: float, rng: random.Random) -> None:
    """Simulate a fleet of one size and print its control traffic."""
    started_s = time.perf_counter()
    fleet = Fleet(size=size, hosts_per_zone=min(HOSTS_PER_ZONE, size))
    if not fleet.full_mesh:
        fleet.warm_up()
    while fleet.now < 2.0:
        fleet.step()
    fleet.reset_counters()
    # The load is 20,000 catalogue changes a day and the sightings of 450 hosts
    # a day that leave and return. Each host gets a change after 0.1 to 1.1 s.
    change_s = 86_400 / 20_000
    sighting_s = 86_400 / 900
    start = fleet.now
    next_change_s, next_sighting_s = start, start
    pending_changes: list[tuple[float, SimulatedHost, int]] = []
    revision, servers = 1, 0
    observed_at: dict[str, float] = {}
    changed_at: dict[int, float] = {}
    in_force: dict[tuple[str, int], float] = {}
    while fleet.now < start + seconds:
        if fleet.now >= next_change_s:
            revision += 1
            next_change_s += change_s
            changed_at[revision] = fleet.now
            for simulated in fleet.hosts.values():
                pending_changes.append(
                    (fleet.now + 0.1 + rng.random(), simulated, revision)
                )
        for when, simulated, revision_to_set in pending_changes:
            if when <= fleet.now:
                simulated.position = max(simulated.position, revision_to_set)
        pending_changes = [
            item for item in pending_changes if item[0] > fleet.now
        ]
        if fleet.now >= next_sighting_s and not fleet.full_mesh:
            servers += 1
            next_sighting_s += sighting_s
            name = rng.choice(list(fleet.hosts))
            server = f"server-{servers:04}"
            observed_at[server] = fleet.now
            fleet.observe(name, model.Sighting(server, "inc", True, 0))
        fleet.step()
        for name, simulated in fleet.hosts.items():
            lowest = simulated.relay.lowest_revision()
            if lowest in changed_at:
                in_force.setdefault((name, lowest), fleet.now)
    report(fleet, seconds)
    report_delays(fleet, observed_at, changed_at, in_force)
    print(f"  simulated in {time.perf_counter() - started_s:.0f} s")


def report(fleet: Fleet, seconds: float) -> None:
    """Print messages and bytes per second by role."""
    for load, regions, changed in (("idle", 3, 0), ("busy", 3, 6)):
        heartbeat_size = heartbeat_bytes(
            regions=regions, services=2, changed=changed
        )
        heartbeats_per_peer_s = 1 / shared_const.HEARTBEAT_INTERVAL_S
        if not fleet.full_mesh:
            # Only some of the heartbeats contain new amounts.
            unchanged_size = heartbeat_bytes(
                regions=regions, services=2, changed=0
            )
            share = (
                shared_const.HEARTBEAT_INTERVAL_S / const.AMOUNTS_INTERVAL_S
            )
            heartbeat_size = round(
                share * heartbeat_size + (1 - share) * unchanged_size
            )
        for role in ("watcher", "other", "all"):
            selected = [
                simulated
                for simulated in fleet.hosts.values()
                if role == "all" or simulated.watcher is (role == "watcher")
            ]
            if not selected:
                continue
            rows = []
            for simulated in selected:
                heartbeats_per_s = heartbeats_per_peer_s * len(simulated.peers)
                rows.append(
                    (
                        simulated.sent / seconds + heartbeats_per_s,
                        simulated.sent_bytes / seconds
                        + heartbeats_per_s * heartbeat_size,
                        simulated.received_bytes / seconds
                        + heartbeats_per_s * heartbeat_size,
                        simulated.sent_bytes / seconds,
                        simulated.received_bytes / seconds,
                        len(simulated.peers),
                    )
                )
            mean = [
                sum(column) / len(rows) for column in zip(*rows, strict=True)
            ]
            worst = [max(column) for column in zip(*rows, strict=True)]
            worst_sum = max(row[1] + row[2] for row in rows)
            print(
                f"{len(fleet.hosts):5} nodes {load} {role:7} n={len(rows):4}"
                f" peers {mean[5]:.1f}/{worst[5]}"
                f" sent msg/s {mean[0]:.1f}/{worst[0]:.1f}"
                f" sent B/s {mean[1]:.0f}/{worst[1]:.0f}"
                f" received B/s {mean[2]:.0f}/{worst[2]:.0f}"
                f" sum {mean[1] + mean[2]:.0f}/{worst_sum:.0f}"
                f" of it relay {mean[3] + mean[4]:.0f} (mean/worst)"
            )


def report_delays(
    fleet: Fleet,
    observed_at: dict[str, float],
    changed_at: dict[int, float],
    in_force: dict[tuple[str, int], float],
) -> None:
    """Print the delays until sightings and positions reached all hosts."""
    sighting_delays_s = [
        simulated.received_at[server] - when
        for server, when in observed_at.items()
        for simulated in fleet.hosts.values()
        if server in simulated.received_at
    ]
    reached = len(sighting_delays_s)
    print(
        f"  sightings {len(observed_at)}, reached {reached} of "
        f"{len(observed_at) * len(fleet.hosts)}, worst "
        f"{max(sighting_delays_s, default=0.0):.2f} s"
    )
    delays_s = [
        when - changed_at[revision] for (_, revision), when in in_force.items()
    ]
    print(
        f"  lowest position known at {len(delays_s)} of "
        f"{len(changed_at) * len(fleet.hosts)} host changes, worst "
        f"{max(delays_s, default=0.0):.2f} s after the change (hosts take "
        f"it over 0.1 to 1.1 s after it)"
    )


if __name__ == "__main__":
    for size in sys.argv[2:]:
        measure(int(size), seconds=float(sys.argv[1]), rng=random.Random(1))
