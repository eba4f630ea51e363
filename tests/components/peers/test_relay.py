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


def settle(
    small: fleet.Fleet, seconds: float, rng: random.Random | None = None
) -> None:
    """Step a fleet for some time."""
    end_s = small.now + seconds
    while small.now < end_s:
        small.step(rng=rng)


def make_relay(name: str = "eh1", *, watchers: int = 2) -> relay.Relay:
    """Return a watcher's relay with peers w0, w1, ... and one other."""
    made = relay.Relay(own=builders.make_host(name))
    made.set_peers(
        watcher=True,
        carrier=True,
        carriers=[f"w{n}" for n in range(watchers)],
        others=["o1"],
    )
    return made


def tick(made: relay.Relay, now: float) -> dict[str, model.Relayed]:
    """Return what a relay sends in a tick, by peer."""
    own = test_io_mesh.make_heartbeat(made.own)
    sent = made.tick(own=own, zone=(), first_watcher=False, now=now)
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
    """Guards against lost sightings, loops, and harm by duplicates."""
    rng = random.Random(seed)
    small = fleet.Fleet(size=size, hosts_per_zone=per_zone)
    settle(small, 5.0)
    seen = {}
    for number in range(5):
        name = rng.choice(list(small.hosts))
        sighting = SIGHTING._replace(server=f"s{number}")
        seen[sighting.server] = small.now
        small.observe(name, sighting)
    settle(small, 3.0, rng if disorder else None)
    for simulated in small.hosts.values():
        assert simulated.received_at.keys() == seen.keys()
        for server, when in simulated.received_at.items():
            assert when - seen[server] <= 3.0
    small.reset_counters()
    settle(small, 2.0, rng if disorder else None)
    assert sum(simulated.sent for simulated in small.hosts.values()) == 0


@settings(max_examples=15, deadline=None)
@given(strategies.integers(0, 2**16), strategies.booleans())
def test_lowest_position_reaches_all_and_is_never_too_high(
    seed: int, disorder: bool
) -> None:
    """Guards against calling a change in force where a host lacks it."""
    rng = random.Random(seed)
    small = fleet.Fleet(size=40, hosts_per_zone=8)
    settle(small, 6.0, rng if disorder else None)
    slow = small.hosts[rng.choice(list(small.hosts))]
    for simulated in small.hosts.values():
        simulated.position = 1 if simulated is slow else 5
    for _ in range(16):
        small.step(rng=rng if disorder else None)
        for simulated in small.hosts.values():
            assert simulated.relay.lowest() <= 1
    named = {
        name
        for simulated in small.hosts.values()
        if simulated.watcher
        for status in simulated.relay.statuses(now=small.now)
        for name in status.summary.lagging
    }
    assert named == {slow.host.name}
    slow.position = 5
    settle(small, 4.0, rng if disorder else None)
    assert {s.relay.lowest() for s in small.hosts.values()} == {5}


@pytest.mark.parametrize("old_stays", [True, False])
def test_a_second_watcher_takes_over_the_positions(old_stays: bool) -> None:
    """Guards against positions that stop with their zone's first watcher."""
    small = fleet.Fleet(size=40, hosts_per_zone=8)
    settle(small, 6.0)
    zone = next(iter(small.zones.values()))
    old = next(host for host in zone if host.first_watcher)
    new = next(host for host in zone if host.watcher and host is not old)
    old.first_watcher, new.first_watcher = old_stays, True
    small.update_relay_peers()
    for position in (5, 6):
        for simulated in small.hosts.values():
            simulated.position = position
        settle(small, 3.0)
        assert {s.relay.lowest() for s in small.hosts.values()} == {position}


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


def test_a_late_position_does_not_hide_a_zone_that_fell_back() -> None:
    """Guards against reordering that calls a lost change in force."""
    made = make_relay()
    made.receive("w0", relayed(summaries=(make_summary(1, 5),)), now=0.0)
    made.receive("w0", relayed(summaries=(make_summary(2, 3),)), now=0.0)
    made.receive("w0", relayed(positions=((1, 9),)), now=0.0)
    made.receive("w0", relayed(summaries=(make_summary(1, 5),)), now=0.0)
    assert made.lowest() == 3
    made.receive("w0", relayed(positions=((2, 4),)), now=0.0)
    assert made.lowest() == 4


def test_a_zone_that_falls_back_says_so_before_it_names_hosts() -> None:
    """Guards against a change called in force while a host lost it."""
    made = make_relay()
    own = test_io_mesh.make_heartbeat(made.own)
    other = own._replace(host=builders.make_host("eh2"))
    for now, revision in ((0.0, 7), (2.0, 7), (4.0, 3)):
        made.tick(
            own=own,
            zone=[other._replace(catalogue_revision=revision)],
            first_watcher=True,
            now=now,
        )
        assert made.lowest() == revision
    assert made.zones["tallinn-a"].summary.lagging == ()


