"""Choose the entry hosts that are listed in a look-up answer.

A fleet may have many more entry hosts than the callers of a zone need. A host
that sends few requests to each server knows little of the server's load and
cannot keep connections in use. Therefore only the hosts of a zone with the
highest capacity serve its callers; other hosts replace them when they leave.
"""

from collections.abc import Sequence
import math

from samphirelug.components.fleet import model

MAX_LISTED_HOSTS = 64
# A caller needs a second host when the one that it uses stops.
MIN_HOSTS_IN_ZONE = 2
# Minimum number of hosts that the callers of a zone are spread over, if it
# has that many. With four, the loss of one moves a quarter of the callers.
MIN_LISTED_HOSTS = 4
# Share of a zone's hosts that is listed if it exceeds the minimum. The third
# with the highest capacity has more than a third of the zone's capacity.
LISTED_SHARE = 1 / 3
# Least capacity of a host that may carry uploads, as a share of the strongest
# one in its zone. A few uploads fill the link of a weaker host, and then delay
# all other requests and messages of that host.
UPLOAD_CAPACITY_SHARE = 0.5
# Cost of one request at an entry host. Only the ratio of processor time to
# bytes matters, since hosts are only compared with each other.
REQUEST_CPU_S = 0.003
REQUEST_BYTES = 10_000


def capacity_per_s(*, cores: float, link_mbps: float) -> float:
    """Return the requests per second that a host can handle."""
    return min(cores / REQUEST_CPU_S, link_mbps * 1e6 / 8 / REQUEST_BYTES)


def choose_addresses(
    hosts: Sequence[model.HostInstance],
    *,
    region: str,
    zone: str,
    has_uploads: bool = False,
) -> list[str]:
    """Return the caller addresses of the nearest entry hosts only.

    An entry host in another availability zone causes traffic between zones;
    one in another region may violate a limit on where a body may be sent. If
    callers send uploads, weak hosts are left out where there are others.
    """
    in_zone = [host for host in hosts if host.zone.name == zone]
    if len(in_zone) >= MIN_HOSTS_IN_ZONE:
        if has_uploads:
            in_zone = _without_weak(in_zone)
        return _highest_capacity_addresses(in_zone)
    in_region = [host for host in hosts if host.zone.region == region]
    return _highest_capacity_addresses(in_region or hosts)


def count_listed(
    hosts: Sequence[model.HostInstance], *, has_uploads: bool = False
) -> int:
    """Return the number of hosts that look-up answers of any zone list."""
    return len(
        {
            address
            for zone in {host.zone for host in hosts}
            for address in choose_addresses(
                hosts,
                region=zone.region,
                zone=zone.name,
                has_uploads=has_uploads,
            )
        }
    )


def _without_weak(
    hosts: Sequence[model.HostInstance],
) -> list[model.HostInstance]:
    """Return the hosts that can carry uploads; all if they are too few."""
    most = max(host.capacity_per_s for host in hosts)
    strong = [
        host
        for host in hosts
        if host.capacity_per_s >= UPLOAD_CAPACITY_SHARE * most
    ]
    return strong if len(strong) >= MIN_HOSTS_IN_ZONE else list(hosts)


def _highest_capacity_addresses(
    hosts: Sequence[model.HostInstance],
) -> list[str]:
    """Return the caller addresses of the hosts with the highest capacity."""
    count = max(MIN_LISTED_HOSTS, math.ceil(LISTED_SHARE * len(hosts)))
    by_capacity = sorted(
        hosts, key=lambda host: (-host.capacity_per_s, host.name)
    )
    chosen = by_capacity[: min(count, MAX_LISTED_HOSTS)]
    return [host.caller_address for host in chosen]
