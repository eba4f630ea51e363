"""Provide the command that looks up entry hosts for a work entry."""

import asyncio
from collections.abc import Mapping
from typing import Annotated
import urllib.parse

from returns.result import Failure
from returns.result import Result
from returns.result import Success
import typer

from samphirelug.components.commands import io_entry_host
from samphirelug.components.commands import output
from samphirelug.components.commands import settings
from samphirelug import result_codes

CallerUrls = Annotated[
    list[str],
    typer.Option(
        "--caller-url",
        envvar="SAMPHIRELUG_CALLER_URL",
        callback=settings.check_urls,
        help="Base URL of an entry host for callers; repeatable.",
    ),
]
Place = Annotated[
    str,
    typer.Option(
        "--from",
        envvar="SAMPHIRELUG_FROM",
        help="Availability zone or region of the caller.",
    ),
]


def lookup(
    work: str,
    caller_url: CallerUrls,
    place: Place,
    timeout_s: settings.TimeoutSeconds = 2.0,
    as_json: settings.Json = False,
) -> None:
    """Show the entry hosts that a look-up returns to a caller."""
    answer = asyncio.run(_fetch_answer(work, caller_url, place, timeout_s))
    if not isinstance(answer, Success):
        output.fail(answer.failure(), as_json=as_json)
    body = answer.unwrap()
    if as_json:
        output.print_json(body)
        return
    for field in ("work", "rank", "keep_s", "run_token"):
        typer.echo(f"{field}: {body.get(field)}")
    hosts = body.get("entry_hosts")
    columns = ("name", "availability_zone", "region", "url")
    output.print_table(
        columns,
        [
            [host.get(column, "") for column in columns]
            for host in (hosts if isinstance(hosts, list) else ())
        ],
    )


async def _fetch_answer(
    work: str, urls: list[str], place: str, timeout_s: float
) -> Result[Mapping[str, object], result_codes.Refusal]:
    refusal = result_codes.Refusal(
        result_codes.ResultCode.ENTRY_HOST_UNREACHABLE, "no URL is given"
    )
    query = urllib.parse.urlencode({"from": place})
    path = f"/v1/lookup/{urllib.parse.quote(work, safe='')}?{query}"
    for url in urls:
        answer = await io_entry_host.get_json(
            f"{url}{path}", timeout_s=timeout_s
        )
        if not isinstance(answer, Success):
            refusal = answer.failure()
            continue
        status, body = answer.unwrap()
        if status == 200 and isinstance(body, Mapping):
            return Success(body)
        refusal = _parse_refusal(url, status, body)
        # Every other host would give the same answer.
        if refusal.code is result_codes.ResultCode.UNKNOWN_WORK:
            break
    return Failure(refusal)


def _parse_refusal(
    url: str, status: int, body: object
) -> result_codes.Refusal:
    if isinstance(body, Mapping):
        try:
            return result_codes.Refusal(
                result_codes.ResultCode(body.get("code", -1)),
                f"{url}: {body.get('detail', '')}",
            )
        except ValueError:
            pass
    return result_codes.Refusal(
        result_codes.ResultCode.ENTRY_HOST_UNREACHABLE,
        f"{url}: answered with status {status}",
    )
