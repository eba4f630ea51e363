"""Test how hosts synchronise the catalogue in spite of faults."""

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


def run_in_cluster(
    body: Callable[[catalogue_cluster.Cluster], Awaitable[None]],
) -> None:
    async def run_body() -> None:
        cluster = catalogue_cluster.Cluster()
        await body(cluster)
        await cluster.close()

    asyncio.run(run_body())


def served_caps(cluster: catalogue_cluster.Cluster) -> dict[str, int]:
    """Return the cap of work entry "w" that each host has in force."""
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
            assert set(served_caps(cluster).values()) == {cap}
        assert cluster.store_core.waiting <= 4

    run_in_cluster(body)


def test_host_that_restarts_in_an_outage_pulls_the_peers_catalogue() -> None:
    """Guard against a restarted host that cannot serve without the store."""

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=5)
        for name in ("a1", "a2", "a3"):
            cluster.start(name)
        await cluster.advance(8.0)
        cluster.store_core.faults.down = True
        await cluster.stop("a1")
        host = cluster.start("a1")
        await cluster.advance(3.0)
        assert host.sync.ready
        assert served_caps(cluster) == {"a1": 5, "a2": 5, "a3": 5}

    run_in_cluster(body)


def test_host_does_not_serve_an_older_catalogue_than_its_peers() -> None:
    """Guard against serving from a stale listing after a restart."""

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        for cap in range(1, 6):
            cluster.write_work(cap=cap)
        cluster.start("a1")
        await cluster.advance(8.0)
        cluster.store_core.faults.stale_by = 3
        cluster.unresponsive.add("a1")
        host = cluster.start("a2")
        for _ in range(20):
            await cluster.advance(1.0)
            assert not host.sync.ready
        assert served_caps(cluster) == {"a1": 5, "a2": 2}
        cluster.unresponsive.clear()
        await cluster.advance(3.0)
        assert host.sync.ready
        assert served_caps(cluster)["a2"] == 5

    run_in_cluster(body)


def test_host_with_part_of_a_catalogue_is_not_ready(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against serving when the peer stops between two parts."""
    monkeypatch.setattr(catalogue_state, "MAX_DELTA_BYTES", 400)

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        for name in "wxyz":
            cluster.write_work(cap=1, name=name)
        cluster.start("a1")
        await cluster.advance(8.0)
        cluster.store_core.faults.down = True
        host = cluster.start("a2")
        while not host.state.objects:
            await cluster.advance(0.1)
        assert len(host.state.objects) < 4
        assert host.state.position == 0
        await cluster.stop("a1")
        await cluster.advance(20.0)
        assert not host.sync.ready
        # Other hosts must not pull from it either.
        other = cluster.start("a3")
        await cluster.advance(10.0)
        assert not other.state.position
        cluster.store_core.faults.down = False
        await cluster.advance(5.0)
        assert host.sync.ready
        assert len(host.state.view.works) == 4

    run_in_cluster(body)


def test_position_stays_until_the_last_part_of_a_large_delta(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a position that claims changes not yet received.

    An entry that changes again appears only in a later part, with its latest
    version, so no earlier part is complete up to its revision.
    """
    monkeypatch.setattr(catalogue_state, "MAX_DELTA_BYTES", 400)

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=1, name="a")
        first = cluster.start("a1")
        host = cluster.start("a2")
        host.store.reachable = False
        await cluster.advance(8.0)
        before = host.state.position
        cluster.partitioned.add("a2")
        for name in "abcdea":
            cluster.write_work(cap=2, name=name)
        await cluster.advance(4.0)
        cluster.partitioned.clear()
        positions: set[int] = set()
        while host.state.position < first.state.position:
            await cluster.advance(0.1)
            positions.add(host.state.position)
            # Work "a" changed to cap 2 first, and again last.
            if host.state.position > before:
                works = host.state.view.works
                assert works["a"]["max_in_flight_per_region"] == 2
        assert positions == {before, first.state.position}

    run_in_cluster(body)


