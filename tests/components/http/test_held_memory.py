"""Test the limit of all answers that are being received."""

from samphirelug.components.http import held_memory
from samphirelug.components.http import response_parser
from samphirelug.components.http import unread_answer

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


def test_small_answers_pass_while_unread_ones_fill_the_memory() -> None:
    """Guard against slow callers whose answers cost all others theirs."""
    memory = held_memory.HeldMemory(limit_bytes=10_000_000)
    unread = unread_answer.UnreadAnswer(
        size=10_000_000, is_stalled=lambda: False, on_rejected=lambda _: None
    )
    memory.update(unread)
    small = [response_parser.ResponseParser(is_head=False) for _ in range(100)]
    for parser in small:
        parser.feed(SMALL + b"o")
        memory.update(parser)
    assert not any(parser.too_large for parser in small)
    large = response_parser.ResponseParser(is_head=False)
    large.feed(HEAD + BLOCK * 20)
    memory.update(large)
    assert large.too_large


def test_small_messages_beyond_the_limit_are_limited_too() -> None:
    """Guard against very many small messages that no limit stops."""
    memory = held_memory.HeldMemory(limit_bytes=1_000_000)
    parsers = [
        response_parser.ResponseParser(is_head=False) for _ in range(6000)
    ]
    for parser in parsers:
        parser.feed(SMALL + b"o")
        memory.update(parser)
        assert memory.total_bytes <= 1_125_000
    assert any(parser.too_large for parser in parsers)
