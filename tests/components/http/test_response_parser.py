"""Test how the bytes of a connection are split into responses."""

import pytest

from samphirelug.components.http import response_parser

PLAIN = b"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


def parse(*parts: bytes) -> response_parser.ResponseParser:
    """Return a parser that was fed the parts."""
    parser = response_parser.ResponseParser(is_head=False)
    for part in parts:
        parser.feed(part)
    return parser


def bodies(parser: response_parser.ResponseParser) -> list[bytes]:
    """Return the bodies of the whole responses."""
    return [response.body for response in parser.completed]


@pytest.mark.parametrize("size", [1, 7, 40, 1000])
def test_responses_are_the_same_for_every_split_of_the_bytes(
    size: int,
) -> None:
    """Guard against a response that is lost between two reads."""
    data = PLAIN + CHUNKED + INTERIM + PLAIN
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    assert bodies(parse(*parts)) == [b"ok", b"abcde", b"ok"]


def test_bytes_that_are_no_response_spare_the_whole_ones() -> None:
    """Guard against the loss of an answer by what follows it."""
    parser = parse(PLAIN + b"garbage\r\n\r\n")
    assert bodies(parser) == [b"ok"]
    assert parser.error
    assert not parser.is_at_boundary


def test_body_without_a_length_is_whole_only_at_an_orderly_end() -> None:
    """Guard against a cut body that looks whole."""
    parser = parse(b"HTTP/1.1 200 OK\r\n\r\nabc")
    assert not parser.completed
    assert parser.end()
    assert bodies(parser) == [b"abc"]


def test_end_within_a_body_with_a_length_completes_nothing() -> None:
    """Guard against a cut body that looks whole."""
    parser = parse(PLAIN[:-1])
    assert not parser.end()
    assert not parser.completed