def test_host_without_the_store_reports_rejected_entries() -> None:
    """Guard against a rejected change that is reported as in force.

    A host that pulls from peers never receives the invalid entry itself.
    """

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=1)
        cluster.start("a1")
        host = cluster.start("a2")
        host.store.reachable = False
        await cluster.advance(8.0)
        key = "catalogue/work/w"
        value = {"change_id": "c", "deleted": False, "entry": {"kind": "no"}}
        cluster.store_core.put(
            key, value, cluster.store_core.objects[key].revision
        )
        await cluster.advance(4.0)
        assert list(host.state.rejected) == ["work/w"]
        assert served_caps(cluster) == {"a1": 1, "a2": 1}
        cluster.write_work(cap=3)
        await cluster.advance(4.0)
        assert not host.state.rejected
        assert served_caps(cluster) == {"a1": 3, "a2": 3}

    run_in_cluster(body)


def test_start_without_store_and_peers_waits_for_the_store() -> None:
    """Guard against serving without a catalogue, or never recovering."""

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=1)
        cluster.store_core.faults.down = True
        host = cluster.start("a1")
        await cluster.advance(30.0)
        assert not host.sync.ready
        assert sum(cluster.store_core.calls.values()) < 30
        cluster.store_core.faults.down = False
        await cluster.advance(4.0)
        assert host.sync.ready

    run_in_cluster(body)


def test_hosts_read_the_store_if_their_watchers_cannot() -> None:
    """Guard against a zone that relies on watchers cut off from the store."""

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
        assert set(served_caps(cluster).values()) == {2}

    run_in_cluster(body)


def test_change_that_a_watch_skips_is_in_force_within_4_s() -> None:
    """Guard against a change that is lost if a watch leaves it out.

    The answer has the newest revision, but lacks changes before it.
    """

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=1)
        for name in ("a1", "a2", "a3"):
            cluster.start(name)
        cluster.start("b1", zone="tartu-a")
        await cluster.advance(8.0)
        for cap in (2, 3):
            cluster.store_core.faults.skip_watch_answers = 3
            cluster.write_work(cap=cap)
            await cluster.advance(4.0)
            assert cluster.store_core.faults.skip_watch_answers == 0
            assert set(served_caps(cluster).values()) == {cap}

    run_in_cluster(body)


def test_fleet_that_starts_at_once_lists_once_per_watcher() -> None:
    """Guard against listings by all hosts, which use up the store's budget."""

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=1)
        for number in range(12):
            cluster.start(f"a{number}")
        await cluster.advance(6.0)
        assert all(host.sync.ready for host in cluster.hosts.values())
        assert cluster.store_core.calls["list"] <= sync.WATCHERS_PER_ZONE

    run_in_cluster(body)


def test_hosts_limit_calls_in_an_outage_and_recover() -> None:
    """Guard against retries without a pause, and against late recovery."""

    async def body(cluster: catalogue_cluster.Cluster) -> None:
        cluster.write_work(cap=1)
        for name in ("a1", "a2", "a3", "a4"):
            cluster.start(name)
        await cluster.advance(8.0)
        cluster.store_core.faults.down = True
        await cluster.advance(4.0)
        cluster.store_core.calls.clear()
        await cluster.advance(60.0)
        assert sum(cluster.store_core.calls.values()) <= 2 * 60 + 2 * 6
        assert all(host.sync.ready for host in cluster.hosts.values())
        cluster.write_work(cap=2)
        cluster.store_core.faults.down = False
        await cluster.advance(4.0)
        assert set(served_caps(cluster).values()) == {2}

    run_in_cluster(body)


ACTIONS = (
    *("write", "delete", "write_invalid", "restart", "partition", "heal"),
    *(
        "silence",
        "store_down",
        "store_up",
        "store_slow",
        "store_stale",
        "skip_watch",
    ),
)
STEPS = strategies.tuples(
    strategies.sampled_from(ACTIONS),
    strategies.sampled_from(["a1", "a2", "a3", "b1"]),
    strategies.sampled_from([0.3, 1.0, 3.0]),
)


