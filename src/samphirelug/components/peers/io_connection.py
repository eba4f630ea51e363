"""Hold an authenticated connection to a peer and what waits on it."""

import asyncio

from websockets.asyncio import connection as ws_connection

from samphirelug.components.peers import codec
from samphirelug.components.peers import model
from samphirelug.components.peers import send_queue
from samphirelug import core


class PeerConnection:
    """Hold one authenticated connection and its queue."""

    def __init__(
        self,
        *,
        websocket: ws_connection.Connection,
        host: core.EntryHost,
        dialled: bool,
        now: float,
    ) -> None:
        self.websocket = websocket
        self.host = host
        self.dialled = dialled
        self.queue = send_queue.SendQueue()
        self.wake = asyncio.Event()
        self.encoder = codec.SparseEncoder()
        self.decoder = codec.SparseDecoder()
        self.received_at_s = now

    def put(self, frame: bytes) -> None:
        """Queue a frame without waiting."""
        self.queue.put(frame)
        self.wake.set()

    def put_heartbeat(self, heartbeat: model.Heartbeat) -> None:
        """Queue a heartbeat without waiting."""
        self.queue.put_heartbeat(heartbeat)
        self.wake.set()

    async def write(self) -> None:
        """Send what is queued until the connection closes."""
        while True:
            item = self.queue.take()
            if item is None:
                self.wake.clear()
                await self.wake.wait()
                continue
            if isinstance(item, model.Heartbeat):
                item = self.encoder.encode(item)
            await self.websocket.send(item)


class PendingRequest:
    """Hold the future of a request and the peer that was asked."""

    def __init__(
        self, *, host: str, future: "asyncio.Future[model.Message | None]"
    ) -> None:
        self.host = host
        self.future = future

    def finish(self, message: model.Message | None) -> None:
        """Set the reply, or None where none will come."""
        if not self.future.done():
            self.future.set_result(message)
