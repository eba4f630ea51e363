"""Test how hosts follow the catalogue through faults."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from samphirelug.components.catalogue import state as catalogue_state
from samphirelug.components.catalogue import sync
from samphirelug import core
from standins import builders
from tests.components.catalogue import cluster as catalogue_cluster


def run(
    body: Callable[[catalogue_cluster.Cluster], Awaitable[None]],
) -> None:
    async def wrapped() -> None:
        cluster = catalogue_cluster.Cluster()
        await body(cluster)
        await cluster.close()

    asyncio.run(wrapped())


def caps(cluster: catalogue_cluster.Cluster) -> dict[str, int]:
    return {
        name: host.state.view.works["w"]["max_in_flight_per_region"]
        for name, host in cluster.hosts.items()
        if "w" in host.state.view.works
    }


def test_change_is_in_force_on_every_host_within_4_s() -> None:
    """Guard against hosts that learn of a change late or never."""

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=1)
        for name in ("a1", "a2", "a3", "a4"):
            cluster.start(name)
        for name in ("b1", "b2", "b3"):
            cluster.start(name, zone="tartu-a")
        await cluster.advance(8.0)
        assert all(host.sync.ready for host in cluster.hosts.values())
        for cap in range(2, 8):
            cluster.write_work(cap=cap)
            await cluster.advance(4.0)
            assert set(caps(cluster).values()) == {cap}
        assert cluster.core.waiting <= 4

    run(body)


def test_host_that_restarts_in_an_outage_takes_the_peers_catalogue() -> None:
    """Guard against a restarted host that waits for the store."""

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=5)
        for name in ("a1", "a2", "a3"):
            cluster.start(name)
        await cluster.advance(8.0)
        cluster.core.faults.down = True
        await cluster.stop("a1")
        host = cluster.start("a1")
        await cluster.advance(3.0)
        assert host.sync.ready
        assert caps(cluster) == {"a1": 5, "a2": 5, "a3": 5}

    run(body)


def test_host_does_not_serve_an_older_catalogue_than_its_peers() -> None:
    """Guard against a stale listing after a restart."""

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        for cap in range(1, 6):
            cluster.write_work(cap=cap)
        cluster.start("a1")
        await cluster.advance(8.0)
        cluster.core.faults.stale_by = 3
        cluster.mute.add("a1")
        host = cluster.start("a2")
        for _ in range(20):
            await cluster.advance(1.0)
            assert not host.sync.ready
        assert caps(cluster) == {"a1": 5, "a2": 2}
        cluster.mute.clear()
        await cluster.advance(3.0)
        assert host.sync.ready
        assert caps(cluster)["a2"] == 5

    run(body)


def test_host_with_part_of_a_catalogue_is_not_ready(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against serving when the peer dies between two parts."""
    monkeypatch.setattr(catalogue_state, "MAX_DELTA_BYTES", 400)

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        for name in "wxyz":
            cluster.write_work(cap=1, name=name)
        cluster.start("a1")
        await cluster.advance(8.0)
        cluster.core.faults.down = True
        host = cluster.start("a2")
        while not host.state.objects:
            await cluster.advance(0.1)
        assert len(host.state.objects) < 4
        assert host.state.position == 0
        await cluster.stop("a1")
        await cluster.advance(20.0)
        assert not host.sync.ready
        # It is no source for others either.
        other = cluster.start("a3")
        await cluster.advance(10.0)
        assert not other.state.position
        cluster.core.faults.down = False
        await cluster.advance(5.0)
        assert host.sync.ready
        assert len(host.state.view.works) == 4

    run(body)