@settings(max_examples=150, deadline=None)
@given(strategies.integers(0, 1000), strategies.lists(STEPS, max_size=14))
def test_no_host_reverts_and_all_agree_in_the_end(
    seed: int, steps: list[tuple[str, str, float]]
) -> None:
    """Guard against outdated catalogues after faults, and lasting divergence.

    The versions of a running host never go back, whatever restarts, outages
    and partitions happen. A host that becomes ready is not behind the hosts
    that it was connected to when it started.
    """
    asyncio.run(run_schedule(seed, steps))


class RegressionChecker:
    """Check that no host reverts to older versions."""

    def __init__(self, *, cluster: catalogue_cluster.Cluster) -> None:
        self.cluster = cluster
        # Revisions by entry key, and the position, of each running host.
        self.revisions: dict[str, dict[str, int]] = {}
        # Positions of ready peers when a host started, until it is ready.
        self.ready_positions: dict[str, dict[str, int]] = {}

    def record_start(self, name: str) -> None:
        """Reset the revisions of a host and record its peers' positions."""
        self.revisions[name] = {}
        self.ready_positions[name] = {
            other: host.state.position
            for other, host in self.cluster.hosts.items()
            if other != name
            and host.sync.ready
            and self.cluster.connected(name, other)
        }

    def check(self) -> None:
        """Fail if a host has reverted or became ready too early."""
        for name, host in self.cluster.hosts.items():
            previous = self.revisions[name]
            found = {
                key: item.revision for key, item in host.state.objects.items()
            }
            found["position"] = host.state.position
            assert all(found[key] >= previous[key] for key in previous)
            previous.update(found)
            if not host.sync.ready:
                continue
            for other, position in self.ready_positions.pop(name, {}).items():
                if self.cluster.connected(name, other):
                    assert host.state.position >= position


async def run_schedule(seed: int, steps: list[tuple[str, str, float]]) -> None:
    """Run the steps, end all faults and check the hosts."""
    cluster = catalogue_cluster.Cluster(seed=seed)
    checker = RegressionChecker(cluster=cluster)
    faults = cluster.store_core.faults
    zones = {"a1": "tallinn-a", "a2": "tallinn-a", "a3": "tallinn-a"}

    async def advance(delta_s: float) -> None:
        for _ in range(round(delta_s / catalogue_cluster.STEP_S)):
            await cluster.advance(catalogue_cluster.STEP_S)
            checker.check()

    cluster.write_work(cap=1)
    for name in ("a1", "a2", "a3", "b1"):
        cluster.start(name, zone=zones.get(name, "tartu-a"))
        checker.record_start(name)
    await advance(5.0)
    for action, name, pause_s in steps:
        if action == "write":
            cluster.write_work(cap=cluster.store_core.revision + 1)
        elif action == "delete":
            cluster.write(None, "work/w")
        elif action == "write_invalid":
            entry = builders.make_work("w", work_class=core.WorkClass.ORDER)
            entry["deadline_s"] = -1.0
            cluster.write(entry, "work/w")
        elif action == "restart":
            await cluster.stop(name)
            cluster.partitioned.discard(name)
            cluster.start(name, zone=zones.get(name, "tartu-a"))
            checker.record_start(name)
        elif action == "partition":
            cluster.partitioned.add(name)
            cluster.hosts[name].store.reachable = False
        elif action == "silence":
            cluster.unresponsive.add(name)
        elif action == "heal":
            cluster.partitioned.clear()
            cluster.unresponsive.clear()
            for host in cluster.hosts.values():
                host.store.reachable = True
        elif action == "store_down":
            faults.down = True
        elif action == "store_up":
            faults.update({"down": False, "delay_s": 0.0, "stale_by": 0})
        elif action == "store_slow":
            faults.delay_s = 1.0
        elif action == "store_stale":
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
    cluster.partitioned.clear()
    cluster.unresponsive.clear()
    for host in cluster.hosts.values():
        host.store.reachable = True
    revision = cluster.write_work(cap=cluster.store_core.revision + 1)
    await advance(8.0)
    for host in cluster.hosts.values():
        assert host.sync.ready
        assert host.state.objects["work/w"].revision == revision
        assert host.state.position >= revision
    await cluster.close()
