"""Encode messages as CBOR maps and validate what peers send.

A frame is one map: "type", the message's fields, and "id" and "reply_to"
where it has them. NamedTuples inside a message are arrays in field order.
A receiver drops fields that it doesn't know and reports an unknown type as
such, since both come from a peer with a newer protocol; a nested tuple only
changes together with the protocol's number. A new field needs a default.
"""

import enum
import typing
from typing import Annotated
from typing import Any
from typing import NamedTuple

import cbor2
import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.peers import const
from samphirelug.components.peers import model
from samphirelug import const as shared_const
from samphirelug import result_codes

MESSAGE_TYPES: dict[str, type[Any]] = {
    kind.__name__: kind for kind in typing.get_args(model.Message)
}
_ADAPTERS: dict[str, pydantic.TypeAdapter[Any]] = {
    name: pydantic.TypeAdapter(kind) for name, kind in MESSAGE_TYPES.items()
}
_FIELDS = {
    name: frozenset(kind._fields) for name, kind in MESSAGE_TYPES.items()
}
# Left out where empty: a watcher sends most of its messages for one of them.
_OPTIONAL: dict[str, dict[str, Any]] = {
    "Relayed": {
        "sightings": (),
        "positions": (),
        "summaries": (),
        "lowest_revision": 0,
        "highest_revision": 0,
    }
}
_ID = pydantic.TypeAdapter(model.Sequence | None)
# Fields of a heartbeat that a sparse heartbeat may leave out.
_SPARSE_FIELDS = tuple(
    field for field in model.Heartbeat._fields if field != "clock_ms"
)
# Short, since it is most of the bytes of a heartbeat without changes.
_SPARSE_TYPE = "Beat"
# Takes the place of "headroom" where only amounts changed, in a fifth of the
# bytes.
_AMOUNTS = "amounts"


class _Amount(NamedTuple):
    """Give new amounts for one item of the last heartbeat's headroom."""

    place: Annotated[int, pydantic.Field(ge=0)]
    free: int
    held: int


_AMOUNTS_ADAPTER = pydantic.TypeAdapter(tuple[_Amount, ...])


class UnknownType(NamedTuple):
    """Report a message of a type that this version doesn't know."""

    name: str


def encode(
    message: model.Message,
    *,
    message_id: int | None = None,
    reply_to: int | None = None,
) -> bytes:
    """Return the frame of a message; ValueError if it is too large."""
    frame: dict[str, Any] = {"type": type(message).__name__}
    if message_id is not None:
        frame["id"] = message_id
    if reply_to is not None:
        frame["reply_to"] = reply_to
    empty = _OPTIONAL.get(frame["type"], {})
    frame.update(
        (field, value)
        for field, value in zip(message._fields, message, strict=True)
        if field not in empty or value != empty[field]
    )
    return _dump(frame)


def decode(
    data: bytes,
) -> Result[model.Frame | UnknownType, result_codes.Refusal]:
    """Return the validated message of a frame.

    Fails with PEER_MESSAGE_TOO_LARGE or PEER_MESSAGE_INVALID.
    """
    loaded = _load(data)
    if isinstance(loaded, result_codes.Refusal):
        return Failure(loaded)
    return _validate(loaded)


class SparseEncoder:
    """Encode the heartbeats of one connection by what changed.

    Frames of one connection arrive in order or not at all, so the receiver
    always has the values that a sparse heartbeat leaves out.
    """

    def __init__(self) -> None:
        self.sent: model.Heartbeat | None = None

    def encode(self, heartbeat: model.Heartbeat) -> bytes:
        """Return the frame for the next heartbeat of the connection."""
        sent, self.sent = self.sent, heartbeat
        if sent is None:
            return encode(heartbeat)
        frame: dict[str, Any] = {"type": _SPARSE_TYPE}
        frame["clock_ms"] = heartbeat.clock_ms
        for field in _SPARSE_FIELDS:
            value = getattr(heartbeat, field)
            if value != getattr(sent, field):
                frame[field] = value
        amounts = _changed_amounts(sent.headroom, heartbeat.headroom)
        if amounts is not None and frame.pop("headroom", None) is not None:
            frame[_AMOUNTS] = amounts
        return _dump(frame)


