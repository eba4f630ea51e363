"""Measure how costs grow with size and extrapolate to the full size.

python -m benchmarks.capacity [all|catalogue|messages|peers|seats|lookup|
store|traffic|faults|following]. docs/CAPACITY.md explains the figures.
"""

from collections.abc import Callable
from collections.abc import Sequence
from functools import partial
import gc
import math
import random
import statistics
import time
import tracemalloc
from typing import Annotated
from typing import NamedTuple

import numpy
import typer

from benchmarks import capacity_faults
from benchmarks import capacity_following
from benchmarks import capacity_store
from samphirelug.components.catalogue import codec as catalogue_codec
from samphirelug.components.catalogue import model as catalogue_model
from samphirelug.components.catalogue import schema
from samphirelug.components.catalogue import state as catalogue_state
from samphirelug.components.catalogue import view as catalogue_view
from samphirelug.components.execution import tokens
from samphirelug.components.peers import codec
from samphirelug.components.peers import membership
from samphirelug.components.peers import model
from samphirelug.components.peers import topology
from samphirelug.components.quota import ledger
from samphirelug.components.quota import limits
from samphirelug.components.quota import model as quota_model
from samphirelug.components.quota import seats
from samphirelug.components.steering import lookup
from samphirelug.components.store import model as store_model
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from standins import builders
from standins.simulation import admission as harness
from standins.simulation import peers as fleet
from standins.simulation import steering as fakes

# The full size, which is expected in two years.
HOSTS = 6700
ZONES = 218
REGIONS = 55
SITES = 3300
LOOKUPS_PER_S = 17_000_000
CHANGES_PER_S = 20_000 / 86_400
# 122 hosts in each region, which has links to its 12 nearest regions.
HOSTS_PER_REGION = math.ceil(HOSTS / REGIONS)
LINKS_PER_REGION = 12
SITE_SIZES = (825, 1650, 3300)
REPEATS = 7


