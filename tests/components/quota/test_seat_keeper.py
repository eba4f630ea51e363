"""Test seats and loans of several simulated hosts together."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random

import pytest

from samphirelug.components.quota import model
from samphirelug.components.quota import seats
from standins.simulation import quota as simulation
from standins import store as store_standin

ZONES = {
    "eh1": "tallinn-a",
    "eh2": "tallinn-a",
    "eh3": "tallinn-a",
    "eh4": "tartu-a",
    "eh5": "tartu-a",
}
REGION = "region:tallinn"


def run_scenario(
    scenario: Callable[
        [simulation.QuotaSimulation], Coroutine[None, None, None]
    ],
    *,
    seed: int = 0,
    settings: model.SeatSettings = simulation.SETTINGS,
) -> simulation.QuotaSimulation:
    """Run a scenario on a new simulation and return it."""

    async def run() -> simulation.QuotaSimulation:
        sim = simulation.QuotaSimulation(seed=seed, settings=settings)
        await scenario(sim)
        for host in sim.hosts.values():
            host.kill()
        return sim

    return asyncio.run(run())


def start_all(sim: simulation.QuotaSimulation) -> None:
    for name, zone in ZONES.items():
        sim.start(name, zone)


def usable_units(
    sim: simulation.QuotaSimulation, key: str = REGION
) -> dict[str, int]:
    return {
        name: host.ledger.usable(key)
        for name, host in sim.hosts.items()
        if not host.dead and host.ledger.usable(key)
    }


def stored_units(
    sim: simulation.QuotaSimulation, key: str = REGION
) -> dict[str, int]:
    value = sim.objects["seats/region/tallinn"].value
    table = seats.decode_table("region/tallinn", value).unwrap()
    return {
        name: seat.units[key]
        for name, seat in table.seats.items()
        if key in seat.units
    }


async def stop_host(
    sim: simulation.QuotaSimulation, host: simulation.Host
) -> None:
    """Stop a host as planned, with the units in use at that time."""
    await sim.run(3.0)
    if host.paused or host.dead:
        return
    task = asyncio.get_running_loop().create_task(host.keeper.release_seats())
    await sim.run(8.0)
    assert task.done()
    host.kill()


async def inject_fault(
    sim: simulation.QuotaSimulation, rng: random.Random
) -> None:
    """Repair some of the active faults, then inject a new one."""
    for name in sorted(sim.hosts):
        candidate = sim.hosts[name]
        if rng.random() < 0.4 and candidate.dead:
            sim.start(name, ZONES[name])
        elif rng.random() < 0.3 and candidate.paused:
            candidate.resume()
    sim.store_available = sim.store_available or rng.random() < 0.4
    host = sim.hosts[rng.choice(sorted(sim.hosts))]
    action = rng.randrange(8)
    if host.dead or host.paused:
        return
    if action == 0:
        host.kill()
    elif action == 1:
        host.paused = True
    elif action == 2:
        host.partitioned = not host.partitioned
    elif action == 3:
        sim.store_available = False
    elif action == 4:
        sim.set_view(
            simulation.make_view(rng.choice([3, 7, 14]), rng.choice([2, 5]))
        )
    elif action == 5:
        sim.failure_rate = rng.choice([0.0, 0.1, 0.4])
    elif action == 6:
        host.request_probability = rng.choice([0.0, 0.1, 1.0])
    else:
        await stop_host(sim, host)


@pytest.mark.parametrize("seed", range(12))
def test_limits_hold_through_faults(seed: int) -> None:
    """Guard against faults that let two hosts use the same units.

    The simulation fails the run if they do.
    """

    async def scenario(sim: simulation.QuotaSimulation) -> None:
        rng = random.Random(seed)
        start_all(sim)
        await sim.run(10.0)
        for _ in range(40):
            await inject_fault(sim, rng)
            await sim.run(rng.choice([0.5, 3.0, 10.0, 30.0]))

    sim = run_scenario(scenario, seed=seed)
    # The check is only effective if use comes close to the limits.
    assert sim.dispatches > 150
    assert sim.loans > 10
    assert sim.unit_loans > 10
    assert sim.peak_use[REGION] > 0.8


@pytest.mark.parametrize("seed", range(6))
def test_borrowed_bytes_do_not_exceed_a_link_limit(seed: int) -> None:
    """Guard against units that lender and borrower use at the same time.

    Each request needs more bytes than its host's own share has.
    """

    async def scenario(sim: simulation.QuotaSimulation) -> None:
        rng = random.Random(seed)
        sim.bulk_bytes = 24_000
        start_all(sim)
        await sim.run(10.0)
        for _ in range(30):
            await inject_fault(sim, rng)
            for host in sim.hosts.values():
                host.request_probability = 1.0
            await sim.run(rng.choice([0.5, 3.0, 10.0]))

    sim = run_scenario(scenario, seed=seed)
    assert sim.dispatches > 10
    assert sim.unit_loans > 50
    assert max(sim.peak_use[key] for key in simulation.BULK_KEYS) >= 0.6


def test_new_host_gets_its_share_within_seconds() -> None:
    """Guard against a new host that waits for renewals, 300 s apart."""

    async def scenario(sim: simulation.QuotaSimulation) -> None:
        for name in ("eh1", "eh2"):
            sim.start(name, ZONES[name])
        await sim.run(10.0)
        assert sorted(usable_units(sim).values()) == [3, 4]
        for host in sim.hosts.values():
            # More requests than the hosts can serve, so they are never idle.
            host.request_probability, host.orphan_probability = 1.0, 0.0
        await sim.run(60.0)
        calls = sim.calls
        sim.start("eh3", ZONES["eh3"]).orphan_probability = 0.0
        await sim.run(10.0)
        assert sorted(usable_units(sim).values()) == [2, 2, 3]
        # Ten store calls for each of three hosts in each of three groups, one
        # of them the group of the region without hosts.
        assert sim.calls - calls < 90
        for host in sim.hosts.values():
            host.request_probability = 0.0
        await sim.run(60.0)
        calls = sim.calls
        await sim.run(900.0)
        # At most five renewals, each a read and a write.
        assert sim.calls - calls <= 9 * 5 * 2

    run_scenario(scenario, settings=model.SeatSettings())


def test_planned_stop_returns_all_units() -> None:
    """Guard against units of a stopped host that stay unusable for a lease."""

    async def scenario(sim: simulation.QuotaSimulation) -> None:
        start_all(sim)
        await sim.run(10.0)
        host = sim.hosts["eh1"]
        host.request_probability = 0.0
        # Loans and orphaned requests would outlast the wait of the stop.
        for other in sim.hosts.values():
            other.request_probability = 0.0
        await sim.run(40.0)
        await stop_host(sim, host)
        assert "eh1" not in stored_units(sim)
        await sim.run(10.0)
        assert sorted(usable_units(sim).values()) == [3, 4]

    run_scenario(scenario, settings=model.SeatSettings())


def test_units_in_use_at_a_stop_are_freed_after_the_longest_hold() -> None:
    """Guard against units that stay unusable for a lease of 900 s more."""

    async def scenario(sim: simulation.QuotaSimulation) -> None:
        start_all(sim)
        for host in sim.hosts.values():
            host.request_probability = host.orphan_probability = 1.0
        await sim.run(10.0)
        host = sim.hosts["eh1"]
        host.paused = False
        task = asyncio.get_running_loop().create_task(
            host.keeper.release_seats()
        )
        await sim.run(8.0)
        assert task.done()
        host.kill()
        assert stored_units(sim)["eh1"] > 0
        await sim.run(30.0)
        assert "eh1" in stored_units(sim)
        await sim.run(12.0)
        assert "eh1" not in stored_units(sim)

    run_scenario(scenario, settings=model.SeatSettings())


def test_restarted_host_takes_over_its_seat_after_the_longest_hold() -> None:
    """Guard against a takeover while old requests may run, or 900 s later.

    Old requests may run for the longest hold; the lease lasts 900 s.
    """

    async def scenario(sim: simulation.QuotaSimulation) -> None:
        start_all(sim)
        await sim.run(10.0)
        sim.hosts["eh1"].kill()
        sim.start("eh1", ZONES["eh1"])
        # 2 s of loan, 30.5 s of requests, 5 s of release delay.
        await sim.run(37.0)
        assert "eh1" not in usable_units(sim)
        await sim.run(4.0)
        assert "eh1" in usable_units(sim)

    run_scenario(scenario, settings=model.SeatSettings())


def test_same_name_at_another_address_waits_for_the_lease() -> None:
    """Guard against a takeover from a process that may still run.

    Binding another address does not prove that the old process ended.
    """

    async def scenario(sim: simulation.QuotaSimulation) -> None:
        start_all(sim)
        await sim.run(10.0)
        sim.hosts["eh1"].kill()
        host = sim.start("eh1", ZONES["eh1"])
        host.keeper.host = host.identity._replace(peer_url="ws://127.0.0.2:1")
        await sim.run(56.0)
        assert "eh1" not in usable_units(sim)
        await sim.run(10.0)
        assert "eh1" in usable_units(sim)

    run_scenario(scenario)


def test_units_of_a_dead_host_are_freed_after_lease_and_hold() -> None:
    """Guard against units reused while requests may run, or never freed."""

    async def scenario(sim: simulation.QuotaSimulation) -> None:
        start_all(sim)
        await sim.run(10.0)
        sim.hosts["eh1"].kill()
        await sim.run(50.0)
        assert "eh1" in stored_units(sim)
        await sim.run(30.0)
        assert sorted(stored_units(sim).values()) == [3, 4]

    run_scenario(scenario)


def test_expiry_of_a_long_lease_allows_for_clock_drift() -> None:
    """Guard against reusing units that a holder with a slow clock still uses.

    With a clock that is 1 % slow, it uses them 30 s longer.
    """

    async def scenario(sim: simulation.QuotaSimulation) -> None:
        for name in ("eh1", "eh2"):
            sim.start(name, ZONES[name]).request_probability = 0.0
        await sim.run(10.0)
        sim.hosts["eh1"].kill()
        await sim.run(3055.0)
        assert "eh1" in stored_units(sim)
        await sim.run(60.0)
        assert "eh1" not in stored_units(sim)

    settings = simulation.SETTINGS._replace(
        lease_s=3000.0, renew_interval_s=6.0
    )
    run_scenario(scenario, settings=settings)


def test_paused_holder_dispatches_nothing_after_its_lease() -> None:
    """Guard against a resumed host that uses units of other hosts."""

    async def scenario(sim: simulation.QuotaSimulation) -> None:
        start_all(sim)
        for host in sim.hosts.values():
            host.request_probability = 1.0
        await sim.run(10.0)
        paused_host = sim.hosts["eh1"]
        paused_host.paused = True
        await sim.run(80.0)
        before = sim.dispatches
        paused_host.resume()
        assert sim.dispatches == before

    run_scenario(scenario)


def test_store_outage_beyond_the_lease_stops_use_until_it_ends() -> None:
    """Guard against using units that others may use after the lease ended."""

    async def scenario(sim: simulation.QuotaSimulation) -> None:
        start_all(sim)
        await sim.run(10.0)
        sim.store_available = False
        sim.set_view(simulation.make_view(3, 5))
        await sim.run(5.0)
        assert 0 < sum(usable_units(sim).values()) <= 3
        await sim.run(20.0)
        assert not usable_units(sim)
        sim.store_available = True
        await sim.run(10.0)
        assert sum(usable_units(sim).values()) == 3

    run_scenario(scenario)


def test_units_given_back_by_a_pending_write_are_not_used() -> None:
    """Guard against using units that a pending write may still give back.

    A write that lowers units may take effect after later ones are sent.
    """

    async def scenario(sim: simulation.QuotaSimulation) -> None:
        host = sim.start("eh1", ZONES["eh1"])
        # No requests, since units in use could not be given back.
        host.request_probability = 0.0
        await sim.run(10.0)
        assert usable_units(sim) == {"eh1": 7}
        sim.write_delay_s = 4.0
        host.keeper.hosts_of = lambda _: frozenset(("eh1", "eh2"))
        await sim.run(1.5)
        host.keeper.hosts_of = lambda _: frozenset(("eh1",))
        # Admission uses free units within the callback.
        usable_seen: list[int] = []
        host.ledger.on_free.append(
            lambda: usable_seen.append(host.ledger.usable(REGION))
        )
        for _ in range(8):
            await sim.run(0.25)
            assert stored_units(sim) == {"eh1": 7}
            assert usable_units(sim)["eh1"] in (3, 4)
        assert usable_seen
        assert max(usable_seen) <= 4
        sim.write_delay_s = 0.0
        await sim.run(20.0)
        assert usable_units(sim) == {"eh1": 7}

    run_scenario(scenario)


def test_stale_read_of_a_table_changes_nothing() -> None:
    """Guard against a stale read that restores old units or ends a seat.

    An old table has units that were given back, or no valid seat.
    """

    async def scenario(sim: simulation.QuotaSimulation) -> None:
        core = store_standin.StoreCore()

        def start(name: str) -> simulation.Host:
            host = sim.start(name, ZONES[name])
            host.request_probability = 0.0
            host.keeper.store = store_standin.FakeObjectStore(
                core=core, timer=host.timer
            )
            return host

        first = start("eh1")
        await sim.run(10.0)
        assert usable_units(sim) == {"eh1": 7}
        start("eh2")
        await sim.run(10.0)
        before = usable_units(sim)
        assert sorted(before.values()) == [3, 4]
        usable_seen: list[int] = []
        first.ledger.on_free.append(
            lambda: usable_seen.append(first.ledger.usable(REGION))
        )
        for stale_by in (1, 3, 6, core.revision):
            core.faults.stale_by = stale_by
            gets = core.calls["get"]
            for host in sim.hosts.values():
                for state in host.keeper.groups.values():
                    state.next_poll_at_s = 0.0
            await sim.run(1.5)
            assert core.calls["get"] > gets
            assert usable_units(sim) == before
            assert set(usable_seen) <= {before["eh1"]}
        core.faults.stale_by = 0
        await sim.run(30.0)
        assert usable_units(sim) == before

    run_scenario(scenario)


def test_region_without_entry_hosts_is_served_by_the_nearest() -> None:
    """Guard against backend servers that no entry host can reach."""

    async def scenario(sim: simulation.QuotaSimulation) -> None:
        sim.start("eh1", ZONES["eh1"])
        await sim.run(5.0)
        assert usable_units(sim, "region:tartu") == {"eh1": 7}
        sim.start("eh4", ZONES["eh4"])
        await sim.run(60.0)
        assert usable_units(sim, "region:tartu") == {"eh4": 7}

    run_scenario(scenario)
