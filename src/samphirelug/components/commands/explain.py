"""Tell a request's story from the logs of all entry hosts."""

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

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# Events up to this long before a request are likely to have decided it: the
# longest pause of a server and the grace after an outage are shorter.
DEFAULT_WINDOW_S = 10.0
REQUEST_MESSAGES = frozenset(
    ("request ended", "request cancelled", "request failed in this process")
)
# What changes a host's belief about more than one server.
HOST_MESSAGES = frozenset(
    (
        "configuration in force",
        "entry host started",
        "entry host stops",
        "evacuated zones changed",
        "settings reloaded",
        "store lost",
        "store regained",
    )
)
# Fields that stand in each line, or are told apart from the others.
COMMON_FIELDS = frozenset(("time", "level", "name", "message", "entry_host"))
_SERVER_NAME = re.compile(r"(\S+) has [0-9.]+ requests")


class LogLine(NamedTuple):
    """Hold one line of an entry host's log."""

    at: datetime.datetime
    host: str
    message: str
    fields: dict[str, Any]


def parse(lines: Iterable[str]) -> Iterator[LogLine]:
    """Return the log lines; skip what is none.

    A collector may have put text of its own before the JSON object.
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


def tell(
    log: Sequence[LogLine], request_id: str, *, window_s: float
) -> list[str]:
    """Return the story of a request, empty if no line has its id."""
    story: list[str] = []
    for index, line in enumerate(log):
        if line.fields.get("request_id") != request_id:
            continue
        if line.message not in REQUEST_MESSAGES:
            story.append(f"{_stamp(line)} {line.message}: {_rest(line)}")
            continue
        story += _outcome(line)
        story += _before(log[:index], line, window_s)
    return story


def _outcome(line: LogLine) -> list[str]:
    fields = line.fields
    story = [
        f"{_stamp(line)} {line.message} after {fields.get('took_ms')} ms:"
        f" {fields.get('status', 'no answer')} {fields.get('code', '')}"
    ]
    code = str(fields.get("code"))
    if code in result_codes.ResultCode.__members__:
        effect = result_codes.ResultCode[code].effect.value
        story.append(f"  code {code} means: {effect}")
    if fields.get("detail"):
        story.append(f"  reason: {fields['detail']}")
    if fields.get("retry_after_s"):
        story.append(f"  told to come back in {fields['retry_after_s']} s")
    story.append(
        f"  route {fields.get('route') or 'none'}, service"
        f" {fields.get('service') or 'none'}, object"
        f" {fields.get('object') or 'none'}, configuration"
        f" {fields.get('version')} in force for"
        f" {fields.get('version_age_s')} s"
    )
    attempts = fields.get("attempts") or []
    if not attempts:
        story.append("  sent to no server")
    for number, attempt in enumerate(attempts, 1):
        age = attempt.get("load_age_ms")
        known = "never reported" if age is None else f"{age} ms old"
        story.append(
            f"  attempt {number}: {attempt.get('server')} in"
            f" {attempt.get('zone')}, choice {attempt.get('choice')}, believed"
            f" to have {attempt.get('load')} requests for"
            f" {attempt.get('slots')} slots ({known}):"
            f" {attempt.get('outcome')} after {attempt.get('took_ms')} ms"
            f" {attempt.get('detail', '')}".rstrip()
        )
    return story


def _before(
    earlier: Sequence[LogLine], line: LogLine, window_s: float
) -> list[str]:
    """Return what the host learned of its servers just before."""
    servers = {
        attempt.get("server") for attempt in line.fields.get("attempts") or ()
    }
    servers.update(_SERVER_NAME.findall(line.fields.get("detail") or ""))
    since = line.at - datetime.timedelta(seconds=window_s)
    story = []
    for one in earlier:
        if one.host != line.host or not since <= one.at <= line.at:
            continue
        if one.message in HOST_MESSAGES or (
            one.message not in REQUEST_MESSAGES
            and one.fields.get("server") in servers
        ):
            before_s = (line.at - one.at).total_seconds()
            story.append(
                f"  {before_s:.3f} s before: {one.message}: {_rest(one)}"
            )
    return story


def _stamp(line: LogLine) -> str:
    return f"{line.at.time().isoformat('milliseconds')} {line.host}"


def _rest(line: LogLine) -> str:
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
    """Show how a request ended, and what decided it."""
    log: list[LogLine] = []
    for path in log_file:
        with path.open(encoding="utf-8", errors="replace") as lines:
            log.extend(parse(lines))
    story = tell(log, request_id, window_s=window_s)
    if not story:
        typer.echo(
            f"samphirelug: no line has the request id {request_id}; no entry"
            " host read the request, or its line was left out",
            err=True,
        )
        raise typer.Exit(1)
    for line in story:
        typer.echo(line)
