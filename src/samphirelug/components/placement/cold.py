"""Limit the request rate to servers that have just started.

After a restart of a zone, a cold server crashes when all entry hosts send it
their usual requests at once. The hosts therefore share the rate that a cold
server can handle: each sends at the same interval, with an offset hashed from
the names of host and server.
"""

import logging

import xxhash

from samphirelug.components.fleet import model as fleet_model

_LOGGER = logging.getLogger(__name__)
Incarnation = tuple[str, int]
# This minimum keeps the interval finite when a service is configured without
# a rate.
MIN_REQUESTS_PER_S = 0.01


class ColdPeriod:
    """Count this host's requests to a server during one cold start."""

    def __init__(self, *, began_at_s: float) -> None:
        self.began_at_s = began_at_s
        self.sent = 0
        self.withheld = 0
        # Fewest hosts that the server's rate was divided by.
        self.fewest_hosts: int | None = None

    def count_host_share(self, hosts: int) -> None:
        """Record the number of hosts that the rate is divided by."""
        if self.fewest_hosts is None or hosts < self.fewest_hosts:
            self.fewest_hosts = hosts


class ColdStartLimiter:
    """Limit the rate of this host's requests to each cold server."""

    def __init__(self, *, host: str) -> None:
        self.host = host
        self.next_allowed_at_s: dict[Incarnation, float] = {}
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
        hosts: int,
    ) -> bool:
        """Return whether this host may send a request to the server now."""
        period = self.periods.get(incarnation)
        if period is not None:
            period.count_host_share(hosts)
        next_allowed_at_s = self.next_allowed_at_s.get(incarnation)
        if next_allowed_at_s is None:
            # All hosts discover a cold server at about the same time; the
            # offset spreads their first requests over one interval.
            hash_input = f"{self.host}\0{incarnation[0]}"
            offset = xxhash.xxh32_intdigest(hash_input.encode()) / (1 << 32)
            next_allowed_at_s = now + offset * _interval_s(
                requests_per_s, hosts
            )
            self.next_allowed_at_s[incarnation] = next_allowed_at_s
        if now >= next_allowed_at_s:
            return True
        if period is not None:
            period.withheld += 1
        return False

    def record_request(
        self,
        incarnation: Incarnation,
        *,
        now: float,
        requests_per_s: float,
        hosts: int,
    ) -> None:
        """Start this host's next interval for the server."""
        period = self.periods.get(incarnation)
        if period is not None:
            period.sent += 1
        self.next_allowed_at_s[incarnation] = now + _interval_s(
            requests_per_s, hosts
        )

    def remove(self, incarnation: Incarnation) -> None:
        """Remove the state of an incarnation that has left."""
        self.next_allowed_at_s.pop(incarnation, None)
        self.periods.pop(incarnation, None)


def _interval_s(requests_per_s: float, hosts: int) -> float:
    return max(1, hosts) / max(requests_per_s, MIN_REQUESTS_PER_S)
