"""Stand in for backend servers, and record what they run."""

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

REQUEST_ID = "x-samphirelug-request-id"
EXPECTED = "x-samphirelug-expected-instance"


class RunBook:
    """Record the runs of all servers."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        # Arrivals at servers that were leaving: server, request, seconds.
        self.after_leaving: list[tuple[str, str, float]] = []


class WorkHandler(io_pipeline.RequestHandler):
    """Run requests in slots."""

    def __init__(
        self, *, instance_id: str, book: RunBook, rng: random.Random
    ) -> None:
        self.instance_id = instance_id
        self.book = book
        self.rng = rng
        self.running = 0
        self.slots = 4
        self.work_s = 0.03
        # Part of the requests that are refused, or run without an answer.
        self.refuse = 0.0
        self.lose = 0.0
        # Part of the answers that follow a second answer to an earlier
        # request.
        self.stray = 0.0
        self.answered_id = ""
        self.left_at_s: float | None = None

    def may_run_concurrently(
        self, message: request_parser.CallerMessage
    ) -> bool:
        """Serve one request at a time on a connection."""
        del message
        return False

    def cancel_on_disconnect(
        self, message: request_parser.CallerMessage
    ) -> bool:
        """Drop the request when its connection closes."""
        del message
        return True

    async def handle(
        self, message: request_parser.CallerMessage
    ) -> http_model.Response:
        """Run a request, or say that it was not run."""
        request_id = message.get(REQUEST_ID) or ""
        load = f"{self.running},0,{self.slots}"
        headers = [
            (REQUEST_ID, request_id),
            ("X-Samphirelug-Server-Load", load),
        ]
        if message.get(EXPECTED) != self.instance_id:
            return http_model.Response(421, "Misdirected", (), b"")
        if self.left_at_s is not None:
            late_s = time.monotonic() - self.left_at_s
            self.book.after_leaving.append(
                (self.instance_id, request_id, late_s)
            )
        if self.running >= self.slots or self.rng.random() < self.refuse:
            headers.append(("X-Samphirelug-Not-Executed", "1"))
            return http_model.Response(503, "Full", tuple(headers), b"")
        self.book.runs[request_id] += 1
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if self.rng.random() < self.lose:
            # The caller of this server gives up or the connection is cut.
            await asyncio.sleep(5.0)
        headers.append(("X-Samphirelug-Response-Seal", "seal"))
        headers.append(("Keep-Alive", "timeout=10"))
        body = f"answer to {request_id}".encode()
        reason = "OK"
        if self.answered_id and self.rng.random() < self.stray:
            # The listener writes one response; the stray one goes in front
            # of it as a part of the reason phrase.
            reason = (
                f"OK\r\n{REQUEST_ID}: {self.answered_id}\r\n"
                "X-Samphirelug-Response-Seal: seal\r\n"
                "Content-Length: 5\r\n\r\nstrayHTTP/1.1 200 OK"
            )
        self.answered_id = request_id
        return http_model.Response(200, reason, tuple(headers), body)


class StandinServer:
    """Listen for requests as one incarnation of a server."""

    def __init__(
        self, *, instance_id: str, book: RunBook, rng: random.Random
    ) -> None:
        self.handler = WorkHandler(instance_id=instance_id, book=book, rng=rng)
        self.listener = io_pipeline.CallerListener(
            handler=self.handler,
            limits=lambda: build.LIMITS._replace(
                max_header_bytes=16384, max_body_bytes=1 << 20
            ),
            timer=timer_helper.LoopTimerService(),
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
