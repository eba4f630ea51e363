"""Print the results and refusals of commands."""

from collections.abc import Iterable
from collections.abc import Sequence
import json
from typing import Any
from typing import NoReturn

import typer

from samphirelug import result_codes


def print_json(value: object) -> None:
    """Print a value as JSON on standard output."""
    typer.echo(json.dumps(value, indent=2, ensure_ascii=False))


def print_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows in aligned columns."""
    table = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [
        max(len(cell) for cell in column)
        for column in zip(*table, strict=True)
    ]
    for row in table:
        cells = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        typer.echo("  ".join(cells).rstrip())


def refusal_body(refusal: result_codes.Refusal) -> dict[str, object]:
    """Return a refusal as JSON values."""
    return {
        "code": int(refusal.code),
        "name": refusal.code.name,
        "detail": refusal.detail,
    }


def fail(refusal: result_codes.Refusal, *, as_json: bool) -> NoReturn:
    """Print a refusal and exit with its exit code."""
    if as_json:
        print_json(refusal_body(refusal))
    else:
        print_refusal(refusal)
    raise typer.Exit(refusal.code.exit_code)


def print_refusal(refusal: result_codes.Refusal) -> None:
    """Print a refusal on standard error."""
    typer.echo(
        f"samphirelug: {refusal.code.name} ({refusal.code:d}):"
        f" {refusal.detail}",
        err=True,
    )
