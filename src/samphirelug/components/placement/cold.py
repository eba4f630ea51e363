"""Limit the request rate to servers that have just started.

After a restart of a zone, a cold server crashes when all entry hosts send it
their usual requests at once. The hosts therefore share the rate that a cold
server can handle: each sends at the same interval, with an offset hashed from
the names of host and server.
"""

import xxhash

Incarnation = tuple[str, int]
# This minimum keeps the interval finite when a service is configured without
# a rate.
MIN_REQUESTS_PER_S = 0.01


class ColdStartLimiter:
    """Limit the rate of this host's requests to each cold server."""

    def __init__(self, *, host: str) -> None:
        self.host = host
        self.next_allowed_at_s: dict[Incarnation, float] = {}

    def allows(
        self,
        incarnation: Incarnation,
        *,
        now: float,
        requests_per_s: float,
        hosts: int,
    ) -> bool:
        """Return whether this host may send a request to the server now."""
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
        return now >= next_allowed_at_s

    def record_request(
        self,
        incarnation: Incarnation,
        *,
        now: float,
        requests_per_s: float,
        hosts: int,
    ) -> None:
        """Start this host's next interval for the server."""
        self.next_allowed_at_s[incarnation] = now + _interval_s(
            requests_per_s, hosts
        )

    def remove(self, incarnation: Incarnation) -> None:
        """Remove the state of an incarnation that has left."""
        self.next_allowed_at_s.pop(incarnation, None)


def _interval_s(requests_per_s: float, hosts: int) -> float:
    return max(1, hosts) / max(requests_per_s, MIN_REQUESTS_PER_S)
