"""Test callers that send bytes without end."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest

from samphirelug.components.http import io_pipeline
from samphirelug.components.http import model
from samphirelug.components.http import request_parser
from samphirelug.helpers import timer as timer_helper
from standins import forwarding as build
from tests.components.http import handlers

REQUEST_LINE = b"POST /x HTTP/1.1\r\nHost: x\r\n"
CHUNKED = REQUEST_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK_BYTES = 65536
FILLER = b"a" * BLOCK_BYTES
# A caller is cut off well before it has sent for this long.
MAX_SENDING_S = 10.0
TICK_S = 0.01
# Longest processor time for which one caller may hold up the others.
MAX_TICK_GAP_S = 0.5


class UnusedHandler(handlers.SequentialHandler):
    """Reject the handling of requests, none of which is complete."""

    async def handle(
        self, message: request_parser.CallerMessage
    ) -> model.Response:
        """Raise an error, since no request is complete."""
        raise NotImplementedError


class EndlessCaller:
    """Send a beginning and then blocks until the connection is closed."""

    def __init__(self, *, port: int, beginning: bytes, block: bytes) -> None:
        self.port = port
        self.beginning = beginning
        self.block = block
        self.sent_s: float | None = None
        self.received = b""
        self.thread = threading.Thread(target=self._send, daemon=True)
        self.thread.start()

    def _send(self) -> None:
        started_at_s = time.monotonic()
        with socket.create_connection(("127.0.0.1", self.port)) as connection:
            connection.settimeout(MAX_SENDING_S)
            with contextlib.suppress(OSError):
                connection.sendall(self.beginning)
                while time.monotonic() < started_at_s + MAX_SENDING_S:
                    connection.sendall(self.block)
            with contextlib.suppress(OSError):
                self.received = connection.recv(BLOCK_BYTES)
        self.sent_s = time.monotonic() - started_at_s


async def serve_endless_caller(
    *, beginning: bytes, block: bytes
) -> tuple[EndlessCaller, float]:
    """Return the caller and how long it held up the event loop at most."""
    timer = timer_helper.LoopTimerService()
    listener = io_pipeline.CallerListener(
        handler=UnusedHandler(),
        limits=lambda: build.LIMITS,
        timer=timer,
        memory=build.memory(),
        answer_memory=build.memory(),
        max_connections=build.MAX_CONNECTIONS,
    )
    listener.start_listening(host="127.0.0.1", port=0)
    caller = EndlessCaller(
        port=listener.port, beginning=beginning, block=block
    )
    gaps_s = []
    while caller.thread.is_alive():
        ticked_at_s = time.thread_time()
        await asyncio.sleep(TICK_S)
        gaps_s.append(time.thread_time() - ticked_at_s)
    listener.stop()
    return caller, max(gaps_s)


@pytest.mark.parametrize(
    ("beginning", "block"),
    [
        pytest.param(b"GET /", FILLER, id="target"),
        pytest.param(REQUEST_LINE + b"X-A: ", FILLER, id="header-value"),
        pytest.param(REQUEST_LINE, b"X-A: b\r\n" * 8192, id="header-fields"),
        pytest.param(CHUNKED + b"1;", FILLER, id="chunk-extension"),
        pytest.param(CHUNKED + b"0\r\nX-A: ", FILLER, id="trailer"),
        pytest.param(
            CHUNKED, b"10000\r\n" + FILLER + b"\r\n", id="chunked-body"
        ),
        pytest.param(
            REQUEST_LINE + b"Content-Length: 99999999999\r\n\r\n",
            FILLER,
            id="body-with-length",
        ),
        pytest.param(b"", FILLER, id="no-request"),
    ],
)
def test_endless_request_neither_blocks_other_callers_nor_goes_on(
    beginning: bytes, block: bytes
) -> None:
    """Guard against one caller that stops a whole entry host."""
    caller, max_gap_s = asyncio.run(
        asyncio.wait_for(
            serve_endless_caller(beginning=beginning, block=block), 30
        )
    )
    assert caller.sent_s is not None
    assert caller.sent_s < MAX_SENDING_S
    assert max_gap_s < MAX_TICK_GAP_S
