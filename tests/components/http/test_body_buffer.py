"""Test the memory that a body takes while it is being received."""

from collections.abc import Iterator
import gc
import tracemalloc

import pytest

from samphirelug.components.http import body_buffer
from samphirelug.components.http import held_memory
from samphirelug.components.http import request_parser
from samphirelug.components.http import response_parser
from samphirelug.helpers import timer as timer_helper
from standins import forwarding as build

REQUEST_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY_BYTES = 200_000
LIMIT_BYTES = 1_000_000
# Part of the memory that may remain uncounted: the objects that hold it.
UNCOUNTED_RATIO = 0.05


@pytest.fixture(name="traced")
def trace_memory() -> Iterator[None]:
    """Trace the memory that a test allocates."""
    gc.collect()
    tracemalloc.start()
    yield
    tracemalloc.stop()


def chunks(size: int, *, count: int) -> bytes:
    """Return encoded chunks of a size."""
    return (b"%x\r\n" % size + b"a" * size + b"\r\n") * count


def held_by_parser(data: bytes) -> tuple[int, int]:
    """Return the traced and the counted bytes of a partial response."""
    parser = response_parser.ResponseParser(is_head=False)
    parser.feed(HEAD)
    before, _ = tracemalloc.get_traced_memory()
    for start in range(0, len(data), 65536):
        parser.feed(data[start : start + 65536])
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    assert not parser.error
    return after - before, parser.held_bytes


@pytest.mark.usefixtures("traced")
@pytest.mark.parametrize("size", [1, 4, 100, 5000, 40_000])
def test_small_chunks_take_no_more_memory_than_their_bytes(size: int) -> None:
    """Guard against a host that dies of a body in chunks of a few bytes."""
    data = chunks(size, count=BODY_BYTES // size)
    traced, counted = held_by_parser(data)
    assert traced < 1.2 * BODY_BYTES
    assert counted >= (1 - UNCOUNTED_RATIO) * traced


@pytest.mark.usefixtures("traced")
@pytest.mark.parametrize("size", [1, 4, 5000])
def test_limit_of_all_answers_counts_the_memory_that_they_take(
    size: int,
) -> None:
    """Guard against many endless bodies that pass the limit unnoticed."""
    memory = held_memory.HeldMemory(limit_bytes=LIMIT_BYTES)
    parsers = [response_parser.ResponseParser(is_head=False) for _ in range(8)]
    block = chunks(size, count=8192 // size)
    for parser in parsers:
        parser.feed(HEAD)
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(100):
        for parser in parsers:
            parser.feed(block)
            memory.update(parser)
            traced, _ = tracemalloc.get_traced_memory()
            assert traced - before < 1.2 * LIMIT_BYTES
    assert any(parser.too_large for parser in parsers)


@pytest.mark.usefixtures("traced")
@pytest.mark.parametrize("size", [1, 4, 100, 5000])
def test_small_chunks_of_a_request_take_no_more_than_their_bytes(
    size: int,
) -> None:
    """Guard against a host that dies of what a caller sends in chunks."""
    limits = build.LIMITS._replace(max_body_bytes=BODY_BYTES)
    parser = request_parser.RequestParser(
        limits=lambda: limits,
        timer=timer_helper.ManualTimerService(),
        on_rejected=lambda _: None,
    )
    parser.feed(REQUEST_HEAD)
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(10):
        parser.feed(chunks(size, count=BODY_BYTES // size // 10))
    gc.collect()
    traced, _ = tracemalloc.get_traced_memory()
    assert traced - before < 1.2 * BODY_BYTES
    parser.feed(b"0\r\n\r\n")
    ((message, _),) = parser.completed
    assert message.body == b"a" * BODY_BYTES


@pytest.mark.usefixtures("traced")
def test_header_fields_count_with_the_memory_that_they_take() -> None:
    """Guard against heads of many short fields that are not counted."""
    before, _ = tracemalloc.get_traced_memory()
    parser = response_parser.ResponseParser(is_head=False)
    fields = b"".join(b"A%d:%d\r\n" % (i, i) for i in range(5000))
    parser.feed(b"HTTP/1.1 200 OK\r\n" + fields)
    gc.collect()
    traced, _ = tracemalloc.get_traced_memory()
    assert parser.held_bytes >= 0.8 * (traced - before)


def test_body_is_that_of_its_parts_in_order() -> None:
    """Guard against parts that are lost or swapped where blocks end."""
    buffer = body_buffer.BodyBuffer()
    sizes = [0, 1, 4, 70_000, 3, 65_535, 1, 1, 32_768, 32_768, 32_769, 5]
    parts = [bytes([i]) * size for i, size in enumerate(sizes)]
    for part in parts:
        buffer.append(part)
    assert buffer.to_bytes() == b"".join(parts)
