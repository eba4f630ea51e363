"""Track known hosts, their states and incarnations; no input or output."""

from collections.abc import Iterable
from collections import deque

from samphirelug.components.peers import const
from samphirelug.components.peers import model
from samphirelug.components.peers import topology
from samphirelug import const as shared_const
from samphirelug import core


class Member:
    """Store what is known of one other host."""

    def __init__(self, *, host: core.EntryHost, now: float) -> None:
        self.host = host
        self.heartbeat: model.Heartbeat | None = None
        self.heard_at_s: float | None = None
        # When the host was added, last listed or last heard from directly.
        self.renewed_at_s = now
        # Whether the platform's host list contains the host.
        self.listed = False
        self.unreachable_until_s = 0.0
        self.superseded: deque[str] = deque(
            maxlen=const.MAX_SUPERSEDED_INCARNATIONS
        )

    def state(self, now: float) -> model.MemberState:
        """Return the state at a time on this host's clock."""
        heard_at_s = self.heard_at_s
        if (
            heard_at_s is not None
            and now - heard_at_s <= shared_const.PEER_TIMEOUT_S
        ):
            heartbeat = self.heartbeat
            if heartbeat and heartbeat.state is core.EntryHostState.LEAVING:
                return model.MemberState.LEAVING
            return model.MemberState.LIVE
        if now < self.unreachable_until_s:
            return model.MemberState.UNREACHABLE
        if (
            heard_at_s is not None
            and now - heard_at_s <= const.UNREACHABLE_RETRY_S
        ):
            return model.MemberState.UNREACHABLE
        return model.MemberState.UNCONFIRMED


class Membership:
    """Merge host list, settings and heartbeats into one set of hosts.

    Incarnation identifiers are not ordered. A direct heartbeat or handshake
    shows which one is running; the previous one is superseded and not
    accepted again, so a host never goes back to an older incarnation.
    """

    def __init__(self, *, own: core.EntryHost) -> None:
        self.own = own
        self.members: dict[str, Member] = {}
        # Names of recently heard hosts, kept because only a few of thousands
        # of hosts are connected.
        self._live_names: set[str] = set()
        # Names of hosts that were heard or could not be dialled. All others
        # are UNCONFIRMED, so only these few can be unavailable.
        self._contacted: set[str] = set()
        # Incremented when a host is added, removed or moves to another zone.
        self.version = 0

    def set_listed(
        self, hosts: Iterable[core.EntryHost], *, now: float
    ) -> None:
        """Replace the set of hosts in the host list."""
        listed = set()
        for host in hosts:
            if self.add(host, now=now):
                listed.add(host.name)
                self.members[host.name].renewed_at_s = now
        for name, member in self.members.items():
            member.listed = name in listed

    def add(self, host: core.EntryHost, *, now: float) -> bool:
        """Add a host reported by the host list or a peer.

        Such a report does not show that the host runs: it sets no
        incarnation and does not delay the host's removal, otherwise peers
        would keep reporting dead hosts to each other for ever. Returns False
        if the host is this one or there are too many hosts.
        """
        if host.name == self.own.name:
            return False
        member = self.members.get(host.name)
        if member is None:
            if len(self.members) >= const.MAX_MEMBERS:
                return False
            self.members[host.name] = Member(
                host=host._replace(incarnation=""), now=now
            )
            self.version += 1
        elif host.peer_url and member.state(now) in (
            model.MemberState.UNCONFIRMED,
            model.MemberState.UNREACHABLE,
        ):
            if member.host.zone != host.zone:
                self.version += 1
            member.host = member.host._replace(
                zone=host.zone, peer_url=host.peer_url
            )
        return True

    def record_handshake(self, host: core.EntryHost, *, now: float) -> bool:
        """Record a handshake; return False if it is not accepted.

        A superseded incarnation and the name of this host are not accepted.
        """
        if not self.add(host, now=now):
            return False
        member = self.members[host.name]
        if host.incarnation in member.superseded:
            return False
        last = member.host.incarnation
        if last and last != host.incarnation:
            member.superseded.append(last)
            member.heartbeat = None
            member.heard_at_s = None
        if member.host.zone != host.zone:
            self.version += 1
        member.host = host
        member.renewed_at_s = now
        member.unreachable_until_s = 0.0
        return True

    def record_heartbeat(
        self, heartbeat: model.Heartbeat, *, now: float
    ) -> bool:
        """Record a direct heartbeat; False if it is old or not accepted."""
        member = self.members.get(heartbeat.host.name)
        if member is None or (
            member.host.incarnation != heartbeat.host.incarnation
        ):
            if not self.record_handshake(heartbeat.host, now=now):
                return False
            member = self.members[heartbeat.host.name]
        last = member.heartbeat
        if last is not None and heartbeat.clock_ms < last.clock_ms:
            return False
        if member.host.zone != heartbeat.host.zone:
            self.version += 1
        member.host = heartbeat.host
        member.heartbeat = heartbeat
        member.heard_at_s = now
        self._live_names.add(heartbeat.host.name)
        self._contacted.add(heartbeat.host.name)
        member.renewed_at_s = now
        member.unreachable_until_s = 0.0
        return True

    def record_dial_failure(self, name: str, *, now: float) -> None:
        """Record a failed attempt to dial a host."""
        member = self.members.get(name)
        if member is not None:
            member.unreachable_until_s = now + const.UNREACHABLE_RETRY_S
            self._contacted.add(name)

    def remove_expired(self, *, now: float) -> tuple[str, ...]:
        """Remove unlisted hosts not heard from for MEMBER_EXPIRE_S."""
        expired = tuple(
            name
            for name, member in self.members.items()
            if not member.listed
            and now - member.renewed_at_s > const.MEMBER_EXPIRE_S
        )
        for name in expired:
            del self.members[name]
            self.version += 1
        return expired

    def state_of(self, name: str, *, now: float) -> model.MemberState | None:
        """Return a host's state, or None if the host is unknown."""
        member = self.members.get(name)
        return None if member is None else member.state(now)

    def live(self, *, now: float) -> tuple[Member, ...]:
        """Return the members heard within PEER_TIMEOUT_S."""
        live = tuple(
            member
            for name in self._live_names
            if (member := self.members.get(name)) is not None
            and member.heard_at_s is not None
            and now - member.heard_at_s <= shared_const.PEER_TIMEOUT_S
        )
        if len(live) < len(self._live_names):
            self._live_names = {member.host.name for member in live}
        return live

    def candidates(self, *, now: float) -> tuple[topology.Node, ...]:
        """Return the live and unconfirmed hosts, for the topology."""
        unavailable = self.unavailable(now=now)
        return tuple(
            topology.Node(name, member.host.zone)
            for name, member in self.members.items()
            if name not in unavailable
        )

    def unavailable(self, *, now: float) -> frozenset[str]:
        """Return the hosts that are unreachable or leaving.

        The candidates change only when these or the version change.
        """
        self._contacted &= self.members.keys()
        return frozenset(
            name
            for name in self._contacted
            if self.members[name].state(now)
            in (model.MemberState.UNREACHABLE, model.MemberState.LEAVING)
        )

    def zone_members(self, *, now: float) -> frozenset[str]:
        """Return the live and unconfirmed hosts of the own zone."""
        zone = self.own.zone.name
        return frozenset(
            node.name
            for node in self.candidates(now=now)
            if node.zone.name == zone
        )
