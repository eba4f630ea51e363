"""Test the example catalogues of both deployments."""

import pathlib

import pytest

from samphirelug.components.catalogue import schema
from samphirelug.components.catalogue import view as catalogue_view
from samphirelug.components.commands import documents

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize(
    ("name", "server_counts", "slots", "works"),
    [
        (
            "estonia",
            {"filing": 16, "fees": 14},
            3,
            {"file-claim", "pay-fee", "case-status", "case-export"},
        ),
        (
            "norway",
            {"sizing": 12, "certificate": 12},
            5,
            {
                *("order-sample", "save-certificate"),
                *("fin-lookup", "catalogue-export"),
            },
        ),
    ],
)
def test_example_has_the_sizes_of_the_deployment(
    name: str, server_counts: dict[str, int], slots: int, works: set[str]
) -> None:
    """Guard against an invalid example, or one unlike its deployment."""
    found = documents.read_files([str(EXAMPLES / f"{name}.yaml")]).unwrap()
    assert schema.problems(found.entries) == ()
    view = catalogue_view.CatalogueView(entries=found.entries.values())
    found_counts = {
        service["name"]: len(service["servers"])
        for service in view.services.values()
    }
    assert found_counts == server_counts
    assert {server.slots for server in view.servers.values()} == {slots}
    assert view.works.keys() == works
    assert (len(view.regions), len(view.zones), len(view.links)) == (3, 6, 3)
    for service in view.services:
        for zone in view.zones.values():
            servers = view.servers_in(service=service, region=zone.region)
            assert any(server.zone == zone for server in servers)
    for region, entry in view.regions.items():
        slots_in_region = sum(
            server.slots
            for service in view.services
            for server in view.servers_in(service=service, region=region)
        )
        assert entry["max_in_flight"] == slots_in_region
