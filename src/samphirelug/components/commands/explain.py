"""Explain the result of a request from the logs of entry hosts."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import datetime
import pathlib
import re
from typing import Annotated
from typing import Any
from typing import NamedTuple

import orjson
import typer

from samphirelug import result_codes

# Format of the field time.
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# Events up to this long before a request are listed as possible causes: the
# longest pause of a server and the grace period after an outage are shorter.
DEFAULT_WINDOW_S = 10.0
# Messages on the end of a request. These and HOST_MESSAGES must not change, as
# logs of earlier builds have to be readable.
REQUEST_MESSAGES = frozenset(
    ("request ended", "request cancelled", "request failed in this process")
)
# Events that can change what a host knows of more than one server.
HOST_MESSAGES = frozenset(
    (
        "configuration in force",
        "configuration refused; keeping the one in force",
        "configuration refused and none is in force, so that this host is not"
        " ready",
        "entry host started",
        "entry host stops",
        "evacuated zones changed",
        "no longer follows an entry host",
        "reads the store",
        "settings reloaded",
        "stops reading the store",
        "store lost",
        "store regained",
        "task failed",
    )
)
# Fields of every log line, which the report omits or shows separately.
COMMON_FIELDS = frozenset(("time", "level", "name", "message", "entry_host"))
# Pattern of the servers that the detail of a refusal names as full.
_SERVER_NAME = re.compile(r"(\S+) has [0-9.]+ requests")


class LogLine(NamedTuple):
    """Represent one line of an entry host's log."""

    logged_at: datetime.datetime
    host: str
    message: str
    fields: dict[str, Any]


def parse(lines: Iterable[str]) -> Iterator[LogLine]:
    """Return the parsed log lines; skip text that is not a log line.

    Text that a log collector adds before the JSON object is ignored.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = orjson.loads(line[start:])
            yield LogLine(
                datetime.datetime.strptime(fields["time"], TIME_FORMAT),
                fields["entry_host"],
                fields["message"],
                fields,
            )
        except (ValueError, KeyError, TypeError):
            continue


def describe_request(
    log: Sequence[LogLine], request_id: str, *, window_s: float
) -> list[str]:
    """Return the report on a request; empty if no line has its id."""
    report: list[str] = []
    for index, line in enumerate(log):
        if line.fields.get("request_id") != request_id:
            continue
        if line.message not in REQUEST_MESSAGES:
            report.append(
                f"{_prefix(line)} {line.message}: {_fields_text(line)}"
            )
            continue
        report += _describe_result(line)
        report += _preceding_events(log[:index], line, window_s)
    return report


def _describe_result(line: LogLine) -> list[str]:
    fields = line.fields
    report = [
        f"{_prefix(line)} {line.message} after {fields.get('took_ms')} ms:"
        f" {fields.get('status', 'no answer')} {fields.get('code', '')}"
    ]
    code = str(fields.get("code"))
    status = fields.get("status")
    if isinstance(status, int) and status >= 500 and code == "OK":
        report.append(
            "  the server ran the request and answered with this error"
        )
    elif code in result_codes.ResultCode.__members__:
        effect = result_codes.ResultCode[code].effect.value
        report.append(f"  code {code} means: {effect}")
    if fields.get("detail"):
        report.append(f"  reason: {fields['detail']}")
    if fields.get("retry_after_s"):
        report.append(f"  told to retry in {fields['retry_after_s']} s")
    report.append(
        f"  route {fields.get('route') or 'none'}, service"
        f" {fields.get('service') or 'none'}, object"
        f" {fields.get('object') or 'none'}, configuration"
        f" {fields.get('version')} in force for"
        f" {fields.get('version_age_s')} s"
    )
    if fields.get("team"):
        report.append(f"  team {fields['team']}")
    if fields.get("key_digest"):
        report.append(
            f"  digest of the key begins with {fields['key_digest']}"
        )
    attempts = fields.get("attempts") or []
    if not attempts:
        report.append("  sent to no server")
    for number, attempt in enumerate(attempts, 1):
        age = attempt.get("load_age_ms")
        load_age = "never reported" if age is None else f"{age} ms old"
        report.append(
            f"  attempt {number}: {attempt.get('server')} in"
            f" {attempt.get('zone')}, choice {attempt.get('choice')},"
            f" estimated to have {attempt.get('load')} requests for"
            f" {attempt.get('slots')} slots ({load_age}){_cold(attempt)}:"
            f" {attempt.get('outcome')} after {attempt.get('took_ms')} ms"
            f" {attempt.get('detail', '')}".rstrip()
        )
    return report


def _cold(attempt: dict[str, Any]) -> str:
    """Return what the host knew of the server's cold start, if any."""
    if "cold_for_ms" not in attempt:
        return ""
    return (
        f", cold for {attempt['cold_for_ms']} ms, its rate shared by"
        f" {attempt.get('hosts')} hosts"
    )


def _preceding_events(
    earlier_lines: Sequence[LogLine], line: LogLine, window_s: float
) -> list[str]:
    """Return earlier events of the host and of the request's servers."""
    servers = {
        attempt.get("server") for attempt in line.fields.get("attempts") or ()
    }
    servers.update(_SERVER_NAME.findall(line.fields.get("detail") or ""))
    earliest = line.logged_at - datetime.timedelta(seconds=window_s)
    report = []
    for event in earlier_lines:
        if (
            event.host != line.host
            or not earliest <= event.logged_at <= line.logged_at
        ):
            continue
        if event.message in HOST_MESSAGES or (
            event.message not in REQUEST_MESSAGES
            and event.fields.get("server") in servers
        ):
            before_s = (line.logged_at - event.logged_at).total_seconds()
            report.append(
                f"  {before_s:.3f} s before: {event.message}:"
                f" {_fields_text(event)}"
            )
    return report


def _prefix(line: LogLine) -> str:
    return f"{line.logged_at.time().isoformat('milliseconds')} {line.host}"


def _fields_text(line: LogLine) -> str:
    return ", ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in COMMON_FIELDS
    )


def explain(
    request_id: str,
    log_file: Annotated[
        list[pathlib.Path],
        typer.Option(
            "--log",
            envvar="SAMPHIRELUG_LOG",
            exists=True,
            dir_okay=False,
            help="Log of one or more entry hosts; repeatable.",
        ),
    ],
    window_s: Annotated[
        float,
        typer.Option(
            min=0.0, help="Seconds before the request to look for causes."
        ),
    ] = DEFAULT_WINDOW_S,
) -> None:
    """Show how a request ended, and the events that may explain it."""
    log: list[LogLine] = []
    for path in log_file:
        with path.open(encoding="utf-8", errors="replace") as lines:
            log.extend(parse(lines))
    # Files may be given in any order, and hosts log at the same time.
    log.sort(key=lambda line: line.logged_at)
    report = describe_request(log, request_id, window_s=window_s)
    if not report:
        typer.echo(
            f"samphirelug: no log line has the request id {request_id}: no"
            " entry host read the request, or the log rate limit omitted it",
            err=True,
        )
        raise typer.Exit(1)
    for line in report:
        typer.echo(line)
