"""Provide the command that runs an entry host."""

import asyncio
from typing import Annotated
from typing import Any
from typing import NoReturn

from returns.result import Failure
import typer

from samphirelug.components.commands import settings
from samphirelug import const
from samphirelug.helpers import logging as logging_helper
from samphirelug import result_codes
from samphirelug import settings as settings_module

app = typer.Typer(help="Run an entry host.", no_args_is_help=True)


def _env(name: str) -> str:
    return f"SAMPHIRELUG_{name}"


@app.callback()
def _root() -> None:
    """Run an entry host."""


def _text(name: str, help_text: str) -> Any:
    return typer.Option(envvar=_env(name), help=help_text)


def _port(name: str, what: str) -> Any:
    return typer.Option(
        envvar=_env(name),
        parser=settings.parse_port,
        metavar="PORT",
        help=f"Port for {what}, {settings_module.PORT_ALLOWED}; 0: any free.",
    )


def _seconds(name: str, what: str) -> Any:
    bounds = settings_module.BOUNDS[name.lower().replace("_", "-")]
    return typer.Option(
        envvar=_env(name),
        parser=settings.parse_number,
        metavar="SECONDS",
        help=f"{what}, {bounds.text} s.",
    )


_NAME_ALLOWED = "1 to 63 lower-case letters, digits, '.' or '-'."


@app.command(cls=settings.Command)
def run(
    *,
    name: Annotated[
        str, _text("NAME", f"Name of the entry host: {_NAME_ALLOWED}")
    ],
    availability_zone: Annotated[
        str,
        _text("AVAILABILITY_ZONE", f"Its availability zone: {_NAME_ALLOWED}"),
    ],
    region: Annotated[str, _text("REGION", f"Its region: {_NAME_ALLOWED}")],
    store_url: Annotated[
        str,
        _text("STORE_URL", "Base URL of the object store, http://HOST:PORT."),
    ],
    cluster_secret: Annotated[
        str,
        _text(
            "CLUSTER_SECRET",
            "Shared by all entry hosts; signs run and join tokens; at least"
            f" {settings_module.SECRET_MIN_CHARACTERS} characters.",
        ),
    ],
    cluster: Annotated[
        str, _text("CLUSTER", f"Name of the cluster: {_NAME_ALLOWED}")
    ] = "samphirelug",
    listen_address: Annotated[
        str, _text("LISTEN_ADDRESS", "IPv4 address to listen on.")
    ] = "0.0.0.0",
    advertise_address: Annotated[
        str,
        _text("ADVERTISE_ADDRESS", "IPv4 address that callers and peers use."),
    ] = "127.0.0.1",
    urgent_port: Annotated[
        int, _port("URGENT_PORT", "callers with urgent work")
    ] = 8080,
    interactive_port: Annotated[
        int, _port("INTERACTIVE_PORT", "callers with interactive work")
    ] = 8081,
    export_port: Annotated[
        int, _port("EXPORT_PORT", "callers with exports")
    ] = 8082,
    peer_port: Annotated[int, _port("PEER_PORT", "other entry hosts")] = 8083,
    operator_port: Annotated[int, _port("OPERATOR_PORT", "operators")] = 8084,
    peer: Annotated[
        list[str] | None,
        _text(
            "PEER",
            "URL of a peer to connect to first, ws://HOST:PORT; repeatable.",
        ),
    ] = None,
    seat_lease_s: Annotated[
        float,
        _seconds(
            "SEAT_LEASE_S", "How long quota units are kept without the store"
        ),
    ] = 900.0,
    lookup_keep_s: Annotated[
        float,
        _seconds(
            "LOOKUP_KEEP_S", "How long callers may keep a look-up answer"
        ),
    ] = const.LOOKUP_KEEP_S,
    probe_interval_s: Annotated[
        float,
        _seconds("PROBE_INTERVAL_S", "Time between health probes of a server"),
    ] = 1.0,
    log_level: Annotated[
        str,
        _text("LOG_LEVEL", f"One of {', '.join(settings_module.LOG_LEVELS)}."),
    ] = "INFO",
) -> None:
    """Serve callers until SIGTERM or SIGINT, then stop gracefully."""
    checked = settings_module.check(
        settings_module.EntryHostSettings(
            name=name,
            availability_zone=availability_zone,
            region=region,
            listen_address=listen_address,
            advertise_address=advertise_address,
            caller_ports=(urgent_port, interactive_port, export_port),
            peer_port=peer_port,
            operator_port=operator_port,
            store_url=store_url,
            cluster=cluster,
            cluster_secret=cluster_secret,
            peers=tuple(peer or ()),
            seat_lease_s=seat_lease_s,
            lookup_keep_s=lookup_keep_s,
            probe_interval_s=probe_interval_s,
            log_level=log_level,
        )
    )
    if isinstance(checked, Failure):
        _fail(checked.failure())
    logging_helper.configure(level=log_level, entry_host=name)
    try:
        exit_code = asyncio.run(_serve(checked.unwrap()))
    except settings_module.AddressUnavailableError as error:
        _fail(error.refusal)
    raise typer.Exit(exit_code)


def _fail(refusal: result_codes.Refusal) -> NoReturn:
    typer.echo(f"samphirelug: {refusal.detail}", err=True)
    raise typer.Exit(refusal.code.exit_code)


async def _serve(checked_settings: settings_module.EntryHostSettings) -> int:
    # Imported here, so that the other commands start quickly.
    from samphirelug import entry_host

    return await entry_host.EntryHostProcess(settings=checked_settings).run()
