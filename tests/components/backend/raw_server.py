"""Serve connections on a loopback port with scripted bytes."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
import struct

from samphirelug.components.backend import model
from samphirelug import core

Script = Callable[["RawConnection"], Awaitable[None]]


class RawConnection:
    """Hold one accepted connection and what was received and sent."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.head = b""
        self.sent_bytes = 0
        self.head_read = asyncio.Event()

    async def read_head(self) -> None:
        """Read the request's header block."""
        self.head = await self.reader.readuntil(b"\r\n\r\n")
        self.head_read.set()

    async def write(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(data)
        await self.writer.drain()
        self.sent_bytes += len(data)

    async def wait_closed_by_peer(self) -> None:
        """Wait until the client has closed the connection."""
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(65536):
                pass

    def reset(self) -> None:
        """Close with a TCP reset."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.writer.transport.abort()


class RawServer:
    """Run a script for each connection and record the connections."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.connections: list[RawConnection] = []
        self.accepted = asyncio.Event()
        self.ended = asyncio.Event()
        self.port = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Run the script on a connection, then close it."""
        connection = RawConnection(reader, writer)
        self.connections.append(connection)
        self.accepted.set()
        try:
            with contextlib.suppress(ConnectionError):
                await self.script(connection)
        finally:
            writer.close()
            self.ended.set()

    def backend_server(self) -> core.BackendServer:
        """Return the backend server that listens on this port."""
        return make_server(self.port)


def make_server(port: int) -> core.BackendServer:
    """Return a backend server at a loopback port."""
    zone = core.AvailabilityZone("tallinn-a", "tallinn")
    return core.BackendServer(
        "filing-1", "filing", zone, f"127.0.0.1:{port}", 3, 360
    )


def make_request(
    server: core.BackendServer,
    *,
    deadline_at_s: float,
    method: str = "POST",
    body: bytes = b"claim",
    headers: tuple[tuple[str, str], ...] = (),
) -> model.BackendRequest:
    """Return a request that limits the answer to 1000 bytes."""
    return model.BackendRequest(
        request_id="r1",
        server=server,
        method=method,
        target="/claims?x=1",
        headers=headers,
        body=body,
        deadline_at_s=deadline_at_s,
        max_answer_bytes=1000,
    )


@contextlib.asynccontextmanager
async def running(script: Script) -> AsyncIterator[RawServer]:
    """Run a raw server during a with block."""
    server = RawServer(script)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    server.port = listener.sockets[0].getsockname()[1]
    try:
        yield server
    finally:
        listener.close()


def scripted(answer: bytes, *, reset: bool = False) -> Script:
    """Return a script that reads the head, answers and closes."""

    async def script(connection: RawConnection) -> None:
        await connection.read_head()
        await connection.write(answer)
        if reset:
            connection.reset()

    return script
