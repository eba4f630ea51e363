"""Test that the turns of all hosts at a cold server stay within its bound."""

import random

import pytest

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.placement import cold

HOSTS = 16
REQUESTS_PER_S = 2.7
# Requests that a cold server bears within any second: one and a half times
# its rate and five more.
MAX_IN_ONE_SECOND = 1.5 * REQUESTS_PER_S + 5
COLD_S = 3.0
STEP_S = 0.05


def most_in_one_second(seed: int) -> int:
    """Return the most requests that a server gets from hosts under load."""
    rng = random.Random(seed)
    incarnation = fleet_model.Incarnation(f"i-{rng.random()}", 1)
    sent_at_s = []
    for number in range(HOSTS):
        limiter = cold.ColdStartLimiter(host=f"h{number}")
        # The clocks of the hosts have nothing in common.
        clock_s = rng.uniform(0.0, 90_000.0)
        for step in range(round(COLD_S / STEP_S)):
            at_s = step * STEP_S
            if limiter.allows(
                incarnation,
                now=clock_s + at_s,
                requests_per_s=REQUESTS_PER_S,
                hosts=HOSTS,
            ):
                limiter.record_request(incarnation, now=clock_s + at_s)
                sent_at_s.append(at_s)
    return max(
        sum(first <= at_s < first + 1.0 for at_s in sent_at_s)
        for first in sent_at_s
    )


@pytest.mark.parametrize("seed", range(20))
def test_turns_of_hosts_keep_the_rate_of_a_cold_server(seed: int) -> None:
    """Guard against a server that falls over in its cold start."""
    assert most_in_one_second(seed) <= MAX_IN_ONE_SECOND


@pytest.mark.parametrize(
    "seed", [1217, 1564, 1619, 2178, 2547, 2988, 3084, 3627]
)
def test_turns_that_fall_together_keep_the_rate_of_a_cold_server(
    seed: int,
) -> None:
    """Guard against turns that by chance begin within the same second.

    These are all of the seeds from 0 to 3999 that break the bound.
    """
    assert most_in_one_second(seed) <= MAX_IN_ONE_SECOND
