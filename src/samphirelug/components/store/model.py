"""Define what the platform's object store returns."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple


class StoredObject(NamedTuple):
    """Hold an object's value and the store's revision of its last write."""

    key: str
    revision: int
    # A JSON object.
    value: Mapping[str, Any]


class Listing(NamedTuple):
    """Hold objects under a prefix as of a revision of the whole store."""

    revision: int
    objects: tuple[StoredObject, ...]
