"""Hold connections to backend servers, and write messages."""

import asyncio
import contextlib
import socket
import struct

from tornado import iostream

from samphirelug.components.http import const

# Value of SO_LINGER (on, 0 s): close() discards unsent bytes and sends a TCP
# reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def write(
    stream: iostream.IOStream, *, head: bytes, body: bytes | memoryview
) -> "asyncio.Future[None]":
    """Write a message without a copy of a long body."""
    if len(body) <= const.MAX_JOINED_BODY_BYTES:
        return stream.write(head + bytes(body))
    stream.write(head).add_done_callback(suppress_write_error)
    return stream.write(body)


def suppress_write_error(written: "asyncio.Future[None]") -> None:
    """Ignore the error of a write, as the next read or write reports it."""
    with contextlib.suppress(asyncio.CancelledError):
        written.exception()


class ServerConnection:
    """Hold a connection to one incarnation of a server."""

    def __init__(self, *, stream: iostream.IOStream) -> None:
        self.stream = stream
        self.idle_since_s = 0.0
        self.keep_alive_s = const.DEFAULT_KEEP_ALIVE_S
        # A second answer to this request may still arrive, so a retry of it
        # must use another connection.
        self.last_request_id = ""
        # Number of requests sent on the connection.
        self.request_count = 0
        # Whether an answer on the connection said that the server is leaving.
        self.is_server_leaving = False

    def is_reusable(self) -> bool:
        """Return whether the connection is open with nothing to read."""
        if self.stream.closed():
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # The server has sent unexpected bytes or closed the connection.
        return False

    def close(self) -> None:
        """Close an idle connection."""
        self.stream.close()

    def reset(self) -> None:
        """Close a connection with a TCP reset while its request is unanswered.

        On a reset, most servers cancel the request. After an orderly close,
        the kernel would still deliver a request that a network partition has
        delayed, once the partition ends.
        """
        if not self.stream.closed():
            with contextlib.suppress(OSError):
                self.stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        self.stream.close()
