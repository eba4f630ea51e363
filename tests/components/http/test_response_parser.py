"""Test how the bytes of a connection are parsed into responses."""

import pytest

from samphirelug.components.http import response_parser

WITH_LENGTH = b"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


def parse(*parts: bytes) -> response_parser.ResponseParser:
    """Return a parser that has received the parts."""
    parser = response_parser.ResponseParser(is_head=False)
    for part in parts:
        parser.feed(part)
    return parser


def bodies(parser: response_parser.ResponseParser) -> list[bytes]:
    """Return the bodies of the completed responses."""
    return [response.body for response in parser.completed]


@pytest.mark.parametrize("size", [1, 7, 40, 1000])
def test_responses_do_not_depend_on_how_reads_split_the_bytes(
    size: int,
) -> None:
    """Guard against losing a response that spans several reads."""
    data = WITH_LENGTH + CHUNKED + INTERIM + WITH_LENGTH
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    assert bodies(parse(*parts)) == [b"ok", b"abcde", b"ok"]


def test_space_around_a_field_value_is_not_part_of_it() -> None:
    """Guard against an ID that passes for that of another request."""
    parser = parse(WITH_LENGTH.replace(b"X-Id: a", b"X-Id: \t a b \t "))
    assert parser.completed[0].get("x-id") == "a b"


def test_malformed_bytes_do_not_affect_completed_responses() -> None:
    """Guard against losing a response because of bytes that follow it."""
    parser = parse(WITH_LENGTH + b"garbage\r\n\r\n")
    assert bodies(parser) == [b"ok"]
    assert parser.error
    assert not parser.is_at_boundary


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
def test_status_outside_the_protocol_ends_the_parsing(status: bytes) -> None:
    """Guard against an answer that is skipped or passed on as it is."""
    parser = parse(WITH_LENGTH + WITH_LENGTH.replace(b"200", status) + CHUNKED)
    assert bodies(parser) == [b"ok"]
    assert parser.error == f"status {int(status)} is not valid"
    assert not parser.too_large
    assert not parser.held_bytes - sum(
        response.held_bytes for response in parser.completed
    )


def test_body_without_a_length_is_complete_at_an_orderly_close() -> None:
    """Guard against taking a truncated body for a complete one."""
    parser = parse(b"HTTP/1.1 200 OK\r\n\r\nabc")
    assert not parser.completed
    assert parser.feed_eof()
    assert bodies(parser) == [b"abc"]


def test_close_within_a_body_with_a_length_completes_no_response() -> None:
    """Guard against taking a truncated body for a complete one."""
    parser = parse(WITH_LENGTH[:-1])
    assert not parser.feed_eof()
    assert not parser.completed


FAILURE = WITH_LENGTH.replace(b"200 OK", b"500 Error")
HEAD = CHUNKED[: CHUNKED.index(b"\r\n\r\n") + 4]


@pytest.mark.parametrize("length", range(1, len(HEAD)))
def test_response_broken_off_in_its_head_lends_no_status_to_the_next(
    length: int,
) -> None:
    """Guard against a failure that is passed on as a success."""
    parser = parse(WITH_LENGTH + HEAD[:length] + FAILURE)
    assert bodies(parser) == [b"ok"]
    assert parser.error
    assert not parser.is_at_boundary


def test_response_broken_off_in_its_trailers_is_not_complete() -> None:
    """Guard against trailers that hide the answer behind them."""
    trailers = CHUNKED[:-2] + b"X-Checksum: 1"
    parser = parse(trailers + FAILURE)
    assert not parser.completed
    assert parser.error


def test_field_that_names_a_protocol_is_no_status_line() -> None:
    """Guard against answers that are refused because of their path."""
    fields = b"Via: HTTP/1.1 proxy1, 1.1 200\r\nX-Id: a"
    assert parse(WITH_LENGTH.replace(b"X-Id: a", fields)).completed
