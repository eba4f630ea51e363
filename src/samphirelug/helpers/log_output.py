"""Write log lines to a descriptor without ever waiting for its reader."""

import collections
import logging
import os

MAX_WAITING_LINES = 2000


class NonBlockingHandler(logging.Handler):
    """Keep a bounded number of lines that the reader has not taken."""

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.waiting: collections.deque[bytes] = collections.deque()
        self.lost = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or keep it for the next one."""
        line = self.format(record).encode() + b"\n"
        if len(self.waiting) >= MAX_WAITING_LINES:
            self.lost += 1
            return
        self.waiting.append(line)
        self.flush()

    def flush(self) -> None:
        """Write as many waiting lines as the reader takes."""
        while self.waiting:
            try:
                written = os.write(self.descriptor, self.waiting[0])
            except BlockingIOError:
                return
            except OSError:
                # Nobody will read any line any more.
                self.lost += len(self.waiting)
                self.waiting.clear()
                return
            line = self.waiting.popleft()
            if written < len(line):
                self.waiting.appendleft(line[written:])
