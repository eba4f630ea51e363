"""Run store, backend servers and entry hosts as processes on loopback."""

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
# Ports that this process has assigned. With the ports of some 70 processes
# drawn from the range, one in ten fleets would otherwise draw a port twice.
_ASSIGNED_PORTS: set[int] = set()


class HostLocation(NamedTuple):
    """Hold the location of an entry host of the fleet."""

    name: str
    availability_zone: str
    region: str


class HostPorts(NamedTuple):
    """Hold the ports of an entry host."""

    # By rank.
    callers: tuple[int, int, int]
    peer: int
    operator: int


def free_ports(count: int) -> list[int]:
    """Return ports that are free at the moment.

    They lie below the ephemeral port range, so that no outgoing connection
    takes a port before a process binds it.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _ASSIGNED_PORTS:
            _ASSIGNED_PORTS.add(port)
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
        self.hosts = {host.name: host for host in hosts}
        # Whether the binary runs instead of the source tree.
        self.is_binary = program is not None
        # The command line that starts samphirelug.
        self.program = program or [sys.executable, "-m", "samphirelug"]
        self.host_flags = host_flags or []
        self.timer = timer.LoopTimerService()
        self.client = httpclient.AsyncHTTPClient(force_instance=True)
        self.directory = tempfile.TemporaryDirectory(prefix="samphirelug-")
        self.store_port = free_ports(1)[0]
        self.ports = {name: self._host_ports() for name in self.hosts}
        # Cluster secrets of added hosts; all others use SECRET.
        self.secrets: dict[str, str] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.server_ports: dict[str, int] = {}

    async def __aenter__(self) -> "Fleet":
        """Start the store."""
        await self.start_store()
        return self

    async def __aexit__(self, *error: object) -> None:
        """Kill the processes that still run."""
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
        """Return the store's URL."""
        return f"http://127.0.0.1:{self.store_port}"

    def caller_url(self, name: str, rank: core.Rank = core.Rank.URGENT) -> str:
        """Return an entry host's URL for callers of a rank."""
        return f"http://127.0.0.1:{self.ports[name].callers[rank]}"

    def operator_url(self, name: str) -> str:
        """Return an entry host's URL for operators."""
        return f"http://127.0.0.1:{self.ports[name].operator}"

    def log_text(self, name: str) -> str:
        """Return what a process has written to standard error."""
        path = pathlib.Path(self.directory.name, f"{name}.log")
        return path.read_text(errors="replace") if path.exists() else ""

    async def start_store(self) -> None:
        """Start the fake object store."""
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
        """Start one process that serves the named backend servers.

        Options are passed to the module as flags.
        """
        missing = [name for name in names if name not in self.server_ports]
        self.server_ports.update(
            zip(missing, free_ports(len(missing)), strict=True)
        )
        pairs = ",".join(f"{name}={self.server_ports[name]}" for name in names)
        flags = [
            argument
            for key, value in options.items()
            for argument in (f"--{key.replace('_', '-')}", str(value))
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

    def add_host(self, host: HostLocation, *, secret: str = SECRET) -> None:
        """Add an entry host that is not in the peer lists of running hosts."""
        self.hosts[host.name] = host
        self.ports[host.name] = self._host_ports()
        self.secrets[host.name] = secret

    async def start_host(self, name: str, *, wait: bool = True) -> None:
        """Start an entry host and wait until it is ready."""
        location = self.hosts[name]
        ports = self.ports[name]
        peer_urls = [
            f"ws://127.0.0.1:{self.ports[other].peer}"
            for other in self.hosts
            if other != name
        ]
        flags = {
            "name": name,
            "availability-zone": location.availability_zone,
            "region": location.region,
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
        arguments = [
            argument
            for flag, value in flags.items()
            for argument in (f"--{flag}", str(value))
        ]
        for url in peer_urls:
            arguments += ["--peer", url]
        await self._spawn(
            name,
            [*self.program, "entry-host", "run", *arguments, *self.host_flags],
            wait_ready=False,
        )
        if wait:
            await self.wait_host_ready(name)

    async def wait_host_ready(self, name: str) -> None:
        """Wait until the entry host reports that it is ready."""
        await self.wait_until(
            lambda: self._is_ok(f"{self.operator_url(name)}/readyz"),
            what=f"{name} to be ready",
        )

    async def wait_until(
        self, check: Any, *, what: str, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until the awaited check is true; TimeoutError after timeout_s.

        The error names what was waited for and shows the hosts' logs.
        """
        end_s = self.timer.monotonic() + timeout_s
        while not await check():
            if self.timer.monotonic() > end_s:
                logs = "\n".join(
                    f"{name}: {self.log_text(name)[-1500:]}"
                    for name in self.hosts
                )
                raise TimeoutError(f"timed out waiting for {what}\n{logs}")
            await self.timer.sleep(POLL_INTERVAL_S)

    async def command(self, *arguments: str) -> tuple[int, str, str]:
        """Run a samphirelug command; return exit code, stdout and stderr."""
        process = await asyncio.create_subprocess_exec(
            *self.program,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=self.environment([*self.program, *arguments]),
        )
        out, err = await process.communicate()
        return process.returncode or 0, out.decode(), err.decode()

    async def get_json(self, url: str) -> dict[str, Any]:
        """Return the JSON object at a URL."""
        response = await self.client.fetch(url)
        return dict(json.loads(response.body))

    async def get_text(self, url: str) -> str:
        """Return the text at a URL."""
        response = await self.client.fetch(url)
        return response.body.decode()

    async def post_json(self, url: str, body: dict[str, Any]) -> None:
        """Send a JSON object to a URL with POST."""
        await self.client.fetch(url, method="POST", body=json.dumps(body))

    async def put_json(self, url: str, body: dict[str, Any]) -> None:
        """Send a JSON object to a URL with PUT."""
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
        """Return the report of each backend server."""
        return {
            name: await self.get_json(f"http://127.0.0.1:{port}/control")
            for name, port in self.server_ports.items()
        }

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    async def wait_exit(self, name: str) -> int:
        """Wait for a process to end and return its exit code."""
        return await self.processes[name].wait()

    async def _is_ok(self, url: str) -> bool:
        try:
            response = await self.client.fetch(url, raise_error=False)
        except OSError:
            return False
        return response.code == 200

    async def start_module(
        self, name: str, module: str, *arguments: str, wait_ready: bool = False
    ) -> None:
        """Start a Python module of this source tree as a process."""
        await self._spawn(
            name,
            [sys.executable, "-m", module, *arguments],
            wait_ready=wait_ready,
        )

    async def _spawn(
        self, name: str, arguments: list[str], *, wait_ready: bool
    ) -> None:
        path = pathlib.Path(self.directory.name, f"{name}.log")
        with path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env=self.environment(arguments),
            )
        self.processes[name] = process
        if wait_ready:
            assert process.stdout is not None
            line = await asyncio.wait_for(
                process.stdout.readline(), READY_TIMEOUT_S
            )
            if b"ready" not in line:
                raise RuntimeError(
                    f"{name} did not start: {self.log_text(name)}"
                )

    def _host_ports(self) -> HostPorts:
        ports = free_ports(5)
        return HostPorts((ports[0], ports[1], ports[2]), ports[3], ports[4])

    def environment(self, arguments: list[str]) -> dict[str, str]:
        """Return the environment variables for a command."""
        if arguments[: len(self.program)] == self.program and (
            "-m" not in self.program
        ):
            # The single-file binary must use only the libraries it contains.
            return {**os.environ, "PYTHONUNBUFFERED": "1"}
        # Without src/ the processes would import the source tree that the
        # virtual environment was set up for, which may be another worktree.
        root = pathlib.Path(__file__).resolve().parent.parent
        path = f"{root}:{root / 'src'}"
        return {**os.environ, "PYTHONPATH": path, "PYTHONUNBUFFERED": "1"}
