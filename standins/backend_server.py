"""Stand in for backend servers: slots, health, drains and faults.

One process can serve many servers, one port each. The report counts what
the servers saw, so that tests need not trust the system's own counters.
"""

import asyncio
import json
import random
import time
from typing import Any
from typing import NamedTuple

from tornado import http1connection
from tornado import httpserver
from tornado import netutil
from tornado import web
import typer

from samphirelug import const


class Arrival(NamedTuple):
    """Record one request that a server began to run."""

    server: str
    request_id: str
    work_id: str
    home_region: str
    at_s: float
    ended_at_s: float
    in_flight: int
    bytes_in: int
    bytes_out: int


class Faults(NamedTuple):
    """Hold the faults that the control endpoint has set."""

    # Extra time before each answer.
    slow_s: float = 0.0
    # Fraction of requests that are run and then cut in mid-answer.
    cut: float = 0.0
    # Fraction of requests that are run and whose connection is then reset.
    reset: float = 0.0
    # Fraction of requests that are refused as not run.
    refuse: float = 0.0
    leaving: bool = False
    # Load to report whatever the true load is.
    reported_load: float | None = None
    # Answer health probes as live although the server is leaving.
    hide_leaving: bool = False


class StandinServer:
    """Serve requests in slots and record each run."""

    def __init__(
        self,
        *,
        name: str,
        slots: int,
        service_s: float,
        answer_bytes: int,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.slots = slots
        self.service_s = service_s
        self.answer_bytes = answer_bytes
        self.rng = rng
        self.faults = Faults()
        self.incarnation = f"{name}-{rng.getrandbits(32):x}"
        self.in_flight = 0
        self.max_in_flight = 0
        self.refused = 0
        self.arrivals: list[Arrival] = []

    def load(self) -> float:
        """Return the load as the server reports it."""
        if self.faults.reported_load is not None:
            return self.faults.reported_load
        return self.in_flight / self.slots


class WorkHandler(web.RequestHandler):
    """Run a request: take a slot, work, answer."""

    def initialize(self, *, server: StandinServer) -> None:
        """Keep the server's state."""
        self.server = server
        self.task: asyncio.Task[Any] | None = None

    def on_connection_close(self) -> None:
        """Cancel the work of a caller that has gone away."""
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        """Handle every method alike."""
        self.task = asyncio.current_task()
        server = self.server
        faults = server.faults
        if faults.leaving or server.rng.random() < faults.refuse:
            self._refuse_unrun(faults)
            return
        server.in_flight += 1
        server.max_in_flight = max(server.max_in_flight, server.in_flight)
        started_s = time.monotonic()
        try:
            await self._work(faults)
        except asyncio.CancelledError:
            # The caller went away; the run is recorded all the same.
            pass
        finally:
            self._record(started_s)
            server.in_flight -= 1

    get = run
    head = run
    post = run
    put = run
    patch = run
    delete = run
    options = run

    def _refuse_unrun(self, faults: Faults) -> None:
        self.server.refused += 1
        self.set_status(503)
        self.set_header(const.HEADER_WORK, const.WORK_NOT_RUN)
        if faults.leaving:
            self.set_header(const.HEADER_DRAIN, "1")
            self.set_header("Connection", "close")
        self.finish()

    async def _work(self, faults: Faults) -> None:
        server = self.server
        left_s = (
            float(self.request.headers.get(const.HEADER_DEADLINE_MS, "30000"))
            / 1000
        )
        service_s = server.service_s * server.rng.uniform(0.8, 1.2)
        await asyncio.sleep(min(service_s + faults.slow_s, left_s))
        draw = server.rng.random()
        if draw < faults.reset:
            self._cut(b"")
            return
        body = json.dumps(
            {
                "server": server.name,
                "request_id": self.request.headers.get(
                    const.HEADER_REQUEST_ID
                ),
                "echo": self.request.body.decode("utf-8", "replace"),
                "method": self.request.method,
                "uri": self.request.uri,
                "padding": "x" * server.answer_bytes,
            }
        ).encode()
        if draw < faults.reset + faults.cut:
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            self._cut(head.encode() + body[: len(body) // 2])
            return
        self.set_header("Content-Type", "application/json")
        self.finish(body)

    def _cut(self, written: bytes) -> None:
        connection = self.request.connection
        assert isinstance(connection, http1connection.HTTP1Connection)
        self._auto_finish = False
        stream = connection.detach()
        if not written:
            stream.close()
            return
        stream.write(written).add_done_callback(lambda _: stream.close())

    def _record(self, started_s: float) -> None:
        headers = self.request.headers
        self.server.arrivals.append(
            Arrival(
                server=self.server.name,
                request_id=headers.get(const.HEADER_REQUEST_ID, ""),
                work_id=headers.get("X-Work-Id", ""),
                home_region=headers.get(const.HEADER_HOME_REGION, ""),
                at_s=started_s,
                ended_at_s=time.monotonic(),
                in_flight=self.server.in_flight,
                bytes_in=len(self.request.body),
                bytes_out=self.server.answer_bytes,
            )
        )


class HealthHandler(web.RequestHandler):
    """Answer health probes."""

    def initialize(self, *, server: StandinServer) -> None:
        """Keep the server's state."""
        self.server = server

    def get(self) -> None:
        """Write state and load."""
        server = self.server
        leaving = server.faults.leaving and not server.faults.hide_leaving
        self.write(
            {
                "state": "leaving" if leaving else "live",
                "load": server.load(),
                "incarnation": server.incarnation,
            }
        )


class ControlHandler(web.RequestHandler):
    """Report what was seen, and set faults."""

    def initialize(self, *, server: StandinServer) -> None:
        """Keep the server's state."""
        self.server = server

    def get(self) -> None:
        """Write the report."""
        server = self.server
        self.write(
            {
                "name": server.name,
                "slots": server.slots,
                "max_in_flight": server.max_in_flight,
                "in_flight": server.in_flight,
                "refused": server.refused,
                "arrivals": [each._asdict() for each in server.arrivals],
            }
        )

    def put(self) -> None:
        """Set the faults that the body names; others are cleared."""
        self.server.faults = Faults(**json.loads(self.request.body))
        self.write(self.server.faults._asdict())


def make_application(server: StandinServer) -> web.Application:
    """Return the web application of one server."""
    arguments = {"server": server}
    return web.Application(
        [
            (r"/health", HealthHandler, arguments),
            (r"/control", ControlHandler, arguments),
            (r"/.*", WorkHandler, arguments),
        ],
        log_function=lambda _: None,
    )


def main(
    servers: str = typer.Option(help="name=port, separated by commas"),
    slots: int = 3,
    service_s: float = 0.05,
    answer_bytes: int = 200,
    seed: int = 1,
) -> None:
    """Serve backend servers until interrupted."""

    async def serve() -> None:
        for index, pair in enumerate(servers.split(",")):
            name, port = pair.split("=")
            server = StandinServer(
                name=name,
                slots=slots,
                service_s=service_s,
                answer_bytes=answer_bytes,
                rng=random.Random(seed * 1000 + index),
            )
            http = httpserver.HTTPServer(make_application(server))
            http.add_sockets(netutil.bind_sockets(int(port), "127.0.0.1"))
        print("ready", flush=True)
        await asyncio.Event().wait()

    try:
        asyncio.run(serve())
    except KeyboardInterrupt:
        return


if __name__ == "__main__":
    typer.run(main)
