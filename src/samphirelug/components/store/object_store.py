"""Define the interface of the platform's object store."""

import abc
from collections.abc import Mapping
from typing import Any

from returns.result import Result

from samphirelug.components.store import model
from samphirelug import result_codes


class ObjectStore(abc.ABC):
    """Read, write conditionally and watch versioned objects.

    All calls fail with STORE_UNAVAILABLE when the store did not answer and
    with STORE_BUDGET_EMPTY when this process has used up its call budget.
    """

    @abc.abstractmethod
    async def get(
        self, key: str
    ) -> Result[model.StoredObject, result_codes.Refusal]:
        """Return an object; fails with OBJECT_NOT_FOUND if there is none."""

    @abc.abstractmethod
    async def list(
        self, prefix: str
    ) -> Result[model.Listing, result_codes.Refusal]:
        """Return the objects whose keys start with the prefix."""

    @abc.abstractmethod
    async def put(
        self, key: str, value: Mapping[str, Any], *, expected_revision: int
    ) -> Result[model.StoredObject, result_codes.Refusal]:
        """Write an object if it has the expected revision; 0 creates it.

        Fails with STORE_CONFLICT when it has another revision, and with
        STORE_OUTCOME_UNKNOWN when the request may have been sent but no valid
        answer was received.
        """

    @abc.abstractmethod
    async def watch(
        self, prefix: str, *, after: int, timeout_s: float
    ) -> Result[model.Listing, result_codes.Refusal]:
        """Wait for objects with a revision higher than after.

        Returns an empty listing when timeout_s has passed without any.
        """
