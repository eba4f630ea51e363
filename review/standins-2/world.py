"""Stand-ins of the platform's store, workers, clients and the platform.

They use the standard library only. Everything runs on loopback addresses;
entry hosts are started as processes of their own with the command of the
deploy file.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOSTNAME = "portal.example"
REQUEST_ID = "x-samphirelug-request-id"
SEAL = "x-samphirelug-response-seal"
ZONES = {"a1": "a", "a2": "a"}
BOUNDS = {
    "SeedLag": "3s",
    "ReuseAfter": "2s",
    "StableWindow": "4000ms",
    "Ack": "4000ms",
    "CatchUp": "4s",
    "Drain": "2500ms",
    "Grace": "6s",
    "LossSlack": "200ms",
    "ConfigApply": "2500ms",
    "RollbackSlack": "250ms",
    "MaxSkew": "6000ms",
    "RetryBudgetRatio": 0.2,
    "BudgetWindow": "10s",
    "RetryBudgetSlack": 56,
    "ColdOverage": 1.5,
    "ColdSlack": 5,
    "Evacuate": "5000ms",
    "Recover": "15s",
    "ttl_max": "5s",
    "MaxShift": 0.15,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "places",
    "platform",
]


class Record:
    """Write what was sent, answered and run to a file."""

    def __init__(self, path):
        self.file = path.open("w", buffering=1)
        self.began_s = time.monotonic()

    def write(self, text):
        """Write one line with the time since the start."""
        at_s = time.monotonic() - self.began_s
        self.file.write(f"{at_s:9.3f} {text}\n")


class Message:
    """Hold one HTTP message."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    def get(self, name):
        """Return the first value of a field by its lower-case name."""
        for key, value in self.fields:
            if key.lower() == name:
                return value
        return None


