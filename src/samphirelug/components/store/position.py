"""Order the states of the store across its eras.

The store may come back from an older copy. It then begins a new era, in which
its revisions go back and are given out again. A position holds both in one
number, so that each revision of a later era is higher.
"""

# Revisions are below this; see MAX_REVISION of the store's client.
_REVISION_BITS = 63
_REVISION_MASK = (1 << _REVISION_BITS) - 1


def combine(*, era: int, revision: int) -> int:
    """Return the position of a revision in an era, 0 if not known."""
    return (era << _REVISION_BITS) | revision


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> _REVISION_BITS


def revision_of(position: int) -> int:
    """Return the revision of a position, as the store knows it."""
    return position & _REVISION_MASK


def log_fields(position: int) -> dict[str, int]:
    """Return the fields that describe a position in a log line."""
    return {"era": era_of(position), "revision": revision_of(position)}


def in_same_era(first: int, second: int) -> bool:
    """Return whether changes can lead from one position to the other."""
    return era_of(first) == era_of(second)
