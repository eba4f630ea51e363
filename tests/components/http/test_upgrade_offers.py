"""Test the reading of requests that offer a change of the protocol."""

import hypothesis
from hypothesis import strategies
import pytest

from samphirelug.components.http import request_parser
from samphirelug.helpers import timer as timer_helper
from standins import forwarding as build

OFFERS = (
    b"Connection: Upgrade, HTTP2-Settings\r\n"
    b"Upgrade: h2c\r\nHTTP2-Settings: AAMA\r\n",
    b"Upgrade: websocket\r\nConnection: close, upgrade\r\n",
)
# A body that reads as a request.
BODY = b"DELETE /a HTTP/1.1\r\nHost: x\r\n\r\n"
FRAMED_BODIES = (
    b"\r\n",
    b"Content-Length: 0\r\n\r\n",
    b"Content-Length: %d\r\n\r\n%b" % (len(BODY), BODY),
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"Transfer-Encoding: chunked\r\n\r\n2\r\n%b\r\n%x\r\n%b\r\n0\r\n"
    b"X-Trailer: t\r\n\r\n" % (BODY[:2], len(BODY) - 2, BODY[2:]),
)
MALFORMED = (
    b"Transfer-Encoding: gzip\r\n\r\n",
    b"Transfer-Encoding: chunked\r\n\r\nz\r\n",
    b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
)


def parse(
    stream: bytes, *, cuts: list[int]
) -> list[tuple[request_parser.CallerMessage, bool]]:
    """Return the requests of a stream that arrives in parts."""
    parser = request_parser.RequestParser(
        limits=lambda: build.LIMITS,
        timer=timer_helper.ManualTimerService(),
        on_rejected=lambda _: None,
    )
    cuts = list(cuts)
    while stream:
        size = cuts.pop() if cuts else len(stream)
        parser.feed(stream[:size])
        stream = stream[size:]
    assert parser.started_at_s is None
    assert not parser.expects_continue
    return parser.completed


def without_offer(
    requests: list[tuple[request_parser.CallerMessage, bool]],
) -> list[tuple[request_parser.CallerMessage, bool]]:
    """Return the requests without the fields that make up the offer."""
    names = ("connection", "upgrade", "http2-settings")
    return [
        (
            message._replace(
                headers=tuple(
                    field
                    for field in message.headers
                    if field[0].lower() not in names
                )
            ),
            keep_alive,
        )
        for message, keep_alive in requests
    ]


@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
@hypothesis.given(
    method=strategies.sampled_from((b"POST", b"PUT", b"GET", b"DELETE")),
    version=strategies.sampled_from((b"1.1", b"1.0")),
    offer=strategies.sampled_from(OFFERS),
    bodies=strategies.lists(
        strategies.sampled_from(FRAMED_BODIES), min_size=1, max_size=4
    ),
    cuts=strategies.lists(strategies.integers(1, 40), max_size=40),
)
def test_offer_changes_neither_body_nor_number_of_requests(
    method: bytes,
    version: bytes,
    offer: bytes,
    bodies: list[bytes],
    cuts: list[int],
) -> None:
    """Guard against a body that is lost and read as the next request."""
    start = b"%b /b HTTP/%b\r\nHost: x\r\n" % (method, version)
    plain_field = (
        b"Connection: close\r\n" if b"close" in offer else b"Connection: x\r\n"
    )
    offered = b"".join(start + offer + body for body in bodies)
    plain = b"".join(start + plain_field + body for body in bodies)
    if b"close" in offer or version == b"1.0":
        # The parser reads nothing behind a request that ends the connection.
        offered = start + offer + bodies[0]
        plain = start + plain_field + bodies[0]
    assert without_offer(parse(offered, cuts=cuts)) == without_offer(
        parse(plain, cuts=[])
    )


@pytest.mark.parametrize("body", FRAMED_BODIES[1:])
def test_body_of_a_connect_request_is_not_the_next_request(
    body: bytes,
) -> None:
    """Guard against a request that runs although it stood in a body only."""
    stream = b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n" + body
    ((message, _),) = parse(stream, cuts=[])
    assert message.method == "CONNECT"
    assert message.body in (b"", BODY)


@pytest.mark.parametrize("offer", OFFERS)
@pytest.mark.parametrize("body", MALFORMED)
def test_offer_does_not_hide_a_malformed_body(
    offer: bytes, body: bytes
) -> None:
    """Guard against framing that a server may read in another way."""
    stream = b"POST /b HTTP/1.1\r\nHost: x\r\n" + offer + body
    with pytest.raises(request_parser.RequestError) as raised:
        parse(stream, cuts=[])
    assert raised.value.status == 400


def test_caller_with_an_offer_is_told_to_send_its_body() -> None:
    """Guard against a caller that waits for "100 Continue" in vain."""
    parser = request_parser.RequestParser(
        limits=lambda: build.LIMITS,
        timer=timer_helper.ManualTimerService(),
        on_rejected=lambda _: None,
    )
    parser.feed(
        b"POST /b HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
        + OFFERS[0]
        + b"Content-Length: 3\r\n\r\n"
    )
    assert parser.expects_continue
    assert not parser.completed
    parser.feed(b"abc")
    ((message, _),) = parser.completed
    assert message.body == b"abc"