def test_position_stays_while_a_large_delta_comes_in_parts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a position above a version that no part holds."""
    monkeypatch.setattr(catalogue_state, "MAX_DELTA_BYTES", 400)

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=1, name="a")
        first = cluster.start("a1")
        host = cluster.start("a2")
        host.store.reachable = False
        await cluster.advance(8.0)
        before = host.state.position
        cluster.cut_off.add("a2")
        for name in "abcdea":
            cluster.write_work(cap=2, name=name)
        await cluster.advance(4.0)
        cluster.cut_off.clear()
        positions: set[int] = set()
        while host.state.position < first.state.position:
            await cluster.advance(0.1)
            positions.add(host.state.position)
            # The change of "a" to cap 2 came first and again last.
            if host.state.position > before:
                works = host.state.view.works
                assert works["a"]["max_in_flight_per_region"] == 2
        assert positions == {before, first.state.position}

    run(body)


def test_host_fed_by_peers_reports_rejected_entries() -> None:
    """Guard against a change that is reported as in force and is not."""

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=1)
        cluster.start("a1")
        host = cluster.start("a2")
        host.store.reachable = False
        await cluster.advance(8.0)
        key = "catalogue/work/w"
        value = {"change_id": "c", "deleted": False, "entry": {"kind": "no"}}
        cluster.core.put(key, value, cluster.core.objects[key].revision)
        await cluster.advance(4.0)
        assert list(host.state.rejected) == ["work/w"]
        assert caps(cluster) == {"a1": 1, "a2": 1}
        cluster.write_work(cap=3)
        await cluster.advance(4.0)
        assert not host.state.rejected
        assert caps(cluster) == {"a1": 3, "a2": 3}

    run(body)


def test_start_without_any_source() -> None:
    """Guard against serving without a catalogue, and never recovering."""

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=1)
        cluster.core.faults.down = True
        host = cluster.start("a1")
        await cluster.advance(30.0)
        assert not host.sync.ready
        assert sum(cluster.core.calls.values()) < 30
        cluster.core.faults.down = False
        await cluster.advance(4.0)
        assert host.sync.ready

    run(body)


def test_hosts_read_the_store_when_their_watchers_cannot() -> None:
    """Guard against a zone that hears only from watchers without a store."""

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=1)
        for name in ("a1", "a2", "a3", "a4"):
            cluster.start(name)
        await cluster.advance(8.0)
        for host in cluster.hosts.values():
            host.store.reachable = not host.sync.is_watcher()
        cluster.write_work(cap=2)
        await cluster.advance(
            sync.FALLBACK_WAIT_S + sync.FALLBACK_JITTER_S + 2.0
        )
        assert set(caps(cluster).values()) == {2}

    run(body)


def test_change_that_a_watch_skips_is_in_force_within_4_s() -> None:
    """Guard against trust in the position of an answer that skips."""

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=1)
        for name in ("a1", "a2", "a3"):
            cluster.start(name)
        cluster.start("b1", zone="tartu-a")
        await cluster.advance(8.0)
        for cap in (2, 3):
            cluster.core.faults.skip_watch_answers = 3
            cluster.write_work(cap=cap)
            await cluster.advance(4.0)
            assert cluster.core.faults.skip_watch_answers == 0
            assert set(caps(cluster).values()) == {cap}

    run(body)


def test_fleet_that_starts_at_once_lists_once_per_watcher() -> None:
    """Guard against a start that uses up the store's budget."""

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=1)
        for place in range(12):
            cluster.start(f"a{place}")
        await cluster.advance(6.0)
        assert all(host.sync.ready for host in cluster.hosts.values())
        assert cluster.core.calls["list"] <= sync.WATCHERS_PER_ZONE

    run(body)


def test_calls_while_the_store_is_down_and_when_it_returns() -> None:
    """Guard against retries without a pause and a change that waits."""

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=1)
        for name in ("a1", "a2", "a3", "a4"):
            cluster.start(name)
        await cluster.advance(8.0)
        cluster.core.faults.down = True
        await cluster.advance(4.0)
        cluster.core.calls.clear()
        await cluster.advance(60.0)
        assert sum(cluster.core.calls.values()) <= 2 * 60 + 2 * 6
        assert all(host.sync.ready for host in cluster.hosts.values())
        cluster.write_work(cap=2)
        cluster.core.faults.down = False
        await cluster.advance(4.0)
        assert set(caps(cluster).values()) == {2}

    run(body)


KINDS = (
    *("write", "delete", "bad", "restart", "cut", "heal"),
    *("mute", "down", "up", "slow", "stale", "skip"),
)
STEPS = strategies.tuples(
    strategies.sampled_from(KINDS),
    strategies.sampled_from(["a1", "a2", "a3", "b1"]),
    strategies.sampled_from([0.3, 1.0, 3.0]),
)


