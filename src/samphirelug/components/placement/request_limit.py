"""Keep to the request rates that servers name in their answers.

A server in need names the requests per second that it takes from all entry
hosts together, in each answer for as long as that holds. Each host that
look-up answers list takes an equal share as a token bucket, which is empty
when the host learns of the limit.
"""

import logging

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.placement import const

_LOGGER = logging.getLogger(__name__)
Incarnation = fleet_model.Incarnation


class NamedLimit:
    """Hold the limit that a server names and this host's share of it."""

    def __init__(self, *, requests_per_s: float, now: float) -> None:
        self.requests_per_s = requests_per_s
        self.began_at_s = now
        # Tokens of this host as of a time; a request takes one.
        self.tokens = 0.0
        self.refilled_at_s = now
        self.sent = 0
        self.withheld = 0

    @property
    def shared_per_s(self) -> float:
        """Return the rate of all hosts together, which is never zero.

        Otherwise no host would learn that the limit has ended.
        """
        return max(self.requests_per_s, const.MIN_LIMIT_PER_S)

    def capacity(self, hosts: int) -> float:
        """Return the maximum of this host's tokens."""
        return max(
            1.0,
            (const.LIMIT_BURST_S * self.shared_per_s + const.LIMIT_BURST)
            / hosts,
        )

    def refill(self, *, now: float, hosts: int) -> None:
        """Add the tokens of the time since the last call."""
        self.tokens = min(
            self.capacity(hosts),
            self.tokens
            + (now - self.refilled_at_s) * self.shared_per_s / hosts,
        )
        self.refilled_at_s = now

    def wait_s(self, *, hosts: int) -> float:
        """Return the time until this host has a token."""
        return max(0.0, 1.0 - self.tokens) * hosts / self.shared_per_s


class RequestLimiter:
    """Keep this host's requests within the limits of servers."""

    def __init__(self) -> None:
        self.limits: dict[Incarnation, NamedLimit] = {}

    def observe(
        self,
        server: fleet_model.ServerInstance,
        *,
        requests_per_s: float | None,
        now: float,
    ) -> None:
        """Set the limit that an answer names; None if it names none."""
        limit = self.limits.get(server.incarnation)
        if requests_per_s is None:
            if limit is not None:
                del self.limits[server.incarnation]
                self._log_end(server, limit, now)
            return
        if limit is None:
            limit = NamedLimit(requests_per_s=requests_per_s, now=now)
            self.limits[server.incarnation] = limit
        elif limit.requests_per_s == requests_per_s:
            return
        limit.requests_per_s = requests_per_s
        _LOGGER.info(
            "backend server names a limit",
            extra={
                "server": server.instance_id,
                "service": server.service,
                "limit_per_s": requests_per_s,
            },
        )

    def limit_per_s(self, incarnation: Incarnation) -> float | None:
        """Return the limit that a server names, None if it names none."""
        limit = self.limits.get(incarnation)
        return None if limit is None else limit.requests_per_s

    def wait_s(
        self, incarnation: Incarnation, *, now: float, hosts: int | None
    ) -> float:
        """Return the time until this host may send a request, 0 if it may now.

        While it does not know the number of hosts, it has no share.
        """
        limit = self.limits.get(incarnation)
        if limit is None:
            return 0.0
        if hosts is None:
            return const.INITIAL_PAUSE_S
        limit.refill(now=now, hosts=hosts)
        return limit.wait_s(hosts=hosts)

    def allows(
        self, incarnation: Incarnation, *, now: float, hosts: int | None
    ) -> bool:
        """Return whether this host may send a request to the server now."""
        if not self.wait_s(incarnation, now=now, hosts=hosts):
            return True
        self.limits[incarnation].withheld += 1
        return False

    def record_request(self, incarnation: Incarnation) -> None:
        """Take a token for a request that is about to be sent."""
        limit = self.limits.get(incarnation)
        if limit is not None:
            limit.sent += 1
            limit.tokens -= 1.0

    def remove(self, incarnation: Incarnation) -> None:
        """Remove the state of an incarnation that has left."""
        self.limits.pop(incarnation, None)

    def _log_end(
        self,
        server: fleet_model.ServerInstance,
        limit: NamedLimit,
        now: float,
    ) -> None:
        _LOGGER.info(
            "backend server names no limit any more",
            extra={
                "server": server.instance_id,
                "service": server.service,
                "lasted_s": round(now - limit.began_at_s, 3),
                "sent": limit.sent,
                "withheld": limit.withheld,
            },
        )
