"""Test the frames between a host and its followers."""

from collections.abc import Sequence
import zlib

import cbor2
import pytest

from samphirelug.components.following import const
from samphirelug.components.following import frames
from samphirelug.components.store import feed
from samphirelug.components.store import model
from samphirelug.components.store import view as store_view


class IgnoringConsumer(store_view.ObjectConsumer):
    """Ignore all objects."""

    def begin_era(self) -> None:
        """Record nothing."""

    def replace_all(
        self, objects: Sequence[model.StoredObject], *, grace_s: float
    ) -> None:
        """Ignore the objects."""

    def upsert(self, stored: model.StoredObject) -> None:
        """Ignore the object."""

    def remove(self, name: str, *, grace_s: float) -> None:
        """Ignore the removal."""


def make_view() -> store_view.ObjectView:
    """Return an empty view of the configuration."""
    return store_view.ObjectView(
        kind=feed.ObjectKind.CONFIGURATION, consumer=IgnoringConsumer()
    )


VALUE = {"Version": "0000000c", "Rules": [{"Weight": 0.5}], "None": None}
FRAMES: list[frames.Frame] = [
    frames.Hello(const.PROTOCOL_VERSION, "h1", [0, 5, 7, 2**40]),
    frames.Update(
        0, 3, 9, False, [frames.FrameObject("main", 9, VALUE)], ["x"], 2300
    ),
    frames.Beat(None, 0),
    frames.Beat(1200, 0xFFFFFFFF),
    frames.ServerLeaving("i-1", 1786327788275),
    frames.HostsAbsent(["h2", "h3"]),
]


def test_large_frame_is_compressed() -> None:
    """Guard against slow links that a grown configuration fills."""
    rules = [{"Name": f"r-{number}", **VALUE} for number in range(1400)]
    value = {"Rules": rules}
    frame = frames.Update(
        0, 3, 9, False, [frames.FrameObject("main", 9, value)], [], 0
    )
    data = frames.encode(frame)
    assert len(data) < len(cbor2.dumps(value)) / 5
    assert frames.decode(data) == frame


@pytest.mark.parametrize("frame", FRAMES)
def test_frame_is_the_same_after_its_way(frame: frames.Frame) -> None:
    """Guard against fields that are lost or swapped on the way."""
    assert frames.decode(frames.encode(frame)) == frame


def test_state_of_a_view_arrives_whole() -> None:
    """Guard against followers that know less than their source."""
    view = make_view()
    objects = tuple(
        model.StoredObject(name, number, VALUE)
        for number, name in enumerate("abc")
    )
    view.replace_all(model.Listing(5, objects), grace_s=0.0)
    view.apply((feed.Removal("b"),), after=5, revision=7, grace_s=0.0)
    for known in (0, 5):
        follower = make_view()
        if known:
            follower.replace_all(model.Listing(5, objects), grace_s=0.0)
        update = frames.make_update(view.kind, view.since(known), grace_s=0.0)
        received = frames.decode(frames.encode(update))
        assert isinstance(received, frames.Update)
        assert frames.apply_update(received, follower)
        assert follower.objects == view.objects
        assert follower.revision == 7


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        cbor2.dumps([]),
        cbor2.dumps({}),
        cbor2.dumps([99]),
        cbor2.dumps([-1, 1]),
        cbor2.dumps([True, 1]),
        cbor2.dumps([0, 1, "h1", [1, 2, 3]]),
        cbor2.dumps([0, 1, "h1", [1, 2, 3, -4]]),
        cbor2.dumps([0, 1, 7, [1, 2, 3, 4]]),
        cbor2.dumps([1, 9, 0, 1, False, [], [], 0]),
        cbor2.dumps([1, 0, 0, 1, False, [["k", 1, "text"]], [], 0]),
        cbor2.dumps([1, 0, 0, 1, False, [["k", 1]], [], 0]),
        cbor2.dumps([1, 0, 0, 1, False, [], [7], 0]),
        cbor2.dumps([1, 0, 0, 1, False, [], [], -5]),
        cbor2.dumps([2, "old"]),
        cbor2.dumps([2, -1]),
        cbor2.dumps([3, "i-1"]),
        cbor2.dumps([4, "h2"]),
        cbor2.dumps([-1]),
        cbor2.dumps([-1, "text"]),
        cbor2.dumps([-1, b"not compressed"]),
        cbor2.dumps([-1, zlib.compress(cbor2.dumps([2, None, 0]))[:-1]]),
        cbor2.dumps([-1, zlib.compress(cbor2.dumps([2, None, 0])) + b"x"]),
        cbor2.dumps([-1, zlib.compress(cbor2.dumps([-1, b""]))]),
        cbor2.dumps(
            [-1, zlib.compress(b"\x00" * (const.MAX_FRAME_BYTES + 1))]
        ),
        b"\x81" * 5000 + b"\x00",
        b"\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
        b"\x00" * (const.MAX_FRAME_BYTES + 1),
    ],
)
def test_malformed_frame_is_rejected(data: bytes) -> None:
    """Guard against a faulty host that changes what others know."""
    with pytest.raises(ValueError, match=r"."):
        frames.decode(data)