async def read_head(reader):
    """Return the first line and the fields; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    fields = []
    for line in lines:
        name, _, value = line.partition(":")
        fields.append((name.strip(), value.strip()))
    return Message(first, fields, b"")


async def read_message(reader):
    """Return one message whose body has a length."""
    message = await read_head(reader)
    length = int(message.get("content-length") or 0)
    if length:
        message.body = await reader.readexactly(length)
    return message


class Store:
    """Serve objects by kind and name, as PROTOCOL.md says."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        # Revision, kind and event of each change.
        self.history = []
        self.changed = asyncio.Event()
        self.port = 0
        self.calls = 0

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=4 << 20
        )
        self.port = server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec, status=None):
        """Create or replace an object."""
        self.revision += 1
        stored = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "Created": self.revision,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec,
            "Status": status,
        }
        self.objects[kind, name] = stored
        self._record(kind, {"Deleted": False, "Object": stored})
        return stored

    def delete(self, kind, name):
        """Remove an object."""
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._record(kind, {"Deleted": True, "Object": stored})

    def _record(self, kind, event):
        now = time.monotonic()
        self.history.append((self.revision, kind, event, now))
        while self.history and self.history[0][3] < now - 20.0:
            self.history.pop(0)
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, ConnectionError
        ):
            while True:
                message = await read_message(reader)
                self.calls += 1
                status, document = await self._answer(message)
                body = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        writer.close()

    async def _answer(self, message):
        method, target, _ = message.first.split(" ")
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = path.split("/")[3:]
        kind = parts[0]
        name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else ""
        current = self.objects.get((kind, name))
        await asyncio.sleep(0.004)
        if method == "GET" and "Watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and not name:
            return 200, self._list(kind, query.get("after", ""))
        if method == "GET":
            return (200, current) if current else (404, {})
        if method == "DELETE":
            wanted = query.get("Revision")
            if current is None:
                return 404, {}
            if wanted and int(wanted) != current["Metadata"]["Revision"]:
                return 409, current
            self.delete(kind, name)
            return 200, current
        document = json.loads(message.body)
        metadata = document.get("Metadata", {})
        if method == "POST":
            name = metadata["Name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
        elif current is None:
            return 404, {}
        elif metadata.get("Revision") not in (
            None,
            current["Metadata"]["Revision"],
        ):
            return 409, current
        return 200, self.put(kind, name, document.get("Spec"))

    def _list(self, kind, after):
        names = sorted(
            name
            for stored_kind, name in self.objects
            if stored_kind == kind and name > after
        )
        return {
            "items": [self.objects[kind, name] for name in names[:500]],
            "HasMore": len(names) > 500,
            "AsOf": self.revision,
        }

    async def _watch(self, kind, query):
        after = int(query["Watch"])
        until_s = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            oldest = self.history[0][0] if self.history else self.revision + 1
            if after + 1 < oldest and after < self.revision:
                return 410, {}
            events = [
                event
                for revision, event_kind, event, _ in self.history
                if event_kind == kind and revision > after
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "AsOf": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)


def short_answer(message, body_bytes):
    """Return the size of the answer to a request."""
    del message, body_bytes
    return 600


class Worker:
    """Run requests as one worker of a service."""

    def __init__(self, store, record, *, name, service, zone, slots=60):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = 0.2
        # Largest time that is added to it, different for each request.
        self.spread_s = 0.0
        # Size of the answer to a request, by its message and body length.
        self.answer_bytes_of = short_answer
        self.running = 0
        self.runs = {}
        self.port = 0
        # Further fields of all answers.
        self.extra_fields = ""
        self.server = None
        self.writers = set()

    async def start(self):
        """Listen, and register in the store."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.write_entry("ready")

    def end(self):
        """Stop listening and close all connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def write_entry(self, state, sequence=1):
        """Write the entry in the store."""
        self.store.put(
            "servers",
            self.name,
            {
                "Address": f"127.0.0.1:{self.port}",
                "born": 1,
                "Info": {
                    "Service": self.service,
                    "Version": "v1",
                    "Zone": self.zone,
                    "MaxConcurrency": self.slots,
                },
                "Status": {
                    "State": state,
                    "Sequence": sequence,
                    "ColdRemaining": "0ms",
                },
            },
        )

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, ConnectionError
        ):
            while True:
                message = await read_message(reader)
                writer.write(await self.answer(message))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def answer(self, message):
        """Run a request and return its answer."""
        request_id = message.get(REQUEST_ID) or ""
        if message.get("x-samphirelug-expected-instance") != self.name:
            return self._render("421 Other", request_id)
        if self.running >= self.slots:
            return self._render(
                "503 Full", request_id, "X-Samphirelug-Not-Executed: 1\r\n"
            )
        self.running += 1
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record.write(
            f"worker {self.name} runs {request_id}"
            f" ({message.first[:60]}, body {len(message.body)} bytes)"
        )
        size = self.answer_bytes_of(message, len(message.body))
        message.body = b""
        try:
            spread = zlib.crc32(request_id.encode()) % 1000 / 1000
            await asyncio.sleep(self.work_s + spread * self.spread_s)
        finally:
            self.running -= 1
        fields = f"X-Samphirelug-Response-Seal: seal-{request_id}\r\n"
        return self._render(
            "200 OK", request_id, fields + "Keep-Alive: timeout=10\r\n", size
        )

    def _render(self, status, request_id, fields="", size=0):
        return (
            f"HTTP/1.1 {status}\r\n"
            f"X-Samphirelug-Request-Id: {request_id}\r\n"
            f"X-Samphirelug-Server-Load: {self.running},0,{self.slots}\r\n"
            f"{self.extra_fields}{fields}"
            f"Content-Length: {size}\r\n\r\n"
        ).encode() + bytes(size)


