"""Send requests to backend servers over HTTP/1.1."""

import asyncio
import socket
from typing import Literal

from returns.result import Failure
from returns.result import Result
from returns.result import Success
from tornado import http1connection
from tornado import httputil
from tornado import iostream

import orjson
import pydantic
from typing_extensions import TypedDict

from samphirelug.components.backend import client
from samphirelug.components.backend import const as backend_const
from samphirelug.components.backend import model
from samphirelug import const
from samphirelug import core
from samphirelug.helpers import http_fields
from samphirelug.helpers import timer as timer_helper

# Request header fields that the client sets itself. Expect is only dropped, as
# the body is sent at once.
REPLACED_REQUEST_FIELDS = frozenset(
    (
        "host",
        "content-length",
        "expect",
        const.HEADER_DEADLINE_MS.lower(),
        const.HEADER_REQUEST_ID.lower(),
    )
)
# Longest Retry-After time that is believed, about a day.
MAX_RETRY_AFTER_S = 99_999
# Answer header fields for the entry host, which callers do not get.
INTERNAL_ANSWER_FIELDS = frozenset(
    (const.HEADER_WORK.lower(), const.HEADER_DRAIN.lower())
)
BODY_METHODS = ("POST", "PUT", "PATCH")
BODYLESS_STATUSES = (204, 304)
# The client limits the body itself, to distinguish a body that is too large
# from a malformed one.
NO_BODY_LIMIT = 1 << 62

AnswerResult = Result[core.Answer, model.BackendFailure]


class HealthBody(TypedDict):
    """Hold the body of a server's health answer."""

    state: Literal["live", "leaving"]
    load: float
    incarnation: str


_HEALTH_ADAPTER = pydantic.TypeAdapter(HealthBody)


class CountingStream(iostream.IOStream):
    """Count the bytes written to and read from the socket."""

    sent_bytes = 0
    received_bytes = 0

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket and return the number of bytes written."""
        written_bytes = super().write_to_fd(data)
        self.sent_bytes += written_bytes
        return written_bytes

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket and return the number of bytes read."""
        read_bytes = super().read_from_fd(buf)
        self.received_bytes += read_bytes or 0
        return read_bytes


