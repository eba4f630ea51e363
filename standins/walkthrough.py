"""Run the walk-throughs of docs/operators.md and check their output.

The page's console blocks hold commands, each after "$ ", and the expected
output, in which "..." matches any text. Blocks marked "repeat" are run again
until they match, since their output takes some seconds to appear.
"""

import asyncio
import contextlib
import doctest
import json
import os
import pathlib
import re
import shlex
import signal
import sys
from typing import NamedTuple

import typer
import yaml

from samphirelug import core
from samphirelug.helpers import timer
from standins import demo
from standins import fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operators.md"
SOURCE = ROOT / "src"
REPEAT_TIMEOUT_S = 60.0
REPEAT_PAUSE_S = 0.3
COMMAND_TIMEOUT_S = 90.0
LOOKUP_KEEP_S = 2
OUTPUT_FLAGS = doctest.ELLIPSIS | doctest.NORMALIZE_WHITESPACE
# Notice of bash about the end of a job that an earlier command started. It is
# written at any time, also as part of a later command's output.
JOB_NOTICE = re.compile(r"^\S*bash: line \d+: +\d+ (Killed|Terminated)\b")
# Written after each command, to find the end of its output.
END_MARKER = "end-of-command"


class Command(NamedTuple):
    """Hold one command and its expected output."""

    text: str
    expected: str


class Block(NamedTuple):
    """Hold the commands of one console block."""

    commands: tuple[Command, ...]
    repeat: bool


class Section(NamedTuple):
    """Hold one walk-through."""

    number: int
    title: str
    blocks: tuple[Block, ...]
    # Contents by file name, from blocks marked file=NAME.
    files: dict[str, str]


class MismatchError(Exception):
    """Report output that differs from the page."""


def parse_sections(text: str) -> list[Section]:
    """Return the numbered sections of the page with their blocks."""
    sections = []
    for part in re.split(r"^## ", text, flags=re.MULTILINE)[1:]:
        title = part.partition("\n")[0]
        numbered = re.match(r"(\d+)\. ", title)
        if numbered is None:
            continue
        blocks: list[Block] = []
        files: dict[str, str] = {}
        for info, body in re.findall(
            r"^```(.*)\n((?:(?!```).*\n)*)```$", part, flags=re.MULTILINE
        ):
            if info.startswith("console"):
                blocks.append(Block(_parse_commands(body), "repeat" in info))
            elif "file=" in info:
                files[info.partition("file=")[2]] = body
        sections.append(Section(int(numbered[1]), title, tuple(blocks), files))
    return sections


def _parse_commands(body: str) -> tuple[Command, ...]:
    found = []
    for part in re.split(r"^\$ ", body, flags=re.MULTILINE)[1:]:
        text, _, expected = part.partition("\n")
        found.append(Command(text, expected))
    return tuple(found)


class Shell:
    """Run commands one after the other in a shell, as an operator does."""

    def __init__(self, *, directory: str, environment: dict[str, str]) -> None:
        self.directory = directory
        self.environment = environment
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the shell."""
        self.process = await asyncio.create_subprocess_exec(
            "bash",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            cwd=self.directory,
            env=self.environment,
        )

    async def run(self, text: str) -> str:
        """Run a command and return what it writes to stdout and stderr."""
        assert self.process is not None
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        line = f"{text}\nprintf '\\n%s\\n' {END_MARKER}\n"
        self.process.stdin.write(line.encode())
        await self.process.stdin.drain()
        output: list[str] = []
        while True:
            read = await self.process.stdout.readline()
            if not read or read.decode().rstrip("\n") == END_MARKER:
                return "".join(output).removesuffix("\n")
            text = read.decode(errors="replace")
            if not JOB_NOTICE.match(text):
                output.append(text)

    async def stop(self) -> None:
        """Kill the shell; processes that it started continue."""
        if self.process is None:
            return
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        await self.process.wait()


def prepare(running: fleet.Fleet) -> dict[str, str]:
    """Write the files that the page assumes; return the environment."""
    directory = pathlib.Path(running.directory.name)
    wrapper = directory / "bin" / "samphirelug"
    wrapper.parent.mkdir()
    assignment = "" if running.is_binary else f"PYTHONPATH={SOURCE} "
    wrapper.write_text(
        f'#!/bin/sh\n{assignment}exec {shlex.join(running.program)} "$@"\n'
    )
    wrapper.chmod(0o755)
    entries = demo.demo_catalogue(running.server_ports)
    (directory / "demo.yaml").write_text(yaml.safe_dump_all(entries))
    for host in running.hosts.values():
        ports = running.ports[host.name]
        peers = [
            f"ws://127.0.0.1:{running.ports[other].peer}"
            for other in running.hosts
            if other != host.name
        ]
        settings = {
            "NAME": host.name,
            "AVAILABILITY_ZONE": host.availability_zone,
            "REGION": host.region,
            "LISTEN_ADDRESS": "127.0.0.1",
            "ADVERTISE_ADDRESS": "127.0.0.1",
            "URGENT_PORT": ports.callers[core.Rank.URGENT],
            "INTERACTIVE_PORT": ports.callers[core.Rank.INTERACTIVE],
            "EXPORT_PORT": ports.callers[core.Rank.EXPORT],
            "PEER_PORT": ports.peer,
            "OPERATOR_PORT": ports.operator,
            "STORE_URL": running.store_url,
            "CLUSTER_SECRET": fleet.SECRET,
            "PEER": " ".join(peers),
            "LOOKUP_KEEP_S": LOOKUP_KEEP_S,
        }
        (directory / f"{host.name}.env").write_text(
            "".join(
                f"SAMPHIRELUG_{key}={shlex.quote(str(value))}\n"
                for key, value in settings.items()
            )
        )
    for name, process in running.processes.items():
        (directory / f"{name}.pid").write_text(f"{process.pid}\n")
    urls = [running.operator_url(name) for name in running.hosts]
    server = f"http://127.0.0.1:{running.server_ports['tallinn-a-1']}"
    return {
        **os.environ,
        "PATH": f"{wrapper.parent}:{os.environ['PATH']}",
        "SAMPHIRELUG_STORE_URL": running.store_url,
        "SAMPHIRELUG_ENTRY_HOST_URL": " ".join(urls),
        "TALLINN": running.caller_url("eh-tallinn", core.Rank.INTERACTIVE),
        "TALLINN_EXPORT": running.caller_url("eh-tallinn", core.Rank.EXPORT),
        "TALLINN_2": running.caller_url("eh-tallinn-2", core.Rank.INTERACTIVE),
        "TARTU": running.caller_url("eh-tartu", core.Rank.INTERACTIVE),
        "SERVER": server,
    }


async def run_section(
    section: Section, *, shell: Shell, directory: str
) -> None:
    """Run a section's commands; MismatchError if an output differs."""
    print(f"\n## {section.title}", flush=True)
    for name, content in section.files.items():
        pathlib.Path(directory, name).write_text(content)
    timer_service = timer.LoopTimerService()
    for block in section.blocks:
        end_s = timer_service.monotonic() + REPEAT_TIMEOUT_S
        while True:
            transcript, mismatch = await _run_block(block, shell)
            timed_out = timer_service.monotonic() >= end_s
            if not mismatch or not block.repeat or timed_out:
                break
            await timer_service.sleep(REPEAT_PAUSE_S)
        print(transcript, end="", flush=True)
        if mismatch:
            raise MismatchError(mismatch)


