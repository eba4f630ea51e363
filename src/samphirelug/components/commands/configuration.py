"""Provide the commands on configurations by which requests are routed."""

import importlib
import pathlib
import sys
from typing import Annotated

from returns.result import Failure
from returns.result import Result
import typer

from samphirelug.components.commands import output
from samphirelug.components.commands import settings
from samphirelug.components.routing import credentials as routing_credentials
from samphirelug.components.routing import model
from samphirelug.helpers import credentials
from samphirelug import result_codes

# Characters of a digest that are shown, as in the logs of entry hosts.
SHOWN_DIGEST_LENGTH = 8

app = typer.Typer(
    help="Examine configurations of the platform.", no_args_is_help=True
)

Adapter = Annotated[
    str,
    typer.Option(
        envvar="SAMPHIRELUG_ADAPTER",
        help="Python module that reads the platform's configurations.",
    ),
]


@app.callback()
def _root() -> None:
    """Examine configurations of the platform."""


@app.command(cls=settings.Command)
def team(
    file: pathlib.Path,
    against: Annotated[
        pathlib.Path | None,
        typer.Option(help="File with another version to compare with."),
    ] = None,
    adapter: Adapter = "samphirelug_platform.documents",
    as_json: settings.Json = False,
) -> None:
    """Tell which team of a configuration holds a key.

    The key is read from standard input, or from a prompt without echo, and is
    not shown.
    """
    configurations = []
    for path in (file, against):
        if path is not None:
            read = _read(path, adapter)
            if isinstance(read, Failure):
                output.fail(read.failure(), as_json=as_json)
            configurations.append(read.unwrap())
    key_digest = credentials.digest(_read_key())
    if not key_digest:
        output.fail(
            result_codes.Refusal(
                result_codes.ResultCode.SETTING_INVALID,
                "standard input is no key; allowed: 1 to"
                f" {credentials.MAX_KEY_BYTES} bytes",
            ),
            as_json=as_json,
        )
    configurations.sort(key=lambda configuration: configuration.version)
    holders = [_holder(each, key_digest) for each in configurations]
    change = _describe_change(holders)
    if as_json:
        output.print_json(
            {
                "key_digest": key_digest[:SHOWN_DIGEST_LENGTH],
                "versions": [
                    {"version": each.version, "team": holder}
                    for each, holder in zip(
                        configurations, holders, strict=True
                    )
                ],
                "change": change,
            }
        )
    else:
        typer.echo(f"key with digest {key_digest[:SHOWN_DIGEST_LENGTH]}")
        for each, holder in zip(configurations, holders, strict=True):
            held = "no team holds it" if holder is None else f"team {holder}"
            typer.echo(f"version {each.version}: {held}")
        if change:
            typer.echo(f"version {configurations[-1].version} {change}")
    if not any(holder is not None for holder in holders):
        raise typer.Exit(result_codes.ResultCode.OBJECT_NOT_FOUND.exit_code)


def _read(
    path: pathlib.Path, adapter: str
) -> Result[model.Configuration, result_codes.Refusal]:
    try:
        reader = importlib.import_module(adapter).read_configuration
    except (ImportError, AttributeError, ValueError) as error:
        return Failure(
            result_codes.Refusal(
                result_codes.ResultCode.SETTING_INVALID,
                f"--adapter: {error}; allowed: a module on PYTHONPATH with"
                " read_configuration",
            )
        )
    try:
        data = path.read_bytes()
    except OSError as error:
        return Failure(
            result_codes.Refusal(
                result_codes.ResultCode.SETTING_INVALID, f"{path}: {error}"
            )
        )
    result: Result[model.Configuration, result_codes.Refusal] = reader(data)
    return result.alt(
        lambda refusal: refusal._replace(detail=f"{path}: {refusal.detail}")
    )


def _read_key() -> bytes:
    """Return the key without the white space around it."""
    if sys.stdin.isatty():
        text: str = typer.prompt("Key", hide_input=True, err=True)
        return text.strip().encode("utf-8", "surrogateescape")
    # More bytes are no key, however many follow.
    limit = 2 * credentials.MAX_KEY_BYTES
    return typer.get_binary_stream("stdin").read(limit).strip()


def _holder(configuration: model.Configuration, key_digest: str) -> str | None:
    index = routing_credentials.CredentialIndex(teams=configuration.teams)
    holder = index.team_by_digest.get(key_digest)
    return holder.name if holder else None


def _describe_change(holders: list[str | None]) -> str:
    """Return what the later version does with the key; empty for one."""
    if len(holders) < 2:
        return ""
    earlier, later = holders
    if earlier == later:
        return "does not change this"
    if earlier is None:
        return "adds the key"
    if later is None:
        return "removes the key"
    return "moves the key to another team"
