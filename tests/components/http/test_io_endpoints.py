"""Test the listeners of requests that have no bodies."""

import asyncio
import contextlib
import tracemalloc

import pytest
from tornado import httpserver
from tornado import web

from samphirelug.components.http import io_endpoints
from samphirelug.components.http import request_parser

SENT_BYTES = 4_000_000
MAX_HELD_BYTES = 1_000_000
POST = b"POST /probe HTTP/1.1\r\nHost: x\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
TIMEOUT_S = 30
# Time in which a listener without a limit collects what was sent.
WAIT_S = 0.5


class ProbeHandler(web.RequestHandler):
    """Answer probes."""

    def get(self) -> None:
        """Answer that the probe was received."""
        self.finish("ok")


async def send(port: int, beginning: bytes, block: bytes) -> None:
    """Send blocks until the listener closes the connection, or wait a bit."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    with contextlib.suppress(OSError):
        writer.write(beginning)
        for _ in range(SENT_BYTES // len(block)):
            writer.write(block)
            await writer.drain()
    with contextlib.suppress(OSError, TimeoutError):
        await asyncio.wait_for(reader.read(), WAIT_S)
    writer.close()


async def probe(port: int) -> bytes:
    """Return the status line of the answer to a probe."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /probe HTTP/1.1\r\nHost: x\r\n\r\n")
    status_line = await reader.readline()
    writer.close()
    return status_line


@pytest.mark.parametrize(
    ("beginning", "block"),
    [
        pytest.param(
            POST + b"Content-Length: 90000000\r\n\r\n",
            bytes(65536),
            id="with-length",
        ),
        pytest.param(CHUNKED, b"1\r\na\r\n" * 10_000, id="small-chunks"),
        pytest.param(
            CHUNKED, b"10000\r\n" + bytes(65536) + b"\r\n", id="long-chunks"
        ),
        pytest.param(
            b"GET /probe HTTP/1.1\r\nX-A: ", b"a" * 65536, id="header"
        ),
    ],
)
def test_bodies_without_use_are_not_collected(
    beginning: bytes, block: bytes
) -> None:
    """Guard against a host that dies of long bodies sent to its directory."""

    async def main() -> int:
        application = web.Application([("/probe", ProbeHandler)])
        server = io_endpoints.listen(application, host="127.0.0.1", port=0)
        port = _port(server)
        # The first exchange imports modules, and compiles them in a checkout
        # that has not run before.
        await probe(port)
        before, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        await asyncio.gather(*(send(port, beginning, block) for _ in range(3)))
        _, peak = tracemalloc.get_traced_memory()
        assert await probe(port) == b"HTTP/1.1 200 OK\r\n"
        server.stop()
        return peak - before

    tracemalloc.start()
    try:
        held_bytes = asyncio.run(asyncio.wait_for(main(), TIMEOUT_S))
    finally:
        tracemalloc.stop()
    assert held_bytes < MAX_HELD_BYTES


@pytest.mark.parametrize(
    ("method", "target", "status"),
    [
        ("GET", "/probe?Zone=a&Zone=b", 200),
        ("HEAD", "/probe?Zone=b", 200),
        ("GET", "/probe", 500),
        ("POST", "/probe?Zone=b", 405),
        ("GET", "/other", 404),
    ],
)
def test_endpoint_answers_only_reads_of_its_path(
    method: str, target: str, status: int
) -> None:
    """Guard against answers that another path or a write would get."""
    handler = io_endpoints.EndpointHandler(
        path="/probe",
        answer=lambda query: io_endpoints.render(
            200, body=query["Zone"].encode()
        ),
    )
    message = request_parser.CallerMessage(method, target, (), b"", 0.0)
    response = asyncio.run(handler.handle(message))
    assert response.status == status
    assert (response.body == b"b") is (status == 200)


def _port(server: httpserver.HTTPServer) -> int:
    (listening,) = server._sockets.values()
    port: int = listening.getsockname()[1]
    return port
