"""Order names by rendezvous (highest random weight) hashing."""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import xxhash

# Factor that scales a 64-bit hash to the open interval from 0 to 1.
HASH_SCALE = 1.0 / (1 << 64)
LARGEST_BELOW_ONE = math.nextafter(1.0, 0.0)


def rank_names(*, key: str, names: Iterable[str]) -> list[str]:
    """Return the names, the one with the highest hash for the key first."""
    return sorted(
        names,
        key=lambda name: (
            xxhash.xxh64_intdigest(f"{key}\0{name}".encode()),
            name,
        ),
        reverse=True,
    )


def order_by_weight(*, key: str, weights: Mapping[str, float]) -> list[str]:
    """Return the names ordered by weighted hash for the key.

    Each name is first for a fraction of the keys in proportion to its weight.
    Adding or removing a name moves only the keys for which it is first.
    """
    return sorted(
        weights,
        key=lambda name: (_weighted_score(key, name, weights[name]), name),
        reverse=True,
    )


def _weighted_score(key: str, name: str, weight: float) -> float:
    digest = xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
    # The product of the largest hashes rounds to 1, whose logarithm is 0.
    uniform = min((digest + 0.5) * HASH_SCALE, LARGEST_BELOW_ONE)
    return -weight / math.log(uniform)