def test_nothing_goes_back_to_its_sender_or_twice() -> None:
    """Guards against loops and doubled traffic between two watchers."""
    made = make_relay()
    item = model.RelayedSighting("eh9/1", 1, SIGHTING)
    message = relayed(sightings=(item,), summaries=(make_summary(1, 5),))
    assert made.receive("w0", message, now=0.0) == (SIGHTING,)
    assert made.receive("w1", message, now=0.0) == ()
    sent = tick(made, 0.0)
    assert sorted(sent) == ["o1"]
    assert made.receive("w0", message, now=100.0) == ()
    assert not tick(made, 100.0)


def test_a_server_that_leaves_again_is_reported_again() -> None:
    """Guards against a memory of content that hides a second leaving."""
    made = make_relay()
    for sequence, leaving in enumerate((True, False, True)):
        sighting = SIGHTING._replace(leaving=leaving)
        item = model.RelayedSighting("eh9/1", sequence, sighting)
        new = made.receive("w0", relayed(sightings=(item,)), now=0.1)
        assert new == (sighting,)


def test_the_same_sighting_of_many_hosts_is_passed_on_once() -> None:
    """Guards against a flood when a whole zone sees one server leave."""
    made = make_relay()
    for number in range(30):
        item = model.RelayedSighting(f"eh{number}/1", 0, SIGHTING)
        made.receive("w0", relayed(sightings=(item,)), now=0.1)
    assert len(tick(made, 0.2)["w1"].sightings) == 1


def test_heartbeats_replace_lost_sightings() -> None:
    """Guards against a sighting lost while a watcher was unreachable."""
    made = make_relay()
    beat = test_io_mesh.make_heartbeat(builders.make_host("eh2"))
    beat = beat._replace(sightings=(SIGHTING,))
    assert made.heard(beat, now=0.0) == (SIGHTING,)
    assert made.heard(beat, now=1.0) == ()
    assert set(tick(made, 1.0)) == {"w0", "w1", "o1"}


def test_messages_and_bytes_are_bounded() -> None:
    """Guards against a flood of sightings that takes the network."""
    made = make_relay(watchers=60)
    for number in range(5000):
        sighting = SIGHTING._replace(server=f"server-{number}")
        made.originate(sighting, now=0.0)
    assert made.dropped == 61 * (5000 - const.RELAY_MAX_PENDING)
    messages, size, now = 0, 0, 0.0
    while now < 10.0:
        now += const.RELAY_TICK_S
        sent = tick(made, now)
        messages += len(sent)
        size += sum(len(codec.encode(message)) for message in sent.values())
    # The buckets are full at first.
    assert messages <= 11 * const.RELAY_MAX_MESSAGES_PER_S
    assert 0 < size <= 11 * const.RELAY_MAX_BYTES_PER_S


def test_memory_of_sightings_is_bounded() -> None:
    """Guards against memory that grows with each sighting."""
    made = make_relay()
    for number in range(const.SIGHTING_MEMORY_COUNT + 100):
        made.originate(SIGHTING._replace(server=f"s{number % 50}"), now=0.0)
    assert len(made._seen) == const.SIGHTING_MEMORY_COUNT
    tick(made, const.SIGHTING_MEMORY_S + 1)
    assert not made._seen
    assert not made._last_passed


def test_clocks_of_far_hosts_move_on_but_never_ahead() -> None:
    """Guards against run tokens that live too long, or not at all."""
    made = make_relay()
    host = builders.make_host("eh9", zone="tartu-a")
    beat = test_io_mesh.make_heartbeat(host)._replace(clock_ms=1000)
    summary = make_summary(1, 8)._replace(entry_hosts=(beat,))
    made.receive("w0", relayed(summaries=(summary,)), now=0.0)
    (far,) = made.far_hosts(now=100.0)
    assert far.clock_ms == 1000 + 99_000
    assert far.catalogue_revision == 8
    made.set_peers(
        watcher=True, carrier=True, carriers=["w0", "w9"], others=()
    )
    (passed,) = tick(made, 100.0)["w9"].summaries
    assert passed.entry_hosts[0].clock_ms == 1000 + 99_000


def test_far_hosts_keep_up_where_only_the_lowest_is_heard() -> None:
    """Guards against look-ups that take every far host for lagging."""
    made = relay.Relay(own=builders.make_host("eh1"))
    made.set_peers(watcher=False, carrier=False, carriers=["w0"], others=())
    beat = test_io_mesh.make_heartbeat(
        builders.make_host("eh9", zone="tartu-a")
    )
    summary = make_summary(1, 8)._replace(entry_hosts=(beat,))
    message = relayed(summaries=(summary,))._replace(lowest_revision=20)
    made.receive("w0", message, now=0.0)
    # A watcher that is not a carrier knows no lowest position.
    made.receive("w1", relayed(), now=0.1)
    (far,) = made.far_hosts(now=1.0)
    assert far.catalogue_revision == 20
