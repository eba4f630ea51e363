"""Test how the client reports attempts at backend servers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket

import pytest
from returns.result import Success

from samphirelug.components.backend import io_client
from samphirelug.components.backend import model
from samphirelug.components.backend.model import FailureKind
from samphirelug.helpers import timer
from tests.components.backend import endless_server
from tests.components.backend import raw_server

OK_HEAD = b"HTTP/1.1 200 OK\r\n"
NOT_RUN_HEAD = (
    b"HTTP/1.1 503 Busy\r\nSamphirelug-Work: not-run\r\nRetry-After: 7\r\n"
)


class JumpingTimer(timer.LoopTimerService):
    """Provide a clock that jumps ahead, as after a paused process."""

    def __init__(self, *, jump_after_calls: int) -> None:
        self.calls_left = jump_after_calls

    def monotonic(self) -> float:
        """Return the time, an hour ahead once the calls are used up."""
        self.calls_left -= 1
        return super().monotonic() + (3600.0 if self.calls_left < 0 else 0.0)


async def send(
    port: int,
    *,
    timeout_s: float = 5.0,
    method: str = "POST",
    body: bytes = b"claim",
    headers: tuple[tuple[str, str], ...] = (),
    clock: timer.TimerService | None = None,
    connect_timeout_s: float = 1.0,
) -> io_client.AnswerResult:
    """Send a request with a deadline to a loopback port."""
    clock = clock or timer.LoopTimerService()
    client = io_client.HttpBackendClient(
        timer=clock, connect_timeout_s=connect_timeout_s
    )
    request = raw_server.make_request(
        raw_server.make_server(port),
        deadline_at_s=timer.LoopTimerService().monotonic() + timeout_s,
        method=method,
        body=body,
        headers=headers,
    )
    return await client.send(request)


def unused_port() -> int:
    """Return a loopback port that nothing listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


async def reset_before_reading(connection: raw_server.RawConnection) -> None:
    """Reset the connection without reading the request."""
    connection.reset()


async def reset_after_reading(connection: raw_server.RawConnection) -> None:
    """Read the header block and reset the connection."""
    await connection.read_head()
    connection.reset()


async def stall(connection: raw_server.RawConnection) -> None:
    """Read the request and never answer."""
    await connection.read_head()
    await connection.wait_closed_by_peer()


async def answer_late(connection: raw_server.RawConnection) -> None:
    """Send the end of the answer after the deadline of the test."""
    await connection.read_head()
    await connection.write(OK_HEAD + b"Content-Length: 4\r\n\r\nla")
    await asyncio.sleep(0.4)
    await connection.write(b"te")


