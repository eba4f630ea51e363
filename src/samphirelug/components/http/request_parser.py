"""Parse the requests of a caller's connection."""

import array
from collections.abc import Callable
import itertools
import re
from typing import NamedTuple

import httptools

from samphirelug.components.http import body_buffer
from samphirelug.components.http import const
from samphirelug.components.http import held_memory
from samphirelug.components.routing import model as routing_model
from samphirelug.helpers import http_fields
from samphirelug.helpers import timer as timer_helper


_LINE_END = re.compile(b"\n")
# Header fields that say whether and how a body follows.
_FRAMING_FIELDS = frozenset(("content-length", "transfer-encoding"))


def length_of_requests(data: bytes, *, max_requests: int) -> int:
    """Return the length of a part that completes at most so many requests.

    The first may have begun before. Each further one has at least two lines,
    its request line and the empty one at its end.
    """
    max_lines = 2 * max_requests - 1
    line_ends = _LINE_END.finditer(data)
    last = next(itertools.islice(line_ends, max_lines - 1, None), None)
    return len(data) if last is None else last.end()


class CallerMessage(NamedTuple):
    """Hold one complete HTTP request."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_at_s: float

    def get(self, name: str) -> str | None:
        """Return a header field's first value, by its lower-case name."""
        for field_name, value in self.headers:
            if field_name.lower() == name:
                return value
        return None

    def get_all(self, name: str) -> list[str]:
        """Return a header field's values, by its lower-case name."""
        return [
            value
            for field_name, value in self.headers
            if field_name.lower() == name
        ]


