"""Define how objects of a kind are listed and followed."""

import abc
import enum
from typing import NamedTuple

from returns.result import Result

from samphirelug.components.store import model
from samphirelug import result_codes


class ObjectKind(enum.StrEnum):
    """Name the kinds of objects that an entry host uses."""

    CONFIGURATION = "configuration"
    BACKEND_SERVERS = "backend-servers"
    EVACUATIONS = "evacuations"
    ENTRY_HOSTS = "entry-hosts"


class Removal(NamedTuple):
    """Name an object that is gone."""

    name: str


class Changes(NamedTuple):
    """Hold changes up to a revision of the whole store, in order."""

    revision: int
    events: tuple[model.StoredObject | Removal, ...]


class ObjectFeed(abc.ABC):
    """List objects of a kind and wait for changes to them.

    Calls fail with STORE_UNAVAILABLE when the store did not answer.
    """

    @abc.abstractmethod
    async def list(
        self, kind: ObjectKind, *, allow_stale: bool = False
    ) -> Result[model.Listing, result_codes.Refusal]:
        """Return all objects of a kind; a stale list costs less."""

    @abc.abstractmethod
    async def watch(
        self, kind: ObjectKind, *, after: int, timeout_s: float
    ) -> Result[Changes | None, result_codes.Refusal]:
        """Wait for changes; None means that this history is gone."""

    @abc.abstractmethod
    async def put(
        self, kind: ObjectKind, name: str, value: dict[str, object]
    ) -> Result[int, result_codes.Refusal]:
        """Create or replace an object; return its revision."""

    @abc.abstractmethod
    async def delete(
        self, kind: ObjectKind, name: str
    ) -> Result[None, result_codes.Refusal]:
        """Remove an object, also if there is none."""
