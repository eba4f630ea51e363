"""Show the status of entry hosts."""

import asyncio

from returns.result import Result
from returns.result import Success
import typer
import yaml

from samphirelug.components.commands import io_entry_host
from samphirelug.components.commands import output
from samphirelug.components.commands import settings
from samphirelug import result_codes


def status(
    entry_host_url: settings.EntryHostUrls = None,
    timeout_s: settings.TimeoutSeconds = 2.0,
    as_json: settings.Json = False,
) -> None:
    """Show what entry hosts report of themselves."""
    urls = settings.require_urls(entry_host_url)
    answers = asyncio.run(_ask(urls, timeout_s))
    found: dict[str, object] = {}
    refusals: list[result_codes.Refusal] = []
    for url, answer in answers.items():
        if not isinstance(answer, Success):
            refusals.append(answer.failure())
            found[url] = output.refusal_body(answer.failure())
        elif answer.unwrap().status != 200:
            refusal = result_codes.Refusal(
                result_codes.ResultCode.ENTRY_HOST_UNREACHABLE,
                f"{url}: answered with status {answer.unwrap().status}",
            )
            refusals.append(refusal)
            found[url] = output.refusal_body(refusal)
        else:
            found[url] = answer.unwrap().body
    if as_json:
        output.print_json(found)
    else:
        text = yaml.safe_dump(found, sort_keys=False, allow_unicode=True)
        typer.echo(text, nl=False)
    if refusals:
        for refusal in refusals:
            output.print_refusal(refusal)
        raise typer.Exit(refusals[0].code.exit_code)


async def _ask(
    urls: list[str], timeout_s: float
) -> dict[str, Result[io_entry_host.HttpAnswer, result_codes.Refusal]]:
    answers = await asyncio.gather(
        *(
            io_entry_host.get_json(f"{url}/v1/status", timeout_s=timeout_s)
            for url in urls
        )
    )
    return dict(zip(urls, answers, strict=True))
