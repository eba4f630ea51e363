"""Hold a connection to one incarnation of a server."""

import contextlib
import socket
import struct

from tornado import iostream

from samphirelug.components.http import const

# Option of a socket that drops unsent bytes and resets when it is closed.
NO_LINGER = struct.pack("ii", 1, 0)


class ServerConnection:
    """Hold a connection to one incarnation of a server."""

    def __init__(self, *, stream: iostream.IOStream) -> None:
        self.stream = stream
        self.idle_since_s = 0.0
        self.kept_s = const.KEPT_DEFAULT_S
        # A stray answer to this request may still arrive.
        self.last_request_id = ""

    def is_clean(self) -> bool:
        """Tell whether the connection is open with nothing to read."""
        if self.stream.closed():
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # Stray bytes, or the server's close.
        return False

    def close(self) -> None:
        """Close an idle connection."""
        self.stream.close()

    def reset(self) -> None:
        """End a connection whose request is not answered.

        Most servers cancel the work. After an orderly close, a request that
        a partition holds up would still be delivered when the path is back.
        """
        if not self.stream.closed():
            with contextlib.suppress(OSError):
                self.stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
                )
        self.stream.close()
