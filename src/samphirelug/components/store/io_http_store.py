"""Access the object store over HTTP."""

from collections.abc import Mapping
from typing import Any
from typing import TypeVar
import urllib.parse

import orjson
import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.metrics import registry
from samphirelug.components.store import budget as store_budget
from samphirelug.components.store import io_transport
from samphirelug.components.store import model
from samphirelug.components.store import object_store
from samphirelug import const
from samphirelug import result_codes

Value = TypeVar("Value")
ObjectResult = Result[model.StoredObject, result_codes.Refusal]
ListingResult = Result[model.Listing, result_codes.Refusal]

_OBJECT_ADAPTER = pydantic.TypeAdapter(model.StoredObject)
_LISTING_ADAPTER = pydantic.TypeAdapter(model.Listing)


class HttpObjectStore(object_store.ObjectStore):
    """Call the store and map every outcome of a call to a result code."""

    def __init__(
        self,
        *,
        base_url: str,
        budget: store_budget.CallBudget,
        metrics: registry.Metrics | None = None,
        timeouts: io_transport.StoreTimeouts | None = None,
    ) -> None:
        self.budget = budget
        self.metrics = metrics
        self.timeouts = timeouts or io_transport.StoreTimeouts()
        self.transport = io_transport.StoreTransport(
            base_url=base_url, timeouts=self.timeouts
        )

    def close(self) -> None:
        """Release the client's resources."""
        self.transport.close()

    async def get(self, key: str) -> ObjectResult:
        """Return an object; fails with OBJECT_NOT_FOUND if there is none."""
        refusal = self._check_budget(store_budget.CallKind.READ, "get")
        if refusal is not None:
            return Failure(refusal)
        reply = await self.transport.call(
            "GET", _object_path(key), timeout_s=self.timeouts.request_s
        )
        return self._record_outcome("get", _read_object(reply, key))

    async def list(self, prefix: str) -> ListingResult:
        """Return the objects whose keys start with the prefix."""
        refusal = self._check_budget(store_budget.CallKind.READ, "list")
        if refusal is not None:
            return Failure(refusal)
        query = urllib.parse.urlencode({"prefix": prefix})
        reply = await self.transport.call(
            "GET", f"/v1/objects?{query}", timeout_s=self.timeouts.list_s
        )
        return self._record_outcome("list", _read_listing(reply))

    async def put(
        self, key: str, value: Mapping[str, Any], *, expected_revision: int
    ) -> ObjectResult:
        """Write an object if it has the expected revision; 0 creates it.

        Fails with STORE_CONFLICT when it has another revision, and with
        STORE_OUTCOME_UNKNOWN when the request may have been sent but no valid
        answer was received.
        """
        body = orjson.dumps(value)
        if len(body) > const.MAX_OBJECT_BYTES:
            return Failure(
                result_codes.Refusal(
                    result_codes.ResultCode.CATALOGUE_INVALID,
                    f"{key}: {len(body)} bytes are more than the store's"
                    f" limit of {const.MAX_OBJECT_BYTES}",
                )
            )
        refusal = self._check_budget(store_budget.CallKind.WRITE, "put")
        if refusal is not None:
            return Failure(refusal)
        reply = await self.transport.call(
            "PUT",
            _object_path(key),
            timeout_s=self.timeouts.request_s,
            body=body,
            headers={
                "If-Match": str(expected_revision),
                "Content-Type": "application/json",
            },
        )
        return self._record_outcome("put", _read_put(reply, key))

    async def watch(
        self, prefix: str, *, after: int, timeout_s: float
    ) -> ListingResult:
        """Wait for objects with a revision higher than after.

        Returns an empty listing when timeout_s has passed without any.
        """
        refusal = self._check_budget(store_budget.CallKind.WATCH, "watch")
        if refusal is not None:
            return Failure(refusal)
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "timeout_s": timeout_s}
        )
        reply = await self.transport.call(
            "GET",
            f"/v1/watch?{query}",
            timeout_s=timeout_s + self.timeouts.request_s,
        )
        return self._record_outcome("watch", _read_listing(reply))

    def _check_budget(
        self, kind: store_budget.CallKind, call: str
    ) -> result_codes.Refusal | None:
        wait_s = self.budget.take(kind)
        if not wait_s:
            return None
        refusal = result_codes.Refusal(
            result_codes.ResultCode.STORE_BUDGET_EMPTY,
            f"the budget of {kind} calls to the store is used up",
            wait_s,
        )
        self._record_outcome(call, Failure(refusal))
        return refusal

    def _record_outcome(
        self, call: str, result: Result[Value, result_codes.Refusal]
    ) -> Result[Value, result_codes.Refusal]:
        if self.metrics is not None:
            outcome = (
                result.failure().code
                if isinstance(result, Failure)
                else result_codes.ResultCode.OK
            )
            self.metrics.count_store_call(call, outcome.name.lower())
        return result


def _object_path(key: str) -> str:
    return f"/v1/objects/{urllib.parse.quote(key, safe='/')}"


def _unavailable(reason: str) -> result_codes.Refusal:
    return result_codes.Refusal(
        result_codes.ResultCode.STORE_UNAVAILABLE,
        f"no answer from the store: {reason}",
        1.0,
    )


def _outcome_unknown(key: str, reason: str) -> result_codes.Refusal:
    return result_codes.Refusal(
        result_codes.ResultCode.STORE_OUTCOME_UNKNOWN,
        f"the write of {key} may have taken effect: {reason}",
    )


def _read_object(
    reply: io_transport.Reply | io_transport.NoReply, key: str
) -> ObjectResult:
    if isinstance(reply, io_transport.NoReply):
        return Failure(_unavailable(reply.reason))
    if reply.status == 404:
        return Failure(
            result_codes.Refusal(
                result_codes.ResultCode.OBJECT_NOT_FOUND,
                f"the store has no object {key}",
            )
        )
    if reply.status != 200:
        return Failure(_unavailable(f"status {reply.status}"))
    try:
        return Success(_OBJECT_ADAPTER.validate_json(reply.body))
    except pydantic.ValidationError:
        return Failure(_unavailable("the answer is not a valid object"))


def _read_listing(
    reply: io_transport.Reply | io_transport.NoReply,
) -> ListingResult:
    if isinstance(reply, io_transport.NoReply):
        return Failure(_unavailable(reply.reason))
    if reply.status != 200:
        return Failure(_unavailable(f"status {reply.status}"))
    try:
        return Success(_LISTING_ADAPTER.validate_json(reply.body))
    except pydantic.ValidationError:
        return Failure(_unavailable("the answer is not a valid listing"))


def _read_put(
    reply: io_transport.Reply | io_transport.NoReply, key: str
) -> ObjectResult:
    if isinstance(reply, io_transport.NoReply):
        if reply.maybe_sent:
            return Failure(_outcome_unknown(key, reply.reason))
        return Failure(_unavailable(reply.reason))
    if reply.status == 412:
        return Failure(
            result_codes.Refusal(
                result_codes.ResultCode.STORE_CONFLICT,
                f"{key} has another revision",
            )
        )
    # With these statuses the store has rejected the write.
    if 400 <= reply.status < 500:
        return Failure(_unavailable(f"status {reply.status}"))
    if reply.status not in (200, 201):
        return Failure(_outcome_unknown(key, f"status {reply.status}"))
    try:
        return Success(_OBJECT_ADAPTER.validate_json(reply.body))
    except pydantic.ValidationError:
        return Failure(
            _outcome_unknown(key, "the answer is not a valid object")
        )
