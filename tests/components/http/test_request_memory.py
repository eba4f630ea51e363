"""Test the memory of requests that arrive at the same time."""

import asyncio
import tracemalloc
from typing import NamedTuple

import pytest

from samphirelug.components.http import held_memory
from samphirelug.components.http import io_pipeline
from samphirelug.components.http import model
from samphirelug.components.http import request_parser
from samphirelug.helpers import timer as timer_helper
from standins import forwarding as build
from tests.components.http import handlers
from tests.components.http import polling

LIMIT_BYTES = 1_000_000
BODY_BYTES = 400_000
STEP_BYTES = 20_000
TIMEOUT_S = 30
LIMITS = build.LIMITS._replace(
    max_body_bytes=BODY_BYTES, header_timeout_s=30.0
)


class SlowHandler(handlers.SequentialHandler):
    """Answer each request when told to, with the length of its body."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.started_count = 0

    async def handle(
        self, message: request_parser.CallerMessage
    ) -> model.Response:
        """Return the length of the body."""
        self.started_count += 1
        await self.may_answer.wait()
        return model.Response(200, "OK", (), b"%d" % len(message.body))


class Upload(NamedTuple):
    """Hold a connection that sends a request with a long body."""

    writer: asyncio.StreamWriter
    # The head of the response, which may arrive before the body is sent.
    answer: "asyncio.Task[bytes]"


async def begin_upload(port: int, *, framing: bytes) -> Upload:
    """Send the head of a request."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"POST / HTTP/1.1\r\nHost: x\r\n" + framing + b"\r\n\r\n")
    return Upload(writer, asyncio.ensure_future(reader.readuntil(b"\r\n\r\n")))


