"""Test servers that send bytes without end until the caller closes."""

import asyncio
import time
from typing import NamedTuple

import pytest
from returns.result import Failure

from samphirelug.components.backend import model as backend_model
from samphirelug.components.forwarding import model
from samphirelug.components.http import const
from samphirelug.components.http import io_pool
from samphirelug.helpers import timer as timer_helper
from standins import forwarding as build
from tests.components.backend import endless_server

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
HEAD = STATUS_LINE + b"X-Request-Id: r1\r\nX-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER_ANSWER = (
    STATUS_LINE + b"X-Request-Id: r0\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n"
)
FILLER = b"a" * endless_server.BLOCK_BYTES
DEADLINE_S = 10.0
TICK_S = 0.01
# Longest processor time for which one exchange may hold up the others. The
# deadline of the fastest requests is a few hundred milliseconds.
MAX_TICK_GAP_S = 0.5


class Outcome(NamedTuple):
    """Hold the result of an attempt and what the server sent."""

    result: model.AttemptResult
    sent_bytes: int
    # Longest processor time for which the event loop ran nothing else.
    max_tick_gap_s: float


def run_attempt(*, beginning: bytes, block: bytes) -> Outcome:
    """Send an attempt to an endless server."""
    server = endless_server.EndlessServer(beginning=beginning, block=block)
    gaps_s = [0.0]

    async def tick() -> None:
        ticked_at_s = time.thread_time()
        while True:
            await asyncio.sleep(TICK_S)
            gaps_s.append(time.thread_time() - ticked_at_s)
            ticked_at_s = time.thread_time()

    async def main() -> model.AttemptResult:
        timer = timer_helper.LoopTimerService()
        sender = io_pool.PooledSender(
            timer=timer,
            names=build.NAMES,
            may_be_sent=lambda _: True,
            memory=build.memory(),
        )
        attempt = model.Attempt(
            build.request(request_id="r1"),
            build.server("s0", address=f"127.0.0.1:{server.port}"),
            timer.monotonic() + DEADLINE_S,
            True,
        )
        ticking = asyncio.ensure_future(tick())
        result = await sender.send(attempt)
        ticking.cancel()
        sender.close_idle(attempt.server)
        return result

    try:
        result = asyncio.run(asyncio.wait_for(main(), 30))
    finally:
        server.stop()
    return Outcome(result, server.sent_bytes, max(gaps_s))


def failure(result: model.AttemptResult) -> backend_model.BackendFailure:
    """Return why an attempt failed."""
    assert isinstance(result, Failure)
    failed: model.AttemptFailure = result.failure()
    return failed.failure


@pytest.mark.parametrize(
    ("beginning", "block"),
    [
        pytest.param(STATUS_LINE + b"X-A: ", FILLER, id="header-value"),
        pytest.param(STATUS_LINE, b"X-A: b\r\n" * 8192, id="header-fields"),
        pytest.param(b"HTTP/1.1 200 ", FILLER, id="reason"),
        pytest.param(
            b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000, id="interim"
        ),
        pytest.param(b"", OTHER_ANSWER * 500, id="answers-to-others"),
        pytest.param(CHUNKED + b"1;", FILLER, id="chunk-extension"),
        pytest.param(CHUNKED + b"0\r\nX-A: ", FILLER, id="trailer"),
        pytest.param(CHUNKED, b"1;a=bcdefghij\r\nx\r\n" * 4000, id="framing"),
    ],
)
def test_endless_bytes_around_a_body_end_the_attempt(
    beginning: bytes, block: bytes
) -> None:
    """Guard against heads and framing that grow until the deadline."""
    outcome = run_attempt(beginning=beginning, block=block)
    assert failure(outcome.result).kind is backend_model.FailureKind.TOO_LARGE
    assert outcome.sent_bytes < endless_server.SOCKET_BUFFER_BYTES
    assert outcome.max_tick_gap_s < MAX_TICK_GAP_S


@pytest.mark.parametrize(
    ("beginning", "block"),
    [
        pytest.param(CHUNKED, b"10000\r\n" + FILLER + b"\r\n", id="chunked"),
        pytest.param(HEAD + b"\r\n", FILLER, id="close-delimited"),
        pytest.param(
            HEAD + b"Content-Length: 99999999999\r\n\r\n",
            FILLER,
            id="with-length",
        ),
    ],
)
def test_endless_body_ends_the_attempt_at_the_size_limit(
    beginning: bytes, block: bytes
) -> None:
    """Guard against a body that fills the memory until the deadline."""
    outcome = run_attempt(beginning=beginning, block=block)
    assert failure(outcome.result).kind is backend_model.FailureKind.TOO_LARGE
    assert (
        outcome.sent_bytes
        < const.MAX_ANSWER_BYTES + endless_server.SOCKET_BUFFER_BYTES
    )
    assert outcome.max_tick_gap_s < MAX_TICK_GAP_S


@pytest.mark.parametrize("block", [b"\0" * endless_server.BLOCK_BYTES, FILLER])
def test_endless_bytes_that_are_no_answer_end_the_attempt(
    block: bytes,
) -> None:
    """Guard against waiting for the end of bytes that are not HTTP."""
    outcome = run_attempt(beginning=b"", block=block)
    assert failure(outcome.result).kind is backend_model.FailureKind.INCOMPLETE
    assert outcome.sent_bytes < endless_server.SOCKET_BUFFER_BYTES
