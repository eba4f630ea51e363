"""Measure slopes on this machine and work out the two-year size from them.

python -m benchmarks.capacity [all|catalogue|messages|peers|seats|lookup|
store|traffic|faults]. docs/CAPACITY.md explains the figures.
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

NODES = 6700
ZONES = 218
REGIONS = 55
SITES = 3300
LOOKUPS_PER_S = 17_000_000
CHANGES_PER_S = 20_000 / 86_400
# 122 nodes a region. Every region has a link to its 12 nearest.
HOSTS_PER_REGION = math.ceil(NODES / REGIONS)
LINKS_PER_REGION = 12
SITE_SIZES = (825, 1650, 3300)
REPEATS = 7


class Fit(NamedTuple):
    """Hold a straight line through measured values."""

    slope: float
    intercept: float
    # Root mean square distance from the line, as a part of the mean.
    residual: float

    def at(self, size: float) -> float:
        """Return the value that the line has at a size."""
        return self.intercept + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the line of least squares."""
    slope, intercept = numpy.polyfit(sizes, values, 1)
    off = numpy.polyval((slope, intercept), sizes) - numpy.array(values)
    residual = float(numpy.sqrt((off**2).mean()) / numpy.mean(values))
    return Fit(float(slope), float(intercept), residual)


def show(
    title: str,
    sizes: Sequence[float],
    values: Sequence[float],
    *,
    unit: str,
    target: float,
) -> Fit:
    """Print the values, their line, and its value at the target size."""
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


def cost_ms(action: Callable[[], object], *, loops: int = 1) -> float:
    """Return the median processor time of one call, in ms."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time_ns()
        for _ in range(loops):
            action()
        times.append((time.process_time_ns() - started) / loops / 1e6)
    return statistics.median(times)


def make_entries(sites: int, *, spread: bool = False) -> list[schema.Entry]:
    """Return a catalogue in which each site is a service with a work entry.

    A site's two servers are in one region. With spread, any region may
    serve its work.
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
        if not spread:
            work["regions"] = [name]
        entries.append(work)
    return entries


def store(entries: list[schema.Entry], first: int = 1) -> store_model.Listing:
    """Return entries as the store lists them."""
    objects = tuple(
        store_model.StoredObject(
            catalogue_codec.PREFIX + schema.entry_key(entry),
            first + number,
            catalogue_codec.encode_body(change_id=f"c{number}", entry=entry),
        )
        for number, entry in enumerate(entries)
    )
    return store_model.Listing(first + len(objects), objects)


def loaded_state(
    entries: list[schema.Entry],
) -> catalogue_state.CatalogueState:
    """Return a state that holds the entries."""
    state = catalogue_state.CatalogueState()
    state.apply_listing(store(entries))
    return state


def measure_catalogue() -> None:
    """Measure state, one change, and limits against the number of sites."""
    memory, load, change, derive, adopt, delta = [], [], [], [], [], []
    for sites in SITE_SIZES:
        entries = make_entries(sites)
        listing = store(entries)
        gc.collect()
        tracemalloc.start()
        held = catalogue_state.CatalogueState()
        held.apply_listing(listing)
        gc.collect()
        memory.append(tracemalloc.get_traced_memory()[0] / 1e6)
        tracemalloc.stop()
        load.append(cost_ms(partial(loaded_listing, listing)))
        change.append(cost_ms(partial(apply_change, held, entries[-1])))
        view = held.view
        derive.append(cost_ms(partial(derive_limits, view)))
        known = limits.quota_limits(view)
        book = ledger.QuotaLedger(timer=timer_helper.ManualTimerService())
        adopt.append(cost_ms(partial(book.set_limits, known)))
        delta.append(cost_ms(partial(held.delta_since, held.position)))
    rows = (
        ("catalogue memory", memory, "MB"),
        ("load a full listing", load, "ms"),
        ("apply one change", change, "ms"),
        ("quota_limits", derive, "ms"),
        ("QuotaLedger.set_limits", adopt, "ms"),
        ("empty delta_since", delta, "ms"),
    )
    made = {
        title: show(title, SITE_SIZES, values, unit=unit, target=SITES)
        for title, values, unit in rows
    }
    each = sum(
        made[title].at(SITES)
        for title in (
            "apply one change",
            "quota_limits",
            "QuotaLedger.set_limits",
        )
    )
    print(
        f"  a change costs a host {each:.1f} ms, at {CHANGES_PER_S:.2f}/s "
        f"{each * CHANGES_PER_S / 10:.2f} % of a core"
    )
    sizes = (55, 110, 220)
    spread = [
        cost_ms(
            partial(
                derive_limits,
                loaded_state(make_entries(size, spread=True)).view,
            )
        )
        for size in sizes
    ]
    show(
        "quota_limits, work served by any region",
        sizes,
        spread,
        unit="ms",
        target=SITES,
    )


