"""Order entry hosts on a hash ring, on which neighbours monitor each other."""

from collections.abc import Iterable
from collections.abc import Iterator
import functools

import xxhash

from samphirelug.components.fleet import model

# Names whose positions are remembered.
MAX_POSITIONS = 16_384


@functools.lru_cache(maxsize=MAX_POSITIONS)
def position(name: str) -> int:
    """Return the position of a host on the ring."""
    return xxhash.xxh64_intdigest(name.encode())


class HostRing:
    """Hold hosts in the order of their positions behind one of them."""

    def __init__(
        self, *, own: model.HostInstance, hosts: Iterable[model.HostInstance]
    ) -> None:
        start = position(own.name)
        self.hosts = sorted(
            hosts,
            key=lambda host: (
                position(host.name) <= start,
                position(host.name),
            ),
        )

    def next(self, count: int) -> tuple[model.HostInstance, ...]:
        """Return the next hosts on the ring."""
        return tuple(self.hosts[:count])

    def previous(self) -> Iterator[model.HostInstance]:
        """Return the other hosts, from the previous one backwards."""
        return reversed(self.hosts)
