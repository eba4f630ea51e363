"""Query entry hosts over HTTP."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

import orjson
import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from tornado import httpclient
from typing_extensions import TypedDict

from samphirelug import result_codes


class HostPosition(TypedDict):
    """Represent the catalogue position of one host."""

    name: str
    availability_zone: str
    position: int
    state: str


class CatalogueStatus(TypedDict):
    """Represent the catalogue status that one entry host reports."""

    position: int
    hosts: list[HostPosition]
    rejected: dict[str, str]


class JsonAnswer(NamedTuple):
    """Represent the status and the JSON body of an HTTP answer."""

    status: int
    body: object


_CATALOGUE_STATUS_ADAPTER = pydantic.TypeAdapter(CatalogueStatus)


async def get_json(
    url: str, *, timeout_s: float
) -> Result[JsonAnswer, result_codes.Refusal]:
    """Return a JSON answer, or ENTRY_HOST_UNREACHABLE without one."""
    try:
        response = await httpclient.AsyncHTTPClient().fetch(
            url,
            raise_error=False,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        return Success(JsonAnswer(response.code, orjson.loads(response.body)))
    except (httpclient.HTTPError, OSError, ValueError) as error:
        return Failure(
            result_codes.Refusal(
                result_codes.ResultCode.ENTRY_HOST_UNREACHABLE,
                f"{url}: {str(error) or type(error).__name__}",
            )
        )


async def fetch_catalogue_status(
    url: str, *, timeout_s: float
) -> CatalogueStatus | None:
    """Return the catalogue status of an entry host, None on failure."""
    answer = await get_json(f"{url}/v1/catalogue/status", timeout_s=timeout_s)
    if not isinstance(answer, Success) or answer.unwrap().status != 200:
        return None
    try:
        return _CATALOGUE_STATUS_ADAPTER.validate_python(answer.unwrap().body)
    except pydantic.ValidationError:
        return None


async def fetch_catalogue_statuses(
    urls: Sequence[str], *, timeout_s: float
) -> dict[str, CatalogueStatus | None]:
    """Return the catalogue status of each entry host, by URL."""
    answers = await asyncio.gather(
        *(fetch_catalogue_status(url, timeout_s=timeout_s) for url in urls)
    )
    return dict(zip(urls, answers, strict=True))
