"""Choose the entry hosts that a caller is told to use.

Answers a fleet with many more entry hosts than a zone's callers need: a host
that sends each server little knows little of the server's load, and keeps no
connection in use. A part of a zone's hosts, the strongest ones, carries its
callers, and the others take over when these leave.
"""

from collections.abc import Sequence
import math

from samphirelug.components.fleet import model

MAX_ADDRESSES = 64
# A caller needs another host when the one that it uses stops.
MIN_ADDRESSES = 2
# Hosts that a zone's callers are spread over at least, so that the loss of
# one moves a quarter of them.
MIN_SPREAD = 4
# Part of a zone's hosts that is named beyond that. The strongest third has
# more than a third of the capacity.
NAMED_SHARE = 1 / 3
# What one request costs an entry host; only the ratio between processor and
# link decides, since hosts are compared with each other.
REQUEST_CPU_S = 0.003
REQUEST_BYTES = 10_000


def capacity_per_s(*, cores: float, link_mbps: float) -> float:
    """Return the requests a second that a host can carry."""
    return min(cores / REQUEST_CPU_S, link_mbps * 1e6 / 8 / REQUEST_BYTES)


def choose_addresses(
    hosts: Sequence[model.HostInstance], *, region: str, zone: str
) -> list[str]:
    """Return caller addresses, those of the nearest hosts only.

    Each availability zone between caller and entry host costs bytes between
    zones and, between regions, may break a limit on where a body may go.
    """
    in_zone = [host for host in hosts if host.zone.name == zone]
    if len(in_zone) >= MIN_ADDRESSES:
        return _addresses(in_zone)
    in_region = [host for host in hosts if host.zone.region == region]
    return _addresses(in_region or hosts)


def _addresses(hosts: Sequence[model.HostInstance]) -> list[str]:
    """Return the addresses of the strongest hosts."""
    count = max(MIN_SPREAD, math.ceil(NAMED_SHARE * len(hosts)))
    strongest = sorted(
        hosts, key=lambda host: (-host.capacity_per_s, host.name)
    )
    chosen = strongest[: min(count, MAX_ADDRESSES)]
    return [host.caller_address for host in chosen]
