"""Define connections to peers and requests that await a reply."""

import asyncio

from websockets.asyncio import connection as ws_connection

from samphirelug.components.peers import codec
from samphirelug.components.peers import model
from samphirelug.components.peers import send_queue
from samphirelug import core


class PeerConnection:
    """Represent an authenticated connection with its send queue."""

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
        self.data_queued = asyncio.Event()
        self.encoder = codec.SparseEncoder()
        self.decoder = codec.SparseDecoder()
        self.received_at_s = now

    def put(self, frame: bytes) -> None:
        """Queue a frame for sending."""
        self.queue.put(frame)
        self.data_queued.set()

    def put_heartbeat(self, heartbeat: model.Heartbeat) -> None:
        """Queue a heartbeat for sending; replaces one still queued."""
        self.queue.put_heartbeat(heartbeat)
        self.data_queued.set()

    async def send_queued(self) -> None:
        """Send queued frames and heartbeats until the connection closes."""
        while True:
            item = self.queue.take()
            if item is None:
                self.data_queued.clear()
                await self.data_queued.wait()
                continue
            if isinstance(item, model.Heartbeat):
                item = self.encoder.encode(item)
            await self.websocket.send(item)


class PendingRequest:
    """Represent a request to a peer whose reply is outstanding."""

    def __init__(
        self, *, host: str, future: "asyncio.Future[model.Message | None]"
    ) -> None:
        self.host = host
        self.future = future

    def resolve(self, message: model.Message | None) -> None:
        """Set the reply, or None if there will be none."""
        if not self.future.done():
            self.future.set_result(message)
