"""Parse routes and header fields of callers' requests."""

from collections.abc import Mapping
import re
import urllib.parse
import uuid

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.gateway import model
from samphirelug import const
from samphirelug.helpers import http_fields
from samphirelug import result_codes

LOOKUP_PREFIX = "/v1/lookup/"
RUN_PREFIX = "/v1/run/"
OUTCOME_PATH = "/v1/outcome"
REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,128}")
# Header fields that are for the entry host or that it sets itself.
NOT_FORWARDED = frozenset(
    {
        "content-length",
        "expect",
        "host",
        const.HEADER_DEADLINE_MS.lower(),
        const.HEADER_HOME_REGION.lower(),
        const.HEADER_RUN_TOKEN.lower(),
        const.HEADER_REQUEST_ID.lower(),
    }
)


def refuse(
    code: result_codes.ResultCode, detail: str
) -> Failure[result_codes.Refusal]:
    """Return a refusal without a retry time, as a retry would fail."""
    return Failure(result_codes.Refusal(code, detail))


def parse_route(
    method: str, target: str
) -> Result[model.Route, result_codes.Refusal]:
    """Return the route of a request target; fails with UNKNOWN_PATH."""
    path, _, query = target.partition("?")
    if path.startswith(RUN_PREFIX):
        work, _, rest = path[len(RUN_PREFIX) :].partition("/")
        return Success(model.RunRoute(work, f"/{rest}", query))
    if method != "GET":
        return refuse(
            result_codes.ResultCode.UNKNOWN_PATH,
            f"{method} is not allowed for {path[:200]}",
        )
    if path.startswith(LOOKUP_PREFIX):
        places = urllib.parse.parse_qs(query).get("from", [""])
        return Success(
            model.LookupRoute(path[len(LOOKUP_PREFIX) :], places[0])
        )
    if path == OUTCOME_PATH:
        return Success(model.OutcomeRoute())
    return refuse(
        result_codes.ResultCode.UNKNOWN_PATH, f"no such path: {path[:200]}"
    )


def parse_headers(
    headers: Mapping[str, str],
) -> Result[model.RunHeaders, result_codes.Refusal]:
    """Parse and check the header fields for the entry host."""
    request_id = headers.get(const.HEADER_REQUEST_ID) or uuid.uuid4().hex
    if not REQUEST_ID_PATTERN.fullmatch(request_id):
        return refuse(
            result_codes.ResultCode.MALFORMED_REQUEST,
            f"{const.HEADER_REQUEST_ID} must be 1 to 128 visible characters",
        )
    deadline = _parse_deadline(headers.get(const.HEADER_DEADLINE_MS))
    if isinstance(deadline, Failure):
        return deadline
    length = _parse_length(headers)
    if isinstance(length, Failure):
        return length
    return Success(
        model.RunHeaders(
            request_id=request_id,
            deadline_s=deadline.unwrap(),
            home_region=headers.get(const.HEADER_HOME_REGION),
            run_token=headers.get(const.HEADER_RUN_TOKEN),
            content_length=length.unwrap(),
        )
    )


def forwarded_headers(
    header_fields: list[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the header fields to forward to the backend server."""
    return http_fields.end_to_end_fields(header_fields, dropped=NOT_FORWARDED)


def _parse_deadline(
    value: str | None,
) -> Result[float | None, result_codes.Refusal]:
    if value is None:
        return Success(None)
    if not re.fullmatch(r"[0-9]{1,6}", value) or int(value) == 0:
        return refuse(
            result_codes.ResultCode.DEADLINE_INVALID,
            f"{const.HEADER_DEADLINE_MS} is {value[:32]!r}; "
            f"allowed is 1 to {int(const.MAX_REQUEST_S * 1000)}",
        )
    return Success(min(int(value) / 1000, const.MAX_REQUEST_S))


def _parse_length(
    headers: Mapping[str, str],
) -> Result[int | None, result_codes.Refusal]:
    if headers.get("Transfer-Encoding") is not None:
        return Success(None)
    value = headers.get("Content-Length")
    if value is None:
        return Success(0)
    if not re.fullmatch(r"[0-9]{1,15}", value):
        return refuse(
            result_codes.ResultCode.MALFORMED_REQUEST,
            f"Content-Length is {value[:32]!r}; allowed is a whole number",
        )
    return Success(int(value))
