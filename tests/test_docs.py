"""Test that the documentation matches the program."""

import asyncio
import pathlib
import re
from typing import Any

import typer.main

from samphirelug import __main__
from samphirelug import result_codes
from standins import walkthrough

DOCS = pathlib.Path(__file__).parent.parent / "docs"
ROW = re.compile(r"^\| (\d+) \| ([A-Z_]+) \| (\w+) \| (\d+|-) \| (\d+|-) \|")
SETTING = re.compile(r"^\| `(--[a-z-]+)` \| `(\w+)` \| `?([^|`]+)`? \|", re.M)


def test_result_code_table_is_complete() -> None:
    """Guard against result codes that are not documented correctly."""
    table = {}
    for line in (DOCS / "result-codes.md").read_text().splitlines():
        if match := ROW.match(line):
            table[match[2]] = match.groups()
    assert set(table) == {code.name for code in result_codes.ResultCode}
    for code in result_codes.ResultCode:
        number, _, effect, http_status, exit_code = table[code.name]
        assert int(number) == code
        assert effect == code.effect.value
        if http_status != "-":
            assert int(http_status) == code.http_status
        if exit_code != "-":
            assert int(exit_code) == code.exit_code


def test_settings_table_is_complete() -> None:
    """Guard against settings that are missing or wrong on the page."""
    root: Any = typer.main.get_command(__main__.app)
    run = root.commands["entry-host"].commands["run"]
    expected = set()
    for param in run.params:
        if param.name == "help":
            continue
        default = "required" if param.required else str(param.default)
        if param.multiple:
            default = "none"
        expected.add((param.opts[0], param.envvar, default))
    page = (DOCS / "operators.md").read_text()
    assert set(SETTING.findall(page)) == expected


def test_walkthroughs_produce_the_documented_output() -> None:
    """Guard against documented commands that do not work."""
    # Sections 1 to 5: start, change and roll-back of the catalogue, drain of a
    # backend server and replacement of an entry host.
    assert asyncio.run(walkthrough.run_walkthroughs(last=5)) == 5


def test_notices_about_background_jobs_are_not_output() -> None:
    """Guard against a walk-through that fails when a job is reaped early."""

    async def main() -> list[str]:
        shell = walkthrough.Shell(directory="/", environment={})
        await shell.start()
        outputs = [
            await shell.run(command)
            for command in (
                "sleep 100 & echo started",
                "kill -KILL $!; sleep 0.2; echo killed",
                "echo next",
            )
        ]
        await shell.stop()
        return outputs

    assert asyncio.run(main()) == ["started\n", "killed\n", "next\n"]
