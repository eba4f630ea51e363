"""Listen for callers, with a listener for each rank."""

import asyncio
import logging
import socket
from typing import Any

from tornado import httpserver
from tornado import httputil
from tornado import iostream
from tornado import netutil

from samphirelug.components.gateway import const as gateway_const
from samphirelug.components.gateway import exchange
from samphirelug.components.gateway import rendering
from samphirelug.components.gateway import service as service_module
from samphirelug import const
from samphirelug import core
from samphirelug import result_codes

LOGGER = logging.getLogger(__name__)
# What tornado writes for a request that it cannot parse.
BARE_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class RankDelegate(httputil.HTTPServerConnectionDelegate):
    """Start an exchange for each request on a rank's listener."""

    def __init__(
        self, *, service: service_module.CallerService, rank: core.Rank
    ) -> None:
        self.service = service
        self.rank = rank

    def start_request(
        self,
        server_conn: object,  # noqa: ARG002
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return the exchange that handles the next request."""
        return exchange.CallerExchange(
            service=self.service, rank=self.rank, connection=request_conn
        )


class CallerStream(iostream.IOStream):
    """Give the HTTP server's bare answer to a malformed request a code."""

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Write data, with a refusal in place of the bare answer."""
        if data == BARE_BAD_REQUEST:
            data = _render_closing(
                result_codes.Refusal(
                    result_codes.ResultCode.MALFORMED_REQUEST,
                    "the request is not valid HTTP/1.1",
                )
            )
        return super().write(data)


class CountingServer(httpserver.HTTPServer):
    """Count open connections; HTTPServer tells its delegate of no close."""

    open_connections = 0

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        """Serve an accepted connection."""
        self.open_connections += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        self.open_connections -= 1
        super().on_close(server_conn)


class RankListener:
    """Accept callers' connections for one rank at the rank's pace."""

    def __init__(self, *, rank: core.Rank, address: str, port: int) -> None:
        self.rank = rank
        self.sockets = netutil.bind_sockets(
            port, address, backlog=gateway_const.LISTEN_BACKLOG
        )
        self.port: int = self.sockets[0].getsockname()[1]

    def start(self, service: service_module.CallerService) -> None:
        """Accept connections on the running loop."""
        self.service = service
        self.delegate = RankDelegate(service=service, rank=self.rank)
        self.server = CountingServer(
            self.delegate,
            idle_connection_timeout=gateway_const.IDLE_TIMEOUT_S,
            body_timeout=gateway_const.BODY_TIMEOUT_S,
            # Larger than allowed, so that an exchange can answer with a code.
            max_header_size=4 * const.MAX_HEADER_BYTES,
            max_body_size=const.MAX_BODY_BYTES,
        )
        loop = asyncio.get_running_loop()
        for listening in self.sockets:
            loop.add_reader(listening, self._accept, listening)

    def stop_accepting(self) -> None:
        """Close the listening sockets; open connections go on."""
        loop = asyncio.get_running_loop()
        for listening in self.sockets:
            # Connections that wait to be accepted would be reset.
            self._accept(listening, batch=gateway_const.LISTEN_BACKLOG)
            loop.remove_reader(listening)
            listening.close()
        self.sockets = []

    async def close(self) -> None:
        """Close the connections that are still open."""
        await self.server.close_all_connections()

    def _accept(
        self, listening: socket.socket, *, batch: int | None = None
    ) -> None:
        for _ in range(batch or gateway_const.ACCEPT_BATCH[self.rank]):
            try:
                connection, address = listening.accept()
            except OSError:
                # Nothing is left to accept, or the caller went away.
                return
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._is_full():
                self._refuse(connection)
                continue
            stream = CallerStream(
                connection, max_buffer_size=2 * const.MAX_BODY_BYTES
            )
            self.server.handle_stream(stream, address)

    def _is_full(self) -> bool:
        limit = gateway_const.MAX_CONNECTIONS[self.rank]
        return self.server.open_connections >= limit

    def _refuse(self, connection: socket.socket) -> None:
        code = result_codes.ResultCode.TOO_MANY_CONNECTIONS
        self.service.metrics.count_refusal(code, self.rank)
        refusal = result_codes.Refusal(
            code,
            f"too many connections for {self.rank.label} work",
            gateway_const.DEFAULT_RETRY_AFTER_S,
        )
        self.service.refusal_log.write(
            refusal, rank=self.rank, work="-", request_id="-"
        )
        try:
            connection.send(_render_closing(refusal))
            # Closing at once with unread input would reset the connection
            # and could destroy the refusal before the caller reads it.
            connection.shutdown(socket.SHUT_WR)
        except OSError:
            LOGGER.debug("caller left before it was refused")
        self.service.timer.call_at(
            when_s=self.service.timer.monotonic() + 1.0,
            callback=connection.close,
        )


def _render_closing(refusal: result_codes.Refusal) -> bytes:
    """Return a whole answer after which the connection closes."""
    line, headers, body = rendering.render_refusal(refusal, "-")
    headers["Connection"] = "close"
    fields = "".join(f"{n}: {v}\r\n" for n, v in headers.get_all())
    head = f"HTTP/1.1 {line.code} {line.reason}\r\n{fields}\r\n"
    return head.encode() + body
