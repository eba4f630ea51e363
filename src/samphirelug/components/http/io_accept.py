"""Accept connections, and pause while there is no room for more."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import errno
import logging
import socket

from tornado import tcpserver

from samphirelug.components.http import const
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)


class Acceptor:
    """Accept the connections of one listening socket."""

    def __init__(
        self,
        *,
        sock: socket.socket,
        has_room: Callable[[], bool],
        on_accepted: Callable[[socket.socket, object], None],
        timer: timer_helper.TimerService,
    ) -> None:
        self.sock = sock
        self.has_room = has_room
        self.on_accepted = on_accepted
        self.timer = timer
        self.resumption: timer_helper.Subscription | None = None
        self.paused_at_s: float | None = None

    def start(self) -> None:
        """Accept connections on the running loop."""
        asyncio.get_running_loop().add_reader(self.sock, self._accept)

    def stop(self) -> None:
        """Leave further connections in the queue of the socket."""
        asyncio.get_running_loop().remove_reader(self.sock)
        if self.resumption is not None:
            self.resumption.cancel()

    def _accept(self) -> None:
        for _ in range(const.ACCEPT_BATCH):
            if not self.has_room():
                self._pause("too many connections")
                return
            try:
                connection, address = self.sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in NO_DESCRIPTORS:
                    raise
                self._pause(str(error))
                return
            if self.paused_at_s is not None:
                paused_s = self.timer.monotonic() - self.paused_at_s
                self.paused_at_s = None
                _LOGGER.warning(
                    "accepting connections again",
                    extra={"paused_s": round(paused_s, 3)},
                )
            self.on_accepted(connection, address)

    def _pause(self, detail: str) -> None:
        now = self.timer.monotonic()
        if self.paused_at_s is None:
            self.paused_at_s = now
            _LOGGER.warning(
                "accepts no connections for now", extra={"detail": detail}
            )
        asyncio.get_running_loop().remove_reader(self.sock)
        self.resumption = self.timer.call_at(
            when_s=now + const.ACCEPT_PAUSE_S, callback=self.start
        )


class PausingServer(tcpserver.TCPServer):
    """Accept connections as long as there are descriptors for them."""

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on sockets."""
        for sock in sockets:
            acceptor = Acceptor(
                sock=sock,
                has_room=self.has_room,
                on_accepted=self._handle_connection,
                timer=timer_helper.LoopTimerService(),
            )
            acceptor.start()
            self._sockets[sock.fileno()] = sock
            self._handlers[sock.fileno()] = acceptor.stop

    def has_room(self) -> bool:
        """Return whether a further connection may be accepted."""
        return True
