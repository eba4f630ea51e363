"""Define objects and listings of the platform's object store."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple


class StoredObject(NamedTuple):
    """Hold an object with the revision of its last write.

    Revisions of two eras of the store must not be compared.
    """

    key: str
    revision: int
    # A JSON object.
    value: Mapping[str, Any]


class Listing(NamedTuple):
    """Hold a set of objects as of a state of the whole store."""

    # A position, see store/position.py.
    revision: int
    objects: tuple[StoredObject, ...]
