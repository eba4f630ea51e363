"""Run an entry host from flags and environment variables."""

import asyncio
from typing import Annotated

from returns.result import Failure
import typer

from samphirelug import const
from samphirelug.helpers import logging as logging_helper
from samphirelug import settings as settings_module

app = typer.Typer(help="Run an entry host.", no_args_is_help=True)


def _env(name: str) -> str:
    return f"SAMPHIRELUG_{name}"


@app.callback()
def _root() -> None:
    """Run an entry host."""


@app.command()
def run(
    *,
    name: Annotated[str, typer.Option(envvar=_env("NAME"))],
    availability_zone: Annotated[
        str, typer.Option(envvar=_env("AVAILABILITY_ZONE"))
    ],
    region: Annotated[str, typer.Option(envvar=_env("REGION"))],
    store_url: Annotated[
        str,
        typer.Option(
            envvar=_env("STORE_URL"), help="Address of the object store."
        ),
    ],
    cluster_secret: Annotated[
        str,
        typer.Option(
            envvar=_env("CLUSTER_SECRET"),
            help="Shared by all entry hosts; signs run and join tokens.",
        ),
    ],
    cluster: Annotated[
        str, typer.Option(envvar=_env("CLUSTER"))
    ] = "samphirelug",
    listen_address: Annotated[
        str, typer.Option(envvar=_env("LISTEN_ADDRESS"))
    ] = "0.0.0.0",
    advertise_address: Annotated[
        str,
        typer.Option(
            envvar=_env("ADVERTISE_ADDRESS"),
            help="IP address that callers and peers use.",
        ),
    ] = "127.0.0.1",
    urgent_port: Annotated[
        int, typer.Option(envvar=_env("URGENT_PORT"))
    ] = 8080,
    interactive_port: Annotated[
        int, typer.Option(envvar=_env("INTERACTIVE_PORT"))
    ] = 8081,
    export_port: Annotated[
        int, typer.Option(envvar=_env("EXPORT_PORT"))
    ] = 8082,
    peer_port: Annotated[int, typer.Option(envvar=_env("PEER_PORT"))] = 8083,
    operator_port: Annotated[
        int, typer.Option(envvar=_env("OPERATOR_PORT"))
    ] = 8084,
    peer: Annotated[
        list[str] | None,
        typer.Option(
            envvar=_env("PEER"),
            help="Websocket address of a peer to try first; repeatable.",
        ),
    ] = None,
    seat_lease_s: Annotated[
        float,
        typer.Option(
            envvar=_env("SEAT_LEASE_S"),
            help="How long quota units are kept without the store.",
        ),
    ] = 900.0,
    lookup_keep_s: Annotated[
        float,
        typer.Option(
            envvar=_env("LOOKUP_KEEP_S"),
            help="How long callers may keep a look-up answer.",
        ),
    ] = const.LOOKUP_KEEP_S,
    probe_interval_s: Annotated[
        float, typer.Option(envvar=_env("PROBE_INTERVAL_S"))
    ] = 1.0,
    log_level: Annotated[str, typer.Option(envvar=_env("LOG_LEVEL"))] = "INFO",
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
        refusal = checked.failure()
        typer.echo(refusal.detail, err=True)
        raise typer.Exit(refusal.code.exit_code)
    settings = checked.unwrap()
    logging_helper.configure(level=log_level, entry_host=name)
    raise typer.Exit(asyncio.run(_serve(settings)))


async def _serve(settings: settings_module.EntryHostSettings) -> int:
    # Imported late, so that the short commands start quickly.
    from samphirelug import entry_host

    return await entry_host.EntryHostProcess(settings=settings).run()
