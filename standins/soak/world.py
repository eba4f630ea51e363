"""Start real entry hosts against fakes of the store and the servers."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import sys
import time

import orjson

from standins.soak import keys as key_module
from standins.soak import proxy
from standins.soak import servers
from standins.soak import store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
READY_TIMEOUT_S = 60.0
READY_POLL_S = 0.1
# Time after which the store carries out a report that got no answer.
LATE_REPORT_S = 4.0
# Time between two reports of a server.
REPORT_INTERVAL_S = 1.5
# Time after which the entry of a server expires that no longer reports.
ENTRY_EXPIRY_S = 3 * REPORT_INTERVAL_S
# Region by availability zone.
ZONES = {"a1": "a", "a2": "a"}


def free_ports(host: str, *, count: int) -> list[int]:
    """Return different ports that are free at the moment."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        # All sockets stay bound until the last one is, or a port could be
        # returned twice.
        for sock in sockets:
            sock.bind((host, 0))
        return [int(sock.getsockname()[1]) for sock in sockets]


class HostProcess:
    """Run one entry host as a process of its own."""

    def __init__(
        self,
        *,
        number: int,
        folder: pathlib.Path,
        store_address: str,
        strict_revoke: bool = False,
        memory_mb: int = 300,
        max_descriptors: int = 4100,
    ) -> None:
        self.name = f"host-{number}"
        # The process ID keeps soaks that run at the same time from sharing
        # addresses.
        network, subnet = divmod(os.getpid() % 50_000, 250)
        self.ip = f"127.{20 + network}.{subnet}.{10 + number}"
        self.folder = folder
        callers_port, ready_port, self.directory_port = free_ports(
            self.ip, count=3
        )
        self.process: asyncio.subprocess.Process | None = None
        self.settings = {
            "NodeName": self.name,
            "Ip": self.ip,
            "Zone": sorted(ZONES)[number % 2],
            "Region": "a",
            "Zones": ZONES,
            "Listen": {
                "Front": f"{self.ip}:{callers_port}",
                "Ready": f"{self.ip}:{ready_port}",
                "Directory": f"{self.ip}:{self.directory_port}",
            },
            "PortRange": [17660, 17675],
            "Bounds": {
                "Drain": "2500ms",
                "Grace": "6s",
                "RetryBudgetRatio": 0.2,
                "RetryBudgetSlack": 60,
                "BudgetWindow": "10s",
                "ttl_max": "5s",
                "StrictRevoke": strict_revoke,
                "Revoke": "5s",
            },
            "Limits": {
                "CpuShare": 1.0,
                "CpuCores": 1,
                "BandwidthMbps": 1000.0,
                "MemoryMb": memory_mb,
                "MaxFds": max_descriptors,
            },
            "Platform": {"Address": store_address},
        }

    async def start(self) -> None:
        """Start the process unless an overlapping fault has started it."""
        if self.process is not None and self.process.returncode is None:
            return
        path = self.folder / f"{self.name}.json"
        path.write_bytes(orjson.dumps(self.settings))
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform" / "start.py"),
            env={**os.environ, "SAMPHIRELUG_SETTINGS": str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the process to end and return its exit code."""
        assert self.process is not None
        return await self.process.wait()


def server_status(state: str, *, sequence: int) -> dict[str, object]:
    """Return the status in the entry of a server."""
    return {"State": state, "Sequence": sequence, "ColdRemaining": "0ms"}


class World:
    """Run a store, backend servers and entry hosts for one soak."""

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        rng: random.Random,
        hosts: int,
        keys: key_module.KeyBook | None = None,
        strict_revoke: bool = False,
        memory_mb: int = 300,
        max_descriptors: int = 4100,
    ) -> None:
        self.folder = folder
        self.rng = rng
        # Keys of teams; without it, the configuration has no teams.
        self.keys = keys
        self.strict_revoke = strict_revoke
        # Limits in the settings of each entry host.
        self.memory_mb = memory_mb
        self.max_descriptors = max_descriptors
        self.store = store.StoreState(rng=rng)
        self.run_log = servers.RunLog()
        self.servers: dict[str, servers.FakeServer] = {}
        # IDs of the servers that leave.
        self.draining: set[str] = set()
        self.proxies: dict[str, proxy.FaultyProxy] = {}
        self.store_proxies: list[proxy.FaultyProxy] = []
        self.hosts: list[HostProcess] = []
        self.host_count = hosts
        self.servers_started = 0
        self.version = 0

    async def start(self) -> None:
        """Start everything and wait until all hosts are ready."""
        (port,) = free_ports("127.0.0.1", count=1)
        store.serve(self.store, host="127.0.0.1", port=port)
        self.change_configuration()
        for _ in range(4):
            await self.add_server()
        for number in range(self.host_count):
            store_proxy = proxy.FaultyProxy(target=("127.0.0.1", port))
            await store_proxy.start("127.0.0.1")
            self.store_proxies.append(store_proxy)
            host = HostProcess(
                number=number,
                folder=self.folder,
                store_address=f"127.0.0.1:{store_proxy.port}",
                strict_revoke=self.strict_revoke,
                memory_mb=self.memory_mb,
                max_descriptors=self.max_descriptors,
            )
            self.hosts.append(host)
            await host.start()
        for host in self.hosts:
            await self._wait_ready(host)

    async def stop(self) -> list[int]:
        """Stop the entry hosts and return their exit codes."""
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
            host.send_signal(signal.SIGTERM)
        codes = []
        for host in self.hosts:
            try:
                codes.append(await asyncio.wait_for(host.wait(), 10))
            except TimeoutError:
                host.send_signal(signal.SIGKILL)
                codes.append(await host.wait())
        return codes

    async def add_server(self) -> None:
        """Start a server behind a proxy and register it in the store."""
        self.servers_started += 1
        instance_id = f"i-{self.servers_started}"
        server = servers.FakeServer(
            instance_id=instance_id, run_log=self.run_log, rng=self.rng
        )
        server.start("127.0.0.1")
        server_proxy = proxy.FaultyProxy(
            target=("127.0.0.1", server.listener.port)
        )
        await server_proxy.start("127.0.0.1")
        self.servers[instance_id] = server
        self.proxies[instance_id] = server_proxy
        self.write_server_entry(instance_id, "ready")

    def write_server_entry(
        self, instance_id: str, state: str, *, sequence: int = 1
    ) -> None:
        """Write the server's entry in the store."""
        self.store.put(
            "servers",
            instance_id,
            {
                "Address": f"127.0.0.1:{self.proxies[instance_id].port}",
                "born": 1,
                "Info": {
                    "Service": "desk",
                    "Zone": self.rng.choice(sorted(ZONES)),
                    "MaxConcurrency": 4,
                },
                "Status": server_status(state, sequence=sequence),
            },
        )

    def report_status(
        self, instance_id: str, state: str, sequence: int
    ) -> None:
        """Write the status in a server's entry, if it has one."""
        if ("servers", instance_id) not in self.store.objects:
            return
        spec = self.store.objects["servers", instance_id]["Spec"]
        status = server_status(state, sequence=sequence)
        self.store.put("servers", instance_id, {**spec, "Status": status})

    def drain_server(self) -> None:
        """Mark the oldest server as draining.

        The store carries out an earlier report of it late.
        """
        instance_id = next(iter(self.servers))
        server = self.servers.pop(instance_id)
        self.draining.add(instance_id)
        self.write_server_entry(instance_id, "draining", sequence=3)
        server.handler.drain_started_s = time.monotonic()
        call_later = asyncio.get_running_loop().call_later
        call_later(LATE_REPORT_S, self.report_status, instance_id, "ready", 2)
        call_later(
            LATE_REPORT_S + REPORT_INTERVAL_S,
            self.report_status,
            instance_id,
            "draining",
            4,
        )

    def write_again(self) -> None:
        """Write what operators and servers know to be missing in the store.

        Entries of servers that have ended expire.
        """
        self.change_configuration()
        for instance_id in self.servers:
            if ("servers", instance_id) not in self.store.objects:
                self.write_server_entry(instance_id, "ready")
        for instance_id in self.draining:
            self.report_status(instance_id, "draining", 5)
        for kind, name in list(self.store.objects):
            if kind == "servers" and name not in self.draining.union(
                self.servers
            ):
                asyncio.get_running_loop().call_later(
                    ENTRY_EXPIRY_S, self.store.delete, kind, name
                )

    def change_configuration(self) -> None:
        """Write the next version of the configuration."""
        self.version += 3
        teams = self.keys.keys if self.keys is not None else {}
        action = {"Service": "desk", "Timeout": "1s", "MaxAttempts": 2}
        rules = [
            {
                "Name": name,
                "Type": kind,
                "Public": name == "page",
                "TargetLatency": "400ms",
                "SessionAffinity": True,
                "Match": {"PathPrefix": f"/{name}/"},
                "Action": action,
            }
            for name, kind in (
                ("status", "safe"),
                ("page", "safe"),
                ("filing", "unsafe"),
                ("upload", "upload"),
            )
        ]
        self.store.put(
            "config",
            "main",
            {
                "Version": f"{self.version:08x}",
                "Limits": {
                    "MaxHeaderBytes": 16384,
                    "MaxBodyBytes": 1048576,
                    "HeaderTimeout": "3s",
                    "IdleTimeout": "15s",
                },
                "Listeners": [{"Hostname": "portal.example", "Rules": rules}],
                "Clusters": [{"Name": "desk", "ColdPerS": 5}],
                "Tenants": [
                    {"Name": team, "ApiKeys": list(team_keys)}
                    for team, team_keys in teams.items()
                ],
            },
        )
        if self.keys is not None:
            self.keys.record()

    def hosts_with_logged_keys(self) -> list[str]:
        """Return the hosts in whose log a key stands."""
        return [
            host.name
            for host in self.hosts
            if key_module.KEY_PREFIX
            in (self.folder / f"{host.name}.log").read_text("latin-1")
        ]

    async def _wait_ready(self, host: HostProcess) -> None:
        for _ in range(round(READY_TIMEOUT_S / READY_POLL_S)):
            if await self._is_ready(host):
                return
            await asyncio.sleep(READY_POLL_S)
        raise TimeoutError(f"{host.name} did not become ready in time")

    async def _is_ready(self, host: HostProcess) -> bool:
        listen = host.settings["Listen"]
        assert isinstance(listen, dict)
        ip, _, port = listen["Ready"].partition(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
        except OSError:
            return False
        writer.close()
        return b" 200 " in line
