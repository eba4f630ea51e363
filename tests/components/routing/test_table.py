"""Test the match of routes, versions and the weighted split."""

import collections

from samphirelug.components.routing import split
from samphirelug.components.routing import table
from standins import forwarding as build


def test_longest_prefix_wins_and_hostname_ignores_case() -> None:
    """Guard against a general route hiding a more specific one."""
    general = build.route(name="general", path_prefix="/")
    special = build.route(name="special", path_prefix="/status/old/")
    routes = table.RouteTable(
        configuration=build.configuration(general, special)
    )
    host = build.HOSTNAME.upper()
    found = routes.find(hostname=host, path="/status/old/1")
    assert found == special
    assert routes.find(hostname=host, path="/status/1") == general
    assert routes.find(hostname="other.example", path="/status/1") is None


def test_prefix_matches_whole_segments_only() -> None:
    """Guard against /status/ taking /statusold."""
    routes = table.RouteTable(configuration=build.configuration(build.route()))
    assert routes.find(hostname=build.HOSTNAME, path="/statusold") is None


def test_configuration_version_never_decreases() -> None:
    """Guard against old news from a store or peer ending a change."""
    state = table.ConfigurationState()
    newer = build.configuration(build.route(), version=12)
    older = build.configuration(version=7)
    assert state.apply(newer, now=1.0, source="test")
    assert not state.apply(older, now=2.0, source="test")
    assert not state.apply(newer, now=3.0, source="test")
    assert state.version == 12
    assert state.applied_at_s == 1.0


def test_split_keeps_shares_in_short_sequences() -> None:
    """Guard against random picks that miss the weights by over a tenth."""
    weighted = split.WeightedSplit()
    route = build.route(destinations=(("desk", 90.0), ("ledger", 10.0)))
    picks = collections.Counter(weighted.pick(route) for _ in range(20))
    assert picks == {"desk": 18, "ledger": 2}


def test_split_starts_anew_when_the_weights_change() -> None:
    """Guard against credit of former weights skewing the new shares."""
    weighted = split.WeightedSplit()
    first = build.route(destinations=(("desk", 99.0), ("ledger", 1.0)))
    for _ in range(50):
        weighted.pick(first)
    second = build.route(destinations=(("desk", 1.0), ("ledger", 1.0)))
    picks = collections.Counter(weighted.pick(second) for _ in range(10))
    assert picks == {"desk": 5, "ledger": 5}
