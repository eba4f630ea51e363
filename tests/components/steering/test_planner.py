"""Test the choice of regions and servers."""

from samphirelug.components.backend import model as backend_model
from standins.simulation import admission as harness


def first_choices(rig: harness.Harness, count: int) -> dict[str, int]:
    chosen: dict[str, int] = {}
    for _ in range(count):
        servers = rig.planner.servers_for(
            service="filing",
            region="tallinn",
            excluded=harness.NONE_EXCLUDED,
        )
        chosen[servers[0].name] = chosen.get(servers[0].name, 0) + 1
    return chosen


def test_regions_start_at_home() -> None:
    """Guards against requests that leave home for a nearer name."""
    rig = harness.Harness()
    regions = rig.planner.regions_for(rig.request(home="tartu"))
    assert regions[0] == "tartu"
    assert set(regions) == {"tallinn", "tartu", "parnu"}


def test_leaving_excluded_and_full_servers_are_not_chosen() -> None:
    """Guards against work for servers that must get none."""
    rig = harness.Harness()
    health = rig.health
    leaving = "filing-tallinn-a-0"
    health.apply_report(backend_model.HealthReport(leaving, True, 0.0, "a"))
    chosen = rig.planner.servers_for(
        service="filing",
        region="tallinn",
        excluded=frozenset(("filing-tallinn-a-1",)),
    )
    names = {server.name for server in chosen}
    assert names == {"filing-tallinn-b-0", "filing-tallinn-b-1"}
    rig.ledger.drop_seat("region/tallinn")
    assert not rig.planner.servers_for(
        service="filing", region="tallinn", excluded=harness.NONE_EXCLUDED
    )


def test_busy_and_slow_servers_are_chosen_less() -> None:
    """Guards against a choice that ignores own observations."""
    rig = harness.Harness()
    for name in rig.catalogue.view.servers:
        slow = name == "filing-tallinn-a-0"
        rig.health.ended(name, latency_s=0.5 if slow else 0.05, failure=None)
    rig.health.started("filing-tallinn-a-1")
    chosen = first_choices(rig, 400)
    assert chosen.get("filing-tallinn-a-0", 0) == 0
    assert chosen["filing-tallinn-a-1"] < chosen["filing-tallinn-b-0"]


def test_old_load_report_counts_as_missing() -> None:
    """Guards against steering by stale reports."""
    rig = harness.Harness()
    server = rig.catalogue.view.servers["filing-tallinn-a-0"]
    usual = rig.planner.cost(server, latency_s=0.0)
    rig.health.apply_report(
        backend_model.HealthReport(server.name, False, 1.0, "a")
    )
    assert rig.planner.cost(server, latency_s=0.0) > usual
    rig.timer.advance(6.0)
    assert rig.planner.cost(server, latency_s=0.0) == usual
