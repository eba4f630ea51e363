"""Test the selection of regions and backend servers."""

from samphirelug.components.backend import model as backend_model
from standins.simulation import admission as simulation


def count_first_choices(
    harness: simulation.Harness, count: int
) -> dict[str, int]:
    chosen: dict[str, int] = {}
    for _ in range(count):
        servers = harness.planner.servers_for(
            service="filing",
            region="tallinn",
            excluded=simulation.NONE_EXCLUDED,
        )
        chosen[servers[0].name] = chosen.get(servers[0].name, 0) + 1
    return chosen


def test_home_region_comes_first() -> None:
    """Guard against serving requests outside their home region."""
    harness = simulation.Harness()
    regions = harness.planner.regions_for_request(
        harness.request(home_region="tartu")
    )
    assert regions[0] == "tartu"
    assert set(regions) == {"tallinn", "tartu", "parnu"}


def test_leaving_excluded_and_full_servers_are_not_chosen() -> None:
    """Guard against requests to servers that must not receive any."""
    harness = simulation.Harness()
    health = harness.health
    leaving = "filing-tallinn-a-0"
    health.apply_report(backend_model.HealthReport(leaving, True, 0.0, "a"))
    chosen = harness.planner.servers_for(
        service="filing",
        region="tallinn",
        excluded=frozenset(("filing-tallinn-a-1",)),
    )
    names = {server.name for server in chosen}
    assert names == {"filing-tallinn-b-0", "filing-tallinn-b-1"}
    harness.ledger.drop_seat("region/tallinn")
    assert not harness.planner.servers_for(
        service="filing", region="tallinn", excluded=simulation.NONE_EXCLUDED
    )


def test_busy_and_slow_servers_are_chosen_less() -> None:
    """Guard against a selection that ignores observed load and latency."""
    harness = simulation.Harness()
    for name in harness.catalogue.view.servers:
        slow = name == "filing-tallinn-a-0"
        harness.health.attempt_ended(
            name, latency_s=0.5 if slow else 0.05, failure=None
        )
    harness.health.attempt_started("filing-tallinn-a-1")
    chosen = count_first_choices(harness, 400)
    assert chosen.get("filing-tallinn-a-0", 0) == 0
    assert chosen["filing-tallinn-a-1"] < chosen["filing-tallinn-b-0"]


def test_old_load_report_counts_as_missing() -> None:
    """Guard against selecting servers by stale load reports."""
    harness = simulation.Harness()
    server = harness.catalogue.view.servers["filing-tallinn-a-0"]
    usual = harness.planner.cost(server, reference_latency_s=0.0)
    harness.health.apply_report(
        backend_model.HealthReport(server.name, False, 1.0, "a")
    )
    assert harness.planner.cost(server, reference_latency_s=0.0) > usual
    harness.timer.advance(6.0)
    assert harness.planner.cost(server, reference_latency_s=0.0) == usual
