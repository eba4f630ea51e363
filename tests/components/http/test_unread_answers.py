"""Test callers that do not read their answers."""

import asyncio
import gc
import socket
import tracemalloc

from samphirelug.components.http import const
from samphirelug.components.http import held_memory
from samphirelug.components.http import io_pipeline
from samphirelug.components.http import model
from samphirelug.components.http import request_parser
from samphirelug.components.http import response_parser
from samphirelug.components.http import unread_answer
from samphirelug.helpers import timer as timer_helper
from standins import forwarding as build
from tests.components.http import handlers
from tests.components.http import polling

# Above what the kernel takes from a writer whose peer does not read.
ANSWER_BYTES = 12_000_000
LIMIT_BYTES = 40_000_000
RECEIVE_BUFFER_BYTES = 16_384
UPLOAD_BYTES = 8_000_000
IDLE_TIMEOUT_S = 6.0
MARGIN_S = 0.5


class LongHandler(handlers.SequentialHandler):
    """Return long answers, and a short one for the path /short."""

    async def handle(
        self, message: request_parser.CallerMessage
    ) -> model.Response:
        """Return a body of the length that the path asks for."""
        size = 5 if message.target == "/short" else ANSWER_BYTES
        return model.Response(200, "OK", (), bytes(size))


def listen(
    *, memory: held_memory.HeldMemory, idle_timeout_s: float
) -> io_pipeline.CallerListener:
    """Return a listener on a free port."""
    limits = build.LIMITS._replace(idle_timeout_s=idle_timeout_s)
    listener = io_pipeline.CallerListener(
        handler=LongHandler(),
        limits=lambda: limits,
        timer=timer_helper.LoopTimerService(),
        memory=build.memory(),
        answer_memory=memory,
        max_connections=build.MAX_CONNECTIONS,
    )
    listener.start_listening(host="127.0.0.1", port=0)
    return listener


async def request(
    port: int, path: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request; nothing is read but what small buffers take."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.connect(("127.0.0.1", port))
    reader, writer = await asyncio.open_connection(
        sock=sock, limit=RECEIVE_BUFFER_BYTES
    )
    writer.write(b"GET " + path.encode() + b" HTTP/1.1\r\nHost: x\r\n\r\n")
    return reader, writer


async def read_answer(reader: asyncio.StreamReader, *, size: int) -> bytes:
    """Return the status line of an answer that is read in full."""
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(size)
    return head.partition(b"\r\n")[0]


async def read_slowly(reader: asyncio.StreamReader, *, size: int) -> int:
    """Read an answer over some seconds; return the bytes that came."""
    await reader.readuntil(b"\r\n\r\n")
    count = 0
    while count < size:
        data = await reader.read(size // 300)
        if not data:
            break
        count += len(data)
        await asyncio.sleep(0.01)
    return count


class FixedHandler(handlers.SequentialHandler):
    """Return the same long answer to each request."""

    def __init__(self) -> None:
        self.body = bytes(ANSWER_BYTES)

    async def handle(
        self, message: request_parser.CallerMessage
    ) -> model.Response:
        """Return the body."""
        del message
        return model.Response(200, "OK", (), self.body)


def test_uploads_are_not_held_until_their_answers_are_read() -> None:
    """Guard against a host that dies of bodies that it does not count."""
    uploads = 4

    async def main() -> int:
        listener = io_pipeline.CallerListener(
            handler=FixedHandler(),
            limits=lambda: build.LIMITS._replace(max_body_bytes=UPLOAD_BYTES),
            timer=timer_helper.LoopTimerService(),
            memory=build.memory(),
            answer_memory=build.memory(),
            max_connections=build.MAX_CONNECTIONS,
        )
        listener.start_listening(host="127.0.0.1", port=0)
        body = bytes(UPLOAD_BYTES)
        before, _ = tracemalloc.get_traced_memory()
        writers = []
        for _ in range(uploads):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", listener.port, limit=RECEIVE_BUFFER_BYTES
            )
            writer.write(b"POST / HTTP/1.1\r\nHost: x\r\n")
            writer.write(b"Content-Length: %d\r\n\r\n" % UPLOAD_BYTES)
            writer.write(body)
            await writer.drain()
            # The rest of the answer stays unread.
            await reader.readuntil(b"\r\n\r\n")
            writers.append(writer)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        for writer in writers:
            writer.transport.abort()
        listener.stop()
        return after - before

    tracemalloc.start()
    try:
        held_bytes = asyncio.run(asyncio.wait_for(main(), 30))
    finally:
        tracemalloc.stop()
    assert held_bytes < UPLOAD_BYTES


def test_unread_answers_leave_memory_to_the_others() -> None:
    """Guard against a host that dies of answers that callers do not read."""

    async def main() -> None:
        memory = held_memory.HeldMemory(limit_bytes=LIMIT_BYTES)
        listener = listen(memory=memory, idle_timeout_s=60.0)
        unread = [await request(listener.port, "/long") for _ in range(5)]
        slow_reader, slow_writer = await request(listener.port, "/long")
        reading = asyncio.ensure_future(
            read_slowly(slow_reader, size=ANSWER_BYTES)
        )
        await asyncio.sleep(const.UNREAD_AFTER_S + MARGIN_S)
        assert memory.total_bytes > LIMIT_BYTES
        writers = [slow_writer, *(writer for _, writer in unread)]
        for path, size in (("/long", ANSWER_BYTES), ("/short", 5)):
            reader, writer = await request(listener.port, path)
            writers.append(writer)
            status_line = await read_answer(reader, size=size)
            assert status_line == b"HTTP/1.1 200 OK"
            assert memory.total_bytes <= LIMIT_BYTES
        # Three long answers fit; callers that read get theirs.
        assert len(listener.connections) == 1 + 3
        assert await reading == ANSWER_BYTES
        for writer in writers:
            writer.close()
        await polling.wait_until(lambda: not listener.connections)
        assert memory.total_bytes == 0
        listener.stop()

    asyncio.run(asyncio.wait_for(main(), 60))


def test_caller_that_never_reads_is_disconnected() -> None:
    """Guard against answers that are kept until their callers leave."""

    async def main() -> None:
        memory = build.memory()
        listener = listen(memory=memory, idle_timeout_s=IDLE_TIMEOUT_S)
        _, writer = await request(listener.port, "/long")
        await asyncio.sleep(IDLE_TIMEOUT_S - MARGIN_S)
        assert memory.total_bytes >= ANSWER_BYTES
        assert listener.busy
        await asyncio.sleep(2 * MARGIN_S + const.TIMEOUT_CHECK_INTERVAL_S)
        assert memory.total_bytes == 0
        assert not listener.busy
        writer.close()
        listener.stop()

    asyncio.run(asyncio.wait_for(main(), 60))


def test_answer_that_is_read_costs_an_incoming_one() -> None:
    """Guard against answers that are counted only until they are complete."""
    memory = held_memory.HeldMemory(limit_bytes=1000)
    rejected: list[str] = []
    answer = unread_answer.UnreadAnswer(
        size=900, is_stalled=lambda: False, on_rejected=rejected.append
    )
    memory.update(answer)
    parser = response_parser.ResponseParser(is_head=False)
    parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n")
    parser.feed(bytes(300))
    memory.update(parser)
    assert parser.too_large
    assert rejected == []
