"""Test that changes of a large configuration spread in a large fleet."""

import random

from samphirelug.components.store import feed
from standins.simulation import following

ZONES = {
    f"{region}{number}": region for region in "abc" for number in range(3)
}
HOSTS_PER_ZONE = 22
LINK_MBPS = 10.0
# Time within which a change of the configuration must be in force.
IN_FORCE_S = 4.0
# Number of changes within that time.
CHANGES = 4


def large_configuration(seed: int) -> dict[str, object]:
    """Return the value of a configuration with 1,400 routes."""
    rng = random.Random(seed)
    names = [f"{rng.getrandbits(40):010x}" for _ in range(2800)]
    return {
        "Version": f"{seed:08x}",
        "Rules": [
            {
                "Name": f"r-{name}",
                "Type": "safe",
                "TargetLatency": "500ms",
                "Priority": 1,
                "SessionAffinity": True,
                "Match": {"PathPrefix": f"/{path}/"},
                "Action": {
                    "Service": "desk",
                    "Timeout": "1200ms",
                    "MaxAttempts": 2,
                    "AllowedRegions": [],
                },
            }
            for name, path in zip(names[:1400], names[1400:], strict=True)
        ],
    }


def test_changes_of_a_large_configuration_reach_hosts_over_slow_links() -> (
    None
):
    """Guard against hosts that act on an old version, and read the store."""
    world = following.World(
        zones=ZONES, hosts_per_zone=HOSTS_PER_ZONE, link_mbps=LINK_MBPS
    )
    world.run(5.0)
    assert world.behind() == []
    readers = world.readers()
    for number in range(CHANGES):
        world.change(
            feed.ObjectKind.CONFIGURATION,
            "main",
            value=large_configuration(number),
        )
        world.run(IN_FORCE_S / CHANGES)
    assert world.behind() == []
    assert world.readers() == readers