def encode(size: int, *, chunk_size: int) -> bytes:
    """Return a part of a body; 0 means that it is not in chunks."""
    if not chunk_size:
        return b"a" * size
    chunk = b"%x\r\n" % chunk_size + b"a" * chunk_size + b"\r\n"
    return chunk * (size // chunk_size)


@pytest.mark.parametrize("chunk_size", [0, 1, 4, 5000])
def test_long_bodies_of_many_callers_leave_memory_to_the_others(
    chunk_size: int,
) -> None:
    """Guard against a host that dies of bodies that are each allowed."""

    async def main() -> list[bytes]:
        handler = SlowHandler()
        memory = held_memory.HeldMemory(limit_bytes=LIMIT_BYTES)
        listener = io_pipeline.CallerListener(
            handler=handler,
            limits=lambda: LIMITS,
            timer=timer_helper.LoopTimerService(),
            memory=memory,
            answer_memory=build.memory(),
            max_connections=build.MAX_CONNECTIONS,
        )
        listener.start_listening(host="127.0.0.1", port=0)
        framing = (
            b"Transfer-Encoding: chunked"
            if chunk_size
            else b"Content-Length: %d" % BODY_BYTES
        )
        uploads = [
            await begin_upload(listener.port, framing=framing)
            for _ in range(5)
        ]
        part = encode(STEP_BYTES, chunk_size=chunk_size)
        for _ in range(BODY_BYTES // STEP_BYTES):
            for upload in uploads:
                if not upload.answer.done():
                    upload.writer.write(part)
            await asyncio.sleep(0.005)
            assert memory.total_bytes <= LIMIT_BYTES
        small = await begin_upload(listener.port, framing=b"Content-Length: 2")
        small.writer.write(b"ok")
        for upload in uploads if chunk_size else ():
            if not upload.answer.done():
                upload.writer.write(b"0\r\n\r\n")
        await polling.wait_until(lambda: handler.started_count == 3)
        # Complete requests are counted until they have been answered.
        assert memory.total_bytes >= 2 * BODY_BYTES
        handler.may_answer.set()
        answers = [
            await asyncio.wait_for(upload.answer, 5)
            for upload in [*uploads, small]
        ]
        for upload in [*uploads, small]:
            upload.writer.close()
        listener.stop()
        await polling.wait_until(lambda: not listener.connections)
        assert memory.total_bytes == 0
        return answers

    *answers, small = asyncio.run(asyncio.wait_for(main(), 30))
    assert small.startswith(b"HTTP/1.1 200 ")
    served = [head for head in answers if head.startswith(b"HTTP/1.1 200 ")]
    refused = [head for head in answers if head.startswith(b"HTTP/1.1 503 ")]
    assert len(served) == 2
    assert len(refused) == 3
    assert all(b"Retry-After: 0.5\r\n" in head for head in refused)


def test_request_without_end_gives_its_memory_back() -> None:
    """Guard against a limit that shrinks with each caller that leaves."""

    async def main() -> None:
        memory = held_memory.HeldMemory(limit_bytes=LIMIT_BYTES)
        listener = io_pipeline.CallerListener(
            handler=SlowHandler(),
            limits=lambda: LIMITS,
            timer=timer_helper.LoopTimerService(),
            memory=memory,
            answer_memory=build.memory(),
            max_connections=build.MAX_CONNECTIONS,
        )
        listener.start_listening(host="127.0.0.1", port=0)
        for _ in range(20):
            upload = await begin_upload(
                listener.port, framing=b"Content-Length: 300000"
            )
            upload.writer.write(b"a" * 100_000)
            await polling.wait_until(lambda: memory.total_bytes >= 100_000)
            upload.answer.cancel()
            upload.writer.close()
            await polling.wait_until(lambda: not memory.total_bytes)
        listener.stop()

    asyncio.run(asyncio.wait_for(main(), 30))


def test_heads_of_pipelined_requests_count_with_their_memory() -> None:
    """Guard against a host that dies of heads of many short fields."""
    fields = b"".join(b"A%d:1\r\n" % number for number in range(1000))
    count = 10

    async def main() -> tuple[int, int]:
        memory = held_memory.HeldMemory(limit_bytes=100 * LIMIT_BYTES)
        limits = LIMITS._replace(max_header_bytes=16_384)
        listener = io_pipeline.CallerListener(
            handler=SlowHandler(),
            limits=lambda: limits,
            timer=timer_helper.LoopTimerService(),
            memory=memory,
            answer_memory=build.memory(),
            max_connections=build.MAX_CONNECTIONS,
        )
        listener.start_listening(host="127.0.0.1", port=0)
        before, _ = tracemalloc.get_traced_memory()
        _, writer = await asyncio.open_connection("127.0.0.1", listener.port)
        request = b"GET / HTTP/1.1\r\nHost: x\r\n" + fields + b"\r\n"
        writer.write(request * count)
        await polling.wait_until(
            lambda: any(
                len(connection.pending) == count
                for connection in listener.connections
            )
        )
        after, _ = tracemalloc.get_traced_memory()
        counted_bytes = memory.total_bytes
        writer.close()
        await polling.wait_until(lambda: not listener.connections)
        listener.stop()
        return after - before, counted_bytes

    tracemalloc.start()
    try:
        held_bytes, counted_bytes = asyncio.run(
            asyncio.wait_for(main(), TIMEOUT_S)
        )
    finally:
        tracemalloc.stop()
    assert held_bytes > 1_000_000
    assert counted_bytes > 0.8 * held_bytes


@pytest.mark.parametrize("body_bytes", [600_000, 900_000])
def test_long_request_is_not_counted_twice(body_bytes: int) -> None:
    """Guard against a 503 behind the answer to a request that was served."""

    async def main() -> list[bytes]:
        handler = SlowHandler()
        handler.may_answer.set()
        limits = LIMITS._replace(max_body_bytes=body_bytes)
        listener = io_pipeline.CallerListener(
            handler=handler,
            limits=lambda: limits,
            timer=timer_helper.LoopTimerService(),
            memory=held_memory.HeldMemory(limit_bytes=LIMIT_BYTES),
            answer_memory=build.memory(),
            max_connections=build.MAX_CONNECTIONS,
        )
        listener.start_listening(host="127.0.0.1", port=0)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listener.port
        )
        status_lines = []
        for _ in range(2):
            writer.write(b"POST / HTTP/1.1\r\nHost: x\r\n")
            writer.write(b"Content-Length: %d\r\n\r\n" % body_bytes)
            writer.write(bytes(body_bytes))
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(len(str(body_bytes)))
            status_lines.append(head.partition(b"\r\n")[0])
        writer.close()
        listener.stop()
        return status_lines

    status_lines = asyncio.run(asyncio.wait_for(main(), TIMEOUT_S))
    assert status_lines == [b"HTTP/1.1 200 OK"] * 2
