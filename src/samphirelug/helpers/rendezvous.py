"""Rank names by rendezvous (highest random weight) hashing."""

from collections.abc import Iterable

import xxhash


def rank_names(*, key: str, names: Iterable[str]) -> list[str]:
    """Return the names ordered by their weight for the key."""
    return sorted(
        names,
        key=lambda name: (
            xxhash.xxh64_intdigest(f"{key}\0{name}".encode()),
            name,
        ),
        reverse=True,
    )
