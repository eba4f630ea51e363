"""Test the set of known hosts."""

from hypothesis import given
from hypothesis import strategies

from samphirelug.components.peers import const
from samphirelug.components.peers import membership
from samphirelug.components.peers import model
from samphirelug.components.peers import topology
from samphirelug import core
from standins import builders
from tests.components.peers import test_io_mesh

OWN = builders.make_host("eh1")
PEER = builders.make_host("eh2")
BEAT = test_io_mesh.make_heartbeat(PEER)
LATER = PEER._replace(incarnation="eh2-2")


def test_states_follow_what_is_heard() -> None:
    """Guards against silent or leaving hosts that count as live."""
    known = membership.Membership(own=OWN)
    known.set_listed([OWN, PEER], now=0.0)
    assert set(known.members) == {"eh2"}
    assert known.state_of("eh2", now=0.0) is model.MemberState.LISTED
    assert not known.live(now=0.0)
    assert known.record_heartbeat(BEAT, now=1.0)
    assert known.state_of("eh2", now=3.0) is model.MemberState.LIVE
    assert known.state_of("eh2", now=3.1) is model.MemberState.SILENT
    assert not known.live(now=3.1)
    assert not known.zone_members(now=3.1)
    # The host may be back without having been heard.
    late_s = 1.1 + const.SILENT_RETRY_S
    assert known.state_of("eh2", now=late_s) is model.MemberState.LISTED
    known.unreachable("eh2", now=late_s)
    assert known.state_of("eh2", now=late_s) is model.MemberState.SILENT
    leaving = BEAT._replace(state=core.EntryHostState.LEAVING, clock_ms=9)
    assert known.record_heartbeat(leaving, now=late_s)
    assert known.state_of("eh2", now=late_s) is model.MemberState.LEAVING
    assert not known.zone_members(now=late_s)


def test_a_reordered_heartbeat_is_ignored() -> None:
    """Guards against a position or state that moves back."""
    known = membership.Membership(own=OWN)
    assert known.record_heartbeat(BEAT._replace(clock_ms=5), now=1.0)
    assert not known.record_heartbeat(BEAT._replace(clock_ms=4), now=9.0)
    assert not known.live(now=9.0)


def test_a_restarted_clock_is_accepted_with_its_incarnation() -> None:
    """Guards against ignoring a restarted host, whose clock is lower."""
    known = membership.Membership(own=OWN)
    known.record_heartbeat(BEAT._replace(clock_ms=5000), now=1.0)
    assert known.joined(LATER, now=2.0)
    assert not known.live(now=2.0)
    assert known.record_heartbeat(BEAT._replace(host=LATER), now=2.0)
    assert not known.joined(PEER, now=3.0)
    assert not known.record_heartbeat(BEAT._replace(clock_ms=9000), now=3.0)


def test_hearsay_does_not_choose_an_incarnation() -> None:
    """Guards against retiring the running process for a list's claim."""
    known = membership.Membership(own=OWN)
    known.add(LATER, now=0.0)
    assert known.joined(PEER, now=1.0)
    known.record_heartbeat(BEAT, now=1.0)
    known.add(LATER, now=2.0)
    assert known.members["eh2"].host == PEER
    assert known.joined(LATER, now=3.0)


def test_own_name_is_never_a_peer() -> None:
    """Guards against a former self that the lists still name."""
    known = membership.Membership(own=OWN)
    former = OWN._replace(incarnation="eh1-0")
    assert not known.joined(former, now=0.0)
    assert not known.record_heartbeat(BEAT._replace(host=former), now=0.0)
    known.set_listed([former], now=0.0)
    assert not known.members


def test_hosts_long_gone_are_forgotten_unless_listed() -> None:
    """Guards against growth by each replaced host."""
    known = membership.Membership(own=OWN)
    other = builders.make_host("eh3")
    known.set_listed([other], now=0.0)
    known.record_heartbeat(BEAT, now=0.0)
    # What peers remember must not keep a dead host known for ever.
    known.add(PEER, now=const.FORGET_AFTER_S)
    assert known.forget(now=const.FORGET_AFTER_S) == ()
    assert known.forget(now=const.FORGET_AFTER_S + 1) == ("eh2",)
    known.set_listed([], now=const.FORGET_AFTER_S + 2)
    assert known.forget(now=const.FORGET_AFTER_S + 3) == ("eh3",)


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("joined", "heard", "add", "listed")),
        strategies.integers(1, 4),
        strategies.integers(0, 3),
    ),
    max_size=40,
)


@given(EVENTS)
def test_incarnations_never_move_back(
    events: list[tuple[str, int, int]],
) -> None:
    """Guards against an old incarnation that displaces a later one."""
    known = membership.Membership(own=OWN)
    current, retired = "", set()
    for step, (kind, number, clock_ms) in enumerate(events):
        host = PEER._replace(incarnation=f"eh2-{number}")
        now = step * 0.7
        if kind == "joined":
            known.joined(host, now=now)
        elif kind == "heard":
            known.record_heartbeat(
                BEAT._replace(host=host, clock_ms=clock_ms), now=now
            )
        elif kind == "add":
            known.add(host, now=now)
        else:
            known.set_listed([host], now=now)
        held = known.members["eh2"].host.incarnation
        if held != current:
            assert held not in retired
            retired.add(current)
            current = held
        beat = known.members["eh2"].heartbeat
        assert beat is None or beat.host.incarnation == held


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ("heard", "add", "joined", "unreachable", "forget")
            ),
            strategies.sampled_from(("eh2", "eh3")),
            strategies.sampled_from(("tallinn-a", "tartu-a")),
            strategies.sampled_from((0.3, 3.0, 40.0, 700.0)),
        ),
        max_size=30,
    )
)
def test_candidates_change_only_with_version_and_missing(
    events: list[tuple[str, str, str, float]],
) -> None:
    """Guards against a kept plan of peers that misses a change."""
    known = membership.Membership(own=OWN)
    now = 0.0
    seen: dict[tuple[int, frozenset[str]], list[topology.Node]] = {}
    for kind, name, zone, pause_s in events:
        now += pause_s
        host = builders.make_host(name, zone=zone)
        beat = BEAT._replace(host=host, clock_ms=int(now * 1000))
        if kind == "heard":
            known.record_heartbeat(beat, now=now)
        elif kind == "add":
            known.add(host, now=now)
        elif kind == "joined":
            known.joined(host, now=now)
        elif kind == "unreachable":
            known.unreachable(name, now=now)
        else:
            known.forget(now=now)
        found = sorted(known.candidates(now=now))
        key = known.version, known.unavailable(now=now)
        assert seen.setdefault(key, found) == found
        assert [node.name for node in found] == [
            name
            for name in sorted(known.members)
            if known.state_of(name, now=now)
            in (model.MemberState.LIVE, model.MemberState.LISTED)
        ]
