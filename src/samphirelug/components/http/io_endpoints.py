"""Listen for requests without bodies, such as look-ups and metrics."""

from collections.abc import Callable
from collections.abc import Mapping
import http.client
import logging
from typing import Any
from urllib import parse

from tornado import httpserver
from tornado import iostream
from tornado import web

from samphirelug.components.http import connection_account
from samphirelug.components.http import const
from samphirelug.components.http import io_accept
from samphirelug.components.http import io_pipeline
from samphirelug.components.http import model
from samphirelug.components.http import request_parser
from samphirelug.components.routing import model as routing_model
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
METHODS = ("GET", "HEAD")
LIMITS = routing_model.CallerLimits(
    max_header_bytes=const.DEFAULT_HEADER_BYTES,
    max_body_bytes=const.ENDPOINT_BODY_BYTES,
    header_timeout_s=const.DEFAULT_HEADER_TIMEOUT_S,
    idle_timeout_s=const.DEFAULT_IDLE_TIMEOUT_S,
)
# Returns the response to a request with the first value of each field of its
# query.
Answer = Callable[[Mapping[str, str]], model.Response]


def render(
    status: int, *, body: bytes = b"", content_type: str = ""
) -> model.Response:
    """Return a response."""
    headers = (("Content-Type", content_type),) if content_type else ()
    reason = http.client.responses[status]
    return model.Response(status, reason, headers, body)


class EndpointHandler(io_pipeline.RequestHandler):
    """Answer the requests for one path."""

    def __init__(self, *, path: str, answer: Answer) -> None:
        self.path = path
        self.answer = answer

    def may_run_concurrently(
        self, message: request_parser.CallerMessage
    ) -> bool:
        """Answer one request of a connection at a time."""
        del message
        return False

    def cancel_on_disconnect(
        self, message: request_parser.CallerMessage
    ) -> bool:
        """Return that requests have no effect."""
        del message
        return True

    async def handle(
        self, message: request_parser.CallerMessage
    ) -> model.Response:
        """Return the response for the path, or an error."""
        path, _, query = message.target.partition("?")
        if path != self.path:
            return render(404)
        if message.method not in METHODS:
            return render(405)
        try:
            fields = dict(reversed(parse.parse_qsl(query)))
            return self.answer(fields)
        except ValueError:
            # Thrown for a query with too many fields.
            return render(400)
        except Exception:
            _LOGGER.exception("request to an endpoint failed")
            return render(500)


class LinkConnection(connection_account.HeldConnection):
    """Hold a connection on which another host may open a websocket."""

    def __init__(
        self, *, stream: iostream.IOStream, name: str, peer: str, now: float
    ) -> None:
        self.stream = stream
        self.listener_name = name
        self.peer = peer
        self.opened_at_s = now
        # Whether the other end has begun to follow this host.
        self.is_established = False

    @property
    def overhead_bytes(self) -> int:
        """Return the bytes that it takes."""
        return const.LINK_BYTES

    def stalled_s(self, now: float) -> float | None:
        """Return for how long the other end has not begun to follow."""
        return None if self.is_established else now - self.opened_at_s

    def close_for_room(self) -> None:
        """Close the connection at once."""
        self.stream.close()


class EndpointServer(io_accept.PausingServer, httpserver.HTTPServer):
    """Serve HTTP requests, and pause without descriptors."""

    # Set before the server listens; without it nothing is counted.
    account: connection_account.ConnectionAccount | None = None
    name = "link"
    timer: timer_helper.TimerService | None = None

    def has_room(self) -> bool:
        """Return whether a further connection may be accepted."""
        if self.account is None or self.timer is None:
            return True
        self._remove_closed()
        return self.account.has_room(self.name, now=self.timer.monotonic())

    def may_connect(self, peer: str) -> bool:
        """Return whether an address may have a further connection."""
        if self.account is None or self.timer is None:
            return True
        return self.account.admit(self.name, peer, now=self.timer.monotonic())

    def handle_stream(self, stream: iostream.IOStream, address: Any) -> None:
        """Count an accepted connection, and serve it."""
        if self.account is not None and self.timer is not None:
            self.account.add(
                LinkConnection(
                    stream=stream,
                    name=self.name,
                    peer=io_accept.peer_of(address),
                    now=self.timer.monotonic(),
                )
            )
        super().handle_stream(stream, address)

    def mark_established(self, stream: iostream.IOStream) -> None:
        """Keep the connection of a host that has begun to follow this one."""
        for connection in self._links():
            if connection.stream is stream:
                connection.is_established = True

    def _remove_closed(self) -> None:
        """Stop counting closed connections.

        The stream's close callback belongs to the web server.
        """
        for connection in self._links():
            if self.account is not None and connection.stream.closed():
                self.account.remove(connection)

    def _links(self) -> list[LinkConnection]:
        if self.account is None:
            return []
        return [
            connection
            for connection in self.account.connections[self.name]
            if isinstance(connection, LinkConnection)
        ]


def listen(
    application: web.Application,
    *,
    host: str,
    port: int,
    max_buffer_bytes: int = const.ENDPOINT_BUFFER_BYTES,
    account: connection_account.ConnectionAccount | None = None,
    timer: timer_helper.TimerService | None = None,
) -> EndpointServer:
    """Serve an application on an address; longer requests get status 400.

    The account has the limits of connections under the server's name.
    """
    server = EndpointServer(
        application,
        chunk_size=const.HEAD_CHUNK_BYTES,
        max_buffer_size=max_buffer_bytes,
        max_header_size=const.DEFAULT_HEADER_BYTES,
        max_body_size=const.ENDPOINT_BODY_BYTES,
        body_timeout=const.DEFAULT_HEADER_TIMEOUT_S,
        idle_connection_timeout=const.DEFAULT_HEADER_TIMEOUT_S,
    )
    server.account = account
    server.timer = timer
    server.listen(port, host)
    if timer is not None:
        timer.subscribe(
            interval_s=const.TIMEOUT_CHECK_INTERVAL_S,
            callback=server._remove_closed,
        )
    return server
