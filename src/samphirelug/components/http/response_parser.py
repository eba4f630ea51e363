"""Parse the responses of a server's connection."""

import collections
import re

import httptools

from samphirelug.components.http import body_buffer
from samphirelug.components.http import const
from samphirelug.components.http import held_memory
from samphirelug.helpers import http_fields

# Responses with a lower status are interim; the final response follows.
FIRST_FINAL_STATUS = 200
# A status line within a field or a reason phrase begins another response: the
# one before it was broken off in its head.
_STATUS_LINE = re.compile(r"HTTP/\d\.\d \d{3}(?: |$)")


class AnswerTooLargeError(Exception):
    """Report that a server sent more bytes than an answer may have."""


class ParsedResponse:
    """Hold one response while it is received."""

    def __init__(self) -> None:
        self.status = 0
        self.reason = ""
        self.headers: list[tuple[str, str]] = []
        self.buffer = body_buffer.BodyBuffer()
        # Bytes of memory that the header fields take.
        self.field_bytes = 0
        self.has_headers = False
        self.keep_alive = False

    def get(self, name: str) -> str | None:
        """Return a header field's first value, by its lower-case name."""
        for field_name, value in self.headers:
            if field_name.lower() == name:
                return value
        return None

    @property
    def body(self) -> bytes:
        """Return the body received so far."""
        return self.buffer.to_bytes()

    @property
    def held_bytes(self) -> int:
        """Return the bytes of memory that fields and body take."""
        return self.field_bytes + self.buffer.held_bytes

    @property
    def is_close_delimited(self) -> bool:
        """Return whether the body ends where the connection closes."""
        return (
            self.has_headers
            and self.get("content-length") is None
            and self.get("transfer-encoding") is None
        )


class ResponseParser(held_memory.Holder):
    """Collect the responses of a connection, in order.

    A server may send answers to earlier requests before the expected one, and
    one read may return both, so bytes after a complete response are parsed
    too. A server in trouble may send bytes without end, so that bodies and
    what surrounds them are limited.
    """

    def __init__(self, *, is_head: bool) -> None:
        self.is_head = is_head
        self.parser = httptools.HttpResponseParser(self)
        self.completed: collections.deque[ParsedResponse] = collections.deque()
        self.current: ParsedResponse | None = None
        # Reason why parsing failed, else empty. Later bytes are ignored.
        self.error = ""
        # Whether it failed because of a limit.
        self.too_large = False
        self.received_bytes = 0
        # The part of the received bytes that belongs to bodies.
        self.body_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes received from the connection."""
        if self.error:
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No request offers an upgrade.
            self.error = self.error or "a change of protocol was not requested"
            return
        except httptools.HttpParserError as error:
            self.error = self.error or str(error) or type(error).__name__
            return
        framing_bytes = self.received_bytes - self.body_bytes
        if framing_bytes > (
            const.MAX_FRAMING_BYTES
            + const.FRAMING_BYTES_PER_BODY_BYTE * self.body_bytes
        ):
            self.reject(f"{framing_bytes} bytes of heads and framing")

    def reject(self, reason: str) -> None:
        """Discard the current response because of a limit."""
        if self.error:
            return
        self.error = reason
        self.too_large = True
        self.current = None

    def feed_eof(self) -> bool:
        """Handle an orderly close; return whether it ends a response."""
        response = self.current
        if self.error or response is None:
            return False
        if not response.is_close_delimited:
            return False
        self.completed.append(response)
        self.current = None
        return True

    @property
    def held_bytes(self) -> int:
        """Return the bytes of memory that the responses take."""
        held_bytes = sum(response.held_bytes for response in self.completed)
        if self.current is not None:
            held_bytes += self.current.held_bytes
        return held_bytes

    @property
    def is_at_boundary(self) -> bool:
        """Return whether no response, complete or partial, is left."""
        return not self.error and not self.completed and self.current is None

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Begin a response."""
        self.current = None if self.error else ParsedResponse()

    def on_status(self, status: bytes) -> None:
        """Add a part of the reason phrase."""
        if self.current is None:
            return
        self.current.reason += status.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field."""
        if self.current is None:
            return
        text = value.decode("latin-1").rstrip(http_fields.BLANKS)
        if _STATUS_LINE.search(text):
            self._break_off()
            return
        field = (name.decode("latin-1"), text)
        self.current.headers.append(field)
        self.current.field_bytes += body_buffer.field_size(field)

    def on_headers_complete(self) -> None:
        """Check the status; a final response to HEAD is complete now."""
        if self.current is None:
            return
        self.current.has_headers = True
        self.current.status = int(self.parser.get_status_code())
        if self.current.status not in http_fields.VALID_STATUSES:
            self.error = f"status {self.current.status} is not valid"
            self.current = None
            return
        if _STATUS_LINE.search(self.current.reason):
            self._break_off()
            return
        if self.is_head and self.current.status >= FIRST_FINAL_STATUS:
            self.completed.append(self.current)
            self.current = None

    def _break_off(self) -> None:
        """Discard a response whose head goes on with that of another one."""
        self.error = "another response begins within a head"
        self.current = None

    def on_body(self, body: bytes) -> None:
        """Add a part of the body, within the limit."""
        if self.current is None:
            return
        self.body_bytes += len(body)
        if self.body_bytes > const.MAX_ANSWER_BYTES:
            self.reject(f"a body of more than {const.MAX_ANSWER_BYTES} bytes")
            return
        self.current.buffer.append(body)

    def on_message_complete(self) -> None:
        """Add the response to the complete ones unless it is interim."""
        response, self.current = self.current, None
        if response is None or response.status < FIRST_FINAL_STATUS:
            return
        response.keep_alive = bool(self.parser.should_keep_alive())
        self.completed.append(response)
