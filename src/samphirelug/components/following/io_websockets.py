"""Connect a host with its followers over websockets."""

import asyncio
from collections.abc import Callable
import contextlib
import logging
import socket

from tornado import httpclient
from tornado import httpserver
from tornado import iostream
from tornado import web
from tornado import websocket

from samphirelug.components.following import const
from samphirelug.components.following import coordinator as follow_coordinator
from samphirelug.components.following import links
from samphirelug.components.following import sessions
from samphirelug.components.http import connection_account
from samphirelug.components.http import io_endpoints
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
PATH = "/following"
CONNECT_TIMEOUT_S = 0.5
# A link whose other end takes no bytes for this long is broken.
USER_TIMEOUT_MS = 3000


class ServerLink(links.FrameLink):
    """Send frames to a follower."""

    def __init__(self, *, handler: "FollowHandler") -> None:
        self.handler = handler

    @property
    def is_congested(self) -> bool:
        """Return whether earlier frames have not been taken yet."""
        connection = self.handler.ws_connection
        return connection is not None and _is_writing(connection)

    def send(self, frame: bytes) -> None:
        """Send a frame; it is lost if the link has closed."""
        with contextlib.suppress(websocket.WebSocketClosedError):
            _ignore_result(self.handler.write_message(frame, binary=True))

    def close(self) -> None:
        """Close the link; a second call has no effect."""
        self.handler.close()


class ClientLink(links.FrameLink):
    """Send frames to a host that this one follows."""

    def __init__(
        self, *, connection: websocket.WebSocketClientConnection
    ) -> None:
        self.connection = connection

    @property
    def is_congested(self) -> bool:
        """Return whether earlier frames have not been taken yet."""
        return False

    def send(self, frame: bytes) -> None:
        """Send a frame; it is lost if the link has closed."""
        with contextlib.suppress(websocket.WebSocketClosedError):
            _ignore_result(self.connection.write_message(frame, binary=True))

    def close(self) -> None:
        """Close the link; a second call has no effect."""
        self.connection.close()


class FollowHandler(websocket.WebSocketHandler):
    """Serve one follower."""

    def initialize(
        self,
        coordinator: follow_coordinator.FollowCoordinator,
        on_established: list[Callable[[iostream.IOStream], None]],
    ) -> None:
        """Store the coordinator, and what is called for a new follower."""
        self.coordinator = coordinator
        self.on_established = on_established
        self.session: sessions.FollowerSession | None = None

    def open(self, *args: str, **kwargs: str) -> None:
        """Begin the session."""
        del args, kwargs
        self.set_nodelay(True)
        connection = self.ws_connection
        if connection is not None and connection.stream is not None:
            _set_user_timeout(connection.stream)
        self.session = self.coordinator.accept(ServerLink(handler=self))
        if self.session is None:
            self.close()

    def on_message(self, message: str | bytes) -> None:
        """Pass a frame to the session."""
        if self.session is None or not isinstance(message, bytes):
            return
        is_new = not self.session.sent
        self.session.handle_frame(message)
        connection = self.ws_connection
        stream = getattr(connection, "stream", None)
        if is_new and self.session.sent and stream is not None:
            for callback in self.on_established:
                callback(stream)

    def on_close(self) -> None:
        """End the session."""
        if self.session is not None:
            self.session.handle_close()


class WebsocketDialer(links.LinkDialer):
    """Open websockets to other hosts."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def dial(
        self,
        address: str,
        *,
        receiver: links.FrameReceiver,
        on_open: Callable[[links.FrameLink], None],
    ) -> None:
        """Open a link to an address."""
        task = asyncio.ensure_future(self._dial(address, receiver, on_open))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dial(
        self,
        address: str,
        receiver: links.FrameReceiver,
        on_open: Callable[[links.FrameLink], None],
    ) -> None:
        def handle_message(message: str | bytes | None) -> None:
            if message is None:
                receiver.handle_close()
            elif isinstance(message, bytes):
                receiver.handle_frame(message)

        try:
            connection = await websocket.websocket_connect(
                httpclient.HTTPRequest(
                    f"ws://{address}{PATH}",
                    connect_timeout=CONNECT_TIMEOUT_S,
                    request_timeout=2 * CONNECT_TIMEOUT_S,
                ),
                on_message_callback=handle_message,
                max_message_size=const.MAX_FRAME_BYTES,
            )
        except (
            OSError,
            httpclient.HTTPError,
            iostream.StreamClosedError,
            websocket.WebSocketError,
        ) as error:
            _LOGGER.debug("no connection to %s: %s", address, error)
            receiver.handle_close()
            return
        on_open(ClientLink(connection=connection))


def serve(
    coordinator: follow_coordinator.FollowCoordinator,
    *,
    host: str,
    port: int,
    account: connection_account.ConnectionAccount | None = None,
    timer: timer_helper.TimerService | None = None,
) -> httpserver.HTTPServer:
    """Accept followers on an address."""
    on_established: list[Callable[[iostream.IOStream], None]] = []
    options = {"coordinator": coordinator, "on_established": on_established}
    application = web.Application(
        [(PATH, FollowHandler, options)],
        websocket_max_message_size=const.MAX_FOLLOWER_FRAME_BYTES,
        # Strangers could cause any number of access lines. The coordinator
        # logs what happens to followers.
        log_function=lambda _: None,
    )
    server = io_endpoints.listen(
        application,
        host=host,
        port=port,
        account=account,
        timer=timer,
    )
    on_established.append(server.mark_established)
    return server


def _is_writing(connection: websocket.WebSocketProtocol) -> bool:
    stream = getattr(connection, "stream", None)
    return stream is not None and stream.writing()


def _set_user_timeout(stream: iostream.IOStream) -> None:
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if option is not None and stream.socket is not None:
        with contextlib.suppress(OSError):
            stream.socket.setsockopt(
                socket.IPPROTO_TCP, option, USER_TIMEOUT_MS
            )


def _ignore_result(written: "asyncio.Future[None]") -> None:
    """Leave errors of a write to the reading side, which ends the link."""

    def retrieve(future: "asyncio.Future[None]") -> None:
        if not future.cancelled():
            future.exception()

    asyncio.ensure_future(written).add_done_callback(retrieve)
