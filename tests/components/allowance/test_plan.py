"""Test who owns the teams."""

from samphirelug.components.allowance import plan
from samphirelug.components.fleet import model as fleet_model
from samphirelug import core


def host(name: str, capacity_per_s: float) -> fleet_model.HostInstance:
    """Return an entry host of a capacity."""
    return fleet_model.HostInstance(
        name=name,
        incarnation="i1",
        zone=core.AvailabilityZone("a1", "a"),
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        capacity_per_s=capacity_per_s,
    )


def test_weak_hosts_own_no_teams() -> None:
    """Guard against owners that are too busy with callers to answer.

    All teams of such an owner were refused at all hosts.
    """
    hosts = [host(f"weak-{number}", 140.0) for number in range(20)]
    hosts += [host(f"strong-{number}", 700.0) for number in range(3)]
    names = [each.name for each in hosts]
    candidates = plan.strong_hosts(hosts)
    owners = plan.assign_owners(names, candidates=candidates)
    assert set(owners) == {"strong-0", "strong-1", "strong-2"}
    equal = [host(f"h{number}", 0.0) for number in range(3)]
    assert plan.strong_hosts(equal) == ["h0", "h1", "h2"]
