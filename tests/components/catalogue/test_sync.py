"""Test how hosts follow the catalogue through faults."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

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