class Host:
    """Run one entry host as a process, as the platform does."""

    def __init__(self, world, *, number):
        self.world = world
        self.name = f"front-{number}"
        pid = os.getpid()
        self.ip = f"127.{60 + pid % 150}.{pid // 150 % 250}.{10 + number}"
        ports = free_ports(self.ip, 3)
        self.front, self.ready, self.directory = ports
        self.zone = sorted(ZONES)[number % 2]
        self.process = None
        # Largest memory seen, and how often the process was ended for it.
        self.peak_bytes = 0
        self.killed_at_s = []
        self.first_start = True

    def settings(self):
        """Return the settings file of the platform."""
        ip = self.ip
        return {
            "NodeName": self.name,
            "Role": "entry-host",
            "MachineType": "front",
            "Serves": ["front", "directory"],
            "Ip": ip,
            "Zone": self.zone,
            "Region": ZONES[self.zone],
            "Zones": ZONES,
            "Listen": {
                "Front": f"{ip}:{self.front}",
                "Ready": f"{ip}:{self.ready}",
                "Directory": f"{ip}:{self.directory}",
            },
            "PortRange": [17660, 17675],
            "Seeds": [],
            "Bootstrap": self.first_start,
            "CountsAsLoss": False,
            "Limits": {
                "CpuShare": 0.86,
                "CpuCores": 1,
                "MemoryMb": self.world.memory_mb,
                "MaxFds": 4100,
                "BandwidthMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "directory",
            "Heartbeat": "1500ms",
            "Contracts": CONTRACTS,
            "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 1},
            "Bounds": {**BOUNDS, **self.world.bounds},
            "Platform": {
                "Address": f"127.0.0.1:{self.world.store.port}",
                "form": "objects",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "History": "20s",
                "ValueBytes": 1048576,
                "TtlMin": "1000ms",
            },
        }

    def start(self):
        """Start the process with the command of the deploy file."""
        path = self.world.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        self.first_start = False
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry-host"]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["SAMPHIRELUG_SETTINGS"] = str(path)
        with (self.world.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.world.record.write(f"{self.name} starts, pid {self.process.pid}")

    async def wait_ready(self, timeout_s=30.0):
        """Wait until the readiness check answers 200."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, TimeoutError
            ):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        self.ip, self.ready
                    )
                    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    answer = await read_head(reader)
                    writer.close()
                    if answer.first.split(" ")[1] == "200":
                        self.world.record.write(f"{self.name} is ready")
                        return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} does not become ready")

    def memory_bytes(self):
        """Return the process's own memory, without pages of files."""
        with contextlib.suppress(OSError, ValueError):
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            for line in text.splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) * 1024
        return 0

    async def keep_running(self):
        """End a process that exceeds its memory; start one that has ended."""
        while True:
            await asyncio.sleep(0.1)
            held = self.memory_bytes()
            self.peak_bytes = max(self.peak_bytes, held)
            if held > self.world.memory_mb * (1 << 20):
                self.killed_at_s.append(time.monotonic())
                self.world.record.write(
                    f"{self.name} takes {held >> 20} MiB, allowed are"
                    f" {self.world.memory_mb}: the platform kills it"
                )
                self.process.kill()
            if self.process.poll() is not None:
                self.world.record.write(
                    f"{self.name} ended with {self.process.returncode}"
                )
                await asyncio.sleep(0.5)
                self.start()

    def stop(self):
        """End the process."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.kill()
        self.process.wait()


class CannotRunError(Exception):
    """Report that the case could not run."""


class World:
    """Hold a store, workers and entry hosts for one case."""

    def __init__(self, record, *, memory_mb=300, bounds=None):
        self.record = record
        self.memory_mb = memory_mb
        self.bounds = bounds or {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.workers = []
        self.hosts = []
        self.keepers = []
        self.version = 4

    async def start(
        self, *, hosts, workers, slots=60, routes=(), worker_type=Worker
    ):
        """Start everything and wait until the hosts are ready."""
        await self.store.start()
        self.put_configuration(routes)
        for number in range(workers):
            worker = worker_type(
                self.store,
                self.record,
                name=f"i-{number:08x}",
                service="desk",
                zone=sorted(ZONES)[number % 2],
                slots=slots,
            )
            await worker.start()
            self.workers.append(worker)
        self.hosts = [Host(self, number=number) for number in range(hosts)]
        for host in self.hosts:
            host.start()
        for host in self.hosts:
            await host.wait_ready()
        self.keepers = [
            asyncio.ensure_future(host.keep_running()) for host in self.hosts
        ]

    def put_configuration(self, routes=()):
        """Write the next desired state with further routes."""
        self.version += 3
        rules = [
            rule("r-status", "safe", "/status/", priority=0),
            rule("r-filing", "unsafe", "/filing/", priority=1),
            *routes,
        ]
        spec = {
            "Version": f"{self.version:08x}",
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 67108864,
                "HeaderTimeout": "3000ms",
                "IdleTimeout": "15000ms",
            },
            "BaseVersion": f"{self.version - 3:08x}",
            "Listeners": [{"Hostname": HOSTNAME, "Rules": rules}],
            "Clusters": [
                {
                    "Name": "desk",
                    "HealthPath": "/health",
                    "MaxConnections": 330,
                    "Protocol": "h1",
                    "Tls": False,
                    "ColdStart": "3s",
                    "ColdPerS": 5.2,
                }
            ],
        }
        size = len(json.dumps(spec))
        if size > 1048576:
            raise CannotRunError("the desired state is larger than ValueBytes")
        self.store.put("config", "main", spec)
        return size

    def stop(self):
        """End all processes that were started."""
        for keeper in self.keepers:
            keeper.cancel()
        for host in self.hosts:
            host.stop()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def judge_lost(world, clients, counts, *, allowed):
    """Return 1 if LOST is broken, and record what was seen."""
    broken = False
    for host in world.hosts:
        lost = [
            request_id
            for client in clients
            if client.host is host
            for request_id, _, used in client.unanswered
            if used and any(request_id in each.runs for each in world.workers)
        ]
        world.record.write(
            f"{host.name}: largest memory {host.peak_bytes >> 20} MiB of"
            f" {world.memory_mb}, killed for it {len(host.killed_at_s)} times;"
            " requests of kept connections that were passed to a worker and"
            f" never answered: {len(lost)}, allowed are {allowed}"
        )
        broken = broken or len(lost) > allowed
    world.record.write(f"answers by status: {sorted(counts.items())}")
    world.record.write("LOST is broken" if broken else "LOST holds")
    return 1 if broken else 0


def run(main):
    """Run a case, and exit with the code that it returns."""

    async def run_until_ended():
        task = asyncio.ensure_future(main())
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            code = await task
        except asyncio.CancelledError:
            code = 2
        sys.stdout.flush()
        # Connections of the stand-ins may still be open.
        os._exit(code)

    asyncio.run(run_until_ended())


def rule(name, kind, prefix, *, priority=1, timeout="3s"):
    """Return a route as the operator writes it."""
    return {
        "Name": name,
        "Type": kind,
        "TargetLatency": "600ms",
        "Priority": priority,
        "SessionAffinity": True,
        "Match": {"PathPrefix": prefix},
        "Action": {
            "Service": "desk",
            "Timeout": timeout,
            "MaxAttempts": 2,
            "AllowedRegions": [],
        },
    }


def render_request(
    method, path, request_id, *, body=b"", deadline_ms=4000, key="7"
):
    """Return the bytes of a client's request."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\n"
        f"X-Samphirelug-Request-Id: {request_id}\r\n"
        f"Cookie: X-Samphirelug-Affinity-Key={key}\r\n"
        f"X-Samphirelug-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
    ).encode() + body


