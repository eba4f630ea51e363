"""Test callers' connections: order, limits, closing."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import socket

from samphirelug.components.http import io_pipeline
from samphirelug.components.http import model
from samphirelug.components.http import request_parser
from samphirelug.helpers import timer as timer_helper
from standins import forwarding as build


class DelayHandler(io_pipeline.RequestHandler):
    """Answer with the target after the delay in its last segment."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.ended: list[str] = []
        self.bodies: list[bytes] = []

    def may_run_concurrently(
        self, message: request_parser.CallerMessage
    ) -> bool:
        """Return whether the request is a GET."""
        return message.method == "GET"

    def cancel_on_disconnect(
        self, message: request_parser.CallerMessage
    ) -> bool:
        """Return whether the request is a GET."""
        return message.method == "GET"

    async def handle(
        self, message: request_parser.CallerMessage
    ) -> model.Response:
        """Wait and answer."""
        self.started.append(message.target)
        self.bodies.append(message.body)
        await asyncio.sleep(float(message.target.rpartition("/")[2]))
        self.ended.append(message.target)
        return model.Response(200, "OK", (), message.target.encode())


Script = Callable[
    [
        asyncio.StreamReader,
        asyncio.StreamWriter,
        io_pipeline.CallerListener,
        DelayHandler,
    ],
    Awaitable[None],
]


def run(script: Script, handler: DelayHandler | None = None) -> DelayHandler:
    """Run a script against a listener on loopback."""
    handler = handler or DelayHandler()

    async def main() -> None:
        listener = io_pipeline.CallerListener(
            handler=handler,
            limits=lambda: build.LIMITS,
            timer=timer_helper.LoopTimerService(),
            memory=build.memory(),
            answer_memory=build.memory(),
            max_connections=build.MAX_CONNECTIONS,
        )
        listener.start_listening(host="127.0.0.1", port=0)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listener.port
        )
        await script(reader, writer, listener, handler)
        writer.close()
        listener.stop()

    asyncio.run(asyncio.wait_for(main(), 20))
    return handler


