"""Split the bytes of a server's connection into whole responses."""

import collections

import httptools

from samphirelug.components.http import const

# Responses below this status are interim; the final one follows.
FIRST_FINAL_STATUS = 200


class ParsedResponse:
    """Collect one response."""

    def __init__(self) -> None:
        self.status = 0
        self.reason = ""
        self.headers: list[tuple[str, str]] = []
        self.chunks: list[bytes] = []
        self.size = 0
        self.has_headers = False
        self.keep_alive = False

    def get(self, name: str) -> str | None:
        """Return the first value of a header, named in lower case."""
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return None

    @property
    def body(self) -> bytes:
        """Return the body received so far."""
        return b"".join(self.chunks)

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the connection's end ends the body."""
        return (
            self.has_headers
            and self.get("content-length") is None
            and self.get("transfer-encoding") is None
        )


class ResponseParser:
    """Collect the responses of a connection, in order.

    A server may send answers to earlier requests before the awaited one, and
    the network may deliver both in one read, so bytes after a whole response
    are kept.
    """

    def __init__(self, *, is_head: bool) -> None:
        self.is_head = is_head
        self.parser = httptools.HttpResponseParser(self)
        self.completed: collections.deque[ParsedResponse] = collections.deque()
        self.current: ParsedResponse | None = None
        # Why the bytes received are no response; further ones are ignored.
        self.error = ""

    def feed(self, data: bytes) -> None:
        """Take bytes from the connection."""
        if self.error:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.error = str(error) or type(error).__name__

    def end(self) -> bool:
        """Note an orderly end; tell whether it completed a response."""
        response = self.current
        if self.error or response is None:
            return False
        if not response.ends_with_connection:
            return False
        self.completed.append(response)
        self.current = None
        return True

    @property
    def is_at_boundary(self) -> bool:
        """Return whether nothing is left over on the connection."""
        return not self.error and not self.completed and self.current is None

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Start a response."""
        self.current = ParsedResponse()

    def on_status(self, status: bytes) -> None:
        """Keep the reason phrase."""
        assert self.current is not None
        self.current.reason += status.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        assert self.current is not None
        self.current.headers.append(
            (name.decode("latin-1"), value.decode("latin-1"))
        )

    def on_headers_complete(self) -> None:
        """Note that the status and headers are known."""
        assert self.current is not None
        self.current.has_headers = True
        self.current.status = int(self.parser.get_status_code())
        if self.is_head and self.current.status >= FIRST_FINAL_STATUS:
            self.completed.append(self.current)
            self.current = None

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        if self.current is None:
            return
        self.current.size += len(body)
        if self.current.size > const.MAX_ANSWER_BYTES:
            raise httptools.HttpParserError("the response is too large")
        self.current.chunks.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the response."""
        response, self.current = self.current, None
        if response is None or response.status < FIRST_FINAL_STATUS:
            return
        response.keep_alive = bool(self.parser.should_keep_alive())
        self.completed.append(response)