class AnswerReader(httputil.HTTPMessageDelegate):
    """Collect one answer and set the result of the attempt."""

    def __init__(
        self, *, request: model.BackendRequest, stream: CountingStream
    ) -> None:
        self.request = request
        self.stream = stream
        self.result: asyncio.Future[AnswerResult] = (
            asyncio.get_running_loop().create_future()
        )
        self.start_line: httputil.ResponseStartLine | None = None
        self.headers: httputil.HTTPHeaders | None = None
        self.chunks: list[bytes] = []
        self.received_bytes = 0

    def fail(
        self,
        kind: model.FailureKind,
        detail: str,
        retry_after_s: float = 0.0,
    ) -> None:
        """Set a failure as the result unless there is a result."""
        if not self.result.done():
            failure = model.BackendFailure(kind, detail, retry_after_s)
            self.result.set_result(Failure(failure))

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Handle refusals; reject answers whose end cannot be detected."""
        assert isinstance(start_line, httputil.ResponseStartLine)
        if start_line.code not in http_fields.VALID_STATUSES:
            self._reject(f"status {start_line.code} is not valid")
        if start_line.code < 200:
            return
        self.start_line = start_line
        self.headers = headers
        if start_line.code == 503 and _is_marked_not_run(headers):
            self._refuse(headers)
            return
        if (
            self.request.method == "HEAD"
            or start_line.code in BODYLESS_STATUSES
        ):
            return
        length = headers.get("Content-Length")
        if length is None and "Transfer-Encoding" not in headers:
            self._reject("the answer has no length and is not chunked")
        if length is not None and _length_exceeds(
            length, self.request.max_answer_bytes
        ):
            self._reject_too_large()

    def data_received(self, chunk: bytes) -> None:
        """Add a part of the body, within the request's limit."""
        self.received_bytes += len(chunk)
        if self.received_bytes > self.request.max_answer_bytes:
            self._reject_too_large()
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Set the complete answer as the result."""
        if self.result.done():
            return
        assert self.start_line is not None
        assert self.headers is not None
        keep_length = (
            self.request.method == "HEAD" or self.start_line.code == 304
        )
        answer = core.Answer(
            status=self.start_line.code,
            reason=self.start_line.reason,
            headers=answer_headers(self.headers, keep_length=keep_length),
            body=b"".join(self.chunks),
            server=self.request.server.name,
        )
        self.result.set_result(Success(answer))

    def on_connection_close(self) -> None:
        """Set a failure if the connection ended before the answer."""
        self.fail_by_progress("the answer is malformed")

    def fail_by_progress(self, detail: str) -> None:
        """Set the failure that follows from what was sent and received."""
        if self.stream.sent_bytes == 0:
            self.fail(model.FailureKind.NOT_SENT, detail)
        elif self.start_line is not None:
            self.fail(model.FailureKind.INCOMPLETE, detail)
        else:
            self.fail(model.FailureKind.RESET, detail)

    def on_read_done(self, reading: "asyncio.Future[bool]") -> None:
        """Set a failure if reading ended without a result."""
        if reading.cancelled():
            return
        error = reading.exception()
        self.fail_by_progress(
            str(error) if error else "the answer is malformed"
        )

    def _refuse(self, headers: httputil.HTTPHeaders) -> None:
        leaving = const.HEADER_DRAIN in headers
        kind = (
            model.FailureKind.LEAVING if leaving else model.FailureKind.REFUSED
        )
        retry_after_s = _parse_seconds(headers.get("Retry-After", ""))
        self.fail(kind, "the server did not run the request", retry_after_s)

    def _reject(self, detail: str) -> None:
        self.fail(model.FailureKind.INCOMPLETE, detail)
        raise httputil.HTTPInputError(detail)

    def _reject_too_large(self) -> None:
        detail = f"the answer exceeds {self.request.max_answer_bytes} bytes"
        self.fail(model.FailureKind.TOO_LARGE, detail)
        raise httputil.HTTPInputError(detail)


class HttpBackendClient(client.BackendClient):
    """Send each request over a connection of its own."""

    def __init__(
        self,
        *,
        timer: timer_helper.TimerService,
        connect_timeout_s: float = backend_const.CONNECT_TIMEOUT_S,
    ) -> None:
        self.timer = timer
        self.connect_timeout_s = connect_timeout_s

    async def send(self, request: model.BackendRequest) -> AnswerResult:
        """Return the complete answer or the reason why there is none.

        Cancelling the call closes the connection, which stops the server's
        work on the request.
        """
        try:
            stream = _open_stream(request.server.address)
        except (OSError, ValueError) as error:
            return _not_sent(f"no connection: {error}")
        try:
            failure = await self._connect(stream, request)
            if failure is not None:
                return Failure(failure)
            return await self._exchange(stream, request)
        finally:
            stream.close()
            if request.traffic is not None:
                request.traffic.sent_bytes = stream.sent_bytes
                request.traffic.received_bytes = stream.received_bytes

    async def probe(
        self, server: core.BackendServer, health_path: str, *, timeout_s: float
    ) -> Result[model.HealthReport, model.BackendFailure]:
        """Return a server's health and load, or why there is no report."""
        request = model.BackendRequest(
            request_id="health-probe",
            server=server,
            method="GET",
            target=health_path,
            headers=(),
            body=b"",
            deadline_at_s=self.timer.monotonic() + timeout_s,
            max_answer_bytes=backend_const.MAX_PROBE_ANSWER_BYTES,
        )
        result = await self.send(request)
        return result.bind(_parse_health)

    async def _connect(
        self, stream: CountingStream, request: model.BackendRequest
    ) -> model.BackendFailure | None:
        now = self.timer.monotonic()
        timeout_at_s = min(request.deadline_at_s, now + self.connect_timeout_s)
        timeout = self.timer.call_at(
            when_s=timeout_at_s, callback=stream.close
        )
        try:
            await stream.connect(_split_address(request.server.address))
        except (OSError, iostream.StreamClosedError) as error:
            cause = getattr(error, "real_error", None) or error
            return model.BackendFailure(
                model.FailureKind.NOT_SENT, f"no connection: {cause}"
            )
        finally:
            timeout.cancel()
        return None

    async def _exchange(
        self, stream: CountingStream, request: model.BackendRequest
    ) -> AnswerResult:
        # The process may have been paused past the deadline while connecting.
        # There is no await between this check and the write.
        remaining_s = request.deadline_at_s - self.timer.monotonic()
        if remaining_s <= 0.0:
            return _not_sent("the deadline passed before sending")
        stream.set_nodelay(True)
        answer_reader = AnswerReader(request=request, stream=stream)
        connection = http1connection.HTTP1Connection(
            stream,
            True,
            http1connection.HTTP1ConnectionParameters(
                no_keep_alive=True,
                max_header_size=const.MAX_HEADER_BYTES,
                max_body_size=NO_BODY_LIMIT,
            ),
        )
        try:
            start_line = httputil.RequestStartLine(
                request.method, request.target, "HTTP/1.1"
            )
            headers = _request_headers(request, remaining_s)
            written = connection.write_headers(
                start_line, headers, request.body
            )
        except (ValueError, httputil.HTTPInputError) as error:
            return _not_sent(f"the request cannot be encoded: {error}")
        written.add_done_callback(_suppress_write_error)
        connection.finish()
        deadline = self.timer.call_at(
            when_s=request.deadline_at_s,
            callback=lambda: answer_reader.fail(
                model.FailureKind.TIMEOUT,
                "no complete answer before the deadline",
            ),
        )
        reading = asyncio.ensure_future(
            connection.read_response(answer_reader)
        )
        reading.add_done_callback(answer_reader.on_read_done)
        try:
            return await answer_reader.result
        finally:
            deadline.cancel()


