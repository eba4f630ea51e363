"""Test which entry hosts a caller is told to use."""

from samphirelug.components.directory import answer
from samphirelug.components.fleet import model
from samphirelug import core


def host(name: str, zone: str) -> model.HostInstance:
    """Return an entry host; the zone's first letter is its region."""
    return model.HostInstance(
        name, "i", core.AvailabilityZone(zone, zone[0]), name, name
    )


HOSTS = [
    host("h1", "a1"),
    host("h2", "a1"),
    host("h3", "a2"),
    host("h4", "b1"),
]


def test_hosts_of_the_zone_come_alone() -> None:
    """Guard against bytes between zones on the way to the entry host."""
    assert answer.choose(HOSTS, region="a", zone="a1") == ["h1", "h2"]


def test_single_host_of_a_zone_is_not_named_alone() -> None:
    """Guard against callers without a choice when their host stops."""
    assert answer.choose(HOSTS, region="a", zone="a2") == ["h1", "h2", "h3"]


def test_other_regions_are_named_only_without_any_near_host() -> None:
    """Guard against bodies sent to regions that are not allowed."""
    assert answer.choose(HOSTS, region="b", zone="b1") == ["h4"]
    assert len(answer.choose(HOSTS, region="c", zone="c1")) == 4
