"""Start the whole path as separate processes on loopback."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
from typing import Any
from typing import NamedTuple

from tornado import httpclient

from samphirelug import core
from samphirelug.helpers import timer

SECRET = "only-for-processes-on-loopback"
READY_TIMEOUT_S = 20.0
PORT_RANGE = (12_000, 32_000)
POLL_INTERVAL_S = 0.05
# Ports that this process has given out; with some 70 processes' ports drawn
# from the range, one in ten fleets would otherwise draw the same port twice.
_GIVEN_PORTS: set[int] = set()


class HostLocation(NamedTuple):
    """Say where an entry host of the fleet stands."""

    name: str
    availability_zone: str
    region: str


class HostPorts(NamedTuple):
    """Hold the ports of an entry host."""

    callers: tuple[int, int, int]
    peer: int
    operator: int


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on at the moment.

    They lie below the range that the system gives to outgoing connections,
    one of which could otherwise take the port before a process binds it.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _GIVEN_PORTS:
            _GIVEN_PORTS.add(port)
            ports.append(port)
    return ports


class Fleet:
    """Run a store, backend servers and entry hosts, and stop them."""

    def __init__(
        self,
        *,
        hosts: list[HostLocation],
        program: list[str] | None = None,
        host_flags: list[str] | None = None,
    ) -> None:
        self.hosts = {place.name: place for place in hosts}
        # The command that starts samphirelug.
        self.is_binary = program is not None
        self.program = program or [sys.executable, "-m", "samphirelug"]
        self.host_flags = host_flags or []
        self.timer = timer.LoopTimerService()
        self.client = httpclient.AsyncHTTPClient(force_instance=True)
        self.directory = tempfile.TemporaryDirectory(prefix="samphirelug-")
        self.store_port = free_ports(1)[0]
        self.ports = {name: self._host_ports() for name in self.hosts}
        self.secrets: dict[str, str] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.server_ports: dict[str, int] = {}

    async def __aenter__(self) -> "Fleet":
        """Start the store."""
        await self.start_store()
        return self

    async def __aexit__(self, *error: object) -> None:
        """Kill what still runs."""
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        self.client.close()
        self.directory.cleanup()

    @property
    def store_url(self) -> str:
        """Return the store's HTTP address."""
        return f"http://127.0.0.1:{self.store_port}"

    def caller_url(self, name: str, rank: core.Rank = core.Rank.URGENT) -> str:
        """Return an entry host's HTTP address for callers of a rank."""
        return f"http://127.0.0.1:{self.ports[name].callers[rank]}"

    def operator_url(self, name: str) -> str:
        """Return an entry host's HTTP address for operators."""
        return f"http://127.0.0.1:{self.ports[name].operator}"

    def log_text(self, name: str) -> str:
        """Return what a process has written to standard error."""
        path = pathlib.Path(self.directory.name, f"{name}.log")
        return path.read_text(errors="replace") if path.exists() else ""

    async def start_store(self) -> None:
        """Start the object store's stand-in."""
        await self._spawn(
            "store",
            [
                sys.executable,
                "-m",
                "standins.store",
                "--port",
                str(self.store_port),
            ],
            wait_ready=True,
        )

    async def start_servers(
        self,
        group: str,
        names: list[str],
        *,
        module: str = "standins.backend_server",
        **options: object,
    ) -> None:
        """Start one process that serves the named backend servers."""
        missing = [n for n in names if n not in self.server_ports]
        self.server_ports.update(
            zip(missing, free_ports(len(missing)), strict=True)
        )
        pairs = ",".join(f"{n}={self.server_ports[n]}" for n in names)
        flags = [
            word
            for key, value in options.items()
            for word in (f"--{key.replace('_', '-')}", str(value))
        ]
        await self._spawn(
            group,
            [
                sys.executable,
                "-m",
                module,
                "--servers",
                pairs,
                *flags,
            ],
            wait_ready=True,
        )

    def add_host(self, place: HostLocation, *, secret: str = SECRET) -> None:
        """Add an entry host that the others are not told of."""
        self.hosts[place.name] = place
        self.ports[place.name] = self._host_ports()
        self.secrets[place.name] = secret

    async def start_host(self, name: str, *, wait: bool = True) -> None:
        """Start an entry host and wait until it is ready."""
        place = self.hosts[name]
        ports = self.ports[name]
        seeds = [
            f"ws://127.0.0.1:{self.ports[other].peer}"
            for other in self.hosts
            if other != name
        ]
        flags = {
            "name": name,
            "availability-zone": place.availability_zone,
            "region": place.region,
            "listen-address": "127.0.0.1",
            "advertise-address": "127.0.0.1",
            "urgent-port": ports.callers[0],
            "interactive-port": ports.callers[1],
            "export-port": ports.callers[2],
            "peer-port": ports.peer,
            "operator-port": ports.operator,
            "store-url": self.store_url,
            "cluster": "demo",
            "cluster-secret": self.secrets.get(name, SECRET),
        }
        words = [w for k, v in flags.items() for w in (f"--{k}", str(v))]
        for seed in seeds:
            words += ["--peer", seed]
        await self._spawn(
            name,
            [*self.program, "entry-host", "run", *words, *self.host_flags],
            wait_ready=False,
        )
        if wait:
            await self.wait_host_ready(name)

    async def wait_host_ready(self, name: str) -> None:
        """Return when the entry host says that it is ready."""
        await self.wait_until(
            lambda: self._is_ok(f"{self.operator_url(name)}/readyz"),
            what=f"{name} ready",
        )

    async def wait_until(
        self, check: Any, *, what: str, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Return when the awaited check is true; fail after timeout_s."""
        end_s = self.timer.monotonic() + timeout_s
        while not await check():
            if self.timer.monotonic() > end_s:
                logs = "\n".join(
                    f"{name}: {self.log_text(name)[-1500:]}"
                    for name in self.hosts
                )
                raise TimeoutError(f"not reached: {what}\n{logs}")
            await self.timer.sleep(POLL_INTERVAL_S)

    async def command(self, *words: str) -> tuple[int, str, str]:
        """Run a samphirelug command; return exit code and both outputs."""
        process = await asyncio.create_subprocess_exec(
            *self.program,
            *words,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=self.environment([*self.program, *words]),
        )
        out, err = await process.communicate()
        return process.returncode or 0, out.decode(), err.decode()

    async def get_json(self, url: str) -> dict[str, Any]:
        """Return the JSON object at an address."""
        response = await self.client.fetch(url)
        return dict(json.loads(response.body))

    async def get_text(self, url: str) -> str:
        """Return the text at an address."""
        response = await self.client.fetch(url)
        return response.body.decode()

    async def post_json(self, url: str, body: dict[str, Any]) -> None:
        """Post a JSON object to an address."""
        await self.client.fetch(url, method="POST", body=json.dumps(body))

    async def put_json(self, url: str, body: dict[str, Any]) -> None:
        """Send a JSON object to an address."""
        await self.client.fetch(url, method="PUT", body=json.dumps(body))

    async def put_object(self, key: str, value: dict[str, Any]) -> None:
        """Create an object in the store."""
        await self.client.fetch(
            f"{self.store_url}/v1/objects/{key}",
            method="PUT",
            headers={"If-Match": "0"},
            body=json.dumps(value),
        )

    async def set_faults(self, server: str, **faults: object) -> None:
        """Set the faults of one backend server; others are cleared."""
        port = self.server_ports[server]
        await self.put_json(f"http://127.0.0.1:{port}/control", faults)

    async def reports(self) -> dict[str, dict[str, Any]]:
        """Return what each backend server saw."""
        return {
            name: await self.get_json(f"http://127.0.0.1:{port}/control")
            for name, port in self.server_ports.items()
        }

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the processes."""
        self.processes[name].send_signal(number)

    async def wait_exit(self, name: str) -> int:
        """Return a process's exit code once it has ended."""
        return await self.processes[name].wait()

    async def _is_ok(self, url: str) -> bool:
        try:
            response = await self.client.fetch(url, raise_error=False)
        except OSError:
            return False
        return response.code == 200

    async def start_module(
        self, name: str, module: str, *words: str, wait_ready: bool = False
    ) -> None:
        """Start a Python module of this tree as a process."""
        await self._spawn(
            name,
            [sys.executable, "-m", module, *words],
            wait_ready=wait_ready,
        )

    async def _spawn(
        self, name: str, words: list[str], *, wait_ready: bool
    ) -> None:
        path = pathlib.Path(self.directory.name, f"{name}.log")
        with path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *words,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env=self.environment(words),
            )
        self.processes[name] = process
        if wait_ready:
            assert process.stdout is not None
            line = await asyncio.wait_for(
                process.stdout.readline(), READY_TIMEOUT_S
            )
            if b"ready" not in line:
                raise RuntimeError(f"{name}: {self.log_text(name)}")

    def _host_ports(self) -> HostPorts:
        ports = free_ports(5)
        return HostPorts((ports[0], ports[1], ports[2]), ports[3], ports[4])

    def environment(self, words: list[str]) -> dict[str, str]:
        """Return the environment to start a command in."""
        if words[: len(self.program)] == self.program and (
            "-m" not in self.program
        ):
            # The one binary must find its libraries in itself alone.
            return {**os.environ, "PYTHONUNBUFFERED": "1"}
        # Without src/ the processes would run the source tree that the
        # environment was set up for, which may be another work tree.
        root = pathlib.Path(__file__).resolve().parent.parent
        path = f"{root}:{root / 'src'}"
        return {**os.environ, "PYTHONPATH": path, "PYTHONUNBUFFERED": "1"}