def answer_headers(
    headers: httputil.HTTPHeaders, *, keep_length: bool
) -> tuple[tuple[str, str], ...]:
    """Return the header fields of an answer to pass to the caller."""
    dropped = INTERNAL_ANSWER_FIELDS
    if not keep_length:
        dropped = dropped | {"content-length"}
    return http_fields.end_to_end_fields(headers.get_all(), dropped=dropped)


def _request_headers(
    request: model.BackendRequest, remaining_s: float
) -> httputil.HTTPHeaders:
    headers = httputil.HTTPHeaders()
    headers["Host"] = request.server.address
    headers["Connection"] = "close"
    headers[const.HEADER_DEADLINE_MS] = str(max(1, int(remaining_s * 1000)))
    headers[const.HEADER_REQUEST_ID] = request.request_id
    for name, value in http_fields.end_to_end_fields(
        request.headers, dropped=REPLACED_REQUEST_FIELDS
    ):
        headers.add(name, value)
    if request.body or request.method in BODY_METHODS:
        headers["Content-Length"] = str(len(request.body))
    return headers


def _open_stream(address: str) -> CountingStream:
    host, _ = _split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return CountingStream(socket.socket(family, socket.SOCK_STREAM))


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _not_sent(detail: str) -> AnswerResult:
    return Failure(model.BackendFailure(model.FailureKind.NOT_SENT, detail))


def _is_marked_not_run(headers: httputil.HTTPHeaders) -> bool:
    value: str = headers.get(const.HEADER_WORK, "")
    return value.strip().lower() == const.WORK_NOT_RUN


def _length_exceeds(length: str, limit: int) -> bool:
    # HTTP1Connection rejects a malformed length.
    return (http_fields.parse_whole(length) or 0) > limit


def _parse_seconds(value: str) -> float:
    seconds = http_fields.parse_whole(value)
    return (
        0.0
        if seconds is None or seconds > MAX_RETRY_AFTER_S
        else float(seconds)
    )


def _suppress_write_error(written: "asyncio.Future[None]") -> None:
    # The read from the connection reports the error.
    if not written.cancelled():
        written.exception()


def _parse_health(
    answer: core.Answer,
) -> Result[model.HealthReport, model.BackendFailure]:
    if answer.status != 200:
        return Failure(
            model.BackendFailure(
                model.FailureKind.INCOMPLETE,
                f"the health answer has status {answer.status}",
            )
        )
    try:
        body = _HEALTH_ADAPTER.validate_python(orjson.loads(answer.body))
    except ValueError as error:
        detail = f"the health answer is malformed: {error}"
        return Failure(
            model.BackendFailure(model.FailureKind.INCOMPLETE, detail)
        )
    return Success(
        model.HealthReport(
            server=answer.server,
            leaving=body["state"] == "leaving",
            load=min(1.0, max(0.0, body["load"])),
            server_incarnation=body["incarnation"],
        )
    )
