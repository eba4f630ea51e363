"""Measure how following the store through other hosts grows with the fleet."""

from collections.abc import Callable
from functools import partial
import gc
import tracemalloc
from typing import NamedTuple

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.components.following import frames
from samphirelug.components.following import plan
from samphirelug.components.store import feed
from samphirelug.components.store import model as store_model
from samphirelug.components.store import view as store_view
from samphirelug import core
from standins.simulation import following

SIZES = (30, 100, 300, 1000)
SIMULATED_SIZES = (30, 100, 300)
HOSTS_PER_ZONE = 31
ZONES_PER_REGION = 4
STEADY_S = 10.0
# An entry of a backend server has about this many bytes as JSON.
ENTRY_BYTES = 330


class Measurement(NamedTuple):
    """Hold one cost by number of hosts."""

    title: str
    sizes: tuple[int, ...]
    values: list[float]
    unit: str


def make_hosts(count: int) -> list[fleet_model.HostInstance]:
    """Return entry hosts in zones of 31 hosts and regions of four zones."""
    hosts = []
    for number in range(count):
        zone = number // HOSTS_PER_ZONE
        hosts.append(
            fleet_model.HostInstance(
                f"front-{number}",
                "i1",
                core.AvailabilityZone(
                    f"zone-{zone}", f"region-{zone // ZONES_PER_REGION}"
                ),
                "127.0.0.1:1",
                "127.0.0.1:2",
            )
        )
    return hosts


def measure(
    cpu_time_ms: Callable[[Callable[[], object]], float],
) -> list[Measurement]:
    """Return the costs of one host, given a function that times a call."""
    plans: list[float] = []
    ticks: list[float] = []
    lists: list[float] = []
    memory: list[float] = []
    for size in SIZES:
        hosts = make_hosts(size)
        gc.collect()
        tracemalloc.start()
        roster = fleet_roster.HostRoster(own=hosts[0])
        roster.update_from_list(hosts, now=0.0)
        memory.append(tracemalloc.get_traced_memory()[0] / 1e6)
        tracemalloc.stop()
        others = roster.serving()
        plans.append(cpu_time_ms(partial(plan.make_plan, hosts[0], others)))
        ticks.append(cpu_time_ms(partial(roster.tick, now=0.0)))
        lists.append(cpu_time_ms(partial(_receive_list, size)))
    beats, leaving = _simulate()
    return [
        Measurement("plan after a change of the hosts", SIZES, plans, "ms"),
        Measurement("beats to monitors, each 0.75 s", SIZES, ticks, "ms"),
        Measurement("first list of twice as many servers", SIZES, lists, "ms"),
        Measurement("memory of the roster", SIZES, memory, "MB"),
        Measurement(
            "payload of beats to followers, a host",
            SIMULATED_SIZES,
            beats,
            "bytes/s",
        ),
        Measurement(
            "payload of one leaving server, a host",
            SIMULATED_SIZES,
            leaving,
            "bytes",
        ),
    ]


class _IgnoringConsumer(store_view.ObjectConsumer):
    def begin_era(self) -> None:
        """Ignore the era."""

    def replace_all(self, objects: object, *, grace_s: float) -> None:
        """Ignore the objects."""

    def upsert(self, stored: object) -> None:
        """Ignore the object."""

    def remove(self, name: str, *, grace_s: float) -> None:
        """Ignore the removal."""


def _receive_list(hosts: int) -> None:
    """Encode, decode and apply the first list of a fleet's servers."""
    kind = feed.ObjectKind.BACKEND_SERVERS
    objects = tuple(
        store_model.StoredObject(
            f"i-{number}", number, {"Address": "x" * ENTRY_BYTES}
        )
        for number in range(2 * hosts)
    )
    update = frames.make_update(
        kind, store_view.Delta(0, 1, objects, True), grace_s=0.0
    )
    received = frames.decode(frames.encode(update))
    assert isinstance(received, frames.Update)
    view = store_view.ObjectView(kind=kind, consumer=_IgnoringConsumer())
    frames.apply_update(received, view)


def _simulate() -> tuple[list[float], list[float]]:
    """Return bytes a host: of beats a second, and of one leaving server."""
    beats: list[float] = []
    leaving: list[float] = []
    zones = {
        f"{region}{number}": region for region in "abc" for number in "12"
    }
    for size in SIMULATED_SIZES:
        world = following.World(zones=zones, hosts_per_zone=size // len(zones))
        world.run(5.0)
        before = world.sent_bytes
        world.run(STEADY_S)
        beats.append((world.sent_bytes - before) / STEADY_S / len(world.hosts))
        before = world.sent_bytes
        world.hosts["a1-0"].registry.mark_leaving(
            fleet_model.Incarnation("i-7f3a91c2", 1786327788275),
            source="answer",
        )
        world.run(0.3)
        leaving.append((world.sent_bytes - before) / len(world.hosts))
    return beats, leaving
