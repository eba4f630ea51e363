"""Choose the entry hosts that a caller is told to use."""

from collections.abc import Iterable

from samphirelug.components.fleet import model

MAX_ADDRESSES = 64
# A caller needs another host when the one that it uses stops.
MIN_ADDRESSES = 2


def choose(
    hosts: Iterable[model.HostInstance], *, region: str, zone: str
) -> list[str]:
    """Return caller addresses, those of the nearest hosts only.

    Each availability zone between caller and entry host costs bytes between
    zones and, between regions, may break a limit on where a body may go.
    """
    known = list(hosts)
    for nearest in (
        [host for host in known if host.zone.name == zone],
        [host for host in known if host.zone.region == region],
    ):
        if len(nearest) >= MIN_ADDRESSES:
            return [host.caller_address for host in nearest][:MAX_ADDRESSES]
    in_region = [host for host in known if host.zone.region == region]
    chosen = in_region or known
    return [host.caller_address for host in chosen][:MAX_ADDRESSES]