def free_ports(ip, count):
    """Return ports that are free at the moment."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in sockets]


class SteadyClient:
    """Send requests one after the other on a kept connection."""

    def __init__(self, host, record, *, number, counts):
        self.host = host
        self.record = record
        self.name = f"{host.name}-c{number}"
        self.number = number
        self.counts = counts
        self.sent = 0
        self.answered = 0
        # Requests whose connection closed without an answer, with the time
        # at which it did.
        self.unanswered = []
        # Time at which each request was sent.
        self.sent_at_s = {}
        # Requests with another status than 200 or 503, or with none.
        self.failures = []
        # Times of answers of a worker that is leaving.
        self.leaving_answers_s = []

    async def run(self, until_s):
        """Send requests until a time of the steady clock."""
        await asyncio.sleep(0.04 * self.number)
        while time.monotonic() < until_s:
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        self.host.ip, self.host.front
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
            await self._use(reader, writer, until_s)
            writer.close()

    async def _use(self, reader, writer, until_s):
        used = 0
        while time.monotonic() < until_s:
            self.sent += 1
            request_id = f"{self.name}-{self.sent:06d}"
            method, path = (
                ("GET", "/status/1")
                if self.sent % 2
                else ("DELETE", "/filing/1")
            )
            self.sent_at_s[request_id] = time.monotonic()
            try:
                writer.write(
                    render_request(
                        method,
                        path,
                        request_id,
                        key=str((self.sent + 7 * self.number) % 40),
                    )
                )
                async with asyncio.timeout(6.0):
                    answer = await read_message(reader)
            except TimeoutError:
                self.record.write(f"client: {request_id} no answer in 6 s")
                self.failures.append((request_id, "none"))
                return
            except (OSError, asyncio.IncompleteReadError):
                self.record.write(
                    f"client: {request_id} connection closed without an"
                    f" answer, it was request {used + 1} of the connection"
                )
                self.unanswered.append((request_id, time.monotonic(), used))
                self.failures.append((request_id, "closed"))
                return
            used += 1
            self.answered += 1
            status = answer.first.split(" ")[1]
            self.counts[status] = self.counts.get(status, 0) + 1
            if status not in ("200", "503"):
                self.failures.append((request_id, status))
            if answer.get("server-leaving") == "1":
                self.leaving_answers_s.append(time.monotonic())
            if answer.get("connection") == "close":
                return
            await asyncio.sleep(0.05)