class RequestError(Exception):
    """Reject a request with the HTTP status to answer."""

    def __init__(self, *, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class RequestParser(held_memory.Holder):
    """Collect the complete requests of one connection, in order."""

    def __init__(
        self,
        *,
        limits: Callable[[], routing_model.CallerLimits],
        timer: timer_helper.TimerService,
        on_rejected: Callable[[held_memory.Reason], None],
    ) -> None:
        self.limits = limits
        self.timer = timer
        # Called when this request is refused, as all take too much memory.
        self.on_rejected = on_rejected
        self.parser = httptools.HttpRequestParser(self)
        # Each request with whether the connection stays open after the
        # response.
        self.completed: list[tuple[CallerMessage, bool]] = []
        # Set while the caller waits for "100 Continue" to send the body.
        self.expects_continue = False
        # Set while a request is only partly received.
        self.started_at_s: float | None = None
        # Bytes received since the last part of a body or complete request.
        self.framing_bytes = 0
        # Whether a body is being received.
        self.has_head = False
        # Whether a parser is being set up to read the body of a request whose
        # head another one has read.
        self.is_resuming = False
        self._reset()

    @property
    def held_bytes(self) -> int:
        """Return the bytes of memory that the incomplete request takes."""
        return (
            self.field_bytes
            + len(self.raw_fields)
            + self.raw_lengths.itemsize * len(self.raw_lengths)
            + self.buffer.held_bytes
        )

    def reject(self, reason: held_memory.Reason) -> None:
        """Discard the request, which has not run."""
        self.discard()
        self.on_rejected(reason)

    def discard(self) -> None:
        """Free the memory of a request that will not be complete."""
        self._reset()

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raise RequestError to reject a request."""
        self.framing_bytes += len(data)
        self._parse(data)
        # The HTTP parser reports a field only when it is complete, so that
        # one without an end is not counted otherwise.
        if self.framing_bytes > (
            self.limits().max_header_bytes
            + (
                const.READ_CHUNK_BYTES
                if self.has_head
                else const.HEAD_CHUNK_BYTES
            )
        ):
            raise RequestError(status=431)

    def _parse(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            # The request is served without the upgrade. The bytes behind it
            # are its body, if it has one, or the next request.
            offset: int = error.args[0]
            if self.has_unread_body:
                self._resume_with_body()
            else:
                self.parser = httptools.HttpRequestParser(self)
            if offset < len(data):
                self._parse(data[offset:])
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, RequestError):
                raise error.__context__ from None
            raise
        except httptools.HttpParserError as error:
            raise RequestError(status=400) from error

    def _resume_with_body(self) -> None:
        """Replace the HTTP parser by one that reads the request's body."""
        head = self._render_framing()
        self.parser = httptools.HttpRequestParser(self)
        self.is_resuming = True
        self._parse(head)
        self.is_resuming = False
        self.has_unread_body = False

    def _render_framing(self) -> bytes:
        """Return a head without an offer that the same body may follow."""
        lines = [f"POST / HTTP/{self.parser.get_http_version()}"]
        lines += [
            f"{name}: {value}"
            for name, value in self.headers
            if name.lower() in _FRAMING_FIELDS
        ]
        keep_alive = self.parser.should_keep_alive()
        persistence = "keep-alive" if keep_alive else "close"
        lines.append(f"Connection: {persistence}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _reset(self) -> None:
        self.method = ""
        self.target = b""
        # Whether the HTTP parser has reported the end of the request in place
        # of its body, as it does with requests that offer an upgrade.
        self.has_unread_body = False
        self.headers: list[tuple[str, str]] = []
        # Names and values of fields as received, with their lengths, until
        # the head is complete: short fields take ten times more once decoded.
        self.raw_fields = bytearray()
        self.raw_lengths = array.array("I")
        self.header_bytes = 0
        # Bytes of memory that the decoded header fields take.
        self.field_bytes = 0
        self.buffer = body_buffer.BodyBuffer()
        self.body_bytes = 0
        self.has_head = False

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Begin a request."""
        if self.is_resuming:
            return
        self._reset()
        self.started_at_s = self.timer.monotonic()

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        if self.is_resuming:
            return
        self.target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field, and ignore one behind the body.

        Such a trailer field must not take the place of a header field, as its
        sender may not be the one that wrote the head.
        """
        if self.is_resuming:
            return
        self._count_header_bytes(len(name) + len(value) + 4)
        if self.has_head:
            return
        self.raw_fields += name
        self.raw_fields += value
        self.raw_lengths.extend((len(name), len(value)))

    def on_headers_complete(self) -> None:
        """Record what the head says of the request and its body."""
        if self.is_resuming:
            return
        self.has_head = True
        self._decode_fields()
        self.method = self.parser.get_method().decode("latin-1")
        self.has_unread_body = self.parser.should_upgrade() and any(
            name.lower() in _FRAMING_FIELDS for name, _ in self.headers
        )
        self.expects_continue = any(
            name.lower() == "expect" and "100-continue" in value.lower()
            for name, value in self.headers
        )

    def on_body(self, body: bytes) -> None:
        """Add a part of the body, within the limit."""
        self.expects_continue = False
        self.framing_bytes = 0
        self.body_bytes += len(body)
        if self.body_bytes > self.limits().max_body_bytes:
            raise RequestError(status=413)
        self.buffer.append(body)

    def on_message_complete(self) -> None:
        """Add the complete request to the list."""
        if self.has_unread_body and not self.is_resuming:
            return
        self.framing_bytes = 0
        message = CallerMessage(
            method=self.method,
            target=self.target.decode("latin-1"),
            headers=tuple(self.headers),
            body=self.buffer.to_bytes(),
            received_at_s=self.timer.monotonic(),
        )
        keep_alive = bool(self.parser.should_keep_alive())
        self._reset()
        self.completed.append((message, keep_alive))
        self.expects_continue = False
        self.started_at_s = None

    def _decode_fields(self) -> None:
        text = self.raw_fields.decode("latin-1")
        start = 0
        lengths = iter(self.raw_lengths)
        for name_length, value_length in zip(lengths, lengths, strict=True):
            middle = start + name_length
            end = middle + value_length
            value = text[middle:end].rstrip(http_fields.BLANKS)
            field = (text[start:middle], value)
            self.headers.append(field)
            self.field_bytes += body_buffer.field_size(field)
            start = end
        self.raw_fields = bytearray()
        self.raw_lengths = array.array("I")

    def _count_header_bytes(self, size: int) -> None:
        self.header_bytes += size
        if self.header_bytes > self.limits().max_header_bytes:
            raise RequestError(status=431)
