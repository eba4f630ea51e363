"""Start the samphirelug command line."""

import importlib.metadata

import typer

app = typer.Typer(
    name="samphirelug",
    help="Steer traffic across regions, driven by a catalogue.",
    no_args_is_help=True,
    add_completion=False,
)


@app.callback()
def _root() -> None:
    """Steer traffic across regions, driven by a catalogue."""


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(importlib.metadata.version("samphirelug"))


def main() -> None:
    """Run the command that the arguments name."""
    app()


if __name__ == "__main__":
    main()
