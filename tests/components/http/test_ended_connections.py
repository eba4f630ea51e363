"""Test that nothing of a caller's connection is counted after its end."""

import asyncio
import contextlib
import socket
import struct

import pytest

from samphirelug.components.http import const
from samphirelug.components.http import io_pipeline
from samphirelug.components.http import model
from samphirelug.components.http import request_parser
from samphirelug.helpers import timer as timer_helper
from standins import forwarding as build
from tests.components.http import handlers
from tests.components.http import polling

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class GatedHandler(handlers.SequentialHandler):
    """Answer with a body of a size once the gate is open."""

    def __init__(self, *, body_bytes: int) -> None:
        self.gate = asyncio.Event()
        self.body = bytes(body_bytes)
        self.started = 0

    async def handle(
        self, message: request_parser.CallerMessage
    ) -> model.Response:
        """Wait for the gate and answer."""
        del message
        self.started += 1
        await self.gate.wait()
        return model.Response(200, "OK", (), self.body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close with a TCP reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def end(writer: asyncio.StreamWriter, how: str) -> None:
    """End a connection from the caller's side."""
    if how == "reset":
        reset(writer)
    elif how == "half":
        writer.write_eof()
    else:
        writer.close()


@pytest.mark.parametrize("how", ["reset", "orderly", "half"])
@pytest.mark.parametrize("body_bytes", [2, 1_000_000])
@pytest.mark.parametrize("count", [1, 8, 2 * const.MAX_PIPELINED])
@pytest.mark.parametrize("is_answered_first", [False, True])
def test_connection_is_not_counted_after_its_end(
    how: str, body_bytes: int, count: int, is_answered_first: bool
) -> None:
    """Guard against callers that are shut out until the host ends.

    A caller that sent ahead as much as a connection takes, and left while a
    response was being written, kept a place of its address for good.
    """

    async def main() -> None:
        handler = GatedHandler(body_bytes=body_bytes)
        memory, answer_memory = build.memory(), build.memory()
        listener = io_pipeline.CallerListener(
            handler=handler,
            limits=lambda: build.LIMITS,
            timer=timer_helper.LoopTimerService(),
            memory=memory,
            answer_memory=answer_memory,
            max_connections=build.MAX_CONNECTIONS,
        )
        listener.start_listening(host="127.0.0.1", port=0)
        _, writer = await asyncio.open_connection("127.0.0.1", listener.port)
        writer.write(count * REQUEST)
        await polling.wait_until(lambda: bool(handler.started))
        if is_answered_first:
            handler.gate.set()
            await asyncio.sleep(0.05)
        end(writer, how)
        await asyncio.sleep(0.05)
        handler.gate.set()
        if how == "half":
            with contextlib.suppress(OSError):
                await asyncio.sleep(0.05)
                reset(writer)
        await polling.wait_until(lambda: not listener.connections)
        await polling.wait_until(lambda: not listener.detached_tasks)
        assert listener.account.total_bytes == 0
        assert memory.total_bytes == 0
        assert answer_memory.total_bytes == 0
        listener.stop()

    asyncio.run(asyncio.wait_for(main(), 30))
