"""Provide the command that shows the status of entry hosts."""

import asyncio
import sys
from typing import Any

from returns.result import Success
import rich.console
import rich.live
import rich.table
import typer

from samphirelug.components.commands import io_entry_host
from samphirelug.components.commands import output
from samphirelug.components.commands import settings
from samphirelug.components.commands import status_tables
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

WATCH_INTERVAL_S = 1.0


def status(
    entry_host_url: settings.EntryHostUrls = None,
    timeout_s: settings.TimeoutSeconds = 2.0,
    watch: settings.Watch = False,
    as_json: settings.Json = False,
) -> None:
    """Show the status that entry hosts report.

    Without a terminal, or with --json, --watch prints once.
    """
    urls = settings.require_urls(entry_host_url)
    if watch and not as_json and sys.stdout.isatty():
        try:
            asyncio.run(_watch(urls, timeout_s))
        except KeyboardInterrupt:
            return
    results = asyncio.run(_fetch_statuses(urls, timeout_s))
    if as_json:
        output.print_json(
            {
                url: output.refusal_body(answer)
                if isinstance(answer, result_codes.Refusal)
                else answer
                for url, answer in results.items()
            }
        )
    else:
        for table in status_tables.build_tables(_received_statuses(results)):
            typer.echo(f"{table.title}:")
            output.print_table(table.header, table.rows)
            typer.echo("")
    refusals = _refusals(results)
    for refusal in refusals:
        output.print_refusal(refusal)
    if refusals:
        raise typer.Exit(refusals[0].code.exit_code)


async def _watch(urls: list[str], timeout_s: float) -> None:
    """Refresh the tables until interrupted."""
    timer = timer_helper.LoopTimerService()
    with rich.live.Live(screen=True, auto_refresh=False) as live:
        while True:
            live.update(
                _render(await _fetch_statuses(urls, timeout_s)), refresh=True
            )
            await timer.sleep(WATCH_INTERVAL_S)


def _render(results: "StatusResults") -> rich.console.Group:
    parts: list[Any] = [refusal.detail for refusal in _refusals(results)]
    for table in status_tables.build_tables(_received_statuses(results)):
        rich_table = rich.table.Table(title=table.title, title_justify="left")
        for column in table.header:
            rich_table.add_column(column)
        for row in table.rows:
            rich_table.add_row(*row)
        parts.append(rich_table)
    return rich.console.Group(*parts)


StatusResults = dict[str, dict[str, Any] | result_codes.Refusal]


async def _fetch_statuses(urls: list[str], timeout_s: float) -> StatusResults:
    answers = await asyncio.gather(
        *(
            io_entry_host.get_json(f"{url}/v1/status", timeout_s=timeout_s)
            for url in urls
        )
    )
    results: StatusResults = {}
    for url, answer in zip(urls, answers, strict=True):
        if not isinstance(answer, Success):
            results[url] = answer.failure()
            continue
        body = answer.unwrap().body
        if answer.unwrap().status == 200 and isinstance(body, dict):
            results[url] = body
            continue
        results[url] = result_codes.Refusal(
            result_codes.ResultCode.ENTRY_HOST_UNREACHABLE,
            f"{url}: answered with status {answer.unwrap().status}",
        )
    return results


def _received_statuses(results: StatusResults) -> list[dict[str, Any]]:
    return [body for body in results.values() if isinstance(body, dict)]


def _refusals(results: StatusResults) -> list[result_codes.Refusal]:
    return [
        answer
        for answer in results.values()
        if isinstance(answer, result_codes.Refusal)
    ]
