"""Define and validate the flags shared by commands."""

from collections.abc import Sequence
import math
import os
import re
from typing import Annotated
from typing import Any
import urllib.parse

import typer
from typer import core as typer_core

from samphirelug.components.catalogue import schema
from samphirelug import settings as settings_module

MIN_SECONDS = 0.1
MAX_SECONDS = 600.0

_KEY = re.compile(rf"^({'|'.join(schema.KINDS)})/[a-z0-9][a-z0-9.-]{{0,62}}$")


# The usage error that parsing raises. Typer exports it only as the base class
# of BadParameter.
_USAGE_ERROR: Any = typer.BadParameter.__base__
_BOOLEAN_VALUES = ("1", "true", "yes", "on", "0", "false", "no", "off")


class Command(typer_core.TyperCommand):
    """Report an invalid flag in one line and exit with code 2."""

    def parse_args(self, ctx: Any, args: list[str]) -> list[str]:
        """Parse and validate the flags and their environment variables."""
        try:
            for param in self.params:
                if getattr(param, "is_flag", False):
                    _check_boolean(str(param.opts[0]), str(param.envvar))
            return super().parse_args(ctx, args)
        except _USAGE_ERROR as error:
            line = " ".join(error.format_message().split())
            faulty_param = getattr(error, "param", None)
            if line.startswith("Missing") and faulty_param is not None:
                line = f"{line} Allowed: {getattr(faulty_param, 'help', '')}"
            typer.echo(f"samphirelug: {line}", err=True)
            raise typer.Exit(2) from None


def _check_boolean(flag: str, variable: str) -> None:
    """Validate a flag's variable; typer's message would omit the value."""
    value = os.environ.get(variable)
    if value and value.lower() not in _BOOLEAN_VALUES:
        raise typer.BadParameter(
            f"{flag} (env var: {variable!r}): {value!r} is not one of"
            f" {', '.join(_BOOLEAN_VALUES)}"
        )


def parse_seconds(value: Any) -> float:
    """Return a number of seconds within the bounds for timeouts."""
    try:
        seconds = float(value)
    except ValueError:
        seconds = math.nan
    # NaN is rejected, since every comparison with it is false.
    if not MIN_SECONDS <= seconds <= MAX_SECONDS:
        raise typer.BadParameter(
            f"{value!r} is not a number of seconds from {MIN_SECONDS:g} to"
            f" {MAX_SECONDS:g}"
        )
    return seconds


def parse_port(value: Any) -> int:
    """Return a port number; its range is validated with the settings."""
    if not re.fullmatch(r"[0-9]{1,5}", str(value)):
        raise typer.BadParameter(
            f"{value!r} is not a port from {settings_module.PORT_ALLOWED}"
        )
    return int(value)


def parse_number(value: Any) -> float:
    """Return a number; its bounds are validated with the settings."""
    try:
        return float(value)
    except ValueError:
        raise typer.BadParameter(
            f"{value!r} is not a number of seconds"
        ) from None


def parse_revision(value: Any) -> int:
    """Return a revision number of the store."""
    if not re.fullmatch(r"[0-9]{1,18}", str(value)):
        raise typer.BadParameter(f"{value!r} is not an integer from 0")
    return int(value)


def check_url(value: str | None) -> str | None:
    """Return the base URL without a trailing slash."""
    if value is None:
        return None
    parsed = urllib.parse.urlsplit(value)
    try:
        valid = bool(
            parsed.scheme in ("http", "https")
            and parsed.hostname
            and (parsed.port is None or parsed.port > 0)
            and not parsed.query
        )
    except ValueError:
        valid = False
    if not valid:
        raise typer.BadParameter(
            f"{value!r} is not http://HOST:PORT or https://HOST:PORT"
        )
    return value.rstrip("/")


def check_urls(values: Sequence[str] | None) -> list[str]:
    """Return the base URLs without trailing slashes."""
    return [checked for value in values or () if (checked := check_url(value))]


def require_urls(values: Sequence[str] | None) -> list[str]:
    """Return the URLs of entry hosts; exit with code 2 if there are none."""
    if not values:
        typer.echo(
            "samphirelug: Missing option '--entry-host-url' (env var:"
            " 'SAMPHIRELUG_ENTRY_HOST_URL'): allowed: at least one"
            " http://HOST:PORT",
            err=True,
        )
        raise typer.Exit(2)
    return list(values)


def check_key(value: str) -> str:
    """Return the key of an entry if it is valid."""
    if not _KEY.match(value):
        raise typer.BadParameter(
            f"{value!r} is not KIND/NAME with one of the kinds"
            f" {', '.join(schema.KINDS)}"
        )
    return value


def check_keys(values: Sequence[str]) -> list[str]:
    """Return the keys of entries if they are valid."""
    return [check_key(value) for value in values]


def check_kind(value: str | None) -> str | None:
    """Return the kind of entries if it is valid."""
    if value is not None and value not in schema.KINDS:
        raise typer.BadParameter(
            f"{value!r} is not one of {', '.join(schema.KINDS)}"
        )
    return value


StoreUrl = Annotated[
    str,
    typer.Option(
        "--store-url",
        envvar="SAMPHIRELUG_STORE_URL",
        callback=check_url,
        help="Base URL of the object store, http://HOST:PORT.",
    ),
]
OptionalStoreUrl = Annotated[
    str | None,
    typer.Option(
        "--store-url",
        envvar="SAMPHIRELUG_STORE_URL",
        callback=check_url,
        help="Base URL of the object store whose catalogue to check against.",
    ),
]
EntryHostUrls = Annotated[
    list[str] | None,
    typer.Option(
        "--entry-host-url",
        envvar="SAMPHIRELUG_ENTRY_HOST_URL",
        callback=check_urls,
        help="Base URL of an entry host's operator port; repeatable.",
    ),
]
Json = Annotated[
    bool,
    typer.Option(
        "--json", envvar="SAMPHIRELUG_JSON", help="Print JSON for programs."
    ),
]
TimeoutSeconds = Annotated[
    float,
    typer.Option(
        "--timeout-s",
        envvar="SAMPHIRELUG_TIMEOUT_S",
        parser=parse_seconds,
        metavar="SECONDS",
        help="Seconds to wait for answers or for a change to be in force.",
    ),
]
Wait = Annotated[
    bool,
    typer.Option(
        "--wait",
        envvar="SAMPHIRELUG_WAIT",
        help="Return when the change is in force on every host.",
    ),
]
Watch = Annotated[
    bool,
    typer.Option(
        "--watch",
        envvar="SAMPHIRELUG_WATCH",
        help="Refresh the status every second until interrupted.",
    ),
]
Key = Annotated[str, typer.Argument(callback=check_key, help="KIND/NAME")]
Keys = Annotated[
    list[str], typer.Argument(callback=check_keys, help="KIND/NAME ...")
]
Kind = Annotated[
    str | None,
    typer.Option(
        "--kind",
        envvar="SAMPHIRELUG_KIND",
        callback=check_kind,
        help="Only entries of this kind.",
    ),
]
Files = Annotated[
    list[str],
    typer.Argument(help="YAML or JSON files with entries; - reads stdin."),
]
Revision = Annotated[
    int | None,
    typer.Option(
        "--revision",
        envvar="SAMPHIRELUG_REVISION",
        parser=parse_revision,
        metavar="REVISION",
        help="Expected revision.",
    ),
]
