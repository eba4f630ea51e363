"""Define the bounded send queue of one peer; no input or output."""

from collections import deque

from samphirelug.components.peers import const
from samphirelug.components.peers import model


class SendQueue:
    """Queue encoded frames and the latest heartbeat for one peer.

    A heartbeat replaces earlier ones, so only the latest is kept, separate
    from the frames. It is encoded when it is sent, since a sparse heartbeat
    is relative to the previous one. A full queue drops its oldest frames:
    lost requests time out and sightings are repeated in heartbeats.
    """

    def __init__(self) -> None:
        self.frames: deque[bytes] = deque()
        self.heartbeat: model.Heartbeat | None = None
        self.bytes = 0
        self.dropped_frames = 0
        self.dropped_heartbeats = 0

    def put(self, frame: bytes) -> None:
        """Add a frame; drop the oldest ones if the queue is full."""
        self.frames.append(frame)
        self.bytes += len(frame)
        while (
            len(self.frames) > const.SEND_QUEUE_MESSAGES
            or self.bytes > const.SEND_QUEUE_BYTES
        ):
            self.bytes -= len(self.frames.popleft())
            self.dropped_frames += 1

    def put_heartbeat(self, heartbeat: model.Heartbeat) -> None:
        """Set the next heartbeat; replaces one that was not sent yet."""
        if self.heartbeat is not None:
            self.dropped_heartbeats += 1
        self.heartbeat = heartbeat

    def take(self) -> bytes | model.Heartbeat | None:
        """Return the next item to send; a heartbeat comes first."""
        if self.heartbeat is not None:
            heartbeat, self.heartbeat = self.heartbeat, None
            return heartbeat
        if not self.frames:
            return None
        frame = self.frames.popleft()
        self.bytes -= len(frame)
        return frame
