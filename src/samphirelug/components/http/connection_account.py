"""Account for the connections of all listeners, and choose which to close.

Clients that nobody controls may open connections and send or read nothing
more. What a process holds for them is counted here, across its listeners.
"""

import abc
from collections.abc import Iterable
import logging
import math
from typing import NamedTuple

from samphirelug.components.http import const
from samphirelug.components.http import held_memory

_LOGGER = logging.getLogger(__name__)


class HeldConnection(abc.ABC):
    """Represent an open connection with what the process holds for it."""

    # Name of the listener.
    listener_name: str
    # Address of the other end, without its port.
    peer: str
    opened_at_s: float

    @property
    @abc.abstractmethod
    def overhead_bytes(self) -> int:
        """Return the bytes that it takes besides its messages."""

    @property
    def held_bytes(self) -> int:
        """Return the bytes that it takes with its messages."""
        return self.overhead_bytes

    @abc.abstractmethod
    def stalled_s(self, now: float) -> float | None:
        """Return for how long the other end has moved nothing.

        None if the other end waits for this process.
        """

    @abc.abstractmethod
    def close_for_room(self) -> None:
        """Close the connection at once."""


class ListenerLimits(NamedTuple):
    """Limit the connections of one listener."""

    max_connections: int
    max_per_peer: int
    # Whether requests have no effect, so that connections in use may be closed
    # if all are.
    may_close_active: bool = False


def share_limits(
    descriptors: int, share: float, *, may_close_active: bool = False
) -> ListenerLimits:
    """Return the limits of a listener that may take a share of descriptors."""
    max_connections = max(const.MIN_CONNECTIONS, int(share * descriptors))
    return ListenerLimits(
        max_connections=max_connections,
        max_per_peer=math.ceil(const.PEER_SHARE * max_connections),
        may_close_active=may_close_active,
    )


def held_limit_bytes(memory_bytes: int) -> int:
    """Return what a process with this memory may hold for others."""
    return int(
        max(
            const.MEMORY_SHARE * memory_bytes - const.PROCESS_BYTES,
            const.MIN_HELD_SHARE * memory_bytes,
        )
    )


class ListenerUse(NamedTuple):
    """Hold what the connections of one listener take."""

    connections: int
    held_bytes: int