async def read_body(reader: asyncio.StreamReader) -> bytes:
    """Read one response with a Content-Length and return its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
    return await reader.readexactly(length)


def test_pipelined_requests_run_concurrently_and_are_answered_in_order() -> (
    None
):
    """Guard against slow requests that delay or reorder later responses."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del listener
        writer.write(
            b"GET /0.2 HTTP/1.1\r\nHost: x\r\n\r\n"
            b"GET /0 HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        assert await read_body(reader) == b"/0.2"
        assert handler.ended == ["/0", "/0.2"]
        assert await read_body(reader) == b"/0"

    run(script)


def test_non_idempotent_request_waits_for_earlier_responses() -> None:
    """Guard against running a request that the caller will send again.

    A caller sends a request again if an earlier response closes the
    connection.
    """

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del listener
        writer.write(
            b"GET /0.2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            b"POST /0 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        )
        assert await read_body(reader) == b"/0.2"
        assert await reader.read() == b""
        assert handler.started == ["/0.2"]

    run(script)


def test_chunked_body_is_reassembled() -> None:
    """Guard against chunk framing in the body."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del listener
        writer.write(
            b"POST /0 HTTP/1.1\r\nHost: x\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
        )
        await asyncio.sleep(0.05)
        writer.write(b"2\r\nde\r\n0\r\n\r\n")
        await read_body(reader)
        assert handler.bodies == [b"abcde"]

    run(script)


def test_idempotent_request_is_cancelled_on_disconnect() -> None:
    """Guard against work for a caller that has disconnected."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del reader, listener
        writer.write(b"GET /0.3 HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.4)
        assert handler.started == ["/0.3"]
        assert not handler.ended

    run(script)


def test_non_idempotent_request_continues_on_disconnect() -> None:
    """Guard against interrupting a request that must not be repeated."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del reader
        writer.write(
            b"POST /0.3 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        )
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.1)
        assert listener.busy
        await asyncio.sleep(0.3)
        assert handler.ended == ["/0.3"]
        assert not listener.busy

    run(script)


def test_rejected_requests_get_their_error_status() -> None:
    """Guard against unbounded headers and bodies and ambiguous framing."""
    large_header = b"X: " + b"x" * 1100
    for sent, status in (
        (b"GET /0 HTTP/1.1\r\nHost: x\r\n" + large_header + b"\r\n\r\n", 431),
        (
            b"POST /0 HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n"
            + b"x" * 2000,
            413,
        ),
        (b"nonsense\r\n\r\n", 400),
        (
            b"POST /0 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
    ):

        async def script(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
            listener: io_pipeline.CallerListener,
            handler: DelayHandler,
            sent: bytes = sent,
            status: int = status,
        ) -> None:
            del listener
            writer.write(sent)
            line = await reader.readline()
            assert line.split()[1] == str(status).encode()
            assert not handler.started

        run(script)


def test_draining_listener_closes_after_the_last_pending_response() -> None:
    """Guard against a planned stop that drops pipelined requests."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del handler
        writer.write(
            b"GET /0.1 HTTP/1.1\r\nHost: x\r\n\r\n"
            b"GET /0.1 HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        await asyncio.sleep(0.05)
        listener.draining = True
        first = await reader.readuntil(b"\r\n\r\n")
        assert b"close" not in first.lower()
        await reader.readexactly(len(b"/0.1"))
        second = await reader.readuntil(b"\r\n\r\n")
        assert b"connection: close" in second.lower()
        assert await reader.read() == b"/0.1"

    run(script)


def test_expect_100_continue_gets_an_interim_response() -> None:
    """Guard against a delay: callers wait a second for 100 Continue."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del listener
        writer.write(
            b"POST /0 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        interim = await reader.readuntil(b"\r\n\r\n")
        assert interim.startswith(b"HTTP/1.1 100 ")
        writer.write(b"ok")
        await read_body(reader)
        assert handler.bodies == [b"ok"]

    run(script)


def test_request_behind_a_closing_response_is_not_started() -> None:
    """Guard against running a request that the caller will send again.

    The response exceeds the socket buffers, so the second request arrives
    while the closing response is still being written.
    """
    large = b"x" * (16 * 1024 * 1024)

    class LargeHandler(DelayHandler):
        """Answer with a large body."""

        async def handle(
            self, message: request_parser.CallerMessage
        ) -> model.Response:
            """Answer at once."""
            self.started.append(message.target)
            return model.Response(200, "OK", (), large)

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        listener.draining = True
        writer.write(b"POST /1 HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"Connection: close" in head
        writer.write(b"POST /2 HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.05)
        assert await reader.readexactly(len(large)) == large
        assert await reader.read() == b""
        assert handler.started == ["/1"]

    run(script, LargeHandler())


def test_request_read_while_the_connection_closes_is_not_started() -> None:
    """Guard against a request that runs after its connection was closed."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        writer.write(b"GET /0 HTTP/1.1\r\nHost: x\r\n\r\n")
        assert await read_body(reader) == b"/0"
        (connection,) = listener.connections
        feed = connection.parser.feed

        def close_and_feed(data: bytes) -> None:
            listener.close_idle()
            feed(data)

        connection.parser.feed = close_and_feed  # type: ignore[method-assign]
        await asyncio.sleep(0.05)
        writer.write(b"POST /0 HTTP/1.1\r\nHost: x\r\n\r\n")
        assert await reader.read() == b""
        assert handler.started == ["/0"]

    run(script)


def test_connections_waiting_to_be_accepted_are_served_at_a_stop() -> None:
    """Guard against callers cut off that had just connected and sent.

    The kernel accepts connections while the event loop is busy; closing the
    listening socket resets them.
    """

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del reader, writer, handler
        sockets = []
        for _ in range(20):
            sock = socket.create_connection(("127.0.0.1", listener.port))
            sock.sendall(b"GET /0 HTTP/1.1\r\nHost: x\r\n\r\n")
            sockets.append(sock)
        listener.draining = True
        listener.stop()
        for sock in sockets:
            sock.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=sock)
            assert await read_body(reader) == b"/0"
            writer.close()

    run(script)


def test_request_that_waits_in_the_socket_is_served_at_a_stop() -> None:
    """Guard against closing a connection whose request was not read yet."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del handler
        writer.write(b"GET /0 HTTP/1.1\r\nHost: x\r\n\r\n")
        assert await read_body(reader) == b"/0"
        listener.draining = True
        # The bytes arrive without a turn of the event loop.
        fileno = writer.get_extra_info("socket").fileno()
        os.write(fileno, b"GET /0 HTTP/1.1\r\nHost: x\r\n\r\n")
        listener.close_idle()
        assert await read_body(reader) == b"/0"

    run(script)


def test_connection_that_was_just_used_is_not_closed_at_once() -> None:
    """Guard against closing a connection that a request is on its way to."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del handler
        writer.write(b"GET /0 HTTP/1.1\r\nHost: x\r\n\r\n")
        assert await read_body(reader) == b"/0"
        listener.close_idle(min_idle_s=0.2)
        await asyncio.sleep(0.1)
        writer.write(b"GET /0 HTTP/1.1\r\nHost: x\r\n\r\n")
        assert await read_body(reader) == b"/0"
        await asyncio.sleep(0.3)
        listener.close_idle(min_idle_s=0.2)
        assert await reader.read() == b""

    run(script)


def test_request_behind_an_upgrade_is_served() -> None:
    """Guard against a request that is lost in the same read."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del listener, handler
        writer.write(
            b"GET /a/0 HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n"
            b"Upgrade: other\r\n\r\n"
            b"GET /b/0 HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        assert await read_body(reader) == b"/a/0"
        assert await read_body(reader) == b"/b/0"

    run(script)


class LongHandler(DelayHandler):
    """Answer with a body of several steps."""

    async def handle(
        self, message: request_parser.CallerMessage
    ) -> model.Response:
        """Answer at once."""
        await super().handle(message)
        return model.Response(200, "OK", (), bytes(LONG_BODY_BYTES))


# Above what the kernel takes from a writer whose peer reads slowly.
LONG_BODY_BYTES = 12_000_000


def test_continue_is_not_sent_within_a_response() -> None:
    """Guard against a body with foreign bytes that looks complete."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del listener, handler
        writer.write(b"GET /0 HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        # The response is being written while the next request arrives.
        writer.write(
            b"GET /0 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        await asyncio.sleep(0.2)
        body = await reader.readexactly(LONG_BODY_BYTES)
        assert body == bytes(LONG_BODY_BYTES)
        interim = await reader.readuntil(b"\r\n\r\n")
        assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"ok")
        assert await read_body(reader) == bytes(LONG_BODY_BYTES)

    run(script, LongHandler())


class EmptyHandler(DelayHandler):
    """Answer with the status in the last segment and no body."""

    async def handle(
        self, message: request_parser.CallerMessage
    ) -> model.Response:
        """Answer at once."""
        status = int(message.target.rpartition("/")[2])
        return model.Response(status, "", (("X-Kept", "1"),), b"")


def test_responses_without_a_body_state_no_length() -> None:
    """Guard against a length of 0 for a body that a caller may have."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del listener, handler
        for method, status, has_length in (
            (b"HEAD", b"200", False),
            (b"GET", b"204", False),
            (b"GET", b"304", False),
            (b"GET", b"200", True),
        ):
            writer.write(
                method + b" /" + status + b" HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"X-Kept" in head
            assert (b"Content-Length" in head) is has_length

    run(script, EmptyHandler())


def test_response_to_head_has_no_body() -> None:
    """Guard against bytes that the caller takes for the next response.

    Refusals have a body, whatever the method of the request.
    """

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del listener, handler
        writer.write(
            b"HEAD /0 HTTP/1.1\r\nHost: x\r\n\r\n"
            b"GET /0 HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert await reader.readexactly(2) == b"/0"

    run(script)


def test_body_may_be_sent_after_an_earlier_response() -> None:
    """Guard against a caller that waits for ever for "100 Continue"."""

    async def script(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        listener: io_pipeline.CallerListener,
        handler: DelayHandler,
    ) -> None:
        del listener
        writer.write(
            b"GET /0.1 HTTP/1.1\r\nHost: x\r\n\r\n"
            b"POST /0 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        assert await read_body(reader) == b"/0.1"
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 100")
        writer.write(b"ok")
        assert await read_body(reader) == b"/0"
        assert handler.bodies[-1] == b"ok"

    run(script)