def apply_change(
    state: catalogue_state.CatalogueState, entry: schema.Entry
) -> None:
    """Apply one change as a watch brings it."""
    after = state.position
    state.apply_watch(store([entry], after + 1), after)


def build_answer(planner: lookup.LookupPlanner) -> None:
    """Build an answer that is not kept."""
    planner.cache.clear()
    planner.answer(work="case-status", place="tallinn-a")


def derive_limits(view: catalogue_view.CatalogueView) -> None:
    """Derive limits that are not kept yet."""
    limits.quota_limits.cache_clear()
    limits.quota_limits(view)


def loaded_listing(listing: store_model.Listing) -> None:
    """Load a full listing into a new state."""
    catalogue_state.CatalogueState().apply_listing(listing)


def measure_messages() -> None:
    """Measure size and cost of heartbeats, positions, summaries, deltas."""
    sizes = (0, 6, 12, 24)
    rows: dict[str, list[float]] = {}
    for changed in sizes:
        rows.setdefault("heartbeat, by changed amounts", []).append(
            fleet.heartbeat_bytes(regions=4, services=6, changed=changed)
        )
    host = fleet.SimulatedHost(host=builders.make_host("eh-0001"))
    beats = [
        host.heartbeat(number * 0.5)._replace(
            queued=(number % 9, 0, 0),
            headroom=tuple(
                model.RegionHeadroom("r00", f"s{n}", number + n, 5)
                for n in range(6)
            ),
        )
        for number in range(500)
    ]
    encoder = codec.SparseEncoder()
    started = time.process_time()
    frames = [encoder.encode(beat) for beat in beats]
    middle = time.process_time()
    decoder = codec.SparseDecoder()
    for frame in frames:
        decoder.decode(frame).unwrap()
    ended = time.process_time()
    print(
        f"busy heartbeat, 6 amounts: encode "
        f"{(middle - started) / 500 * 1e6:.1f} us, decode "
        f"{(ended - middle) / 500 * 1e6:.1f} us"
    )
    show(
        "heartbeat, by changed amounts",
        sizes,
        rows["heartbeat, by changed amounts"],
        unit="bytes",
        target=6,
    )
    beat = host.heartbeat(1.0)
    zone = beat.host.zone
    summary = model.ZoneSummary(zone, 9, 9_000_000, (), 0, 31, (beat, beat))
    objects = loaded_state(make_entries(100)).delta_since(0).objects
    counts = (10, 50, 218)
    makers: tuple[tuple[str, Callable[[int], model.Message]], ...] = (
        (
            "positions",
            lambda n: model.Relayed(
                (),
                (
                    model.ZonePositions(
                        9_000_000,
                        tuple(
                            model.ZoneEpoch(4_000_000_000 + k, 50)
                            for k in range(n)
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
            lambda n: model.Relayed((), (), (summary,) * n, 9, 9),
        ),
        (
            "delta of objects",
            lambda n: model.CatalogueReply(
                catalogue_model.CatalogueDelta(0, 9, objects[-n:])
            ),
        ),
    )
    for title, make in makers:
        size, encode, decode = [], [], []
        for count in counts:
            message = make(count)
            data = codec.encode(message)
            size.append(float(len(data)))
            encode.append(cost_ms(partial(codec.encode, message), loops=20))
            decode.append(cost_ms(partial(codec.decode, data), loops=20))
        show(f"{title}, size", counts, size, unit="bytes", target=ZONES)
        show(f"{title}, encode", counts, encode, unit="ms", target=ZONES)
        show(f"{title}, decode", counts, decode, unit="ms", target=ZONES)


def make_nodes(count: int) -> list[core.EntryHost]:
    """Return hosts in zones of 31 and regions of four zones."""
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
    """Measure the planning of peers against the number of nodes."""
    sizes = (700, 2000, 6700)
    candidates, first, again, listed, memory = [], [], [], [], []
    for size in sizes:
        hosts = make_nodes(size)
        gc.collect()
        tracemalloc.start()
        known = membership.Membership(own=hosts[0])
        known.set_listed(hosts[1:], now=0.0)
        memory.append(tracemalloc.get_traced_memory()[0] / 1e6)
        tracemalloc.stop()
        own = topology.Node(hosts[0].name, hosts[0].zone)
        candidates.append(cost_ms(partial(known.candidates, now=1.0)))
        nodes = known.candidates(now=1.0)
        first.append(cost_ms(partial(topology.make_plan, own, nodes)))
        for host in hosts[1:51]:
            beat = fleet.SimulatedHost(host=host).heartbeat(1.0)
            known.record_heartbeat(beat, now=1.0)
        again.append(cost_ms(partial(known.unavailable, now=1.0), loops=20))
        listed.append(cost_ms(partial(known.set_listed, hosts, now=1.0)))
    for title, values, unit in (
        ("candidates", candidates, "ms"),
        ("make_plan", first, "ms"),
        ("look for changes before planning", again, "ms"),
        ("set_listed", listed, "ms"),
        ("memory of the membership", memory, "MB"),
    ):
        show(title, sizes, values, unit=unit, target=NODES)


def measure_seats() -> None:
    """Measure one look at a seat table against hosts of the group."""
    sizes = (31, 61, 122, 244)
    view = loaded_state(make_entries(SITES)).view
    known = {
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
                    seats.fair_share(limits=known, host=host, hosts=hosts),
                    known,
                )
                for host in hosts
            },
        )
        value = seats.encode_table(table)
        one = "eh-0000"

        share = partial(seats.fair_share, limits=known, host=one, hosts=hosts)
        plan = partial(
            seats.plan_seat,
            table=table,
            host=one,
            incarnation=f"{one}-1",
            address="",
            renewal=8,
            fair_shares=share(),
            limits=known,
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
            rows.setdefault(title, []).append(cost_ms(action))
    print(f"keys of the group: {len(known)}")
    for title, values in rows.items():
        show(title, sizes, values, unit="ms", target=HOSTS_PER_REGION)


def measure_lookup() -> None:
    """Measure the cost of an answer against live hosts."""
    sizes = (40, 160, 500)
    built, cached, signed = [], [], []
    for size in sizes:
        clock = timer_helper.ManualTimerService(start_s=100.0)
        mesh = fakes.FakeMesh(timer=clock)
        hosts = [
            fleet.SimulatedHost(
                host=builders.make_host(f"eh{n}", zone="tallinn-a")
            ).heartbeat(1.0)
            for n in range(size)
        ]
        mesh.heartbeats = hosts[1:]
        planner = lookup.LookupPlanner(
            catalogue=harness.Catalogue(builders.make_view()),
            mesh=mesh,
            issuer=tokens.TokenIssuer(secret="s" * 32, timer=clock),
            own_heartbeat=partial(hosts.__getitem__, 0),
            timer=clock,
        )

        ask = partial(planner.answer, place="tallinn-a")
        built.append(cost_ms(partial(build_answer, planner), loops=5))
        cached.append(cost_ms(partial(ask, work="case-status"), loops=1000))
        signed.append(cost_ms(partial(ask, work="file-claim"), loops=200))
    for title, values in (
        ("answer, built", built),
        ("answer, cached", cached),
        ("answer, cached, with a run token", signed),
    ):
        show(title, sizes, values, unit="ms", target=ZONES * 2 + 33)
    print(f"{LOOKUPS_PER_S / NODES:.0f} look-ups/s a node when spread evenly")


def measure_store() -> None:
    """Print store calls a second at several sizes of fleet."""
    capacity_store.report(
        groups=1 + LINKS_PER_REGION, changes_per_s=CHANGES_PER_S
    )


def measure_traffic() -> None:
    """Simulate control traffic between hosts."""
    for size in (700, 2000, 6700):
        fleet.measure(size, seconds=9.0, rng=random.Random(1))


def measure_faults() -> None:
    """Simulate faults at three sizes."""
    sizes = (372, 744, 1488)
    for title, run in (
        ("zone lost: sighting s", capacity_faults.lose_zone),
        (
            "regions cut: bytes/s in it, after it, sighting s",
            capacity_faults.cut_regions,
        ),
        ("host restarted: bytes, s", capacity_faults.restart_host),
    ):
        results = [run(size) for size in sizes]
        for number, values in enumerate(zip(*results, strict=True)):
            show(f"{title} [{number}]", sizes, values, unit="", target=NODES)


PARTS: dict[str, Callable[[], None]] = {
    "catalogue": measure_catalogue,
    "messages": measure_messages,
    "peers": measure_peers,
    "seats": measure_seats,
    "lookup": measure_lookup,
    "store": measure_store,
    "traffic": measure_traffic,
    "faults": measure_faults,
}


def main(part: Annotated[str, typer.Argument()] = "all") -> None:
    """Run one part of the measurements, or all."""
    for name, measure in PARTS.items():
        if part in ("all", name):
            print(f"== {name}")
            measure()


if __name__ == "__main__":
    typer.run(main)
