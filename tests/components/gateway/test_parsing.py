"""Test how requests' targets and header fields are read."""

from returns.result import Failure
from returns.result import Success

from samphirelug.components.gateway import model
from samphirelug.components.gateway import parsing
from samphirelug import const
from samphirelug import result_codes

Code = result_codes.ResultCode


def test_run_route_keeps_path_and_query() -> None:
    """Guards against a request that reaches another resource."""
    route = parsing.parse_route("POST", "/v1/run/pay-fee/a/b%2Fc?x=1&y=%20")
    assert route == Success(model.RunRoute("pay-fee", "/a/b%2Fc", "x=1&y=%20"))
    route = parsing.parse_route("GET", "/v1/run/pay-fee")
    assert route == Success(model.RunRoute("pay-fee", "/", ""))


def test_unknown_targets_are_refused() -> None:
    """Guards against a path that is served without being meant."""
    for method, target in (
        ("GET", "/"),
        ("GET", "/v2/run/x"),
        ("POST", "/v1/lookup/x"),
        ("DELETE", "/v1/outcome"),
    ):
        result = parsing.parse_route(method, target)
        assert isinstance(result, Failure)
        assert result.failure().code is Code.UNKNOWN_PATH


def test_bad_header_fields_are_named() -> None:
    """Guards against a malformed field that is taken as a default."""
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
    """Guards against units that are held longer than others wait for."""
    result = parsing.parse_headers({const.HEADER_DEADLINE_MS: "999999"})
    assert result.unwrap().deadline_s == const.MAX_REQUEST_S


def test_connection_fields_are_not_forwarded() -> None:
    """Guards against hop-by-hop fields that leak to the next hop."""
    pairs = [
        ("Connection", "close, X-Private"),
        ("X-Private", "1"),
        ("Transfer-Encoding", "chunked"),
        ("Host", "entry"),
        ("X-Kept", "a"),
        ("X-Kept", "b"),
    ]
    assert parsing.forwarded_headers(pairs) == (
        ("X-Kept", "a"),
        ("X-Kept", "b"),
    )
