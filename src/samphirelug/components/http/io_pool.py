"""Send attempts to backend servers over kept connections."""

import asyncio
import contextlib
import logging
import re
import socket

import httptools
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from tornado import iostream

from samphirelug.components.backend import model as backend_model
from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.forwarding import model
from samphirelug.components.http import const
from samphirelug.components.http import io_connection
from samphirelug.components.http import model as http_model
from samphirelug.components.http import response_parser
from samphirelug.components.placement import load as placement_load
from samphirelug import core
from samphirelug.helpers import http_fields
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)", re.IGNORECASE)
BODY_METHODS = frozenset(("POST", "PUT", "PATCH"))


class PooledSender(model.AttemptSender):
    """Reuse connections, and classify how each attempt ended."""

    def __init__(
        self,
        *,
        timer: timer_helper.TimerService,
        names: http_model.HeaderNames,
    ) -> None:
        self.timer = timer
        self.names = names
        self.kept: dict[
            tuple[str, int], list[io_connection.ServerConnection]
        ] = {}
        self.dropped_request_headers = frozenset(
            (
                "content-length",
                "expect",
                names.deadline_ms,
                names.expected_instance,
            )
        )

    def start(self) -> None:
        """Start to close connections that were idle for too long."""
        self.timer.subscribe(
            interval_s=const.SWEEP_INTERVAL_S, callback=self._sweep
        )

    def forget(self, server: fleet_model.ServerInstance) -> None:
        """Close the idle connections to a server that has left."""
        for connection in self.kept.pop(server.incarnation, ()):
            connection.close()

    async def send(self, attempt: model.Attempt) -> model.AttemptResult:
        """Return the whole answer or why there is none.

        Cancelling the call closes the connection, which cancels the work.
        """
        connection = self._take_kept(attempt)
        if connection is None:
            opened = await self._open(attempt)
            if isinstance(opened, Failure):
                return Failure(model.AttemptFailure(opened.failure()))
            connection = opened.unwrap()
        try:
            result = await self._exchange(connection, attempt)
        except BaseException:
            connection.reset()
            raise
        return result

    async def _open(
        self, attempt: model.Attempt
    ) -> Result[io_connection.ServerConnection, backend_model.BackendFailure]:
        detail = "no connection in time"
        for _ in range(const.CONNECT_TRIES):
            left_s = attempt.deadline_at_s - self.timer.monotonic()
            if left_s <= 0:
                break
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = iostream.IOStream(
                sock, max_buffer_size=2 * const.MAX_ANSWER_BYTES
            )
            host, _, port = attempt.server.address.rpartition(":")
            try:
                await asyncio.wait_for(
                    stream.connect((host, int(port))),
                    min(left_s, const.CONNECT_TIMEOUT_S),
                )
            except TimeoutError:
                stream.close()
            except (OSError, iostream.StreamClosedError, ValueError) as error:
                stream.close()
                detail = f"no connection: {_cause(error)}"
                break
            except BaseException:
                stream.close()
                raise
            else:
                return Success(io_connection.ServerConnection(stream=stream))
        return Failure(
            backend_model.BackendFailure(
                backend_model.FailureKind.NOT_SENT, detail
            )
        )

    def _take_kept(
        self, attempt: model.Attempt
    ) -> io_connection.ServerConnection | None:
        kept = self.kept.get(attempt.server.incarnation)
        now = self.timer.monotonic()
        while kept:
            connection = kept[-1]
            idle_s = now - connection.idle_since_s
            if not attempt.idempotent and idle_s > const.KEPT_ONCE_ONLY_S:
                # The others were idle for longer.
                return None
            kept.pop()
            if (
                idle_s < connection.kept_s
                and connection.last_request_id != attempt.request.request_id
                and connection.is_clean()
            ):
                return connection
            connection.close()
        return None

    async def _exchange(
        self,
        connection: io_connection.ServerConnection,
        attempt: model.Attempt,
    ) -> model.AttemptResult:
        # The process may have been paused before. There is no await between
        # this check and the write.
        left_s = attempt.deadline_at_s - self.timer.monotonic()
        if left_s <= 0:
            self._keep(connection, attempt)
            return _failed(
                backend_model.FailureKind.NOT_SENT,
                "the time was over before sending",
            )
        try:
            written = connection.stream.write(self._render(attempt, left_s))
        except iostream.StreamClosedError:
            return _failed(
                backend_model.FailureKind.NOT_SENT,
                "the connection closed before sending",
            )
        written.add_done_callback(_ignore_error)
        connection.last_request_id = attempt.request.request_id
        parser = response_parser.ResponseParser(
            is_head=attempt.request.method == "HEAD"
        )
        try:
            async with asyncio.timeout(left_s):
                response = await self._read(connection, parser, attempt)
        except TimeoutError:
            connection.reset()
            return _failed(
                backend_model.FailureKind.TIMEOUT, "no whole answer in time"
            )
        except httptools.HttpParserError as error:
            connection.reset()
            return _failed(
                backend_model.FailureKind.INCOMPLETE,
                f"the answer is not valid HTTP: {error}",
            )
        except (OSError, iostream.StreamClosedError) as error:
            connection.reset()
            return _failed(
                backend_model.FailureKind.RESET,
                f"the connection ended early: {_cause(error)}",
            )
        if _may_keep(connection, parser, response):
            connection.kept_s = _kept_s(response)
            self._keep(connection, attempt)
        else:
            connection.close()
        return self._classify(response, attempt)

    async def _read(
        self,
        connection: io_connection.ServerConnection,
        parser: response_parser.ResponseParser,
        attempt: model.Attempt,
    ) -> response_parser.ParsedResponse:
        """Return the answer to this request; skip answers to others."""
        while True:
            while parser.completed:
                response = parser.completed.popleft()
                answered = response.get(self.names.request_id)
                if answered in (None, attempt.request.request_id):
                    return response
                _LOGGER.info(
                    "skipped an answer to another request",
                    extra={
                        "request_id": attempt.request.request_id[:128],
                        "answered_request_id": (answered or "")[:128],
                        "server": attempt.server.instance_id,
                    },
                )
            if parser.error:
                raise httptools.HttpParserError(parser.error)
            try:
                data = await connection.stream.read_bytes(
                    const.READ_CHUNK_BYTES, partial=True
                )
            except iostream.StreamClosedError as error:
                # A reset may have cut off a body that has no length.
                if error.real_error or not parser.end():
                    raise
            else:
                parser.feed(data)

    def _classify(
        self,
        response: response_parser.ParsedResponse,
        attempt: model.Attempt,
    ) -> model.AttemptResult:
        report = _parse_report(response.get(self.names.server_load))
        status = response.status
        if status == 421:
            return _failed(
                backend_model.FailureKind.MISDIRECTED,
                "another incarnation has the address",
                report,
            )
        if response.get(self.names.not_executed) is not None:
            closing = _says_close(response)
            return _failed(
                backend_model.FailureKind.LEAVING
                if closing and status != 503
                else backend_model.FailureKind.REFUSED,
                f"the server did not run it: status {status}",
                report,
            )
        if response.get(self.names.request_id) is None or (
            response.get(self.names.response_seal) is None
        ):
            return _failed(
                backend_model.FailureKind.INCOMPLETE,
                f"the answer with status {status} is not the server's",
                report,
            )
        if response.get("content-encoding") is not None:
            return _failed(
                backend_model.FailureKind.INCOMPLETE,
                "the body is encoded",
                report,
            )
        dropped = frozenset(("content-length",))
        answer = core.Answer(
            status=status,
            reason=response.reason,
            headers=http_fields.forwarded(response.headers, dropped=dropped),
            body=response.body,
            server=attempt.server.instance_id,
        )
        cold_ms = response.get(self.names.cold_ms)
        cold_s = int(cold_ms) / 1000 if cold_ms and cold_ms.isdigit() else None
        return Success(model.AttemptAnswer(answer, report, cold_s))

    def _render(self, attempt: model.Attempt, left_s: float) -> bytes:
        request = attempt.request
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines += [
            f"{name}: {value}"
            for name, value in http_fields.forwarded(
                request.headers, dropped=self.dropped_request_headers
            )
        ]
        lines.append(f"{self.names.deadline_ms}: {max(1, int(left_s * 1000))}")
        lines.append(
            f"{self.names.expected_instance}: {attempt.server.instance_id}"
        )
        if request.body or request.method in BODY_METHODS:
            lines.append(f"Content-Length: {len(request.body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("latin-1") + request.body

    def _keep(
        self,
        connection: io_connection.ServerConnection,
        attempt: model.Attempt,
    ) -> None:
        kept = self.kept.setdefault(attempt.server.incarnation, [])
        if len(kept) >= const.MAX_KEPT:
            connection.close()
            return
        connection.idle_since_s = self.timer.monotonic()
        kept.append(connection)

    def _sweep(self) -> None:
        now = self.timer.monotonic()
        for incarnation, kept in list(self.kept.items()):
            fresh = []
            for connection in kept:
                if now - connection.idle_since_s < connection.kept_s:
                    fresh.append(connection)
                else:
                    connection.close()
            if fresh:
                self.kept[incarnation] = fresh
            else:
                del self.kept[incarnation]


def _may_keep(
    connection: io_connection.ServerConnection,
    parser: response_parser.ResponseParser,
    response: response_parser.ParsedResponse,
) -> bool:
    return (
        not connection.stream.closed()
        and not connection.stream.writing()
        and not parser.is_head
        and parser.is_at_boundary
        and not response.ends_with_connection
        and response.keep_alive
        and not _says_close(response)
    )


def _says_close(response: response_parser.ParsedResponse) -> bool:
    return "close" in (response.get("connection") or "").lower()


def _kept_s(response: response_parser.ParsedResponse) -> float:
    match = _KEEP_ALIVE_TIMEOUT.search(response.get("keep-alive") or "")
    if match is None:
        return const.KEPT_DEFAULT_S
    return max(0.0, int(match.group(1)) - const.KEPT_MARGIN_S)


def _parse_report(value: str | None) -> placement_load.LoadReport | None:
    if value is None:
        return None
    try:
        running, waiting, slots = (int(part) for part in value.split(","))
    except ValueError:
        _LOGGER.debug("malformed load report %r", value[:64])
        return None
    return placement_load.LoadReport(running, waiting, slots)


def _failed(
    kind: backend_model.FailureKind,
    detail: str,
    report: placement_load.LoadReport | None = None,
) -> model.AttemptResult:
    return Failure(
        model.AttemptFailure(
            backend_model.BackendFailure(kind, detail), report
        )
    )


def _cause(error: BaseException) -> str:
    cause = getattr(error, "real_error", None) or error
    return str(cause) or type(cause).__name__


def _ignore_error(written: "asyncio.Future[None]") -> None:
    # The reader reports the end of the connection.
    with contextlib.suppress(asyncio.CancelledError):
        written.exception()
