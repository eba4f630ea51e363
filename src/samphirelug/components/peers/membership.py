"""Track the known hosts, their states and incarnations; pure."""

from collections.abc import Iterable
from collections import deque

from samphirelug.components.peers import const
from samphirelug.components.peers import model
from samphirelug.components.peers import topology
from samphirelug import const as shared_const
from samphirelug import core


class Member:
    """Hold what is known of one other host."""

    def __init__(self, *, host: core.EntryHost, now: float) -> None:
        self.host = host
        self.heartbeat: model.Heartbeat | None = None
        self.heard_at_s: float | None = None
        # Last time that any source named the host.
        self.named_at_s = now
        self.listed = False
        self.unreachable_until_s = 0.0
        self.retired: deque[str] = deque(maxlen=const.RETIRED_INCARNATIONS)

    def state(self, now: float) -> model.MemberState:
        """Return the state, as of now on this host's clock."""
        heard = self.heard_at_s
        if heard is not None and now - heard <= shared_const.PEER_TIMEOUT_S:
            beat = self.heartbeat
            if beat and beat.state is core.EntryHostState.LEAVING:
                return model.MemberState.LEAVING
            return model.MemberState.LIVE
        if now < self.unreachable_until_s:
            return model.MemberState.SILENT
        if heard is not None and now - heard <= const.SILENT_RETRY_S:
            return model.MemberState.SILENT
        return model.MemberState.LISTED


class Membership:
    """Merge host list, settings and heartbeats into one set of hosts.

    Incarnations have no order of their own. A direct heartbeat or handshake
    proves which one is running; the one it replaces is retired and never
    accepted again, so a host's incarnations only move forward.
    """

    def __init__(self, *, own: core.EntryHost) -> None:
        self.own = own
        self.members: dict[str, Member] = {}
        # Names heard lately; of thousands of hosts few are connected.
        self._heard: set[str] = set()
        # Names heard or dialled in vain. All others are listed, so that a
        # look at these few tells which hosts are missing.
        self._touched: set[str] = set()
        # Grows when a host is added, dropped or moves to another zone.
        self.version = 0

    def set_listed(
        self, hosts: Iterable[core.EntryHost], *, now: float
    ) -> None:
        """Replace the set of hosts that the host list names."""
        listed = set()
        for host in hosts:
            if self.add(host, now=now):
                listed.add(host.name)
                self.members[host.name].named_at_s = now
        for name, member in self.members.items():
            member.listed = name in listed

    def add(self, host: core.EntryHost, *, now: float) -> bool:
        """Note a host that a list or a peer named, without proof of life.

        Hearsay gives no incarnation and does not keep a host from being
        forgotten, or peers would remind each other of dead hosts for ever.
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
            model.MemberState.LISTED,
            model.MemberState.SILENT,
        ):
            if member.host.zone != host.zone:
                self.version += 1
            member.host = member.host._replace(
                zone=host.zone, peer_url=host.peer_url
            )
        return True

    def joined(self, host: core.EntryHost, *, now: float) -> bool:
        """Note a handshake; False where the incarnation is superseded."""
        if not self.add(host, now=now):
            return False
        member = self.members[host.name]
        if host.incarnation in member.retired:
            return False
        last = member.host.incarnation
        if last and last != host.incarnation:
            member.retired.append(last)
            member.heartbeat = None
            member.heard_at_s = None
        if member.host.zone != host.zone:
            self.version += 1
        member.host = host
        member.named_at_s = now
        member.unreachable_until_s = 0.0
        return True

    def record_heartbeat(
        self, heartbeat: model.Heartbeat, *, now: float
    ) -> bool:
        """Note a direct heartbeat; False if it is old or not accepted."""
        member = self.members.get(heartbeat.host.name)
        if member is None or (
            member.host.incarnation != heartbeat.host.incarnation
        ):
            if not self.joined(heartbeat.host, now=now):
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
        self._heard.add(heartbeat.host.name)
        self._touched.add(heartbeat.host.name)
        member.named_at_s = now
        member.unreachable_until_s = 0.0
        return True

    def unreachable(self, name: str, *, now: float) -> None:
        """Note that dialling a host failed."""
        member = self.members.get(name)
        if member is not None:
            member.unreachable_until_s = now + const.SILENT_RETRY_S
            self._touched.add(name)

    def forget(self, *, now: float) -> tuple[str, ...]:
        """Drop hosts that are neither listed nor named for long."""
        gone = tuple(
            name
            for name, member in self.members.items()
            if not member.listed
            and now - member.named_at_s > const.FORGET_AFTER_S
        )
        for name in gone:
            del self.members[name]
            self.version += 1
        return gone

    def state_of(self, name: str, *, now: float) -> model.MemberState | None:
        """Return a host's state; None where the host is unknown."""
        member = self.members.get(name)
        return None if member is None else member.state(now)

    def live(self, *, now: float) -> tuple[Member, ...]:
        """Return the members heard within PEER_TIMEOUT_S."""
        live = tuple(
            member
            for name in self._heard
            if (member := self.members.get(name)) is not None
            and member.heard_at_s is not None
            and now - member.heard_at_s <= shared_const.PEER_TIMEOUT_S
        )
        if len(live) < len(self._heard):
            self._heard = {member.host.name for member in live}
        return live

    def candidates(self, *, now: float) -> tuple[topology.Node, ...]:
        """Return the hosts that may be alive, for the topology."""
        unavailable = self.unavailable(now=now)
        return tuple(
            topology.Node(name, member.host.zone)
            for name, member in self.members.items()
            if name not in unavailable
        )

    def unavailable(self, *, now: float) -> frozenset[str]:
        """Return the hosts that are silent or leaving.

        The candidates change only with these and with the version.
        """
        self._touched &= self.members.keys()
        return frozenset(
            name
            for name in self._touched
            if self.members[name].state(now)
            in (model.MemberState.SILENT, model.MemberState.LEAVING)
        )

    def zone_members(self, *, now: float) -> frozenset[str]:
        """Return the hosts of the own zone that may be alive."""
        zone = self.own.zone.name
        return frozenset(
            node.name
            for node in self.candidates(now=now)
            if node.zone.name == zone
        )
