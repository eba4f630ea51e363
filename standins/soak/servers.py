"""Fake backend servers that record which requests they run."""

import asyncio
import collections
import contextlib
import random
import time

from samphirelug.components.http import io_pipeline
from samphirelug.components.http import model as http_model
from samphirelug.components.http import request_parser
from samphirelug.helpers import timer as timer_helper
from standins import forwarding as build
from standins.soak import keys

REQUEST_ID = "x-samphirelug-request-id"
EXPECTED_INSTANCE = "x-samphirelug-expected-instance"
TEAM = "x-samphirelug-tenant"


class RunLog:
    """Record which requests ran on any of the servers."""

    def __init__(self) -> None:
        # Number of runs by request ID.
        self.runs: collections.Counter[str] = collections.Counter()
        # Requests that reached a server after its drain began: server,
        # request ID, seconds since then.
        self.late_arrivals: list[tuple[str, str, float]] = []
        # Values of the team's field at each arrival, by request ID.
        self.teams: dict[str, list[list[str]]] = {}
        # Requests in which a server found a key.
        self.with_key: list[str] = []

    def record_arrival(
        self, request_id: str, message: request_parser.CallerMessage
    ) -> None:
        """Record what a server reads of the team and the key."""
        self.teams.setdefault(request_id, []).append(
            [
                value
                for name, value in message.headers
                if name.lower().replace("_", "-") == TEAM
            ]
        )
        if keys.KEY_PREFIX in str(message.headers):
            self.with_key.append(request_id)


class WorkHandler(io_pipeline.RequestHandler):
    """Run requests in a fixed number of slots, with faults on demand."""

    def __init__(
        self, *, instance_id: str, run_log: RunLog, rng: random.Random
    ) -> None:
        self.instance_id = instance_id
        self.run_log = run_log
        self.rng = rng
        self.running = 0
        self.slots = 4
        self.work_s = 0.03
        # Fraction of requests that are refused as not run.
        self.refusal_rate = 0.0
        # Fraction of requests that run but are not answered.
        self.lost_answer_rate = 0.0
        # Fraction of answers that are preceded by a second answer to the
        # request answered last.
        self.stray_answer_rate = 0.0
        self.last_answered_id = ""
        # Fraction of answers that are preceded by the latest refusal.
        self.repeated_refusal_rate = 0.0
        self.last_refused_id = ""
        # Retry-After of refusals in seconds; 0 for none.
        self.retry_after_s = 0.0
        self.drain_started_s: float | None = None

    def may_run_concurrently(
        self, message: request_parser.CallerMessage
    ) -> bool:
        """Serve one request at a time on a connection."""
        del message
        return False

    def cancel_on_disconnect(
        self, message: request_parser.CallerMessage
    ) -> bool:
        """Cancel the request when its connection closes."""
        del message
        return True

    async def handle(
        self, message: request_parser.CallerMessage
    ) -> http_model.Response:
        """Run a request, or refuse it as not run."""
        request_id = message.get(REQUEST_ID) or ""
        self.run_log.record_arrival(request_id, message)
        load = f"{self.running},0,{self.slots}"
        headers = [
            (REQUEST_ID, request_id),
            ("X-Samphirelug-Server-Load", load),
        ]
        if message.get(EXPECTED_INSTANCE) != self.instance_id:
            return http_model.Response(421, "Misdirected", (), b"")
        if self.drain_started_s is not None:
            late_s = time.monotonic() - self.drain_started_s
            self.run_log.late_arrivals.append(
                (self.instance_id, request_id, late_s)
            )
            headers.append(("Server-Leaving", "1"))
        if self.running >= self.slots or self.rng.random() < self.refusal_rate:
            headers.append(("X-Samphirelug-Not-Executed", "1"))
            if self.retry_after_s:
                headers.append(("Retry-After", f"{self.retry_after_s:.2f}"))
            self.last_refused_id = request_id
            return http_model.Response(503, "Full", tuple(headers), b"")
        self.run_log.runs[request_id] += 1
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if self.rng.random() < self.lost_answer_rate:
            # The delay exceeds the timeout of the routes. The entry host then
            # closes the connection, which cancels this handler.
            await asyncio.sleep(5.0)
        headers.append(("X-Samphirelug-Response-Seal", "seal"))
        headers.append(("Keep-Alive", "timeout=10"))
        body = f"answer to {request_id}".encode()
        reason = "OK"
        if (
            self.last_answered_id
            and self.rng.random() < self.stray_answer_rate
        ):
            # The listener writes exactly one response, so the stray one is
            # placed in front of it, inside the reason phrase.
            reason = (
                f"OK\r\n{REQUEST_ID}: {self.last_answered_id}\r\n"
                "X-Samphirelug-Response-Seal: seal\r\n"
                "Content-Length: 5\r\n\r\nstrayHTTP/1.1 200 OK"
            )
        self.last_answered_id = request_id
        if (
            self.last_refused_id
            and self.rng.random() < self.repeated_refusal_rate
        ):
            reason = (
                f"Full\r\n{REQUEST_ID}: {self.last_refused_id}\r\n"
                "X-Samphirelug-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK"
            )
            return http_model.Response(503, reason, tuple(headers), body)
        return http_model.Response(200, reason, tuple(headers), body)


class FakeServer:
    """Listen for requests as one server incarnation."""

    def __init__(
        self, *, instance_id: str, run_log: RunLog, rng: random.Random
    ) -> None:
        self.handler = WorkHandler(
            instance_id=instance_id, run_log=run_log, rng=rng
        )
        self.listener = io_pipeline.CallerListener(
            handler=self.handler,
            limits=lambda: build.LIMITS._replace(
                max_header_bytes=16384, max_body_bytes=1 << 20
            ),
            timer=timer_helper.LoopTimerService(),
            memory=build.memory(),
            answer_memory=build.memory(),
            max_connections=build.MAX_CONNECTIONS,
        )

    def start(self, host: str) -> None:
        """Listen on a free port."""
        self.listener.start_listening(host=host, port=0)

    def crash(self) -> None:
        """Stop listening and drop all connections."""
        self.listener.stop()
        for connection in list(self.listener.connections):
            with contextlib.suppress(OSError):
                connection.stream.close()
