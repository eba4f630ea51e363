"""Encode messages as CBOR maps and validate received messages.

A frame is one map with the key "type", the fields of the message and, where
set, "id" and "reply_to". NamedTuples inside a message are encoded as arrays
in field order.

Peers may run a newer version: a receiver ignores unknown fields and reports
unknown message types as UnknownType. A new field therefore needs a default,
and the fields of a nested NamedTuple may only change together with the
protocol version.
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
    message_type.__name__: message_type
    for message_type in typing.get_args(model.Message)
}
_ADAPTERS: dict[str, pydantic.TypeAdapter[Any]] = {
    name: pydantic.TypeAdapter(message_type)
    for name, message_type in MESSAGE_TYPES.items()
}
_FIELDS = {
    name: frozenset(message_type._fields)
    for name, message_type in MESSAGE_TYPES.items()
}
# Fields that are omitted when they have these values: most of the messages
# that a watcher sends have only one of them set.
_OMITTED_DEFAULTS: dict[str, dict[str, Any]] = {
    "Relayed": {
        "sightings": (),
        "positions": (),
        "summaries": (),
        "lowest_revision": 0,
        "highest_revision": 0,
    }
}
_ID_ADAPTER = pydantic.TypeAdapter(model.NonNegativeInt | None)
# Fields that a sparse heartbeat omits when they are unchanged.
_SPARSE_FIELDS = tuple(
    field for field in model.Heartbeat._fields if field != "clock_ms"
)
# Kept short, since the type takes most of the bytes of an unchanged heartbeat.
_SPARSE_TYPE = "Beat"
# Key that replaces "headroom" when only its amounts changed, in a fifth of
# the bytes.
_AMOUNTS = "amounts"


class _Amount(NamedTuple):
    """Update the amounts of one headroom item of the previous heartbeat."""

    # Index of the item in the headroom.
    place: Annotated[int, pydantic.Field(ge=0)]
    free: int
    held: int


_AMOUNTS_ADAPTER = pydantic.TypeAdapter(tuple[_Amount, ...])


class UnknownType(NamedTuple):
    """Report a message type that this version does not support."""

    name: str


def encode(
    message: model.Message,
    *,
    message_id: int | None = None,
    reply_to: int | None = None,
) -> bytes:
    """Return the message as a frame; ValueError if it is too large."""
    frame: dict[str, Any] = {"type": type(message).__name__}
    if message_id is not None:
        frame["id"] = message_id
    if reply_to is not None:
        frame["reply_to"] = reply_to
    defaults = _OMITTED_DEFAULTS.get(frame["type"], {})
    frame.update(
        (field, value)
        for field, value in zip(message._fields, message, strict=True)
        if field not in defaults or value != defaults[field]
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
    """Encode the heartbeats of one connection as differences.

    The first heartbeat is sent in full, later ones only with the fields that
    changed. A connection delivers frames in order and without gaps, so the
    receiver always has the omitted values.
    """

    def __init__(self) -> None:
        self.last_sent: model.Heartbeat | None = None

    def encode(self, heartbeat: model.Heartbeat) -> bytes:
        """Return the frame of the next heartbeat on the connection."""
        previous, self.last_sent = self.last_sent, heartbeat
        if previous is None:
            return encode(heartbeat)
        frame: dict[str, Any] = {"type": _SPARSE_TYPE}
        frame["clock_ms"] = heartbeat.clock_ms
        for field in _SPARSE_FIELDS:
            value = getattr(heartbeat, field)
            if value != getattr(previous, field):
                frame[field] = value
        amounts = _changed_amounts(previous.headroom, heartbeat.headroom)
        if amounts is not None and frame.pop("headroom", None) is not None:
            frame[_AMOUNTS] = amounts
        return _dump(frame)


class SparseDecoder:
    """Decode the frames of one connection, including sparse heartbeats."""

    def __init__(self) -> None:
        self.last_received: model.Heartbeat | None = None

    def decode(
        self, data: bytes
    ) -> Result[model.Frame | UnknownType, result_codes.Refusal]:
        """Return the validated message, with sparse heartbeats completed."""
        loaded = _load(data)
        if isinstance(loaded, result_codes.Refusal):
            return Failure(loaded)
        if loaded.get("type") != _SPARSE_TYPE:
            result = _validate(loaded)
            match result:
                case Success(model.Frame(model.Heartbeat() as full)):
                    self.last_received = full
            return result
        previous = self.last_received
        if previous is None:
            return _invalid("sparse heartbeat before a full one")
        if "clock_ms" not in loaded:
            return _invalid("sparse heartbeat without clock_ms")
        changed = {
            field: value
            for field, value in loaded.items()
            if field in _FIELDS["Heartbeat"]
        }
        # Only the changed fields are validated, since those of the previous
        # heartbeat are valid. Validation is most of the cost of decoding in
        # a large fleet.
        try:
            heartbeat = previous._replace(
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
            return _invalid(_describe_error(_SPARSE_TYPE, error))
        except IndexError:
            return _invalid(
                "amounts refer to a headroom item that does not exist"
            )
        heartbeat = heartbeat._replace(headroom=tuple(headroom))
        self.last_received = heartbeat
        return Success(model.Frame(heartbeat))


_HEARTBEAT_FIELDS: dict[str, pydantic.TypeAdapter[Any]] = {
    field: pydantic.TypeAdapter(annotation)
    for field, annotation in typing.get_type_hints(
        model.Heartbeat, include_extras=True
    ).items()
}


def _changed_amounts(
    previous: tuple[model.RegionHeadroom, ...],
    headroom: tuple[model.RegionHeadroom, ...],
) -> tuple[_Amount, ...] | None:
    """Return the changed amounts, or None if the items differ."""
    if len(previous) != len(headroom):
        return None
    amounts = []
    for index, (old, new) in enumerate(zip(previous, headroom, strict=True)):
        if (old.region, old.service) != (new.region, new.service):
            return None
        if old != new:
            amounts.append(_Amount(index, new.free, new.held))
    return tuple(amounts)


def _dump(frame: dict[str, Any]) -> bytes:
    data = cbor2.dumps(frame, default=_encode_extension)
    if len(data) > shared_const.MAX_PEER_MESSAGE_BYTES:
        raise ValueError(
            f"{frame['type']} message has {len(data)} bytes; at most "
            f"{shared_const.MAX_PEER_MESSAGE_BYTES} are allowed"
        )
    return data


def _encode_extension(encoder: cbor2.CBOREncoder, value: Any) -> None:
    if isinstance(value, enum.Enum):
        encoder.encode(value.value)
    elif isinstance(value, tuple):
        encoder.encode(list(value))
    else:
        raise TypeError(
            f"cannot encode a value of type {type(value).__name__}"
        )


def _load(data: bytes) -> dict[str, Any] | result_codes.Refusal:
    if len(data) > shared_const.MAX_PEER_MESSAGE_BYTES:
        return result_codes.Refusal(
            result_codes.ResultCode.PEER_MESSAGE_TOO_LARGE,
            f"message has {len(data)} bytes",
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
        return _refusal(f"invalid CBOR: {type(error).__name__}")
    if not isinstance(loaded, dict):
        return _refusal("message is not a map")
    return loaded


def _validate(
    loaded: dict[str, Any],
) -> Result[model.Frame | UnknownType, result_codes.Refusal]:
    name = loaded.get("type")
    if not isinstance(name, str):
        return _invalid("message has no type")
    adapter = _ADAPTERS.get(name)
    if adapter is None:
        return Success(UnknownType(name[:64]))
    fields = _FIELDS[name]
    values = _OMITTED_DEFAULTS.get(name, {}) | {
        field: value for field, value in loaded.items() if field in fields
    }
    try:
        return Success(
            model.Frame(
                message=adapter.validate_python(values),
                message_id=_ID_ADAPTER.validate_python(loaded.get("id")),
                reply_to=_ID_ADAPTER.validate_python(loaded.get("reply_to")),
            )
        )
    except pydantic.ValidationError as error:
        return _invalid(_describe_error(name, error))


def _describe_error(name: str, error: pydantic.ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    location = ".".join(str(part) for part in first["loc"])
    return f"{name} {location}: {first['msg']}"[:200]


def _invalid(detail: str) -> Result[Any, result_codes.Refusal]:
    return Failure(_refusal(detail))


def _refusal(detail: str) -> result_codes.Refusal:
    return result_codes.Refusal(
        result_codes.ResultCode.PEER_MESSAGE_INVALID, detail
    )
