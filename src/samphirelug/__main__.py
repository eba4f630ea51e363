"""Provide the samphirelug command line."""

import importlib.metadata

import typer

from samphirelug.components.commands import catalogue
from samphirelug.components.commands import configuration
from samphirelug.components.commands import entry_host
from samphirelug.components.commands import explain
from samphirelug.components.commands import lookup
from samphirelug.components.commands import settings
from samphirelug.components.commands import status

app = typer.Typer(
    name="samphirelug",
    help="Steer traffic across regions, driven by a catalogue.",
    no_args_is_help=True,
    add_completion=False,
    # Variables may hold the key of a team.
    pretty_exceptions_show_locals=False,
)
app.add_typer(catalogue.app, name="catalogue")
app.add_typer(configuration.app, name="configuration")
app.command(cls=settings.Command)(lookup.lookup)
app.command(cls=settings.Command)(status.status)
app.command(cls=settings.Command)(explain.explain)
app.add_typer(entry_host.app, name="entry-host")


@app.callback()
def _root() -> None:
    """Steer traffic across regions, driven by a catalogue."""


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(importlib.metadata.version("samphirelug"))


def main() -> None:
    """Run the command given by the process arguments."""
    app()


if __name__ == "__main__":
    main()
