"""Write log lines to a file descriptor without blocking."""

import collections
import logging
import os

# Lines beyond this number are dropped while the reader does not read.
MAX_BUFFERED_LINES = 2000


class NonBlockingHandler(logging.Handler):
    """Write records to a descriptor, and buffer lines while it blocks."""

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.buffered_lines: collections.deque[bytes] = collections.deque()
        # Number of lines that were dropped.
        self.lost_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or buffer it until a later one can be written."""
        line = self.format(record).encode() + b"\n"
        # The reader may read again.
        self.flush()
        if len(self.buffered_lines) >= MAX_BUFFERED_LINES:
            self.lost_lines += 1
            return
        self.buffered_lines.append(line)
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self.buffered_lines:
            try:
                written = os.write(self.descriptor, self.buffered_lines[0])
            except BlockingIOError:
                return
            except OSError:
                # The descriptor is unusable, for example since the reader has
                # exited; no later line can be written either.
                self.lost_lines += len(self.buffered_lines)
                self.buffered_lines.clear()
                return
            line = self.buffered_lines.popleft()
            # After a partial write, the rest of the line is written next.
            if written < len(line):
                self.buffered_lines.appendleft(line[written:])
