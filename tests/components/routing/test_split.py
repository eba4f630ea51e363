"""Test that the requests of a whole fleet are split by weight."""

import collections
import random

import pytest

from samphirelug.components.routing import split
from standins import forwarding as build

# Requests on a route by all hosts together, over which shares are evaluated,
# and how far a share may lie off its weight.
REQUESTS = 300
TOLERANCE = 0.1


@pytest.mark.parametrize("hosts", [1, 10, 86, 195])
@pytest.mark.parametrize("weights", [(50.0, 50.0), (80.0, 20.0)])
def test_shares_of_a_large_fleet_do_not_follow_names_of_objects(
    hosts: int, weights: tuple[float, float]
) -> None:
    """Guard against hosts that all send the same objects to one service."""
    for seed in range(40):
        rng = random.Random(seed)
        services = tuple(f"service-{seed}-{number}" for number in range(2))
        route = build.route(
            destinations=tuple(zip(services, weights, strict=True))
        )
        splits = [
            split.WeightedSplit(rng=random.Random(seed * 1000 + number))
            for number in range(hosts)
        ]
        objects = [f"{seed}/{number}" for number in range(37)]
        popularity = [(number + 1) ** -0.2 for number in range(37)]
        counts = collections.Counter(
            rng.choice(splits).choose_service(route, object_key=object_key)
            for object_key in rng.choices(objects, popularity, k=REQUESTS)
        )
        share = counts[services[0]] / REQUESTS
        assert abs(share - weights[0] / sum(weights)) <= TOLERANCE, seed


def test_weights_of_a_service_that_is_named_twice_are_added() -> None:
    """Guard against a configuration of which only the last weight counts."""
    weighted_split = split.WeightedSplit(rng=random.Random(1))
    route = build.route(
        destinations=(("desk", 30.0), ("ledger", 40.0), ("desk", 30.0))
    )
    counts = collections.Counter(
        weighted_split.choose_service(route, object_key=f"object-{number}")
        for number in range(100)
    )
    assert abs(counts["desk"] - 60) <= 2


def test_memory_of_removed_routes_is_limited() -> None:
    """Guard against a process that keeps all routes that there ever were."""
    weighted_split = split.WeightedSplit(rng=random.Random(1))
    for number in range(split.MAX_ROUTES + 10):
        route = build.route(
            path_prefix=f"/r{number}/", destinations=(("a", 1.0), ("b", 1.0))
        )
        for _ in range(3):
            weighted_split.choose_service(route, object_key="x")
    assert len(weighted_split.shares_by_route) == split.MAX_ROUTES
    for shares in weighted_split.shares_by_route.values():
        assert len(shares.ranks.positions) == len(shares.ranks.recent) == 3


def test_recent_objects_of_a_route_are_limited() -> None:
    """Guard against memory that grows with each request."""
    ranks = split.ObjectRanks(rng=random.Random(1))
    for number in range(3 * split.MAX_POSITIONS):
        assert 0.0 <= ranks.add(f"object-{number % 50}") < 1.0
    assert len(ranks.positions) == split.MAX_POSITIONS
    assert ranks.positions == sorted(ranks.recent)
