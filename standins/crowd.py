"""Open hostile connections to the listeners of an entry host."""

import abc
import asyncio
import contextlib
import os
import pathlib
import socket
from typing import NamedTuple

from samphirelug_platform import names
from samphirelug_platform import settings as platform_settings
from standins.soak import world as soak_world

LISTENERS = ("ready", "directory", "metrics", "callers", "link")
# Small, so that answers that are left unread soon stop the host's writes.
RECEIVE_BUFFER_BYTES = 4096
ROUND_S = 0.05
BLOCK_BYTES = 65536
# An ordinary client may be refused or disconnected. It then tries again after
# a pause, for so long in all.
ATTEMPT_PAUSE_S = 0.2
ATTEMPT_TIMEOUT_S = 10.0
ANSWER_TIMEOUT_S = 30.0


class Target(NamedTuple):
    """Represent a listener, with a request that it answers."""

    name: str
    address: tuple[str, int]
    request: bytes


class Form(abc.ABC):
    """Define what hostile connections send."""

    @abc.abstractmethod
    def next_bytes(self, target: Target, *, round_number: int) -> bytes:
        """Return what to send in a round; empty for nothing."""


class UnreadAnswers(Form):
    """Send requests without end."""

    def next_bytes(self, target: Target, *, round_number: int) -> bytes:
        """Return many whole requests."""
        del round_number
        return target.request * (BLOCK_BYTES // len(target.request))


class SingleBytes(Form):
    """Send one byte of a request in each round."""

    def next_bytes(self, target: Target, *, round_number: int) -> bytes:
        """Return the next byte, of the request repeated without end."""
        offset = round_number % len(target.request)
        return target.request[offset : offset + 1]


class EndlessHeads(Form):
    """Send a head without end, close to what a host accepts."""

    def next_bytes(self, target: Target, *, round_number: int) -> bytes:
        """Return the next header fields."""
        if round_number == 0:
            return target.request.removesuffix(b"\r\n") + b"X-A: a\r\n" * 1800
        return b"X-%d: a\r\n" % round_number


class LeftOpen(Form):
    """Send nothing."""

    def next_bytes(self, target: Target, *, round_number: int) -> bytes:
        """Return nothing."""
        del target, round_number
        return b""


class UnfinishedFrames(Form):
    """Open a websocket, and send a frame without its end."""

    def next_bytes(self, target: Target, *, round_number: int) -> bytes:
        """Return the upgrade, or a part of a binary frame of 8 MB."""
        if round_number == 0:
            return target.request.removesuffix(b"\r\n") + (
                b"Connection: Upgrade\r\nUpgrade: websocket\r\n"
                b"Sec-WebSocket-Version: 13\r\n"
                b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
            )
        if round_number == 1:
            length = 8 * 1024 * 1024 - 1
            return b"\x82\xff" + length.to_bytes(8, "big") + bytes(4)
        return bytes(BLOCK_BYTES)


class Member:
    """Hold one hostile connection, opened again when the host closes it."""

    def __init__(self, *, target: Target) -> None:
        self.target = target
        self.sock: socket.socket | None = None
        self.rounds = 0
        self.unsent = b""

    def act(self, form: Form) -> None:
        """Open the connection if it is closed, or send what it takes."""
        try:
            if self.sock is None:
                self._connect()
            else:
                self._send(self.sock, form)
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def _connect(self) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.sock.setblocking(False)
        self.rounds = 0
        self.unsent = b""
        self.sock.connect(self.target.address)

    def _send(self, sock: socket.socket, form: Form) -> None:
        if not self.unsent:
            self.unsent = form.next_bytes(
                self.target, round_number=self.rounds
            )
            self.rounds += 1
        if self.unsent:
            self.unsent = self.unsent[sock.send(self.unsent) :]
        elif sock.recv(1, socket.MSG_PEEK) == b"":
            self.close()


class Crowd:
    """Hold the hostile connections of one form."""

    def __init__(
        self, *, form: Form, targets: list[Target], connections: int
    ) -> None:
        self.form = form
        self.members = [
            Member(target=targets[number % len(targets)])
            for number in range(connections)
        ]
        # Set to leave the connections open without sending anything more.
        self.paused = False

    async def run(self) -> None:
        """Act in rounds until cancelled, then close all connections."""
        try:
            while True:
                for member in self.members if not self.paused else ():
                    member.act(self.form)
                await asyncio.sleep(ROUND_S)
        finally:
            for member in self.members:
                member.close()


def find_targets(host: soak_world.HostProcess) -> dict[str, Target]:
    """Return the listeners of a host with ordinary requests."""
    result = platform_settings.read(host.folder / f"{host.name}.json")
    settings = result.unwrap()
    requests = {
        "ready": (settings.ready, names.READY_PATH, ""),
        "directory": (
            settings.directory,
            f"{names.LOOKUP_PATH}?Name=portal.example&Region=a&Zone=a1",
            "",
        ),
        "metrics": (settings.metrics, "/metrics", ""),
        "callers": (
            settings.callers,
            "/status/1",
            f"{names.HEADERS.request_id}: r1\r\n",
        ),
        "link": (settings.peers, "/following", ""),
    }
    return {
        name: Target(
            name,
            (address.host, address.port),
            f"GET {path} HTTP/1.1\r\nHost: portal.example\r\n{fields}"
            "\r\n".encode(),
        )
        for name, (address, path, fields) in requests.items()
    }


def peak_memory_bytes(pid: int) -> int:
    """Return the largest resident memory that a process has had."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = (
        line for line in status.splitlines() if line.startswith("VmHWM:")
    )
    return int(line.split()[1]) * 1024


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


async def ask(target: Target) -> bytes:
    """Return the status line for an ordinary request; empty if it has none.

    A client may be refused or disconnected, and then tries again.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while True:
                status_line = await _ask_once(target)
                if b" 200 " in status_line:
                    return status_line
                await asyncio.sleep(ATTEMPT_PAUSE_S)
    return b""


async def _ask_once(target: Target) -> bytes:
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*target.address)
            try:
                writer.write(target.request)
                return await reader.readline()
            finally:
                writer.close()
    return b""
