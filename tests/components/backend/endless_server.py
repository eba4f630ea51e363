"""Run a server that sends bytes without end until the caller closes."""

import contextlib
import socket
import threading

BLOCK_BYTES = 65536
# The kernel accepts this much on both sides of the loopback connection before
# the caller has read it.
SOCKET_BUFFER_BYTES = 16 * 1024 * 1024


class EndlessServer:
    """Send a beginning and then blocks until the connection is closed.

    It runs in threads of its own, so that it does not wait for the caller's
    event loop.
    """

    def __init__(self, *, beginning: bytes, block: bytes) -> None:
        self.beginning = beginning
        self.block = block
        self.sent_bytes = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.threads: list[threading.Thread] = []
        self.accepting = threading.Thread(target=self._accept, daemon=True)
        self.accepting.start()

    @property
    def port(self) -> int:
        """Return the port on the loopback interface."""
        return int(self.listener.getsockname()[1])

    def stop(self) -> None:
        """Stop accepting and wait until all connections are closed."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for thread in (self.accepting, *self.threads):
            thread.join(timeout=5)
            assert not thread.is_alive()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                thread = threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                )
                self.threads.append(thread)
                thread.start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            connection.recv(BLOCK_BYTES)
            connection.sendall(self.beginning)
            while True:
                self.sent_bytes += connection.send(self.block)
