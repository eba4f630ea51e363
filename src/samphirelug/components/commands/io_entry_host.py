"""Ask entry hosts over HTTP for operator commands."""

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
    """Report the catalogue position of one host."""

    name: str
    availability_zone: str
    position: int
    state: str


class CatalogueStatus(TypedDict):
    """Report what one entry host knows of the catalogue's spread."""

    position: int
    hosts: list[HostPosition]
    rejected: dict[str, str]


class HttpAnswer(NamedTuple):
    """Hold the status and the JSON body of an answer."""

    status: int
    body: object


_STATUS = pydantic.TypeAdapter(CatalogueStatus)


async def get_json(
    url: str, *, timeout_s: float
) -> Result[HttpAnswer, result_codes.Refusal]:
    """Return a JSON answer; ENTRY_HOST_UNREACHABLE where there is none."""
    try:
        response = await httpclient.AsyncHTTPClient().fetch(
            url,
            raise_error=False,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        return Success(HttpAnswer(response.code, orjson.loads(response.body)))
    except (httpclient.HTTPError, OSError, ValueError) as error:
        return Failure(
            result_codes.Refusal(
                result_codes.ResultCode.ENTRY_HOST_UNREACHABLE,
                f"{url}: {str(error) or type(error).__name__}",
            )
        )


async def catalogue_status(
    url: str, *, timeout_s: float
) -> CatalogueStatus | None:
    """Return an entry host's catalogue status, if it gives one."""
    answer = await get_json(f"{url}/v1/catalogue/status", timeout_s=timeout_s)
    if not isinstance(answer, Success) or answer.unwrap().status != 200:
        return None
    try:
        return _STATUS.validate_python(answer.unwrap().body)
    except pydantic.ValidationError:
        return None


async def catalogue_statuses(
    urls: Sequence[str], *, timeout_s: float
) -> dict[str, CatalogueStatus | None]:
    """Return the catalogue status of each entry host, by URL."""
    answers = await asyncio.gather(
        *(catalogue_status(url, timeout_s=timeout_s) for url in urls)
    )
    return dict(zip(urls, answers, strict=True))
