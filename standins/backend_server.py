"""Fake backend servers with slots, health probes, drains and faults.

One process can serve many servers, one port each. The report at /control
lists the requests that a server ran, so that tests do not rely on the
counters of the system under test.
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
    """Record one request that a server ran, to the end or until cancelled."""

    server: str
    request_id: str
    # ID of a piece of work, the same for its repeated requests.
    work_id: str
    home_region: str
    at_s: float
    ended_at_s: float
    # Requests in flight at the end of this one, itself included.
    in_flight: int
    bytes_in: int
    bytes_out: int


class Faults(NamedTuple):
    """Hold the faults that were set through the control endpoint."""

    # Extra time before each answer.
    slow_s: float = 0.0
    # Fraction of requests that are run and whose connection is closed in the
    # middle of the answer.
    cut: float = 0.0
    # Fraction of requests that are run and whose connection is then closed
    # without an answer.
    reset: float = 0.0
    # Fraction of requests that are refused as not run.
    refuse: float = 0.0
    # Refuse requests as not run and report the state "leaving".
    leaving: bool = False
    # Load to report instead of the true load.
    reported_load: float | None = None
    # Report the state "live" to health probes although the server is leaving.
    hide_leaving: bool = False


class FakeServer:
    """Hold the state of one server and record each run."""

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
        """Return the reported load: requests in flight per slot."""
        if self.faults.reported_load is not None:
            return self.faults.reported_load
        return self.in_flight / self.slots


class WorkHandler(web.RequestHandler):
    """Run a request for the service time and answer it.

    Any number of requests run at once; max_in_flight records the maximum.
    """

    def initialize(self, *, server: FakeServer) -> None:
        """Set the server that this handler serves."""
        self.server = server
        self.task: asyncio.Task[Any] | None = None

    def on_connection_close(self) -> None:
        """Cancel the run when the client closes the connection."""
        if self.task is not None:
            self.task.cancel()

    async def run(self) -> None:
        """Serve a request of any method."""
        self.task = asyncio.current_task()
        server = self.server
        faults = server.faults
        if faults.leaving or server.rng.random() < faults.refuse:
            self._refuse_not_run(faults)
            return
        server.in_flight += 1
        server.max_in_flight = max(server.max_in_flight, server.in_flight)
        started_s = time.monotonic()
        try:
            await self._process(faults)
        except asyncio.CancelledError:
            # The client closed the connection; the run is recorded anyway.
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

    def _refuse_not_run(self, faults: Faults) -> None:
        self.server.refused += 1
        self.set_status(503)
        self.set_header(const.HEADER_WORK, const.WORK_NOT_RUN)
        if faults.leaving:
            self.set_header(const.HEADER_DRAIN, "1")
            self.set_header("Connection", "close")
        self.finish()

    async def _process(self, faults: Faults) -> None:
        server = self.server
        remaining_s = (
            float(self.request.headers.get(const.HEADER_DEADLINE_MS, "30000"))
            / 1000
        )
        service_s = server.service_s * server.rng.uniform(0.8, 1.2)
        await asyncio.sleep(min(service_s + faults.slow_s, remaining_s))
        draw = server.rng.random()
        if draw < faults.reset:
            self._close_after(b"")
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
            self._close_after(head.encode() + body[: len(body) // 2])
            return
        self.set_header("Content-Type", "application/json")
        self.finish(body)

    def _close_after(self, written: bytes) -> None:
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

    def initialize(self, *, server: FakeServer) -> None:
        """Set the server that this handler serves."""
        self.server = server

    def get(self) -> None:
        """Write state, load and incarnation."""
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
    """Report the recorded requests, and set faults."""

    def initialize(self, *, server: FakeServer) -> None:
        """Set the server that this handler serves."""
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
        """Set the faults in the body and clear all others."""
        self.server.faults = Faults(**json.loads(self.request.body))
        self.write(self.server.faults._asdict())


def make_application(server: FakeServer) -> web.Application:
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
    servers: str = typer.Option(help="name=port pairs, separated by commas"),
    slots: int = 3,
    service_s: float = 0.05,
    answer_bytes: int = 200,
    seed: int = 1,
) -> None:
    """Serve backend servers until interrupted."""

    async def serve() -> None:
        for index, pair in enumerate(servers.split(",")):
            name, port = pair.split("=")
            server = FakeServer(
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
