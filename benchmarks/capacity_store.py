"""Compute calls to the object store from the intervals in the code."""

import asyncio
import math

from samphirelug.components.catalogue import sync
from samphirelug.components.peers import const as peers_const
from samphirelug.components.peers import topology
from samphirelug.components.quota import model as quota_model
from samphirelug.helpers import rendezvous
from standins.simulation import peers as fleet
from standins.simulation import quota as simulation

SETTINGS = quota_model.SeatSettings()
# The renewal interval is drawn between 0.8 and 1.0 of renew_interval_s.
RENEWALS_PER_S = 1 / (SETTINGS.renew_interval_s * 0.9)
# Rates of the object store that the results are compared with.
READS_PER_S = 2000
WRITES_PER_S = 500
# Seat groups of a simulated host: its region, the link, and the other region,
# which has no hosts.
SEAT_GROUPS = 3


def catalogue_watchers(size: int) -> int:
    """Return the number of hosts that watch the catalogue in the store.

    Applies the rule of CatalogueSync. A host that is not a watcher of the
    mesh is connected only to the two watchers of its zone, so that it ranks
    itself among three names.
    """
    count = 0
    for start in range(0, size, fleet.HOSTS_PER_ZONE):
        zone = f"z{start:04}"
        names = [
            f"eh-{number:04}"
            for number in range(start, start + 31)
            if number < size
        ]
        watchers = topology.watchers_of(zone, names)
        for name in names:
            known = names if name in watchers else {name, *watchers}
            ranked = rendezvous.rank_names(key=zone, names=known)
            count += name in ranked[: sync.WATCHERS_PER_ZONE]
    return count


def seat_calls(hosts: int) -> tuple[int, int, int, int]:
    """Return store calls and writes for seats.

    The first two are those of 60 s in which all hosts start at once, the
    others those of the next 1,200 s.
    """

    async def run() -> tuple[int, int, int, int]:
        quota_simulation = simulation.QuotaSimulation(
            seed=1, settings=SETTINGS
        )
        for number in range(hosts):
            quota_simulation.start(f"eh{number}", "tallinn-a")
        await quota_simulation.run(60.0)
        start_counts = quota_simulation.calls, quota_simulation.writes
        await quota_simulation.run(1200.0)
        for host in quota_simulation.hosts.values():
            host.kill()
        return (
            *start_counts,
            quota_simulation.calls - start_counts[0],
            quota_simulation.writes - start_counts[1],
        )

    return asyncio.run(run())


def report(*, groups: int, changes_per_s: float) -> None:
    """Print calls per second by kind and number of hosts.

    groups is the number of seat groups of a host.
    """
    for hosts in (3, 6, 12):
        calls, writes, calls_after, writes_after = seat_calls(hosts)
        count = hosts * SEAT_GROUPS
        print(
            f"seats of {hosts} hosts in {SEAT_GROUPS} groups: start at once "
            f"{calls} calls ({writes} writes), then {calls_after / count:.1f} "
            f"calls ({writes_after / count:.1f} writes) in 1,200 s for each"
        )
    for size in (700, 2000, 6700):
        watchers = catalogue_watchers(size)
        zones = math.ceil(size / fleet.HOSTS_PER_ZONE)
        mesh_watchers = 2 * zones
        # A watch ends at the first change or at its timeout.
        interval_s = (
            1 - math.exp(-changes_per_s * sync.WATCH_TIMEOUT_S)
        ) / changes_per_s
        rows = {
            "catalogue watches": watchers / interval_s,
            "catalogue rechecks": watchers / sync.RECHECK_INTERVAL_S,
            "catalogue listings": watchers / sync.LISTING_INTERVAL_S,
            "host list watches": mesh_watchers / peers_const.HOST_LIST_WATCH_S,
            "host list polls": (size - mesh_watchers)
            / peers_const.HOST_LIST_POLL_S,
            "seat reads": size * groups * RENEWALS_PER_S,
        }
        print(f"{size} nodes, {watchers} watch the catalogue:")
        for title, per_s in rows.items():
            print(f"  {title} {per_s:.0f}/s")
        print(
            f"  reads {sum(rows.values()):.0f}/s of {READS_PER_S}, seat "
            f"writes {size * groups * RENEWALS_PER_S:.0f}/s of {WRITES_PER_S}"
            f" ({groups} groups a host), only the region's group "
            f"{size * RENEWALS_PER_S:.0f}/s"
        )
        # The hosts are in 55 regions. The group of a link has the hosts of two
        # regions, which spread their calls over twice the time.
        spread_s = SETTINGS.spread_per_host_s * size / 55
        peak = size / spread_s + size * (groups - 1) / (2 * spread_s)
        print(
            f"  all hosts back at once: {size * groups} seats to write, asked"
            f" for at {peak:.0f}/s, take {size * groups / WRITES_PER_S:.0f} s"
            f" at {WRITES_PER_S}/s; listings {size / sync.START_JITTER_S:.0f}"
            f"/s; fallback reads without peers "
            f"{size / (sync.FALLBACK_WAIT_S + sync.FALLBACK_JITTER_S / 2):.0f}"
            "/s"
        )
