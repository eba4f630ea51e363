"""Accept connections, and pause while there is no room for more."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import errno
import logging
import socket

from tornado import tcpserver

from samphirelug.components.http import const
from samphirelug.helpers import log_rate
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
        self.log_limiter = log_rate.LogRateLimiter(
            lines_per_s=const.REJECTION_LOG_LINES_PER_S
        )

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
                self._log(
                    "accepting connections again",
                    {"paused_s": round(paused_s, 3)},
                )
            self.on_accepted(connection, address)

    def _pause(self, detail: str) -> None:
        now = self.timer.monotonic()
        if self.paused_at_s is None:
            self.paused_at_s = now
            self._log("accepts no connections for now", {"detail": detail})
        asyncio.get_running_loop().remove_reader(self.sock)
        self.resumption = self.timer.call_at(
            when_s=now + const.ACCEPT_PAUSE_S, callback=self.start
        )

    def _log(self, message: str, extra: dict[str, object]) -> None:
        left_out = self.log_limiter.try_acquire(self.timer.monotonic())
        if left_out is not None:
            _LOGGER.warning(message, extra={**extra, "left_out": left_out})


def peer_of(address: object) -> str:
    """Return the address of the other end without its port."""
    return str(address[0]) if isinstance(address, tuple) else ""


class PausingServer(tcpserver.TCPServer):
    """Accept connections as long as there are descriptors for them."""

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on sockets."""
        for sock in sockets:
            acceptor = Acceptor(
                sock=sock,
                has_room=self.has_room,
                on_accepted=self._accept_or_close,
                timer=timer_helper.LoopTimerService(),
            )
            acceptor.start()
            self._sockets[sock.fileno()] = sock
            self._handlers[sock.fileno()] = acceptor.stop

    def has_room(self) -> bool:
        """Return whether a further connection may be accepted."""
        return True

    def may_connect(self, peer: str) -> bool:
        """Return whether an address may have a further connection."""
        del peer
        return True

    def _accept_or_close(
        self, connection: socket.socket, address: object
    ) -> None:
        if self.may_connect(peer_of(address)):
            self._handle_connection(connection, address)
        else:
            connection.close()