class SparseDecoder:
    """Decode all frames of one connection, sparse heartbeats included."""

    def __init__(self) -> None:
        self.received: model.Heartbeat | None = None

    def decode(
        self, data: bytes
    ) -> Result[model.Frame | UnknownType, result_codes.Refusal]:
        """Return the validated message, with heartbeats made whole."""
        loaded = _load(data)
        if isinstance(loaded, result_codes.Refusal):
            return Failure(loaded)
        if loaded.get("type") != _SPARSE_TYPE:
            result = _validate(loaded)
            match result:
                case Success(model.Frame(model.Heartbeat() as whole)):
                    self.received = whole
            return result
        last = self.received
        if last is None:
            return _invalid("sparse heartbeat before a whole one")
        if "clock_ms" not in loaded:
            return _invalid("sparse heartbeat without clock_ms")
        changed = {
            field: value
            for field, value in loaded.items()
            if field in _FIELDS["Heartbeat"]
        }
        # Values kept from the last heartbeat are validated already, so only
        # the changed fields are, which is most of the cost at scale.
        try:
            heartbeat = last._replace(
                **{
                    field: _HEARTBEAT_FIELDS[field].validate_python(value)
                    for field, value in changed.items()
                }
            )
            headroom = list(heartbeat.headroom)
            for index, free, held in _AMOUNTS_ADAPTER.validate_python(
                loaded.get(_AMOUNTS, ())
            ):
                headroom[index] = headroom[index]._replace(
                    free=free, held=held
                )
        except pydantic.ValidationError as error:
            return _invalid(_describe(_SPARSE_TYPE, error))
        except IndexError:
            return _invalid("amounts of unknown headroom")
        heartbeat = heartbeat._replace(headroom=tuple(headroom))
        self.received = heartbeat
        return Success(model.Frame(heartbeat))


_HEARTBEAT_FIELDS: dict[str, pydantic.TypeAdapter[Any]] = {
    field: pydantic.TypeAdapter(kind)
    for field, kind in typing.get_type_hints(
        model.Heartbeat, include_extras=True
    ).items()
}


def _changed_amounts(
    sent: tuple[model.RegionHeadroom, ...],
    headroom: tuple[model.RegionHeadroom, ...],
) -> tuple[_Amount, ...] | None:
    """Return the changed amounts; None where the items are others."""
    if len(sent) != len(headroom):
        return None
    amounts = []
    for index, (old, new) in enumerate(zip(sent, headroom, strict=True)):
        if (old.region, old.service) != (new.region, new.service):
            return None
        if old != new:
            amounts.append(_Amount(index, new.free, new.held))
    return tuple(amounts)


def _dump(frame: dict[str, Any]) -> bytes:
    data = cbor2.dumps(frame, default=_encode_other)
    if len(data) > shared_const.MAX_PEER_MESSAGE_BYTES:
        raise ValueError(
            f"{frame['type']} has {len(data)} bytes, at most "
            f"{shared_const.MAX_PEER_MESSAGE_BYTES} are allowed"
        )
    return data


def _encode_other(encoder: cbor2.CBOREncoder, value: Any) -> None:
    if isinstance(value, enum.Enum):
        encoder.encode(value.value)
    elif isinstance(value, tuple):
        encoder.encode(list(value))
    else:
        raise TypeError(f"cannot send a {type(value).__name__}")


def _load(data: bytes) -> dict[str, Any] | result_codes.Refusal:
    if len(data) > shared_const.MAX_PEER_MESSAGE_BYTES:
        return result_codes.Refusal(
            result_codes.ResultCode.PEER_MESSAGE_TOO_LARGE,
            f"{len(data)} bytes",
        )
    try:
        loaded = cbor2.loads(
            data,
            max_depth=const.MAX_MESSAGE_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    except (cbor2.CBORError, ValueError, TypeError, OverflowError) as error:
        return _refusal(f"not CBOR: {type(error).__name__}")
    if not isinstance(loaded, dict):
        return _refusal("not a map")
    return loaded


def _validate(
    loaded: dict[str, Any],
) -> Result[model.Frame | UnknownType, result_codes.Refusal]:
    name = loaded.get("type")
    if not isinstance(name, str):
        return _invalid("no type")
    adapter = _ADAPTERS.get(name)
    if adapter is None:
        return Success(UnknownType(name[:64]))
    fields = _FIELDS[name]
    known = _OPTIONAL.get(name, {}) | {
        field: value for field, value in loaded.items() if field in fields
    }
    try:
        return Success(
            model.Frame(
                message=adapter.validate_python(known),
                message_id=_ID.validate_python(loaded.get("id")),
                reply_to=_ID.validate_python(loaded.get("reply_to")),
            )
        )
    except pydantic.ValidationError as error:
        return _invalid(_describe(name, error))


def _describe(name: str, error: pydantic.ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    place = ".".join(str(part) for part in first["loc"])
    return f"{name} {place}: {first['msg']}"[:200]


def _invalid(detail: str) -> Result[Any, result_codes.Refusal]:
    return Failure(_refusal(detail))


def _refusal(detail: str) -> result_codes.Refusal:
    return result_codes.Refusal(
        result_codes.ResultCode.PEER_MESSAGE_INVALID, detail
    )
