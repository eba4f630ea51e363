"""Hold back requests from servers that have just started.

Answers a restart of a zone: a cold server crashes when all entry hosts send
it their usual requests at once. The hosts take turns at the rate that the
server bears; a host's turn follows from its position among all hosts.
"""

import xxhash

Incarnation = tuple[str, int]
# Keeps a turn finite where a service names no rate.
MIN_REQUESTS_PER_S = 0.01


class ColdGate:
    """Space this host's requests to each cold server."""

    def __init__(self, *, host: str) -> None:
        self.host = host
        self.next_at_s: dict[Incarnation, float] = {}

    def admits(
        self,
        incarnation: Incarnation,
        *,
        now: float,
        requests_per_s: float,
        hosts: int,
    ) -> bool:
        """Tell whether it is this host's turn."""
        next_at_s = self.next_at_s.get(incarnation)
        if next_at_s is None:
            # All hosts learn of a cold server at about the same time.
            text = f"{self.host}\0{incarnation[0]}"
            part = xxhash.xxh32_intdigest(text.encode()) / (1 << 32)
            next_at_s = now + part * _turn_s(requests_per_s, hosts)
            self.next_at_s[incarnation] = next_at_s
        return now >= next_at_s

    def take(
        self,
        incarnation: Incarnation,
        *,
        now: float,
        requests_per_s: float,
        hosts: int,
    ) -> None:
        """Use this host's turn."""
        self.next_at_s[incarnation] = now + _turn_s(requests_per_s, hosts)

    def forget(self, incarnation: Incarnation) -> None:
        """Drop an incarnation that is warm or has left."""
        self.next_at_s.pop(incarnation, None)


def _turn_s(requests_per_s: float, hosts: int) -> float:
    return max(1, hosts) / max(requests_per_s, MIN_REQUESTS_PER_S)
