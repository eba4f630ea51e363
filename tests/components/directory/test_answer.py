"""Test which entry hosts are listed for a caller."""

from samphirelug.components.directory import answer
from samphirelug.components.fleet import model
from samphirelug import core


def host(
    name: str, zone: str, capacity_per_s: float = 0.0
) -> model.HostInstance:
    """Return an entry host; the zone's first letter is its region."""
    return model.HostInstance(
        name,
        "i",
        core.AvailabilityZone(zone, zone[0]),
        name,
        name,
        capacity_per_s,
    )


HOSTS = [
    host("h1", "a1"),
    host("h2", "a1"),
    host("h3", "a2"),
    host("h4", "b1"),
]


def test_only_hosts_of_the_zone_are_listed() -> None:
    """Guard against traffic between zones on the way to the entry host."""
    assert answer.choose_addresses(HOSTS, region="a", zone="a1") == [
        "h1",
        "h2",
    ]


def test_single_host_of_a_zone_is_not_listed_alone() -> None:
    """Guard against callers without another host when their host stops."""
    assert answer.choose_addresses(HOSTS, region="a", zone="a2") == [
        "h1",
        "h2",
        "h3",
    ]


def test_other_regions_are_listed_only_without_hosts_in_the_region() -> None:
    """Guard against bodies sent to regions that are not allowed."""
    assert answer.choose_addresses(HOSTS, region="b", zone="b1") == ["h4"]
    assert len(answer.choose_addresses(HOSTS, region="c", zone="c1")) == 4


def test_hosts_with_the_highest_capacity_serve_a_large_zone() -> None:
    """Guard against traffic to hosts with a slow processor or link."""
    zone = [host(f"h{n:02}", "a1", float(n)) for n in range(15)]
    listed = answer.choose_addresses(zone, region="a", zone="a1")
    assert listed == ["h14", "h13", "h12", "h11", "h10"]


def test_host_that_left_is_replaced_by_the_next_by_capacity() -> None:
    """Guard against a zone that loses capacity while hosts are unused."""
    zone = [host(f"h{n:02}", "a1", float(n)) for n in range(14)]
    listed = answer.choose_addresses(zone[:-1], region="a", zone="a1")
    assert len(listed) == 5
    assert "h08" in listed


def test_capacity_is_limited_by_the_scarcer_resource() -> None:
    """Guard against overrating a fast processor behind a slow link."""
    slow_link = answer.capacity_per_s(cores=2.0, link_mbps=5.0)
    slow_processor = answer.capacity_per_s(cores=0.1, link_mbps=1000.0)
    both_fast = answer.capacity_per_s(cores=2.0, link_mbps=1000.0)
    assert slow_link < both_fast
    assert slow_processor < both_fast


def test_hosts_without_callers_have_no_share() -> None:
    """Guard against shares that nobody uses at hosts that no caller gets."""
    assert answer.count_listed(HOSTS) == 4
    large_zone = [host(f"h{n}", "a1", float(n)) for n in range(30)]
    assert answer.count_listed(large_zone) == 10
    assert answer.count_listed([*large_zone, host("h31", "b1")]) == 11


def test_weak_hosts_carry_no_uploads() -> None:
    """Guard against links of weak hosts that a few uploads fill.

    Their messages to other hosts were late then, and requests were refused.
    """
    strong = [host(f"s{number}", "a1", 700.0) for number in range(2)]
    weak = [host(f"w{number}", "a1", 140.0) for number in range(6)]
    hosts = [*weak, *strong]
    assert answer.choose_addresses(
        hosts, region="a", zone="a1", has_uploads=True
    ) == ["s0", "s1"]
    assert len(answer.choose_addresses(hosts, region="a", zone="a1")) == 4
    # A caller needs a second host.
    assert (
        len(
            answer.choose_addresses(
                hosts[:-1], region="a", zone="a1", has_uploads=True
            )
        )
        == 4
    )
    assert answer.count_listed(hosts, has_uploads=True) == 2
