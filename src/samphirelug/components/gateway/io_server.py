"""Accept callers' connections, with a listener for each rank."""

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

_LOGGER = logging.getLogger(__name__)
# Response that tornado writes to a request that it cannot parse.
TORNADO_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class RankDelegate(httputil.HTTPServerConnectionDelegate):
    """Create an exchange for each request on a rank's listener."""

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
    """Replace tornado's response to malformed requests by a refusal."""

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Write data; replace TORNADO_BAD_REQUEST by a refusal."""
        if data == TORNADO_BAD_REQUEST:
            data = _render_final_refusal(
                result_codes.Refusal(
                    result_codes.ResultCode.MALFORMED_REQUEST,
                    "the request is not valid HTTP/1.1",
                )
            )
        return super().write(data)


class CountingServer(httpserver.HTTPServer):
    """Count open connections; HTTPServer reports no close to its delegate."""

    open_connections = 0

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        """Serve an accepted connection."""
        self.open_connections += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Stop counting a closed connection."""
        self.open_connections -= 1
        super().on_close(server_conn)


class RankListener:
    """Accept callers' connections for one rank, in limited batches."""

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
            # Above MAX_HEADER_BYTES, so that the exchange refuses with a code.
            max_header_size=4 * const.MAX_HEADER_BYTES,
            max_body_size=const.MAX_BODY_BYTES,
        )
        loop = asyncio.get_running_loop()
        for listener_socket in self.sockets:
            loop.add_reader(listener_socket, self._accept, listener_socket)

    def stop_accepting(self) -> None:
        """Close the listening sockets; open connections stay open."""
        loop = asyncio.get_running_loop()
        for listener_socket in self.sockets:
            # Accept the backlog: closing the socket would reset it.
            self._accept(listener_socket, batch=gateway_const.LISTEN_BACKLOG)
            loop.remove_reader(listener_socket)
            listener_socket.close()
        self.sockets = []

    async def close(self) -> None:
        """Close the connections that are still open."""
        await self.server.close_all_connections()

    def _accept(
        self, listener_socket: socket.socket, *, batch: int | None = None
    ) -> None:
        for _ in range(batch or gateway_const.ACCEPT_BATCH[self.rank]):
            try:
                connection, address = listener_socket.accept()
            except OSError:
                # The backlog is empty, or the caller has disconnected.
                return
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._is_at_limit():
                self._refuse(connection)
                continue
            stream = CallerStream(
                connection, max_buffer_size=2 * const.MAX_BODY_BYTES
            )
            self.server.handle_stream(stream, address)

    def _is_at_limit(self) -> bool:
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
            connection.send(_render_final_refusal(refusal))
            # Closing now, with unread data, would reset the connection, and
            # the caller could lose the refusal before reading it.
            connection.shutdown(socket.SHUT_WR)
        except OSError:
            _LOGGER.debug("caller disconnected before it was refused")
        self.service.timer.call_at(
            when_s=self.service.timer.monotonic() + 1.0,
            callback=connection.close,
        )


def _render_final_refusal(refusal: result_codes.Refusal) -> bytes:
    """Return a refusal that announces the close of the connection."""
    line, headers, body = rendering.render_refusal(refusal, "-")
    headers["Connection"] = "close"
    fields = "".join(f"{n}: {v}\r\n" for n, v in headers.get_all())
    head = f"HTTP/1.1 {line.code} {line.reason}\r\n{fields}\r\n"
    return head.encode() + body