@settings(max_examples=150, deadline=None)
@given(strategies.integers(0, 1000), strategies.lists(STEPS, max_size=14))
def test_no_host_reverts_and_all_agree_in_the_end(
    seed: int, steps: list[tuple[str, str, float]]
) -> None:
    """Guard against old news through restarts, outages and partitions.

    A running host's versions never go back. A host that becomes ready is
    not behind the hosts that it was connected to when it started.
    """
    asyncio.run(follow_schedule(seed, steps))


class Watchdog:
    """Compare what hosts serve with what they served before."""

    def __init__(self, *, cluster: catalogue_cluster.Cluster) -> None:
        self.cluster = cluster
        self.seen: dict[str, dict[str, int]] = {}
        self.floors: dict[str, dict[str, int]] = {}

    def started(self, name: str) -> None:
        """Forget the former incarnation and note what others serve."""
        self.seen[name] = {}
        self.floors[name] = {
            other: host.state.position
            for other, host in self.cluster.hosts.items()
            if other != name
            and host.sync.ready
            and self.cluster.connected(name, other)
        }

    def check(self) -> None:
        """Fail when a host went back."""
        for name, host in self.cluster.hosts.items():
            seen = self.seen[name]
            found = {k: it.revision for k, it in host.state.objects.items()}
            found["position"] = host.state.position
            assert all(found[key] >= seen[key] for key in seen)
            seen.update(found)
            if not host.sync.ready:
                continue
            for other, floor in self.floors.pop(name, {}).items():
                if self.cluster.connected(name, other):
                    assert host.state.position >= floor


async def follow_schedule(
    seed: int, steps: list[tuple[str, str, float]]
) -> None:
    cluster = catalogue_cluster.Cluster(seed=seed)
    watchdog = Watchdog(cluster=cluster)
    faults = cluster.core.faults
    zones = {"a1": "tallinn-a", "a2": "tallinn-a", "a3": "tallinn-a"}

    async def advance(delta_s: float) -> None:
        for _ in range(round(delta_s / catalogue_cluster.STEP_S)):
            await cluster.advance(catalogue_cluster.STEP_S)
            watchdog.check()

    cluster.write_work(cap=1)
    for name in ("a1", "a2", "a3", "b1"):
        cluster.start(name, zone=zones.get(name, "tartu-a"))
        watchdog.started(name)
    await advance(5.0)
    for step, name, pause_s in steps:
        if step == "write":
            cluster.write_work(cap=cluster.core.revision + 1)
        elif step == "delete":
            cluster.write(None, "work/w")
        elif step == "bad":
            entry = builders.make_work("w", work_class=core.WorkClass.ORDER)
            entry["deadline_s"] = -1.0
            cluster.write(entry, "work/w")
        elif step == "restart":
            await cluster.stop(name)
            cluster.cut_off.discard(name)
            cluster.start(name, zone=zones.get(name, "tartu-a"))
            watchdog.started(name)
        elif step == "cut":
            cluster.cut_off.add(name)
            cluster.hosts[name].store.reachable = False
        elif step == "mute":
            cluster.mute.add(name)
        elif step == "heal":
            cluster.cut_off.clear()
            cluster.mute.clear()
            for host in cluster.hosts.values():
                host.store.reachable = True
        elif step == "down":
            faults.down = True
        elif step == "up":
            faults.update({"down": False, "delay_s": 0.0, "stale_by": 0})
        elif step == "slow":
            faults.delay_s = 1.0
        elif step == "stale":
            faults.stale_by = 2
        else:
            faults.skip_watch_answers = 1
        await advance(pause_s)
    faults.update(
        {
            "down": False,
            "delay_s": 0.0,
            "stale_by": 0,
            "skip_watch_answers": 0,
        }
    )
    cluster.cut_off.clear()
    cluster.mute.clear()
    for host in cluster.hosts.values():
        host.store.reachable = True
    revision = cluster.write_work(cap=cluster.core.revision + 1)
    await advance(8.0)
    for host in cluster.hosts.values():
        assert host.sync.ready
        assert host.state.objects["work/w"].revision == revision
        assert host.state.position >= revision
    await cluster.close()