class ConnectionAccount:
    """Close connections that hold most and move least if there are too many.

    Closing one of many costs a scan, so that a part of them is closed at a
    time.
    """

    def __init__(
        self,
        *,
        limit_bytes: int,
        messages: Iterable[held_memory.HeldMemory] = (),
    ) -> None:
        self.limit_bytes = limit_bytes
        # Accounts of requests and answers, which count towards the limit.
        self.messages = tuple(messages)
        self.limits: dict[str, ListenerLimits] = {}
        self.connections: dict[str, dict[HeldConnection, int]] = {}
        self.peers: dict[tuple[str, str], int] = {}
        self.overhead_bytes = 0
        # Connections closed or refused for room, by listener.
        self.closed: dict[str, int] = {}
        # Since when and until when connections have been closed for room; None
        # without pressure.
        self.pressure_began_at_s: float | None = None
        self.pressed_at_s = 0.0
        self.closed_in_pressure = 0
        self.next_scan_at_s: dict[str, float] = {}

    @property
    def total_bytes(self) -> int:
        """Return the bytes that all connections and messages take."""
        return self.overhead_bytes + sum(
            account.total_bytes for account in self.messages
        )

    @property
    def is_over(self) -> bool:
        """Return whether all together take more than they may."""
        return self.total_bytes > self.limit_bytes

    def add_listener(self, name: str, limits: ListenerLimits) -> None:
        """Count the connections of a listener."""
        self.limits[name] = limits
        self.connections[name] = {}
        self.closed[name] = 0

    def use(self) -> dict[str, ListenerUse]:
        """Return what the connections of each listener take."""
        return {
            name: ListenerUse(
                len(connections), sum(each.held_bytes for each in connections)
            )
            for name, connections in self.connections.items()
        }

    def add(self, connection: HeldConnection) -> None:
        """Count a connection."""
        peer = (connection.listener_name, connection.peer)
        self.peers[peer] = self.peers.get(peer, 0) + 1
        self.connections[connection.listener_name][connection] = 0
        self.update(connection)

    def update(self, connection: HeldConnection) -> None:
        """Count what a connection takes now, unless it was removed."""
        connections = self.connections[connection.listener_name]
        previous = connections.get(connection)
        if previous is not None:
            overhead_bytes = connection.overhead_bytes
            connections[connection] = overhead_bytes
            self.overhead_bytes += overhead_bytes - previous

    def remove(self, connection: HeldConnection) -> None:
        """Stop counting a connection; a second call has no effect."""
        connections = self.connections[connection.listener_name]
        previous = connections.pop(connection, None)
        if previous is None:
            return
        self.overhead_bytes -= previous
        peer = (connection.listener_name, connection.peer)
        self.peers[peer] -= 1
        if not self.peers[peer]:
            del self.peers[peer]

    def has_room(self, name: str, *, now: float) -> bool:
        """Return whether a listener may accept, after closing others."""
        self.enforce(now=now)
        limit = self.limits[name].max_connections
        return len(self.connections[name]) < limit or self._close_worst(
            name, now=now, reason="too many connections"
        )

    def admit(self, name: str, peer: str, *, now: float) -> bool:
        """Return whether a peer may open a further connection."""
        count = self.peers.get((name, peer), 0)
        if count < self.limits[name].max_per_peer or self._close_worst(
            name, now=now, reason="too many of one address", peer=peer
        ):
            return True
        self._record_closed(name, 1, now=now, reason="too many of one address")
        return False

    def enforce(self, *, now: float) -> None:
        """Close connections while all together take too much memory."""
        while self.is_over and self._close_worst(
            None, now=now, reason="too much memory"
        ):
            pass

    def check(self, *, now: float) -> None:
        """Enforce the limit, and log when pressure has ended."""
        self.enforce(now=now)
        began_at_s = self.pressure_began_at_s
        if (
            began_at_s is not None
            and now - self.pressed_at_s > const.PRESSURE_ENDS_AFTER_S
        ):
            self.pressure_began_at_s = None
            _LOGGER.warning(
                "closes no more connections for room",
                extra={
                    "lasted_s": round(self.pressed_at_s - began_at_s, 3),
                    "closed": self.closed_in_pressure,
                },
            )

    def _close_worst(
        self, name: str | None, *, now: float, reason: str, peer: str = ""
    ) -> bool:
        """Close some connections; return whether any was closed.

        A scan that found none is not repeated for a while.
        """
        key = f"{name}/{peer}" if name is not None else ""
        if now < self.next_scan_at_s.get(key, now):
            return False
        names = [name] if name is not None else list(self.connections)
        candidates = [
            connection
            for each in names
            for connection in self.connections[each]
            if not peer or connection.peer == peer
        ]
        ranked = self._rank(candidates, now=now)
        if not ranked:
            if len(self.next_scan_at_s) >= const.MAX_REMEMBERED_SCANS:
                self.next_scan_at_s.clear()
            self.next_scan_at_s[key] = now + const.ACCEPT_PAUSE_S
            return False
        self.next_scan_at_s.pop(key, None)
        count = max(1, int(const.CLOSED_SHARE * len(candidates)))
        for connection in ranked[:count]:
            self.remove(connection)
            connection.close_for_room()
            self._record_closed(
                connection.listener_name, 1, now=now, reason=reason
            )
        return True

    def _rank(
        self, connections: list[HeldConnection], *, now: float
    ) -> list[HeldConnection]:
        """Return the connections that may be closed, the worst first."""
        stalled = []
        for connection in connections:
            stalled_s = connection.stalled_s(now)
            if stalled_s is not None and stalled_s >= const.STALLED_AFTER_S:
                stalled.append((connection.held_bytes * stalled_s, connection))
        if not stalled:
            stalled = [
                (now - connection.opened_at_s, connection)
                for connection in connections
                if self.limits[connection.listener_name].may_close_active
                and now - connection.opened_at_s >= const.STALLED_AFTER_S
            ]
        stalled.sort(key=lambda item: item[0], reverse=True)
        return [connection for _, connection in stalled]

    def _record_closed(
        self, name: str, count: int, *, now: float, reason: str
    ) -> None:
        self.closed[name] += count
        self.pressed_at_s = now
        if self.pressure_began_at_s is None:
            self.pressure_began_at_s = now
            self.closed_in_pressure = 0
            _LOGGER.warning(
                "closes connections for room",
                extra={
                    "detail": reason,
                    "listener": name,
                    "connections": {
                        each: len(connections)
                        for each, connections in self.connections.items()
                    },
                    "held_bytes": self.total_bytes,
                    "limit_bytes": self.limit_bytes,
                },
            )
        self.closed_in_pressure += count
