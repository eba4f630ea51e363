"""Test the relay of sightings and zone positions."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from samphirelug.components.peers import codec
from samphirelug.components.peers import const
from samphirelug.components.peers import model
from samphirelug.components.peers import relay
from samphirelug import core
from standins import builders
from standins.simulation import peers as fleet
from tests.components.peers import test_io_mesh

SIGHTING = model.Sighting("s1", "inc", True, 0)


def run_for(
    small_fleet: fleet.Fleet, seconds: float, rng: random.Random | None = None
) -> None:
    """Step a fleet for a number of seconds."""
    end_s = small_fleet.now + seconds
    while small_fleet.now < end_s:
        small_fleet.step(rng=rng)


def make_relay(name: str = "eh1", *, watchers: int = 2) -> relay.Relay:
    """Return a primary watcher's relay with peers w0, w1, ... and o1.

    The peers w0, w1, ... are primary watchers; o1 is not.
    """
    host_relay = relay.Relay(own=builders.make_host(name))
    host_relay.set_peers(
        watcher=True,
        primary_watcher=True,
        primary_watchers=[f"w{n}" for n in range(watchers)],
        others=["o1"],
    )
    return host_relay


def tick(host_relay: relay.Relay, now: float) -> dict[str, model.Relayed]:
    """Return the messages that a relay sends in a tick, by peer."""
    own = test_io_mesh.make_heartbeat(host_relay.own)
    sent = host_relay.tick(
        own_heartbeat=own, zone_heartbeats=(), build_summary=False, now=now
    )
    return {outgoing.peer: outgoing.message for outgoing in sent}


@settings(max_examples=15, deadline=None)
@given(
    strategies.integers(20, 70),
    strategies.integers(2, 12),
    strategies.integers(0, 2**16),
    strategies.booleans(),
)
def test_every_sighting_reaches_every_host_in_time(
    size: int, per_zone: int, seed: int, disorder: bool
) -> None:
    """Guard against lost sightings, loops and effects of duplicates."""
    rng = random.Random(seed)
    small_fleet = fleet.Fleet(size=size, hosts_per_zone=per_zone)
    run_for(small_fleet, 5.0)
    observed_at = {}
    for number in range(5):
        name = rng.choice(list(small_fleet.hosts))
        sighting = SIGHTING._replace(server=f"s{number}")
        observed_at[sighting.server] = small_fleet.now
        small_fleet.observe(name, sighting)
    run_for(small_fleet, 3.0, rng if disorder else None)
    for simulated in small_fleet.hosts.values():
        assert simulated.received_at.keys() == observed_at.keys()
        for server, when in simulated.received_at.items():
            assert when - observed_at[server] <= 3.0
    small_fleet.reset_counters()
    run_for(small_fleet, 2.0, rng if disorder else None)
    assert sum(simulated.sent for simulated in small_fleet.hosts.values()) == 0


@settings(max_examples=15, deadline=None)
@given(strategies.integers(0, 2**16), strategies.booleans())
def test_lowest_position_reaches_all_hosts_and_is_never_too_high(
    seed: int, disorder: bool
) -> None:
    """Guard against reporting a change in force that a host lacks."""
    rng = random.Random(seed)
    small_fleet = fleet.Fleet(size=40, hosts_per_zone=8)
    run_for(small_fleet, 6.0, rng if disorder else None)
    slow = small_fleet.hosts[rng.choice(list(small_fleet.hosts))]
    for simulated in small_fleet.hosts.values():
        simulated.position = 1 if simulated is slow else 5
    for _ in range(16):
        small_fleet.step(rng=rng if disorder else None)
        for simulated in small_fleet.hosts.values():
            assert simulated.relay.lowest_revision() <= 1
    lagging = {
        name
        for simulated in small_fleet.hosts.values()
        if simulated.watcher
        for status in simulated.relay.zone_statuses(now=small_fleet.now)
        for name in status.summary.lagging
    }
    assert lagging == {slow.host.name}
    slow.position = 5
    run_for(small_fleet, 4.0, rng if disorder else None)
    assert {s.relay.lowest_revision() for s in small_fleet.hosts.values()} == {
        5
    }


@pytest.mark.parametrize("old_stays_primary", [True, False])
def test_a_second_watcher_takes_over_the_positions(
    old_stays_primary: bool,
) -> None:
    """Guard against positions that stop when the primary watcher does."""
    small_fleet = fleet.Fleet(size=40, hosts_per_zone=8)
    run_for(small_fleet, 6.0)
    zone = next(iter(small_fleet.zones.values()))
    old_primary = next(host for host in zone if host.primary_watcher)
    new_primary = next(
        host for host in zone if host.watcher and host is not old_primary
    )
    old_primary.primary_watcher, new_primary.primary_watcher = (
        old_stays_primary,
        True,
    )
    small_fleet.update_relay_peers()
    for position in (5, 6):
        for simulated in small_fleet.hosts.values():
            simulated.position = position
        run_for(small_fleet, 3.0)
        assert {
            s.relay.lowest_revision() for s in small_fleet.hosts.values()
        } == {position}


def make_summary(epoch: int, revision: int) -> model.ZoneSummary:
    """Return a summary of another zone."""
    zone = core.AvailabilityZone("tartu-a", "tartu")
    return model.ZoneSummary(zone, epoch, revision, (), 0, 1, ())


def relayed(
    *,
    sightings: tuple[model.RelayedSighting, ...] = (),
    summaries: tuple[model.ZoneSummary, ...] = (),
    positions: tuple[tuple[int, int], ...] = (),
) -> model.Relayed:
    """Return a message; positions are epoch and revision of tartu-a."""
    zone = relay.zone_id("tartu-a")
    groups = tuple(
        model.ZonePositions(revision, (model.ZoneEpoch(zone, epoch),))
        for epoch, revision in positions
    )
    return model.Relayed(sightings, groups, summaries, 0, 0)


def test_a_late_position_does_not_hide_a_lower_one() -> None:
    """Guard against reordering that reports a lost change in force."""
    host_relay = make_relay()
    host_relay.receive("w0", relayed(summaries=(make_summary(1, 5),)), now=0.0)
    host_relay.receive("w0", relayed(summaries=(make_summary(2, 3),)), now=0.0)
    host_relay.receive("w0", relayed(positions=((1, 9),)), now=0.0)
    host_relay.receive("w0", relayed(summaries=(make_summary(1, 5),)), now=0.0)
    assert host_relay.lowest_revision() == 3
    host_relay.receive("w0", relayed(positions=((2, 4),)), now=0.0)
    assert host_relay.lowest_revision() == 4


def test_a_lower_position_is_reported_before_lagging_hosts() -> None:
    """Guard against reporting a change in force that a host lost."""
    host_relay = make_relay()
    own = test_io_mesh.make_heartbeat(host_relay.own)
    other = own._replace(host=builders.make_host("eh2"))
    for now, revision in ((0.0, 7), (2.0, 7), (4.0, 3)):
        host_relay.tick(
            own_heartbeat=own,
            zone_heartbeats=[other._replace(catalogue_revision=revision)],
            build_summary=True,
            now=now,
        )
        assert host_relay.lowest_revision() == revision
    assert host_relay.zones["tallinn-a"].summary.lagging == ()


def test_items_are_forwarded_once_and_not_to_their_sender() -> None:
    """Guard against loops and duplicate traffic between two watchers."""
    host_relay = make_relay()
    relayed_sighting = model.RelayedSighting("eh9/1", 1, SIGHTING)
    message = relayed(
        sightings=(relayed_sighting,), summaries=(make_summary(1, 5),)
    )
    assert host_relay.receive("w0", message, now=0.0) == (SIGHTING,)
    assert host_relay.receive("w1", message, now=0.0) == ()
    sent = tick(host_relay, 0.0)
    assert sorted(sent) == ["o1"]
    assert host_relay.receive("w0", message, now=100.0) == ()
    assert not tick(host_relay, 100.0)


def test_a_server_that_leaves_again_is_reported_again() -> None:
    """Guard against deduplication that hides a second departure."""
    host_relay = make_relay()
    for sequence, leaving in enumerate((True, False, True)):
        sighting = SIGHTING._replace(leaving=leaving)
        relayed_sighting = model.RelayedSighting("eh9/1", sequence, sighting)
        new_sightings = host_relay.receive(
            "w0", relayed(sightings=(relayed_sighting,)), now=0.1
        )
        assert new_sightings == (sighting,)


def test_the_same_sighting_of_many_hosts_is_forwarded_once() -> None:
    """Guard against a burst when all hosts of a zone see a server leave."""
    host_relay = make_relay()
    for number in range(30):
        relayed_sighting = model.RelayedSighting(f"eh{number}/1", 0, SIGHTING)
        host_relay.receive(
            "w0", relayed(sightings=(relayed_sighting,)), now=0.1
        )
    assert len(tick(host_relay, 0.2)["w1"].sightings) == 1


def test_heartbeats_replace_lost_sightings() -> None:
    """Guard against a sighting lost while a watcher was unreachable."""
    host_relay = make_relay()
    heartbeat = test_io_mesh.make_heartbeat(builders.make_host("eh2"))
    heartbeat = heartbeat._replace(sightings=(SIGHTING,))
    assert host_relay.handle_heartbeat(heartbeat, now=0.0) == (SIGHTING,)
    assert host_relay.handle_heartbeat(heartbeat, now=1.0) == ()
    assert set(tick(host_relay, 1.0)) == {"w0", "w1", "o1"}


def test_messages_and_bytes_are_bounded() -> None:
    """Guard against a burst of sightings that exhausts the network."""
    host_relay = make_relay(watchers=60)
    for number in range(5000):
        sighting = SIGHTING._replace(server=f"server-{number}")
        host_relay.originate(sighting, now=0.0)
    assert host_relay.dropped_sightings == 61 * (
        5000 - const.RELAY_MAX_QUEUED_SIGHTINGS
    )
    messages, size, now = 0, 0, 0.0
    while now < 10.0:
        now += const.RELAY_TICK_S
        sent = tick(host_relay, now)
        messages += len(sent)
        size += sum(len(codec.encode(message)) for message in sent.values())
    # The budgets for one second are available at the start.
    assert messages <= 11 * const.RELAY_MAX_MESSAGES_PER_S
    assert 0 < size <= 11 * const.RELAY_MAX_BYTES_PER_S


def test_memory_of_sightings_is_bounded() -> None:
    """Guard against memory growth with each sighting."""
    host_relay = make_relay()
    for number in range(const.SIGHTING_RETENTION_COUNT + 100):
        host_relay.originate(
            SIGHTING._replace(server=f"s{number % 50}"), now=0.0
        )
    assert len(host_relay._seen) == const.SIGHTING_RETENTION_COUNT
    tick(host_relay, const.SIGHTING_RETENTION_S + 1)
    assert not host_relay._seen
    assert not host_relay._last_forwarded


def test_clocks_of_remote_hosts_advance_but_never_get_ahead() -> None:
    """Guard against run tokens that expire too late or at once."""
    host_relay = make_relay()
    host = builders.make_host("eh9", zone="tartu-a")
    heartbeat = test_io_mesh.make_heartbeat(host)._replace(clock_ms=1000)
    summary = make_summary(1, 8)._replace(entry_hosts=(heartbeat,))
    host_relay.receive("w0", relayed(summaries=(summary,)), now=0.0)
    (remote,) = host_relay.remote_hosts(now=100.0)
    assert remote.clock_ms == 1000 + 99_000
    assert remote.catalogue_revision == 8
    host_relay.set_peers(
        watcher=True,
        primary_watcher=True,
        primary_watchers=["w0", "w9"],
        others=(),
    )
    (forwarded,) = tick(host_relay, 100.0)["w9"].summaries
    assert forwarded.entry_hosts[0].clock_ms == 1000 + 99_000


def test_remote_hosts_get_the_lowest_position_in_the_fleet() -> None:
    """Guard against look-ups that treat each remote host as lagging."""
    host_relay = relay.Relay(own=builders.make_host("eh1"))
    host_relay.set_peers(
        watcher=False,
        primary_watcher=False,
        primary_watchers=["w0"],
        others=(),
    )
    heartbeat = test_io_mesh.make_heartbeat(
        builders.make_host("eh9", zone="tartu-a")
    )
    summary = make_summary(1, 8)._replace(entry_hosts=(heartbeat,))
    message = relayed(summaries=(summary,))._replace(lowest_revision=20)
    host_relay.receive("w0", message, now=0.0)
    # A secondary watcher does not know the lowest position.
    host_relay.receive("w1", relayed(), now=0.1)
    (remote,) = host_relay.remote_hosts(now=1.0)
    assert remote.catalogue_revision == 20
