"""Test the tracking of known hosts and their states."""

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
HEARTBEAT = test_io_mesh.make_heartbeat(PEER)
RESTARTED_PEER = PEER._replace(incarnation="eh2-2")


def test_states_follow_received_heartbeats() -> None:
    """Guard against unreachable or leaving hosts that count as live."""
    known = membership.Membership(own=OWN)
    known.set_listed([OWN, PEER], now=0.0)
    assert set(known.members) == {"eh2"}
    assert known.state_of("eh2", now=0.0) is model.MemberState.UNCONFIRMED
    assert not known.live(now=0.0)
    assert known.record_heartbeat(HEARTBEAT, now=1.0)
    assert known.state_of("eh2", now=3.0) is model.MemberState.LIVE
    assert known.state_of("eh2", now=3.1) is model.MemberState.UNREACHABLE
    assert not known.live(now=3.1)
    assert not known.zone_members(now=3.1)
    # The host may have recovered without sending a heartbeat here.
    late_s = 1.1 + const.UNREACHABLE_RETRY_S
    assert known.state_of("eh2", now=late_s) is model.MemberState.UNCONFIRMED
    known.record_dial_failure("eh2", now=late_s)
    assert known.state_of("eh2", now=late_s) is model.MemberState.UNREACHABLE
    leaving = HEARTBEAT._replace(state=core.EntryHostState.LEAVING, clock_ms=9)
    assert known.record_heartbeat(leaving, now=late_s)
    assert known.state_of("eh2", now=late_s) is model.MemberState.LEAVING
    assert not known.zone_members(now=late_s)


def test_a_reordered_heartbeat_is_ignored() -> None:
    """Guard against going back to an older position or state."""
    known = membership.Membership(own=OWN)
    assert known.record_heartbeat(HEARTBEAT._replace(clock_ms=5), now=1.0)
    assert not known.record_heartbeat(HEARTBEAT._replace(clock_ms=4), now=9.0)
    assert not known.live(now=9.0)


def test_a_lower_clock_is_accepted_with_a_new_incarnation() -> None:
    """Guard against ignoring a restarted host, whose clock starts again."""
    known = membership.Membership(own=OWN)
    known.record_heartbeat(HEARTBEAT._replace(clock_ms=5000), now=1.0)
    assert known.record_handshake(RESTARTED_PEER, now=2.0)
    assert not known.live(now=2.0)
    assert known.record_heartbeat(
        HEARTBEAT._replace(host=RESTARTED_PEER), now=2.0
    )
    assert not known.record_handshake(PEER, now=3.0)
    assert not known.record_heartbeat(
        HEARTBEAT._replace(clock_ms=9000), now=3.0
    )


def test_indirect_reports_do_not_set_an_incarnation() -> None:
    """Guard against superseding the running process due to a report."""
    known = membership.Membership(own=OWN)
    known.add(RESTARTED_PEER, now=0.0)
    assert known.record_handshake(PEER, now=1.0)
    known.record_heartbeat(HEARTBEAT, now=1.0)
    known.add(RESTARTED_PEER, now=2.0)
    assert known.members["eh2"].host == PEER
    assert known.record_handshake(RESTARTED_PEER, now=3.0)


def test_own_name_is_never_a_peer() -> None:
    """Guard against connecting to an earlier run of the same host."""
    known = membership.Membership(own=OWN)
    former = OWN._replace(incarnation="eh1-0")
    assert not known.record_handshake(former, now=0.0)
    assert not known.record_heartbeat(HEARTBEAT._replace(host=former), now=0.0)
    known.set_listed([former], now=0.0)
    assert not known.members


def test_expired_hosts_are_removed_unless_listed() -> None:
    """Guard against memory growth with each replaced host."""
    known = membership.Membership(own=OWN)
    other = builders.make_host("eh3")
    known.set_listed([other], now=0.0)
    known.record_heartbeat(HEARTBEAT, now=0.0)
    # Reports of peers must not prevent the removal of a dead host.
    known.add(PEER, now=const.MEMBER_EXPIRE_S)
    assert known.remove_expired(now=const.MEMBER_EXPIRE_S) == ()
    assert known.remove_expired(now=const.MEMBER_EXPIRE_S + 1) == ("eh2",)
    known.set_listed([], now=const.MEMBER_EXPIRE_S + 2)
    assert known.remove_expired(now=const.MEMBER_EXPIRE_S + 3) == ("eh3",)


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("handshake", "heartbeat", "add", "listed")),
        strategies.integers(1, 4),
        strategies.integers(0, 3),
    ),
    max_size=40,
)


@given(EVENTS)
def test_incarnations_never_move_back(
    events: list[tuple[str, int, int]],
) -> None:
    """Guard against an older incarnation that replaces a newer one."""
    known = membership.Membership(own=OWN)
    current, superseded = "", set()
    for step, (kind, number, clock_ms) in enumerate(events):
        host = PEER._replace(incarnation=f"eh2-{number}")
        now = step * 0.7
        if kind == "handshake":
            known.record_handshake(host, now=now)
        elif kind == "heartbeat":
            known.record_heartbeat(
                HEARTBEAT._replace(host=host, clock_ms=clock_ms), now=now
            )
        elif kind == "add":
            known.add(host, now=now)
        else:
            known.set_listed([host], now=now)
        incarnation = known.members["eh2"].host.incarnation
        if incarnation != current:
            assert incarnation not in superseded
            superseded.add(current)
            current = incarnation
        heartbeat = known.members["eh2"].heartbeat
        assert heartbeat is None or heartbeat.host.incarnation == incarnation


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ("heartbeat", "add", "handshake", "dial_failure", "expire")
            ),
            strategies.sampled_from(("eh2", "eh3")),
            strategies.sampled_from(("tallinn-a", "tartu-a")),
            strategies.sampled_from((0.3, 3.0, 40.0, 700.0)),
        ),
        max_size=30,
    )
)
def test_candidates_change_only_with_version_and_unavailable(
    events: list[tuple[str, str, str, float]],
) -> None:
    """Guard against a cached plan that misses a change of candidates."""
    known = membership.Membership(own=OWN)
    now = 0.0
    seen: dict[tuple[int, frozenset[str]], list[topology.Node]] = {}
    for kind, name, zone, pause_s in events:
        now += pause_s
        host = builders.make_host(name, zone=zone)
        heartbeat = HEARTBEAT._replace(host=host, clock_ms=int(now * 1000))
        if kind == "heartbeat":
            known.record_heartbeat(heartbeat, now=now)
        elif kind == "add":
            known.add(host, now=now)
        elif kind == "handshake":
            known.record_handshake(host, now=now)
        elif kind == "dial_failure":
            known.record_dial_failure(name, now=now)
        else:
            known.remove_expired(now=now)
        found = sorted(known.candidates(now=now))
        key = known.version, known.unavailable(now=now)
        assert seen.setdefault(key, found) == found
        assert [node.name for node in found] == [
            name
            for name in sorted(known.members)
            if known.state_of(name, now=now)
            in (model.MemberState.LIVE, model.MemberState.UNCONFIRMED)
        ]
