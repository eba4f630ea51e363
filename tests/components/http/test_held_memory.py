"""Test the limit of all answers that are being received."""

from samphirelug.components.http import held_memory
from samphirelug.components.http import response_parser

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
SMALL = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
BLOCK = b"a" * 1000
LIMIT_BYTES = 10_000


def held_bytes(parsers: list[response_parser.ResponseParser]) -> int:
    """Return the size of all bodies in memory."""
    return sum(
        len(parser.current.body) for parser in parsers if parser.current
    )


def test_endless_answers_together_leave_memory_to_the_others() -> None:
    """Guard against a host that runs out of memory with many bad servers."""
    memory = held_memory.HeldMemory(limit_bytes=LIMIT_BYTES)
    small = response_parser.ResponseParser(is_head=False)
    small.feed(SMALL + b"o")
    memory.update(small)
    endless = [
        response_parser.ResponseParser(is_head=False) for _ in range(20)
    ]
    for parser in endless:
        parser.feed(HEAD)
    for _ in range(50):
        for parser in endless:
            parser.feed(BLOCK)
            memory.update(parser)
            assert held_bytes(endless) <= LIMIT_BYTES
    assert sum(parser.too_large for parser in endless) > 10
    small.feed(b"k")
    assert [response.body for response in small.completed] == [b"ok"]


def test_ended_answers_are_not_counted() -> None:
    """Guard against a limit that shrinks with each answer."""
    memory = held_memory.HeldMemory(limit_bytes=LIMIT_BYTES)
    for _ in range(100):
        parser = response_parser.ResponseParser(is_head=False)
        parser.feed(HEAD + BLOCK)
        memory.update(parser)
        memory.release(parser)
        assert not parser.error
    assert memory.total_bytes == 0
