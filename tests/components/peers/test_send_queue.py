"""Test the limits of the send queue of a peer."""

from samphirelug.components.peers import const
from samphirelug.components.peers import send_queue
from standins import builders
from tests.components.peers import test_io_mesh

HEARTBEAT = test_io_mesh.make_heartbeat(builders.make_host())


def test_heartbeats_are_dropped_before_frames() -> None:
    """Guard against replies displaced by outdated heartbeats."""
    queue = send_queue.SendQueue()
    queue.put(b"reply")
    for clock_ms in range(10_000):
        queue.put_heartbeat(HEARTBEAT._replace(clock_ms=clock_ms))
    assert queue.dropped_heartbeats == 9_999
    assert queue.take() == HEARTBEAT._replace(clock_ms=9_999)
    assert queue.take() == b"reply"
    assert queue.take() is None
    assert queue.dropped_frames == 0


def test_frames_are_bounded_in_number_and_bytes() -> None:
    """Guard against unbounded memory use for a stalled peer."""
    queue = send_queue.SendQueue()
    for number in range(const.SEND_QUEUE_MESSAGES + 3):
        queue.put(b"%d" % number)
    assert len(queue.frames) == const.SEND_QUEUE_MESSAGES
    assert queue.take() == b"3"
    for _ in range(8):
        queue.put(b"x" * (const.SEND_QUEUE_BYTES // 4))
    assert len(queue.frames) == 4
    assert queue.bytes == sum(map(len, queue.frames))
    assert queue.bytes <= const.SEND_QUEUE_BYTES
