"""Provide the commands that read and change catalogue entries."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import sys
from typing import Any
from typing import TypeVar
import uuid

from returns.result import Result
from returns.result import Success
import rich.console
import typer
import yaml

from samphirelug.components.catalogue import diff as catalogue_diff
from samphirelug.components.catalogue import schema
from samphirelug.components.catalogue import writer as catalogue_writer
from samphirelug.components.commands import documents
from samphirelug.components.commands import in_force
from samphirelug.components.commands import io_entry_host
from samphirelug.components.commands import output
from samphirelug.components.commands import settings
from samphirelug.components.store import budget
from samphirelug.components.store import io_http_store
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

Value = TypeVar("Value")

# Timeout of one query while a command waits for its change to be in force.
STATUS_TIMEOUT_S = 2.0
# Limits on the store calls of one command. A command writes entries one by
# one, and an operator's file may contain a whole catalogue; with the lower
# limits of an entry host, writing it would take too long.
COMMAND_LIMITS: Mapping[budget.CallKind, budget.CallLimit] = {
    budget.CallKind.READ: budget.CallLimit(calls_per_s=20.0, burst=50),
    budget.CallKind.WRITE: budget.CallLimit(calls_per_s=20.0, burst=50),
    budget.CallKind.WATCH: budget.CallLimit(calls_per_s=1.0, burst=1),
}

app = typer.Typer(
    help="Read and change catalogue entries.", no_args_is_help=True
)


@app.command(cls=settings.Command)
def get(
    key: settings.Key,
    store_url: settings.StoreUrl,
    as_json: settings.Json = False,
) -> None:
    """Print an entry with its revision, ready to edit and apply."""
    catalogue = _load_catalogue(store_url, as_json=as_json)
    if key in catalogue.invalid:
        output.fail(
            result_codes.Refusal(
                result_codes.ResultCode.CATALOGUE_INVALID,
                f"{key}: {catalogue.invalid[key]}",
            ),
            as_json=as_json,
        )
    if key not in catalogue.entries:
        output.fail(
            result_codes.Refusal(
                result_codes.ResultCode.OBJECT_NOT_FOUND,
                f"{key}: not in the catalogue",
            ),
            as_json=as_json,
        )
    entry = schema.dump_entry(catalogue.entries[key])
    revision = catalogue.revisions[key]
    if as_json:
        output.print_json({"key": key, "revision": revision, "entry": entry})
        return
    typer.echo(
        yaml.safe_dump(
            {documents.REVISION_FIELD: revision, **entry}, sort_keys=False
        ),
        nl=False,
    )


@app.command("list", cls=settings.Command)
def list_entries(
    store_url: settings.StoreUrl,
    kind: settings.Kind = None,
    as_json: settings.Json = False,
) -> None:
    """List the entries with their revisions and owners."""
    catalogue = _load_catalogue(store_url, as_json=as_json)
    rows = [
        (
            key,
            catalogue.revisions[key],
            catalogue.entries[key]["owner"]
            if key in catalogue.entries
            else f"invalid: {catalogue.invalid[key]}",
        )
        for key in sorted({*catalogue.entries, *catalogue.invalid})
        if kind is None or key.startswith(f"{kind}/")
    ]
    columns = ("key", "revision", "owner")
    if as_json:
        output.print_json(
            [dict(zip(columns, row, strict=True)) for row in rows]
        )
        return
    output.print_table(columns, rows)


@app.command(cls=settings.Command)
def validate(
    files: settings.Files,
    store_url: settings.OptionalStoreUrl = None,
    as_json: settings.Json = False,
) -> None:
    """Validate entries, against the store's catalogue if it is given."""
    wanted = _read_files(files, as_json=as_json).entries
    catalogue = catalogue_writer.Catalogue(0, {}, {}, {})
    if store_url is not None:
        catalogue = _load_catalogue(store_url, as_json=as_json)
    ordered = catalogue_writer.order_changes(catalogue, wanted)
    if not isinstance(ordered, Success):
        output.fail(ordered.failure(), as_json=as_json)
    if as_json:
        output.print_json({"valid": list(wanted)})
    else:
        typer.echo(f"{len(wanted)} entries are valid")


