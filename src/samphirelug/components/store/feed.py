"""Define the interface to list, watch and write objects by kind.

Forwarding hosts use it; other entry hosts use the ObjectStore interface.
"""

import abc
import enum
from typing import NamedTuple

from returns.result import Result

from samphirelug.components.store import model
from samphirelug import result_codes


class ObjectKind(enum.StrEnum):
    """Define the kinds of objects that an entry host uses."""

    CONFIGURATION = "configuration"
    BACKEND_SERVERS = "backend-servers"
    EVACUATIONS = "evacuations"
    ENTRY_HOSTS = "entry-hosts"


class Removal(NamedTuple):
    """Report that an object was removed."""

    name: str


class Changes(NamedTuple):
    """Hold the ordered changes up to a state of the whole store."""

    # A position, as in lists.
    revision: int
    events: tuple[model.StoredObject | Removal, ...]


class ObjectFeed(abc.ABC):
    """List, watch and write the objects of a kind.

    Calls fail with STORE_UNAVAILABLE when the store did not answer.
    """

    @abc.abstractmethod
    async def list(
        self, kind: ObjectKind, *, allow_stale: bool = False
    ) -> Result[model.Listing, result_codes.Refusal]:
        """Return all objects of a kind.

        With allow_stale the list may be outdated; it costs the store less.
        """

    @abc.abstractmethod
    async def watch(
        self, kind: ObjectKind, *, after: int, timeout_s: float
    ) -> Result[Changes | None, result_codes.Refusal]:
        """Wait for changes after a position.

        Returns no events when timeout_s has passed without a change, and None
        when the store no longer has the changes since then. Changes up to a
        position of another era do not continue from there.
        """

    @abc.abstractmethod
    async def put(
        self,
        kind: ObjectKind,
        name: str,
        value: dict[str, object],
        *,
        probably_exists: bool = False,
    ) -> Result[int, result_codes.Refusal]:
        """Create or replace an object; return the position of the write.

        It takes one call if the object exists as assumed, else two.
        """

    @abc.abstractmethod
    async def delete(
        self, kind: ObjectKind, name: str, *, revision: int | None = None
    ) -> Result[None, result_codes.Refusal]:
        """Remove an object; succeeds if there is none.

        With the revision of the object, as a position, one that has changed
        since then stays. Fails if that is known to be of an earlier era.
        """