async def stream_endlessly(connection: raw_server.RawConnection) -> None:
    """Send chunks until the client closes the connection."""
    await connection.read_head()
    await connection.write(OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    for _ in range(10_000):
        await connection.write(b"2000\r\n" + b"x" * 0x2000 + b"\r\n")


FAILURES = [
    (reset_before_reading, FailureKind.RESET),
    (reset_after_reading, FailureKind.RESET),
    (raw_server.scripted(b""), FailureKind.RESET),
    (raw_server.scripted(b"nonsense\r\n\r\n"), FailureKind.RESET),
    (
        raw_server.scripted(OK_HEAD + b"Content-Length: 9\r\n\r\nshort"),
        FailureKind.INCOMPLETE,
    ),
    (
        raw_server.scripted(
            OK_HEAD + b"Content-Length: 9\r\n\r\nshort", reset=True
        ),
        FailureKind.INCOMPLETE,
    ),
    (
        raw_server.scripted(
            OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"
        ),
        FailureKind.INCOMPLETE,
    ),
    (
        raw_server.scripted(OK_HEAD + b"\r\nno length"),
        FailureKind.INCOMPLETE,
    ),
    (
        raw_server.scripted(
            OK_HEAD
            + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok"
        ),
        FailureKind.INCOMPLETE,
    ),
    (
        raw_server.scripted(
            OK_HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok"
        ),
        FailureKind.INCOMPLETE,
    ),
    (
        raw_server.scripted(OK_HEAD + b"Content-Length: 1001\r\n\r\n"),
        FailureKind.TOO_LARGE,
    ),
    (
        raw_server.scripted(
            b"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok"
        ),
        FailureKind.INCOMPLETE,
    ),
    (
        raw_server.scripted(
            b"HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok"
        ),
        FailureKind.INCOMPLETE,
    ),
    (stream_endlessly, FailureKind.TOO_LARGE),
    (stall, FailureKind.TIMEOUT),
    (answer_late, FailureKind.TIMEOUT),
    (
        raw_server.scripted(NOT_RUN_HEAD + b"Content-Length: 9\r\n\r\ncut"),
        FailureKind.REFUSED,
    ),
    (
        raw_server.scripted(NOT_RUN_HEAD + b"Samphirelug-Drain: 1\r\n\r\n"),
        FailureKind.LEAVING,
    ),
]


@pytest.mark.parametrize(("script", "kind"), FAILURES)
def test_failures_are_classified(
    script: raw_server.Script, kind: FailureKind
) -> None:
    """Guard against wrong claims about what a server has done.

    A request that was sent must not be reported as not run, nor an incomplete
    answer as complete.
    """

    async def scenario() -> None:
        async with raw_server.running(script) as server:
            result = await send(server.port, timeout_s=0.3)
            assert result.failure().kind is kind
            if kind is FailureKind.REFUSED:
                assert result.failure().retry_after_s == 7.0
            # The client closes the connection, so the server can stop working.
            await asyncio.wait_for(server.ended.wait(), 5.0)
            assert server.connections[0].sent_bytes < 8_000_000

    asyncio.run(scenario())


async def connect_to_unused_port() -> io_client.AnswerResult:
    """Send to a port that nothing listens on."""
    return await send(unused_port())


async def connect_with_full_backlog() -> io_client.AnswerResult:
    """Send to a port whose accept backlog is full."""
    with socket.socket() as listener, contextlib.ExitStack() as stack:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(8):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        port = listener.getsockname()[1]
        return await send(port, connect_timeout_s=0.2)


async def pause_after_connecting() -> io_client.AnswerResult:
    """Let the deadline pass between connecting and sending."""
    async with raw_server.running(stall) as server:
        clock = JumpingTimer(jump_after_calls=2)
        result = await send(server.port, clock=clock)
        await asyncio.wait_for(server.ended.wait(), 5.0)
        assert server.connections[0].head == b""
        return result


async def send_line_break_in_header() -> io_client.AnswerResult:
    """Send a header that would end the header block early."""
    async with raw_server.running(stall) as server:
        return await send(server.port, headers=(("X-A", "b\r\nX-C: d"),))


@pytest.mark.parametrize(
    "case",
    [
        connect_to_unused_port,
        connect_with_full_backlog,
        pause_after_connecting,
        send_line_break_in_header,
    ],
)
def test_failure_before_sending_is_reported_as_not_sent(
    case: Callable[[], Awaitable[io_client.AnswerResult]],
) -> None:
    """Guard against "outcome unknown" where no byte was sent."""

    async def scenario() -> None:
        result = await case()
        assert result.failure().kind is FailureKind.NOT_SENT

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("answer", "status", "body", "method"),
    [
        (OK_HEAD + b"Content-Length: 2\r\n\r\nok", 200, b"ok", "POST"),
        (
            OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
            b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
            200,
            b"ok",
            "GET",
        ),
        (b"HTTP/1.1 204 None\r\n\r\n", 204, b"", "DELETE"),
        (OK_HEAD + b"Content-Length: 5000\r\n\r\n", 200, b"", "HEAD"),
        (
            b"HTTP/1.1 503 Down\r\nContent-Length: 4\r\n\r\ndown",
            503,
            b"down",
            "POST",
        ),
        (
            b"HTTP/1.1 100 Continue\r\n\r\n"
            + OK_HEAD
            + b"Content-Length: 2\r\n\r\nok",
            200,
            b"ok",
            "POST",
        ),
    ],
)
def test_complete_answers_are_returned(
    answer: bytes, status: int, body: bytes, method: str
) -> None:
    """Guard against rejecting answers whose end can be detected."""

    async def scenario() -> None:
        async with raw_server.running(raw_server.scripted(answer)) as server:
            result = (await send(server.port, method=method)).unwrap()
            assert (result.status, result.body) == (status, body)
            assert result.server == "filing-1"

    asyncio.run(scenario())


def test_refusal_before_the_body_is_sent_is_returned() -> None:
    """Guard against waiting for a body that the server does not read."""

    async def script(connection: raw_server.RawConnection) -> None:
        await connection.read_head()
        await connection.write(NOT_RUN_HEAD + b"Content-Length: 0\r\n\r\n")
        await asyncio.sleep(2.0)

    async def scenario() -> None:
        async with raw_server.running(script) as server:
            sending = send(server.port, body=b"x" * 16_000_000)
            result = await asyncio.wait_for(sending, 1.0)
            assert result.failure().kind is FailureKind.REFUSED

    asyncio.run(scenario())


