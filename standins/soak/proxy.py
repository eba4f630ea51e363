"""Forward TCP connections on loopback, and delay, stall or reset them."""

import asyncio
import contextlib
import socket
import struct


class FaultyProxy:
    """Forward connections to one target address and inject faults."""

    def __init__(self, *, target: tuple[str, int]) -> None:
        self.target = target
        self.port = 0
        # Time by which each block of bytes is delayed.
        self.delay_s = 0.0
        # Bytes of a direction are held back while its event is not set; "up"
        # is from the client to the target.
        self.flowing = {"up": asyncio.Event(), "down": asyncio.Event()}
        for event in self.flowing.values():
            event.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._accept, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset_connections(self) -> None:
        """Close the open connections with a TCP reset."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack("ii", 1, 0),
                )
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        try:
            await asyncio.gather(
                self._forward("up", reader, up_writer),
                self._forward("down", up_reader, writer),
            )
        finally:
            for each in (writer, up_writer):
                self.writers.discard(each)
                each.close()

    async def _forward(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self.flowing[direction].wait()
                writer.write(data)
                await writer.drain()
        writer.close()