@app.command(cls=settings.Command)
def diff(
    files: settings.Files,
    store_url: settings.StoreUrl,
    as_json: settings.Json = False,
) -> None:
    """Show how files differ from the store's catalogue."""
    wanted = _read_files(files, as_json=as_json).entries
    catalogue = _load_catalogue(store_url, as_json=as_json)
    changes = catalogue_diff.changed_entries(
        current=catalogue.entries, wanted=wanted
    )
    if as_json:
        output.print_json(
            [
                {
                    "key": change.key,
                    "before": _dump_or_none(change.before),
                    "after": _dump_or_none(change.after),
                }
                for change in changes
            ]
        )
        return
    for change in changes:
        typer.echo(catalogue_diff.unified_diff(change), nl=False)


@app.command(cls=settings.Command)
def apply(
    files: settings.Files,
    store_url: settings.StoreUrl,
    entry_host_url: settings.EntryHostUrls = None,
    wait: settings.Wait = False,
    timeout_s: settings.TimeoutSeconds = 10.0,
    as_json: settings.Json = False,
) -> None:
    """Write entries one by one, in an order that keeps references valid."""
    urls = settings.require_urls(entry_host_url) if wait else None
    changes = _read_files(files, as_json=as_json)
    _apply_changes(
        store_url,
        changes.entries,
        changes.expected,
        urls=urls,
        timeout_s=timeout_s,
        as_json=as_json,
    )


@app.command(cls=settings.Command)
def delete(
    keys: settings.Keys,
    store_url: settings.StoreUrl,
    revision: settings.Revision = None,
    entry_host_url: settings.EntryHostUrls = None,
    wait: settings.Wait = False,
    timeout_s: settings.TimeoutSeconds = 10.0,
    as_json: settings.Json = False,
) -> None:
    """Delete entries, except those that other entries refer to."""
    urls = settings.require_urls(entry_host_url) if wait else None
    _apply_changes(
        store_url,
        dict.fromkeys(keys),
        {} if revision is None else dict.fromkeys(keys, revision),
        urls=urls,
        timeout_s=timeout_s,
        as_json=as_json,
    )


@app.command(cls=settings.Command)
def status(
    entry_host_url: settings.EntryHostUrls = None,
    revision: settings.Revision = None,
    timeout_s: settings.TimeoutSeconds = 2.0,
    as_json: settings.Json = False,
) -> None:
    """Show the catalogue position of every host.

    With a revision, fail with NOT_IN_FORCE if a host has not reached it.
    """
    urls = settings.require_urls(entry_host_url)
    statuses = asyncio.run(
        io_entry_host.fetch_catalogue_statuses(urls, timeout_s=timeout_s)
    )
    if as_json:
        output.print_json(statuses)
    else:
        _print_statuses(statuses)
    if not any(statuses.values()):
        refusal = result_codes.Refusal(
            result_codes.ResultCode.ENTRY_HOST_UNREACHABLE,
            f"no entry host answered: {', '.join(urls)}",
        )
        output.print_refusal(refusal)
        raise typer.Exit(refusal.code.exit_code)
    if revision is None:
        return
    propagation = in_force.merge_statuses(statuses, revision=revision, keys=())
    if not propagation.complete:
        refusal = result_codes.Refusal(
            result_codes.ResultCode.NOT_IN_FORCE,
            f"revision {revision} is not in force on:"
            f" {', '.join(propagation.lagging)}",
        )
        output.print_refusal(refusal)
        raise typer.Exit(refusal.code.exit_code)


def _print_statuses(statuses: in_force.Statuses) -> None:
    hosts: dict[str, io_entry_host.HostPosition] = {}
    for url, url_status in statuses.items():
        if url_status is None:
            typer.echo(f"{url}: no answer", err=True)
            continue
        for host in url_status["hosts"]:
            known_host = hosts.get(host["name"])
            if known_host is None or known_host["position"] < host["position"]:
                hosts[host["name"]] = host
        for key, reason in url_status["rejected"].items():
            typer.echo(f"{url} rejected {key}: {reason}", err=True)
    output.print_table(
        ("name", "availability_zone", "position", "state"),
        [
            (
                host["name"],
                host["availability_zone"],
                host["position"],
                host["state"],
            )
            for _, host in sorted(hosts.items())
        ],
    )