def test_header_fields_of_a_connection_are_not_forwarded() -> None:
    """Guard against forwarding hop-by-hop header fields either way."""
    answer = (
        OK_HEAD + b"Connection: close, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n"
        b"Keep-Alive: 5\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n"
        b"Samphirelug-Drain: 1\r\nContent-Length: 0\r\n\r\n"
    )
    headers = (
        ("Connection", "keep-alive, X-Own"),
        ("X-Own", "secret"),
        ("TE", "trailers"),
        ("Upgrade", "h2c"),
        ("Expect", "100-continue"),
        ("Content-Length", "999"),
        ("Transfer-Encoding", "chunked"),
        ("X-Request-Id", "forged"),
        ("samphirelug-deadline-ms", "99999"),
        ("Accept", "text/plain"),
    )

    async def scenario() -> None:
        async with raw_server.running(raw_server.scripted(answer)) as server:
            result = await send(server.port, timeout_s=2.0, headers=headers)
            assert result.unwrap().headers == (
                ("X-End", "2"),
                ("Set-Cookie", "a"),
                ("Set-Cookie", "b"),
            )
            lines = server.connections[0].head.decode().splitlines()
        assert lines[0] == "POST /claims?x=1 HTTP/1.1"
        sent = dict(line.split(": ", 1) for line in lines[1:] if line)
        remaining_ms = int(sent.pop("Samphirelug-Deadline-Ms"))
        assert 1000 < remaining_ms <= 2000
        assert sent.pop("Host").startswith("127.0.0.1:")
        assert sent == {
            "Connection": "close",
            "X-Request-Id": "r1",
            "Accept": "text/plain",
            "Content-Length": "5",
        }

    asyncio.run(scenario())


def test_cancellation_closes_connection() -> None:
    """Guard against a server that works for a disconnected caller."""

    async def scenario() -> None:
        async with raw_server.running(stall) as server:
            task = asyncio.create_task(send(server.port))
            await server.accepted.wait()
            await server.connections[0].head_read.wait()
            task.cancel()
            await asyncio.wait_for(server.ended.wait(), 1.0)
            with pytest.raises(asyncio.CancelledError):
                await task

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (
            b'{"state": "leaving", "load": 0.5, "incarnation": "i1"}',
            Success(model.HealthReport("filing-1", True, 0.5, "i1")),
        ),
        (b'{"state": "live"}', None),
        (b'{"state": "odd", "load": 0.5, "incarnation": "i1"}', None),
        (b"up", None),
    ],
)
def test_probe_accepts_only_valid_health_answers(
    body: bytes, expected: Success[model.HealthReport] | None
) -> None:
    """Guard against accepting malformed health answers as reports."""
    answer = OK_HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)

    async def scenario() -> None:
        async with raw_server.running(raw_server.scripted(answer)) as server:
            client = io_client.HttpBackendClient(
                timer=timer.LoopTimerService()
            )
            result = await client.probe(
                server.backend_server(), "/health", timeout_s=2.0
            )
        if expected is None:
            assert result.failure().kind is FailureKind.INCOMPLETE
        else:
            assert result == expected

    asyncio.run(scenario())


def test_headers_and_framing_count_as_traffic() -> None:
    """Guard against traffic that is not charged to the link's quota."""
    answer = OK_HEAD + b"Content-Length: 2\r\n\r\nok"
    traffic = model.Traffic()

    async def scenario() -> None:
        async with raw_server.running(raw_server.scripted(answer)) as server:
            client = io_client.HttpBackendClient(
                timer=timer.LoopTimerService()
            )
            request = raw_server.make_request(
                server.backend_server(),
                deadline_at_s=client.timer.monotonic() + 5.0,
            )
            await client.send(request._replace(traffic=traffic))

    asyncio.run(scenario())
    assert traffic.received_bytes == len(answer)
    head = b"POST /claims?x=1 HTTP/1.1\r\n\r\n"
    assert traffic.sent_bytes > len(head) + len(b"claim")


@pytest.mark.parametrize(
    ("beginning", "block"),
    [
        pytest.param(OK_HEAD + b"X-A: ", b"a" * 65536, id="header-value"),
        pytest.param(OK_HEAD, b"X-A: b\r\n" * 8192, id="header-fields"),
        pytest.param(b"HTTP/1.1 200 ", b"a" * 65536, id="reason"),
        pytest.param(
            b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000, id="interim"
        ),
        pytest.param(
            OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;",
            b"a" * 65536,
            id="chunk-extension",
        ),
        pytest.param(
            OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ",
            b"a" * 65536,
            id="trailer",
        ),
        pytest.param(
            OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
            b"1\r\nx\r\n" * 8192,
            id="chunks",
        ),
        pytest.param(
            OK_HEAD + b"Content-Length: 99999999999\r\n\r\n",
            b"a" * 65536,
            id="with-length",
        ),
        pytest.param(b"", b"\0" * 65536, id="no-answer"),
    ],
)
def test_endless_answer_ends_the_attempt(
    beginning: bytes, block: bytes
) -> None:
    """Guard against reading from a server in trouble until the deadline."""
    server = endless_server.EndlessServer(beginning=beginning, block=block)
    try:
        result = asyncio.run(
            asyncio.wait_for(send(server.port, timeout_s=10.0), 30)
        )
    finally:
        server.stop()
    assert result.failure().kind in (
        FailureKind.INCOMPLETE,
        FailureKind.RESET,
        FailureKind.TOO_LARGE,
    )
    assert server.sent_bytes < endless_server.SOCKET_BUFFER_BYTES
