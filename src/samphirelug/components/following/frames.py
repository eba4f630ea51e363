"""Encode and decode the frames between a host and its followers as CBOR.

A frame is an array of the frame's number in FRAMES and its fields. A large
one is compressed, and is then an array of COMPRESSED and the bytes.
"""

from collections.abc import Mapping
from typing import Annotated
from typing import Any
from typing import NamedTuple
import zlib

import cbor2
import pydantic

from samphirelug.components.following import const
from samphirelug.components.store import feed
from samphirelug.components.store import model
from samphirelug.components.store import view as store_view

_Count = Annotated[int, pydantic.Field(ge=0, strict=True)]
_Name = Annotated[str, pydantic.Field(max_length=1024, strict=True)]
# A frame holds the index of the kind, so the order must not change.
KINDS = (
    feed.ObjectKind.CONFIGURATION,
    feed.ObjectKind.BACKEND_SERVERS,
    feed.ObjectKind.EVACUATIONS,
    feed.ObjectKind.ENTRY_HOSTS,
)
# Number of a compressed frame.
COMPRESSED = -1
# Smaller frames gain too little for the time that it takes.
MIN_COMPRESSED_BYTES = 2048
COMPRESSION_LEVEL = 1


class Hello(NamedTuple):
    """Begin to follow a host; sent once, by the follower."""

    version: _Count
    name: _Name
    # Revisions that the follower knows, in the order of KINDS.
    revisions: Annotated[
        list[_Count],
        pydantic.Field(min_length=len(KINDS), max_length=len(KINDS)),
    ]


class FrameObject(NamedTuple):
    """Hold a stored object."""

    key: _Name
    revision: _Count
    value: Mapping[str, Any]


class Update(NamedTuple):
    """Bring the follower's view of a kind to a revision."""

    kind: Annotated[int, pydantic.Field(ge=0, lt=len(KINDS), strict=True)]
    after: _Count
    revision: _Count
    is_complete: Annotated[bool, pydantic.Field(strict=True)]
    objects: list[FrameObject]
    removed: list[_Name]
    # Time for which removed objects may still be written again.
    grace_ms: _Count


class Beat(NamedTuple):
    """Tell a follower how old the sender's view is."""

    # Time since the store is known to have confirmed the view; None if it
    # is not known at all.
    age_ms: _Count | None
    # Hash of the name of the host to which the store confirmed it, 0 if none.
    # That host learns from it that the sender knows no more than itself.
    reader_id: _Count


class ServerLeaving(NamedTuple):
    """Tell that a backend server announced its leaving in an answer."""

    instance_id: _Name
    started_unix_ms: _Count


class HostsAbsent(NamedTuple):
    """Tell a follower at its start which hosts do not run."""

    names: list[_Name]


Frame = Hello | Update | Beat | ServerLeaving | HostsAbsent
FRAMES: tuple[type[Any], ...] = (
    Hello,
    Update,
    Beat,
    ServerLeaving,
    HostsAbsent,
)
_ADAPTERS: tuple[pydantic.TypeAdapter[Any], ...] = tuple(
    pydantic.TypeAdapter(frame) for frame in FRAMES
)


def encode(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    data = cbor2.dumps([FRAMES.index(type(frame)), *frame])
    if len(data) < MIN_COMPRESSED_BYTES:
        return data
    return cbor2.dumps([COMPRESSED, zlib.compress(data, COMPRESSION_LEVEL)])


def decode(data: bytes, *, max_bytes: int = const.MAX_FRAME_BYTES) -> Frame:
    """Return the frame; raise ValueError if it is malformed or unknown.

    The limit holds for the frame before and after decompression.
    """
    fields = _load(data, max_bytes=max_bytes)
    if fields[0] == COMPRESSED:
        data = _decompress(fields[1:], max_bytes=max_bytes)
        fields = _load(data, max_bytes=max_bytes)
    number, *values = fields
    if type(number) is not int or not 0 <= number < len(FRAMES):
        raise ValueError("unknown frame")
    frame: Frame = _ADAPTERS[number].validate_python(values)
    return frame


def _load(data: bytes, *, max_bytes: int) -> list[Any]:
    if len(data) > max_bytes:
        raise ValueError(f"{len(data)} bytes")
    try:
        fields = cbor2.loads(data)
    except Exception as error:
        # The decoder raises errors of many types, such as RecursionError.
        raise ValueError(f"no CBOR: {error}") from error
    if not isinstance(fields, list) or not fields:
        raise ValueError("not a list")
    return fields


def _decompress(fields: list[Any], *, max_bytes: int) -> bytes:
    """Return the bytes of a compressed frame."""
    if len(fields) != 1 or not isinstance(fields[0], bytes):
        raise ValueError("not the bytes of a compressed frame")
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(fields[0], max_bytes)
    except zlib.error as error:
        raise ValueError(f"not compressed: {error}") from error
    if not decompressor.eof or decompressor.unused_data:
        raise ValueError("a compressed frame is too large or cut short")
    return data


def make_update(
    kind: feed.ObjectKind, delta: store_view.Delta, *, grace_s: float
) -> Update:
    """Return the frame of a set of changes."""
    return Update(
        kind=KINDS.index(kind),
        after=delta.after,
        revision=delta.revision,
        is_complete=delta.is_complete,
        objects=[
            FrameObject(*event)
            for event in delta.events
            if isinstance(event, model.StoredObject)
        ],
        removed=[
            event.name
            for event in delta.events
            if isinstance(event, feed.Removal)
        ],
        grace_ms=round(grace_s * 1000),
    )


def apply_update(update: Update, view: store_view.ObjectView) -> bool:
    """Apply an update; return False if changes before it are missing."""
    grace_s = update.grace_ms / 1000
    objects = tuple(model.StoredObject(*stored) for stored in update.objects)
    if update.is_complete:
        if update.revision > view.revision:
            view.replace_all(
                model.Listing(update.revision, objects), grace_s=grace_s
            )
        return True
    # An object appears once in an update, so that the order does not matter.
    return view.apply(
        (*objects, *map(feed.Removal, update.removed)),
        after=update.after,
        revision=update.revision,
        grace_s=grace_s,
    )