class Fit(NamedTuple):
    """Hold a linear fit of measured values."""

    slope: float
    intercept: float
    # Root mean square error of the fit, as a fraction of the mean value.
    residual: float

    def at(self, size: float) -> float:
        """Return the fitted value at a size."""
        return self.intercept + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the least-squares line."""
    slope, intercept = numpy.polyfit(sizes, values, 1)
    errors = numpy.polyval((slope, intercept), sizes) - numpy.array(values)
    residual = float(numpy.sqrt((errors**2).mean()) / numpy.mean(values))
    return Fit(float(slope), float(intercept), residual)


def print_fit(
    title: str,
    sizes: Sequence[float],
    values: Sequence[float],
    *,
    unit: str,
    target: float,
) -> Fit:
    """Print the values, their fit, and its value at the target size."""
    line = fit(sizes, values)
    pairs = ", ".join(
        f"{size:g}: {value:.4g}"
        for size, value in zip(sizes, values, strict=True)
    )
    print(
        f"{title}: {pairs} {unit}; slope {line.slope:.4g}, intercept "
        f"{line.intercept:.4g}, residual {line.residual:.1%}; at {target:g}: "
        f"{line.at(target):.4g} {unit}"
    )
    return line


def cpu_time_ms(action: Callable[[], object], *, loops: int = 1) -> float:
    """Return the median CPU time of one call, in ms."""
    times = []
    for _ in range(REPEATS):
        started_ns = time.process_time_ns()
        for _ in range(loops):
            action()
        times.append((time.process_time_ns() - started_ns) / loops / 1e6)
    return statistics.median(times)


def make_entries(
    sites: int, *, any_region: bool = False
) -> list[schema.Entry]:
    """Return a catalogue in which each site is a service with a work entry.

    The two servers of a site are in one region. With any_region, all regions
    may serve the work of a site.
    """
    names = [f"r{number:02}" for number in range(REGIONS)]
    entries: list[schema.Entry] = []
    for number, name in enumerate(names):
        region = builders.make_region(name, max_in_flight=100_000)
        region["availability_zones"] = [f"{name}-{zone}" for zone in "abcd"]
        entries.append(region)
        entries.extend(
            builders.make_link(name, names[(number + step) % REGIONS])
            for step in range(1, LINKS_PER_REGION // 2 + 1)
        )
    for number in range(sites):
        name = names[number % REGIONS]
        service = f"site-{number:04}"
        entries.append(
            builders.make_service(
                service, zones=[f"{name}-a", f"{name}-b"], per_zone=1
            )
        )
        work = builders.make_work(
            service, work_class=core.WorkClass.STATUS, service=service
        )
        if not any_region:
            work["regions"] = [name]
        entries.append(work)
    return entries


def make_listing(
    entries: list[schema.Entry], first_revision: int = 1
) -> store_model.Listing:
    """Return entries as the store lists them, with ascending revisions."""
    objects = tuple(
        store_model.StoredObject(
            catalogue_codec.PREFIX + schema.entry_key(entry),
            first_revision + number,
            catalogue_codec.encode_body(change_id=f"c{number}", entry=entry),
        )
        for number, entry in enumerate(entries)
    )
    return store_model.Listing(first_revision + len(objects), objects)


def make_state(
    entries: list[schema.Entry],
) -> catalogue_state.CatalogueState:
    """Return a catalogue state that holds the entries."""
    state = catalogue_state.CatalogueState()
    state.apply_listing(make_listing(entries))
    return state


def measure_catalogue() -> None:
    """Measure catalogue state, a change and limits by number of sites."""
    memory, load, change, derive, set_limits, delta = [], [], [], [], [], []
    for sites in SITE_SIZES:
        entries = make_entries(sites)
        listing = make_listing(entries)
        gc.collect()
        tracemalloc.start()
        state = catalogue_state.CatalogueState()
        state.apply_listing(listing)
        gc.collect()
        memory.append(tracemalloc.get_traced_memory()[0] / 1e6)
        tracemalloc.stop()
        load.append(cpu_time_ms(partial(load_listing, listing)))
        change.append(cpu_time_ms(partial(apply_change, state, entries[-1])))
        view = state.view
        derive.append(cpu_time_ms(partial(derive_uncached_limits, view)))
        quota_limits = limits.quota_limits(view)
        quota_ledger = ledger.QuotaLedger(
            timer=timer_helper.ManualTimerService()
        )
        set_limits.append(
            cpu_time_ms(partial(quota_ledger.set_limits, quota_limits))
        )
        delta.append(cpu_time_ms(partial(state.delta_since, state.position)))
    rows = (
        ("catalogue memory", memory, "MB"),
        ("load a full listing", load, "ms"),
        ("apply one change", change, "ms"),
        ("quota_limits", derive, "ms"),
        ("QuotaLedger.set_limits", set_limits, "ms"),
        ("empty delta_since", delta, "ms"),
    )
    fits = {
        title: print_fit(title, SITE_SIZES, values, unit=unit, target=SITES)
        for title, values, unit in rows
    }
    change_ms = sum(
        fits[title].at(SITES)
        for title in (
            "apply one change",
            "quota_limits",
            "QuotaLedger.set_limits",
        )
    )
    print(
        f"  a change costs a host {change_ms:.1f} ms, at "
        f"{CHANGES_PER_S:.2f}/s "
        f"{change_ms * CHANGES_PER_S / 10:.2f} % of a core"
    )
    sizes = (55, 110, 220)
    any_region_costs = [
        cpu_time_ms(
            partial(
                derive_uncached_limits,
                make_state(make_entries(size, any_region=True)).view,
            )
        )
        for size in sizes
    ]
    print_fit(
        "quota_limits, work served by any region",
        sizes,
        any_region_costs,
        unit="ms",
        target=SITES,
    )


def apply_change(
    state: catalogue_state.CatalogueState, entry: schema.Entry
) -> None:
    """Apply one change as a watch delivers it."""
    after = state.position
    state.apply_watch(make_listing([entry], after + 1), after)


def build_uncached_answer(planner: lookup.LookupPlanner) -> None:
    """Build a look-up answer that is not cached."""
    planner.cache.clear()
    planner.answer(work="case-status", place="tallinn-a")


def derive_uncached_limits(view: catalogue_view.CatalogueView) -> None:
    """Derive quota limits that are not cached."""
    limits.quota_limits.cache_clear()
    limits.quota_limits(view)


def load_listing(listing: store_model.Listing) -> None:
    """Load a full listing into a new catalogue state."""
    catalogue_state.CatalogueState().apply_listing(listing)


def measure_messages() -> None:
    """Measure size and CPU time of heartbeats, relayed items and deltas."""
    sizes = (0, 6, 12, 24)
    rows: dict[str, list[float]] = {}
    for changed in sizes:
        rows.setdefault("heartbeat, by changed amounts", []).append(
            fleet.heartbeat_bytes(regions=4, services=6, changed=changed)
        )
    host = fleet.SimulatedHost(host=builders.make_host("eh-0001"))
    heartbeats = [
        host.heartbeat(number * 0.5)._replace(
            queued=(number % 9, 0, 0),
            headroom=tuple(
                model.RegionHeadroom("r00", f"s{index}", number + index, 5)
                for index in range(6)
            ),
        )
        for number in range(500)
    ]
    encoder = codec.SparseEncoder()
    started_s = time.process_time()
    frames = [encoder.encode(heartbeat) for heartbeat in heartbeats]
    encoded_s = time.process_time()
    decoder = codec.SparseDecoder()
    for frame in frames:
        decoder.decode(frame).unwrap()
    decoded_s = time.process_time()
    print(
        f"busy heartbeat, 6 amounts: encode "
        f"{(encoded_s - started_s) / 500 * 1e6:.1f} us, decode "
        f"{(decoded_s - encoded_s) / 500 * 1e6:.1f} us"
    )
    print_fit(
        "heartbeat, by changed amounts",
        sizes,
        rows["heartbeat, by changed amounts"],
        unit="bytes",
        target=6,
    )
    heartbeat = host.heartbeat(1.0)
    zone = heartbeat.host.zone
    summary = model.ZoneSummary(
        zone, 9, 9_000_000, (), 0, 31, (heartbeat, heartbeat)
    )
    objects = make_state(make_entries(100)).delta_since(0).objects
    counts = (10, 50, 218)
    messages: tuple[tuple[str, Callable[[int], model.Message]], ...] = (
        (
            "positions",
            lambda count: model.Relayed(
                (),
                (
                    model.ZonePositions(
                        9_000_000,
                        tuple(
                            model.ZoneEpoch(4_000_000_000 + index, 50)
                            for index in range(count)
                        ),
                    ),
                ),
                (),
                9_000_000,
                9_000_000,
            ),
        ),
        (
            "summaries",
            lambda count: model.Relayed((), (), (summary,) * count, 9, 9),
        ),
        (
            "delta of objects",
            lambda count: model.CatalogueReply(
                catalogue_model.CatalogueDelta(0, 9, objects[-count:])
            ),
        ),
    )
    for title, make_message in messages:
        size, encode, decode = [], [], []
        for count in counts:
            message = make_message(count)
            data = codec.encode(message)
            size.append(float(len(data)))
            encode.append(
                cpu_time_ms(partial(codec.encode, message), loops=20)
            )
            decode.append(cpu_time_ms(partial(codec.decode, data), loops=20))
        print_fit(f"{title}, size", counts, size, unit="bytes", target=ZONES)
        print_fit(f"{title}, encode", counts, encode, unit="ms", target=ZONES)
        print_fit(f"{title}, decode", counts, decode, unit="ms", target=ZONES)


def make_hosts(count: int) -> list[core.EntryHost]:
    """Return entry hosts in zones of 31 hosts and regions of four zones."""
    return [
        builders.make_host(f"eh-{number:04}")._replace(
            zone=core.AvailabilityZone(
                f"z{number // fleet.HOSTS_PER_ZONE:03}",
                f"r{number // fleet.HOSTS_PER_ZONE // 4:02}",
            )
        )
        for number in range(count)
    ]


def measure_peers() -> None:
    """Measure membership and peer planning by number of hosts."""
    sizes = (700, 2000, 6700)
    candidates, plan, unavailable, set_listed, memory = [], [], [], [], []
    for size in sizes:
        hosts = make_hosts(size)
        gc.collect()
        tracemalloc.start()
        members = membership.Membership(own=hosts[0])
        members.set_listed(hosts[1:], now=0.0)
        memory.append(tracemalloc.get_traced_memory()[0] / 1e6)
        tracemalloc.stop()
        own = topology.Node(hosts[0].name, hosts[0].zone)
        candidates.append(cpu_time_ms(partial(members.candidates, now=1.0)))
        nodes = members.candidates(now=1.0)
        plan.append(cpu_time_ms(partial(topology.make_plan, own, nodes)))
        for host in hosts[1:51]:
            heartbeat = fleet.SimulatedHost(host=host).heartbeat(1.0)
            members.record_heartbeat(heartbeat, now=1.0)
        unavailable.append(
            cpu_time_ms(partial(members.unavailable, now=1.0), loops=20)
        )
        set_listed.append(
            cpu_time_ms(partial(members.set_listed, hosts, now=1.0))
        )
    for title, values, unit in (
        ("candidates", candidates, "ms"),
        ("make_plan", plan, "ms"),
        ("look for changes before planning", unavailable, "ms"),
        ("set_listed", set_listed, "ms"),
        ("memory of the membership", memory, "MB"),
    ):
        print_fit(title, sizes, values, unit=unit, target=HOSTS)


def measure_seats() -> None:
    """Measure one check of a seat table by number of hosts in the group."""
    sizes = (31, 61, 122, 244)
    view = make_state(make_entries(SITES)).view
    region_limits = {
        key: limit.limit
        for key, limit in limits.quota_limits(view).items()
        if limit.group == "region/r00"
    }
    rows: dict[str, list[float]] = {}
    for size in sizes:
        hosts = frozenset(f"eh-{number:04}" for number in range(size))
        table = quota_model.SeatTable(
            "region/r00",
            {
                host: quota_model.Seat(
                    host,
                    f"{host}-1",
                    f"ws://127.0.0.1:1/{host}",
                    7,
                    seats.fair_share(
                        limits=region_limits, host=host, hosts=hosts
                    ),
                    region_limits,
                )
                for host in hosts
            },
        )
        value = seats.encode_table(table)
        host_name = "eh-0000"

        share = partial(
            seats.fair_share, limits=region_limits, host=host_name, hosts=hosts
        )
        plan = partial(
            seats.plan_seat,
            table=table,
            host=host_name,
            incarnation=f"{host_name}-1",
            address="",
            renewal=8,
            fair_shares=share(),
            limits=region_limits,
            units_in_use={},
            expired=frozenset(),
            leaving=False,
        )
        for title, action in (
            ("fair_share", share),
            ("decode_table", partial(seats.decode_table, "g", value)),
            ("plan_seat", plan),
            ("encode_table", partial(seats.encode_table, table)),
        ):
            rows.setdefault(title, []).append(cpu_time_ms(action))
    print(f"keys of the group: {len(region_limits)}")
    for title, values in rows.items():
        print_fit(title, sizes, values, unit="ms", target=HOSTS_PER_REGION)


def measure_lookup() -> None:
    """Measure the CPU time of a look-up answer by number of live hosts."""
    sizes = (40, 160, 500)
    built, cached, signed = [], [], []
    for size in sizes:
        clock = timer_helper.ManualTimerService(start_s=100.0)
        mesh = fakes.FakeMesh(timer=clock)
        heartbeats = [
            fleet.SimulatedHost(
                host=builders.make_host(f"eh{number}", zone="tallinn-a")
            ).heartbeat(1.0)
            for number in range(size)
        ]
        mesh.heartbeats = heartbeats[1:]
        planner = lookup.LookupPlanner(
            catalogue=harness.FakeCatalogue(builders.make_view()),
            mesh=mesh,
            issuer=tokens.TokenIssuer(secret="s" * 32, timer=clock),
            own_heartbeat=partial(heartbeats.__getitem__, 0),
            timer=clock,
        )

        answer = partial(planner.answer, place="tallinn-a")
        built.append(
            cpu_time_ms(partial(build_uncached_answer, planner), loops=5)
        )
        cached.append(
            cpu_time_ms(partial(answer, work="case-status"), loops=1000)
        )
        signed.append(
            cpu_time_ms(partial(answer, work="file-claim"), loops=200)
        )
    for title, values in (
        ("answer, built", built),
        ("answer, cached", cached),
        ("answer, cached, with a run token", signed),
    ):
        print_fit(title, sizes, values, unit="ms", target=ZONES * 2 + 33)
    print(f"{LOOKUPS_PER_S / HOSTS:.0f} look-ups/s a node when spread evenly")


def measure_store() -> None:
    """Print store calls per second by number of hosts."""
    capacity_store.report(
        groups=1 + LINKS_PER_REGION, changes_per_s=CHANGES_PER_S
    )


def measure_traffic() -> None:
    """Simulate the control traffic between hosts by number of hosts."""
    for size in (700, 2000, 6700):
        fleet.measure(size, seconds=9.0, rng=random.Random(1))


def measure_faults() -> None:
    """Simulate faults by number of hosts."""
    sizes = (372, 744, 1488)
    for title, simulate in (
        ("zone lost: sighting s", capacity_faults.lose_zone),
        (
            "regions cut: bytes/s in it, after it, sighting s",
            capacity_faults.partition_regions,
        ),
        ("host restarted: bytes, s", capacity_faults.restart_host),
    ):
        results = [simulate(size) for size in sizes]
        for number, values in enumerate(zip(*results, strict=True)):
            print_fit(
                f"{title} [{number}]", sizes, values, unit="", target=HOSTS
            )


def measure_following() -> None:
    """Measure following the store through other hosts by number of hosts."""
    for title, sizes, values, unit in capacity_following.measure(cpu_time_ms):
        print_fit(title, sizes, values, unit=unit, target=HOSTS)


# Measurements by the name given on the command line.
PARTS: dict[str, Callable[[], None]] = {
    "catalogue": measure_catalogue,
    "messages": measure_messages,
    "peers": measure_peers,
    "seats": measure_seats,
    "lookup": measure_lookup,
    "store": measure_store,
    "traffic": measure_traffic,
    "faults": measure_faults,
    "following": measure_following,
}


def main(part: Annotated[str, typer.Argument()] = "all") -> None:
    """Run one group of measurements, or all."""
    for name, measure in PARTS.items():
        if part in ("all", name):
            print(f"== {name}")
            measure()


if __name__ == "__main__":
    typer.run(main)
