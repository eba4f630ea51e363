"""Limit the request rate to servers that have just started.

After a restart of a zone, a cold server crashes when all entry hosts send it
their usual requests at once. The hosts therefore share the rate that a cold
server can handle: each has one turn in an interval, with an offset hashed from
the names of host and server. A turn that is not used lapses. Otherwise hosts
that could not send for a while, such as during an evacuation, would all send
at the same moment.
"""

import collections
import logging
import math

import xxhash

from samphirelug.components.fleet import model as fleet_model

_LOGGER = logging.getLogger(__name__)
Incarnation = fleet_model.Incarnation
# This minimum keeps the interval finite when a service is configured without
# a rate.
MIN_REQUESTS_PER_S = 0.01
# Longest turn of a host. Within one second, the hosts whose turn has begun at
# its start are added to those whose turn begins during it: with half a second
# these are 1.5 times the rate together.
MAX_TURN_S = 0.5
# Share of a cold server's rate that an isolated host uses on its own. Several
# such hosts and the turns of all others stay near the rate.
ISOLATED_RATE_RATIO = 0.25


class ColdPeriod:
    """Count this host's requests to a server during one cold start."""

    def __init__(self, *, began_at_s: float) -> None:
        self.began_at_s = began_at_s
        self.sent = 0
        self.withheld = 0
        # Fewest hosts that the server's rate was divided by; None if their
        # number was never known.
        self.fewest_hosts: int | None = None

    def record_decision(self, *, allowed: bool, hosts: int | None) -> None:
        """Count a request that may be sent to the server or is withheld."""
        if not allowed:
            self.withheld += 1
        if hosts is not None:
            self.fewest_hosts = min(hosts, self.fewest_hosts or hosts)


class ColdStartLimiter:
    """Limit the rate of this host's requests to each cold server."""

    def __init__(self, *, host: str) -> None:
        self.host = host
        self.last_sent_at_s: dict[Incarnation, float] = {}
        self.periods: dict[Incarnation, ColdPeriod] = {}

    def begin(
        self,
        server: fleet_model.ServerInstance,
        *,
        now: float,
        cold_for_s: float,
        in_flight: int,
    ) -> None:
        """Begin a cold period of the server unless it has begun already."""
        if server.incarnation in self.periods:
            return
        self.periods[server.incarnation] = ColdPeriod(began_at_s=now)
        _LOGGER.info(
            "backend server is cold",
            extra={
                "server": server.instance_id,
                "service": server.service,
                "zone": server.zone.name,
                "cold_for_s": round(cold_for_s, 3),
                "in_flight": in_flight,
            },
        )

    def end(self, server: fleet_model.ServerInstance, *, now: float) -> None:
        """End the cold period of the server, if there is one."""
        period = self.periods.pop(server.incarnation, None)
        if period is None:
            return
        _LOGGER.info(
            "cold start of backend server ended",
            extra={
                "server": server.instance_id,
                "service": server.service,
                "zone": server.zone.name,
                "lasted_s": round(now - period.began_at_s, 3),
                "sent": period.sent,
                "withheld": period.withheld,
                "fewest_hosts": period.fewest_hosts,
            },
        )

    def allows(
        self,
        incarnation: Incarnation,
        *,
        now: float,
        requests_per_s: float,
        hosts: int | None,
    ) -> bool:
        """Return whether this host may send a request to the server now.

        It may not while it does not know the number of hosts: after a restart
        of many hosts, each would take the whole rate.
        """
        allowed = hosts is not None and self._is_turn(
            incarnation, now=now, interval_s=_interval_s(requests_per_s, hosts)
        )
        period = self.periods.get(incarnation)
        if period is not None:
            period.record_decision(allowed=allowed, hosts=hosts)
        return allowed

    def _is_turn(
        self, incarnation: Incarnation, *, now: float, interval_s: float
    ) -> bool:
        """Return whether it is this host's turn and the turn is unused."""
        turn_s = min(MAX_TURN_S, interval_s / 2)
        offset_s = interval_s * self._turn_offset(incarnation)
        last_sent_at_s = self.last_sent_at_s.get(incarnation, float("-inf"))
        return (now - offset_s) % interval_s < turn_s and (
            now - last_sent_at_s >= interval_s - turn_s
        )

    def record_request(self, incarnation: Incarnation, *, now: float) -> None:
        """Use up this host's turn at the server."""
        period = self.periods.get(incarnation)
        if period is not None:
            period.sent += 1
        self.last_sent_at_s[incarnation] = now

    def remove(self, incarnation: Incarnation) -> None:
        """Remove the state of an incarnation that has left."""
        self.last_sent_at_s.pop(incarnation, None)
        self.periods.pop(incarnation, None)

    def _turn_offset(self, incarnation: Incarnation) -> float:
        """Return where in each interval this host's turn is, from 0 to 1."""
        return hash_fraction(self.host, incarnation.instance_id)


class IsolatedHostLimiter:
    """Limit this host's requests to each server while it is isolated.

    A host behind a partition does not know which servers have become cold.
    """

    def __init__(self) -> None:
        # Times of the newest requests, at most as many as one second allows.
        self.sent_at_s: dict[Incarnation, collections.deque[float]] = {}

    def allows(
        self, incarnation: Incarnation, *, now: float, requests_per_s: float
    ) -> bool:
        """Return whether this host may send a request to the server now."""
        times = self._times(incarnation, requests_per_s)
        return len(times) < (times.maxlen or 0) or now - times[0] >= 1.0

    def record_request(
        self, incarnation: Incarnation, *, now: float, requests_per_s: float
    ) -> None:
        """Count a request to the server."""
        self._times(incarnation, requests_per_s).append(now)

    def remove(self, incarnation: Incarnation) -> None:
        """Remove the state of an incarnation that has left."""
        self.sent_at_s.pop(incarnation, None)

    def _times(
        self, incarnation: Incarnation, requests_per_s: float
    ) -> collections.deque[float]:
        size = math.ceil(requests_per_s * ISOLATED_RATE_RATIO)
        times = self.sent_at_s.get(incarnation)
        if times is None or times.maxlen != size:
            times = collections.deque(times or (), maxlen=size)
            self.sent_at_s[incarnation] = times
        return times


def hash_fraction(host: str, server: str) -> float:
    """Return a number from 0 to 1 that differs by host and server."""
    hash_input = f"{host}\0{server}"
    return xxhash.xxh32_intdigest(hash_input.encode()) / (1 << 32)


def _interval_s(requests_per_s: float, hosts: int) -> float:
    return max(1, hosts) / max(requests_per_s, MIN_REQUESTS_PER_S)