def _apply_changes(
    store_url: str,
    wanted: Mapping[str, schema.Entry | None],
    expected: Mapping[str, int],
    *,
    urls: list[str] | None,
    timeout_s: float,
    as_json: bool,
) -> None:
    report = _with_writer(
        store_url, lambda writer: writer.apply(wanted, expected=expected)
    )
    refusal = report.refusal
    if not as_json:
        _print_report(report)
    if refusal is None and urls is not None:
        refusal = asyncio.run(
            _wait_in_force(
                urls,
                revision=max(item.revision for item in report.entries),
                keys=list(wanted),
                timeout_s=timeout_s,
            )
        )
    if as_json:
        body: dict[str, object] = {
            "entries": [item._asdict() for item in report.entries],
            "revision": report.revision,
            "warnings": list(report.warnings),
            "in_force": urls is not None and refusal is None,
        }
        if refusal is not None:
            body["refusal"] = output.refusal_body(refusal)
        output.print_json(body)
    elif refusal is not None:
        output.print_refusal(refusal)
    elif urls is not None:
        typer.echo("in force on every host")
    if refusal is not None:
        raise typer.Exit(refusal.code.exit_code)


def _print_report(report: catalogue_writer.ApplyReport) -> None:
    for item in report.entries:
        revision = f" at revision {item.revision}" if item.revision else ""
        outcome = item.outcome.replace("_", " ")
        typer.echo(f"{item.key}: {outcome}{revision}")
    for warning in report.warnings:
        typer.echo(
            f"warning: invalid after a concurrent change: {warning}",
            err=True,
        )


async def _wait_in_force(
    urls: list[str], *, revision: int, keys: list[str], timeout_s: float
) -> result_codes.Refusal | None:
    console = rich.console.Console(stderr=True)

    async def fetch_statuses() -> in_force.Statuses:
        return await io_entry_host.fetch_catalogue_statuses(
            urls, timeout_s=min(STATUS_TIMEOUT_S, timeout_s)
        )

    async def wait(
        on_progress: Callable[[in_force.Propagation], None],
    ) -> result_codes.Refusal | None:
        return await in_force.wait_in_force(
            fetch_statuses=fetch_statuses,
            revision=revision,
            keys=keys,
            timeout_s=timeout_s,
            timer=timer_helper.LoopTimerService(),
            on_progress=on_progress,
        )

    if not sys.stderr.isatty():
        return await wait(lambda _: None)
    with console.status("waiting for entry hosts") as spinner:
        return await wait(
            lambda propagation: spinner.update(
                f"in force on {len(propagation.in_force)} hosts; waiting for"
                f" {', '.join(propagation.lagging) or 'none'}"
            )
        )


def _dump_or_none(entry: schema.Entry | None) -> dict[str, Any] | None:
    return None if entry is None else schema.dump_entry(entry)


def _read_files(files: list[str], *, as_json: bool) -> documents.Documents:
    return _unwrap_or_exit(documents.read_files(files), as_json=as_json)


def _load_catalogue(
    store_url: str, *, as_json: bool
) -> catalogue_writer.Catalogue:
    return _unwrap_or_exit(
        _with_writer(store_url, lambda writer: writer.load()),
        as_json=as_json,
    )


def _unwrap_or_exit(
    result: Result[Value, result_codes.Refusal], *, as_json: bool
) -> Value:
    if not isinstance(result, Success):
        output.fail(result.failure(), as_json=as_json)
    value: Value = result.unwrap()
    return value


def _with_writer(
    store_url: str,
    action: Callable[[catalogue_writer.CatalogueWriter], Awaitable[Value]],
) -> Value:
    async def run() -> Value:
        timer = timer_helper.LoopTimerService()
        store = io_http_store.HttpObjectStore(
            base_url=store_url,
            budget=budget.CallBudget(timer=timer, limits=COMMAND_LIMITS),
        )
        try:
            return await action(
                catalogue_writer.CatalogueWriter(
                    store=store,
                    timer=timer,
                    new_change_id=lambda: uuid.uuid4().hex,
                )
            )
        finally:
            store.close()

    return asyncio.run(run())
