"""Test what a connection of a caller holds once it is idle."""

import asyncio
import gc
import tracemalloc

from samphirelug.components.http import io_pipeline
from samphirelug.components.http import model
from samphirelug.components.http import request_parser
from samphirelug.helpers import timer as timer_helper
from standins import forwarding as build
from tests.components.http import handlers

BODY_BYTES = 1_000_000
CONNECTIONS = 5
LIMITS = build.LIMITS._replace(max_body_bytes=BODY_BYTES)


class EchoHandler(handlers.SequentialHandler):
    """Answer each request with as many bytes as its body has."""

    async def handle(
        self, message: request_parser.CallerMessage
    ) -> model.Response:
        """Return a body of the same length."""
        return model.Response(200, "OK", (), bytes(len(message.body)))


async def exchange(port: int) -> asyncio.StreamWriter:
    """Send a long body, read the answer and leave the connection open."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"POST / HTTP/1.1\r\nHost: x\r\n")
    writer.write(b"Content-Length: %d\r\n\r\n" % BODY_BYTES)
    writer.write(bytes(BODY_BYTES))
    await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(BODY_BYTES)
    return writer


def test_idle_connections_keep_no_request_and_no_response() -> None:
    """Guard against a host that dies of kept connections that do nothing."""

    async def main() -> int:
        listener = io_pipeline.CallerListener(
            handler=EchoHandler(),
            limits=lambda: LIMITS,
            timer=timer_helper.LoopTimerService(),
            memory=build.memory(),
            answer_memory=build.memory(),
            max_connections=build.MAX_CONNECTIONS,
        )
        listener.start_listening(host="127.0.0.1", port=0)
        before, _ = tracemalloc.get_traced_memory()
        writers = [await exchange(listener.port) for _ in range(CONNECTIONS)]
        await asyncio.sleep(0.05)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        assert len(listener.connections) == CONNECTIONS
        for writer in writers:
            writer.close()
        listener.stop()
        return after - before

    tracemalloc.start()
    try:
        held_bytes = asyncio.run(asyncio.wait_for(main(), 30))
    finally:
        tracemalloc.stop()
    assert held_bytes < BODY_BYTES