async def _run_block(block: Block, shell: Shell) -> tuple[str, str]:
    """Return the transcript, and the first mismatch or an empty string."""
    checker = doctest.OutputChecker()
    transcript = ""
    for command in block.commands:
        try:
            got = await asyncio.wait_for(
                shell.run(command.text), COMMAND_TIMEOUT_S
            )
        except TimeoutError:
            return transcript, f"$ {command.text}\ndid not end in time"
        transcript += f"$ {command.text}\n{got}"
        if not checker.check_output(command.expected, got, OUTPUT_FLAGS):
            return transcript, (
                f"$ {command.text}\nexpected:\n{command.expected}got:\n{got}"
            )
    return transcript, ""


async def run_walkthroughs(
    *, first: int = 0, last: int = 99, program: list[str] | None = None
) -> int:
    """Run the sections in order and return their number."""
    sections = [
        section
        for section in parse_sections(PAGE.read_text())
        # Section 1 starts the entry hosts that all other sections need.
        if section.number == 1 or first <= section.number <= last
    ]
    async with fleet.Fleet(hosts=demo.HOSTS, program=program) as running:
        for region, zones in demo.REGIONS.items():
            names = [f"{zone}-{number}" for zone in zones for number in "12"]
            await running.start_servers(f"servers-{region}", names)
        directory = running.directory.name
        shell = Shell(directory=directory, environment=prepare(running))
        try:
            await shell.start()
            for section in sections:
                await run_section(section, shell=shell, directory=directory)
            check_logs(running)
        except MismatchError:
            for name in running.hosts:
                print(f"{name}: {running.log_text(name)[-1500:]}")
            raise
        finally:
            await shell.stop()
            _kill_entry_hosts(running)
    return len(sections)


def check_logs(running: fleet.Fleet) -> None:
    """Check that all log lines are JSON and none has the secret."""
    for name in running.hosts:
        for line in running.log_text(name).splitlines():
            if fleet.SECRET in line:
                raise MismatchError(f"{name} logs the secret: {line}")
            try:
                json.loads(line)
            except ValueError:
                raise MismatchError(
                    f"{name} logs a line that is not JSON: {line}"
                ) from None


def _kill_entry_hosts(running: fleet.Fleet) -> None:
    """Kill the entry hosts, which the shell has started."""
    for name in running.hosts:
        path = pathlib.Path(running.directory.name, f"{name}.pid")
        if path.exists():
            with contextlib.suppress(ProcessLookupError):
                os.kill(int(path.read_text()), signal.SIGKILL)


def main(
    first: int = typer.Option(0, help="first section to run"),
    last: int = typer.Option(99, help="last section to run"),
    binary: str = typer.Option("", help="samphirelug binary to use"),
) -> None:
    """Run the walk-throughs of docs/operators.md on loopback."""
    program = None
    if binary:
        program = [sys.executable, str(pathlib.Path(binary).resolve())]
    try:
        count = asyncio.run(
            run_walkthroughs(first=first, last=last, program=program)
        )
    except MismatchError as error:
        typer.echo(
            f"output differs from docs/operators.md:\n{error}", err=True
        )
        raise typer.Exit(1) from None
    except KeyboardInterrupt:
        raise typer.Exit(130) from None
    typer.echo(f"\n{count} walk-throughs matched docs/operators.md")


if __name__ == "__main__":
    typer.run(main)
