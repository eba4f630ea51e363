"""Test route matching, configuration versions and the weighted split."""

import collections
import random

from samphirelug.components.routing import model
from samphirelug.components.routing import split
from samphirelug.components.routing import table
from standins import forwarding as build


def test_longest_prefix_wins_and_hostname_ignores_case() -> None:
    """Guard against a general route that shadows a more specific one."""
    general = build.route(name="general", path_prefix="/")
    specific = build.route(name="specific", path_prefix="/status/old/")
    routes = table.RouteTable(
        configuration=build.configuration(general, specific)
    )
    host = build.HOSTNAME.upper()
    found = routes.find(hostname=host, path="/status/old/1")
    assert found == specific
    assert routes.find(hostname=host, path="/status/1") == general
    assert routes.find(hostname="other.example", path="/status/1") is None


def test_prefix_matches_whole_segments_only() -> None:
    """Guard against /status/ matching /statusold."""
    routes = table.RouteTable(configuration=build.configuration(build.route()))
    assert routes.find(hostname=build.HOSTNAME, path="/statusold") is None


def test_configuration_version_never_decreases() -> None:
    """Guard against outdated data from store or peers undoing a change."""
    state = table.ConfigurationState()
    newer = build.configuration(build.route(), version=12)
    older = build.configuration(version=7)
    assert state.apply(newer, now=1.0, source="test")
    assert not state.apply(older, now=2.0, source="test")
    assert not state.apply(newer, now=3.0, source="test")
    assert state.version == 12
    assert state.applied_at_s == 1.0


def test_limits_of_teams_follow_the_configuration() -> None:
    """Guard against shares weighted by the limits of an older version."""
    state = table.ConfigurationState()
    assert state.team_limit_per_s("a") == 0.0
    for version, limit in enumerate((5.0, 9.0), start=1):
        team = model.Team("a", frozenset("k"), requests_per_s=limit)
        configuration = build.configuration(version=version)
        state.apply(
            configuration._replace(teams=(team,)), now=1.0, source="test"
        )
        assert state.team_limit_per_s("a") == limit
        assert state.team_limit_per_s("b") == 0.0


SPLIT = build.route(destinations=(("desk", 90.0), ("ledger", 10.0)))


def test_split_keeps_shares_in_short_sequences() -> None:
    """Guard against shares that miss the weights by more than a tenth."""
    weighted_split = split.WeightedSplit(rng=random.Random(1))
    for keys in (
        [f"object-{number % 24}" for number in range(60)],
        ["object-1"] * 60,
        ["object-2"] * 60,
    ):
        counts = collections.Counter(
            weighted_split.choose_service(SPLIT, object_key=key)
            for key in keys
        )
        assert abs(counts["ledger"] / 60 - 0.1) < 0.1


def test_split_keeps_objects_at_one_service() -> None:
    """Guard against each object being new to the servers of both services."""
    weighted_split = split.WeightedSplit(rng=random.Random(1))
    even = build.route(destinations=(("desk", 1.0), ("ledger", 1.0)))
    counts_by_object: dict[str, collections.Counter[str]] = (
        collections.defaultdict(collections.Counter)
    )
    for number in range(720):
        key = f"object-{number * 7 % 72}"
        counts_by_object[key][
            weighted_split.choose_service(even, object_key=key)
        ] += 1
    at_main_service = sum(
        max(counts.values()) for counts in counts_by_object.values()
    )
    assert at_main_service / 720 > 0.8


def test_split_is_reset_when_the_weights_change() -> None:
    """Guard against deficits from former weights skewing the new shares."""
    weighted_split = split.WeightedSplit(rng=random.Random(1))
    first = build.route(destinations=(("desk", 99.0), ("ledger", 1.0)))
    for number in range(50):
        weighted_split.choose_service(first, object_key=f"object-{number}")
    second = build.route(destinations=(("desk", 1.0), ("ledger", 1.0)))
    counts = collections.Counter(
        weighted_split.choose_service(second, object_key="object-1")
        for _ in range(20)
    )
    assert abs(counts["desk"] - 10) <= 2
