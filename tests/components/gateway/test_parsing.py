"""Test how targets and header fields of requests are parsed."""

from returns.result import Failure
from returns.result import Success

from samphirelug.components.gateway import model
from samphirelug.components.gateway import parsing
from samphirelug import const
from samphirelug import result_codes

Code = result_codes.ResultCode


def test_run_route_keeps_path_and_query() -> None:
    """Guard against forwarding a changed path or query."""
    route = parsing.parse_route("POST", "/v1/run/pay-fee/a/b%2Fc?x=1&y=%20")
    assert route == Success(model.RunRoute("pay-fee", "/a/b%2Fc", "x=1&y=%20"))
    route = parsing.parse_route("GET", "/v1/run/pay-fee")
    assert route == Success(model.RunRoute("pay-fee", "/", ""))


def test_unknown_targets_are_refused() -> None:
    """Guard against serving an undefined path or method."""
    for method, target in (
        ("GET", "/"),
        ("GET", "/v2/run/x"),
        ("POST", "/v1/lookup/x"),
        ("DELETE", "/v1/outcome"),
    ):
        result = parsing.parse_route(method, target)
        assert isinstance(result, Failure)
        assert result.failure().code is Code.UNKNOWN_PATH


def test_malformed_header_fields_are_named_in_the_refusal() -> None:
    """Guard against replacing a malformed value by a default."""
    for name, value, code in (
        (const.HEADER_DEADLINE_MS, "0", Code.DEADLINE_INVALID),
        (const.HEADER_DEADLINE_MS, "-5", Code.DEADLINE_INVALID),
        (const.HEADER_DEADLINE_MS, "1e3", Code.DEADLINE_INVALID),
        (const.HEADER_REQUEST_ID, "a b", Code.MALFORMED_REQUEST),
        (const.HEADER_REQUEST_ID, "x" * 129, Code.MALFORMED_REQUEST),
        ("Content-Length", "+4", Code.MALFORMED_REQUEST),
    ):
        result = parsing.parse_headers({name: value})
        assert isinstance(result, Failure)
        assert result.failure().code is code
        assert name in result.failure().detail


def test_deadline_is_bounded() -> None:
    """Guard against requests that use units past their reservation.

    The quota units of a lost host stay reserved for MAX_REQUEST_S only.
    """
    result = parsing.parse_headers({const.HEADER_DEADLINE_MS: "999999"})
    assert result.unwrap().deadline_s == const.MAX_REQUEST_S


def test_connection_fields_are_not_forwarded() -> None:
    """Guard against forwarding hop-by-hop header fields."""
    header_fields = [
        ("Connection", "close, X-Private"),
        ("X-Private", "1"),
        ("Transfer-Encoding", "chunked"),
        ("Host", "entry"),
        ("X-Kept", "a"),
        ("X-Kept", "b"),
    ]
    assert parsing.forwarded_headers(header_fields) == (
        ("X-Kept", "a"),
        ("X-Kept", "b"),
    )
