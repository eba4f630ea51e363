"""Send attempts to backend servers over a pool of connections."""

import asyncio
from collections.abc import Callable
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
from samphirelug.components.http import held_memory
from samphirelug.components.http import io_connection
from samphirelug.components.http import load_report
from samphirelug.components.http import model as http_model
from samphirelug.components.http import response_parser
from samphirelug.components.http import server_limit
from samphirelug.components.http import server_retry_after
from samphirelug.components.placement import load as placement_load
from samphirelug import core
from samphirelug.helpers import http_fields
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d{1,9})", re.IGNORECASE)
BODY_METHODS = frozenset(("POST", "PUT", "PATCH"))


class PooledSender(model.AttemptSender):
    """Send attempts over reused connections and classify the results."""

    def __init__(
        self,
        *,
        timer: timer_helper.TimerService,
        names: http_model.HeaderNames,
        may_be_sent: Callable[[fleet_model.ServerInstance], bool],
        memory: held_memory.HeldMemory,
    ) -> None:
        self.timer = timer
        self.names = names
        # Whether a server may still get a request; it may have started to
        # leave while a connection to it was being opened.
        self.may_be_sent = may_be_sent
        # Called with a server that says in an answer that it is leaving.
        self.on_leaving: list[
            Callable[[fleet_model.ServerInstance], None]
        ] = []
        # Called with a server that has answered, and the limit that it names.
        self.on_limit: list[
            Callable[[fleet_model.ServerInstance, float | None], None]
        ] = []
        self.idle_connections: dict[
            tuple[str, int], list[io_connection.ServerConnection]
        ] = {}
        self.memory = memory
        # Set anew for the server, except Expect, which the listener handles.
        self.dropped_request_headers = frozenset(
            (
                "content-length",
                "expect",
                names.deadline_ms,
                names.expected_instance,
                names.credential,
                names.team,
            )
        )

    def start(self) -> None:
        """Start closing connections that have been idle for too long."""
        self.timer.subscribe(
            interval_s=const.TIMEOUT_CHECK_INTERVAL_S,
            callback=self._close_expired,
        )

    def close_idle(self, server: fleet_model.ServerInstance) -> None:
        """Close the idle connections to a server that was removed."""
        for connection in self.idle_connections.pop(server.incarnation, ()):
            connection.close()

    async def send(self, attempt: model.Attempt) -> model.AttemptResult:
        """Return the complete answer or the reason why there is none.

        Cancelling the call resets the connection, on which most servers cancel
        the request.
        """
        connection = self._take_idle(attempt)
        if connection is None:
            opened = await self._open(attempt)
            if isinstance(opened, Failure):
                return Failure(model.AttemptFailure(opened.failure()))
            connection = opened.unwrap()
            if not self.may_be_sent(attempt.server):
                connection.close()
                return _failure(
                    backend_model.FailureKind.NOT_SENT,
                    "the server left or paused while a connection was opened",
                )
        try:
            result = await self._exchange(connection, attempt)
        except BaseException:
            connection.reset()
            raise
        finally:
            if connection.is_server_leaving:
                for listener in self.on_leaving:
                    listener(attempt.server)
        return result

    async def _open(
        self, attempt: model.Attempt
    ) -> Result[io_connection.ServerConnection, backend_model.BackendFailure]:
        detail = "no connection in time"
        for _ in range(const.CONNECT_ATTEMPTS):
            remaining_s = attempt.deadline_at_s - self.timer.monotonic()
            if remaining_s <= 0:
                break
            try:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            except OSError as error:
                detail = f"no socket: {error}"
                break
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = iostream.IOStream(
                sock, max_buffer_size=2 * const.MAX_ANSWER_BYTES
            )
            host, _, port = attempt.server.address.rpartition(":")
            try:
                await asyncio.wait_for(
                    stream.connect((host, int(port))),
                    min(remaining_s, const.CONNECT_TIMEOUT_S),
                )
            except TimeoutError:
                stream.close()
            except (OSError, iostream.StreamClosedError, ValueError) as error:
                stream.close()
                detail = f"no connection: {_describe_error(error)}"
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

    def _take_idle(
        self, attempt: model.Attempt
    ) -> io_connection.ServerConnection | None:
        if attempt.is_repeat:
            return None
        idle = self.idle_connections.get(attempt.server.incarnation)
        now = self.timer.monotonic()
        while idle:
            connection = idle[-1]
            idle_s = now - connection.idle_since_s
            if (
                not attempt.idempotent
                and idle_s > const.MAX_IDLE_NOT_IDEMPOTENT_S
            ):
                # The other connections have been idle for longer.
                return None
            idle.pop()
            if (
                idle_s < connection.keep_alive_s
                and connection.last_request_id != attempt.request.request_id
                and connection.is_reusable()
            ):
                return connection
            connection.close()
        return None

    async def _exchange(
        self,
        connection: io_connection.ServerConnection,
        attempt: model.Attempt,
    ) -> model.AttemptResult:
        # The deadline may have passed while the process was paused. There is
        # no await between this check and the write.
        remaining_s = attempt.deadline_at_s - self.timer.monotonic()
        if remaining_s <= 0:
            # It goes on being idle since its last request.
            if connection.request_count:
                self._release(
                    connection, attempt, idle_since_s=connection.idle_since_s
                )
            else:
                connection.close()
            return _failure(
                backend_model.FailureKind.NOT_SENT,
                "the deadline passed before sending",
            )
        try:
            written = io_connection.write(
                connection.stream,
                head=self._render_head(attempt, remaining_s),
                body=attempt.request.body,
            )
        except iostream.StreamClosedError:
            return _failure(
                backend_model.FailureKind.NOT_SENT,
                "the connection closed before sending",
            )
        written.add_done_callback(io_connection.suppress_write_error)
        connection.last_request_id = attempt.request.request_id
        connection.request_count += 1
        parser = response_parser.ResponseParser(
            is_head=attempt.request.method == "HEAD"
        )
        try:
            async with asyncio.timeout(remaining_s):
                response = await self._read(connection, parser, attempt)
        except TimeoutError:
            connection.reset()
            return _failure(
                backend_model.FailureKind.TIMEOUT,
                "no complete answer before the deadline",
            )
        except response_parser.AnswerTooLargeError as error:
            connection.reset()
            return _failure(
                backend_model.FailureKind.TOO_LARGE,
                f"the server sent too much: {error}",
            )
        except httptools.HttpParserError as error:
            connection.reset()
            return _failure(
                backend_model.FailureKind.INCOMPLETE,
                f"the answer is not valid HTTP: {error}",
            )
        except (OSError, iostream.StreamClosedError) as error:
            connection.reset()
            return _failure(
                backend_model.FailureKind.RESET,
                "the connection closed before the answer was complete: "
                f"{_describe_error(error)}",
            )
        finally:
            self.memory.release(parser)
        if _can_keep_alive(connection, parser, response):
            connection.keep_alive_s = _parse_keep_alive_s(response)
            self._release(connection, attempt)
        else:
            connection.close()
        if (
            response.get(self.names.request_id) is None
            and connection.request_count > 1
        ):
            # It may be a copy of the answer to an earlier request, so that
            # even a refusal says nothing about this request.
            return _failure(
                backend_model.FailureKind.INCOMPLETE,
                f"answer with status {response.status} lacks the request ID"
                " on a reused connection",
            )
        if response.status != 421:
            self._report_limit(response, attempt.server)
        return self._classify(response, attempt)

    def _report_limit(
        self,
        response: response_parser.ParsedResponse,
        server: fleet_model.ServerInstance,
    ) -> None:
        limit = server_limit.parse(
            response.headers,
            name=self.names.server_limit,
            server=server.instance_id,
        )
        for listener in self.on_limit:
            listener(server, limit)

    async def _read(
        self,
        connection: io_connection.ServerConnection,
        parser: response_parser.ResponseParser,
        attempt: model.Attempt,
    ) -> response_parser.ParsedResponse:
        """Return the answer to this request and skip answers to others."""
        skipped_any = False
        while True:
            while parser.completed:
                response = parser.completed.popleft()
                answered_id = response.get(self.names.request_id)
                # With status 421, another server has answered.
                if (
                    response.get(self.names.server_leaving) == "1"
                    and response.status != 421
                ):
                    connection.is_server_leaving = True
                if answered_id in (None, attempt.request.request_id):
                    return response
                if skipped_any:
                    continue
                skipped_any = True
                _LOGGER.info(
                    "skipped an answer to another request",
                    extra={
                        "request_id": attempt.request.request_id[:128],
                        "answered_request_id": (answered_id or "")[:128],
                        "server": attempt.server.instance_id,
                    },
                )
            if parser.too_large:
                raise response_parser.AnswerTooLargeError(parser.error)
            if parser.error:
                raise httptools.HttpParserError(parser.error)
            try:
                data = await connection.stream.read_bytes(
                    const.READ_CHUNK_BYTES, partial=True
                )
            except iostream.StreamClosedError as error:
                # After a reset, a body without a length may be incomplete.
                if error.real_error or not parser.feed_eof():
                    raise
            else:
                parser.feed(data)
                if not parser.too_large:
                    self.memory.update(parser)
                if not parser.completed:
                    # A read returns at once while bytes are waiting. A server
                    # that sends without pause would block the event loop.
                    await self.timer.sleep(0)

    def _classify(
        self,
        response: response_parser.ParsedResponse,
        attempt: model.Attempt,
    ) -> model.AttemptResult:
        report = load_report.parse(response.get(self.names.server_load))
        status = response.status
        retry_after_s = 0.0
        if status == 503:
            retry_after_s = server_retry_after.parse(
                response.headers, server=attempt.server.instance_id
            )
        if status == 421:
            return _failure(
                backend_model.FailureKind.MISDIRECTED,
                "another incarnation listens at the address",
                report,
            )
        if response.get(self.names.not_executed) is not None:
            leaving = response.get(self.names.server_leaving) == "1" or (
                _announces_close(response) and status != 503
            )
            return _failure(
                backend_model.FailureKind.LEAVING
                if leaving
                else backend_model.FailureKind.REFUSED,
                f"the server did not run the request: status {status}",
                report,
                retry_after_s,
            )
        if response.get(self.names.request_id) is None or (
            response.get(self.names.response_seal) is None
        ):
            return _failure(
                backend_model.FailureKind.INCOMPLETE,
                f"answer with status {status} lacks request ID or signature",
                report,
                retry_after_s,
            )
        if response.get("content-encoding") is not None:
            return _failure(
                backend_model.FailureKind.INCOMPLETE,
                "the answer has an unsupported content encoding",
                report,
            )
        dropped = frozenset(("content-length",))
        answer = core.Answer(
            status=status,
            reason=response.reason,
            headers=http_fields.end_to_end_fields(
                response.headers, dropped=dropped
            ),
            body=response.body,
            server=attempt.server.instance_id,
        )
        cold_ms = http_fields.parse_whole(
            response.get(self.names.cold_ms) or ""
        )
        cold_s = None if cold_ms is None else cold_ms / 1000
        return Success(
            model.AttemptAnswer(answer, report, cold_s, retry_after_s)
        )

    def _render_head(
        self, attempt: model.Attempt, remaining_s: float
    ) -> bytes:
        request = attempt.request
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines += [
            f"{name}: {value}"
            for name, value in http_fields.end_to_end_fields(
                request.headers, dropped=self.dropped_request_headers
            )
        ]
        lines.append(
            f"{self.names.deadline_ms}: {max(1, int(remaining_s * 1000))}"
        )
        lines.append(
            f"{self.names.expected_instance}: {attempt.server.instance_id}"
        )
        if attempt.team:
            lines.append(f"{self.names.team}: {attempt.team}")
        if request.body or request.method in BODY_METHODS:
            lines.append(f"Content-Length: {len(request.body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("latin-1")

    def _release(
        self,
        connection: io_connection.ServerConnection,
        attempt: model.Attempt,
        *,
        idle_since_s: float | None = None,
    ) -> None:
        idle = self.idle_connections.setdefault(attempt.server.incarnation, [])
        if len(idle) >= const.MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        connection.idle_since_s = (
            self.timer.monotonic() if idle_since_s is None else idle_since_s
        )
        idle.append(connection)

    def _close_expired(self) -> None:
        now = self.timer.monotonic()
        for incarnation, idle in list(self.idle_connections.items()):
            unexpired = []
            for connection in idle:
                if now - connection.idle_since_s < connection.keep_alive_s:
                    unexpired.append(connection)
                else:
                    connection.close()
            if unexpired:
                self.idle_connections[incarnation] = unexpired
            else:
                del self.idle_connections[incarnation]


def _can_keep_alive(
    connection: io_connection.ServerConnection,
    parser: response_parser.ResponseParser,
    response: response_parser.ParsedResponse,
) -> bool:
    return (
        not connection.stream.closed()
        and not connection.stream.writing()
        and not parser.is_head
        and parser.is_at_boundary
        and not response.is_close_delimited
        and response.keep_alive
        and not connection.is_server_leaving
        and not _announces_close(response)
    )


def _announces_close(response: response_parser.ParsedResponse) -> bool:
    return "close" in (response.get("connection") or "").lower()


def _parse_keep_alive_s(response: response_parser.ParsedResponse) -> float:
    match = _KEEP_ALIVE_TIMEOUT.search(response.get("keep-alive") or "")
    if match is None:
        return const.DEFAULT_KEEP_ALIVE_S
    return max(0.0, int(match.group(1)) - const.KEEP_ALIVE_MARGIN_S)


def _failure(
    kind: backend_model.FailureKind,
    detail: str,
    report: placement_load.LoadReport | None = None,
    retry_after_s: float = 0.0,
) -> model.AttemptResult:
    return Failure(
        model.AttemptFailure(
            backend_model.BackendFailure(kind, detail, retry_after_s), report
        )
    )


def _describe_error(error: BaseException) -> str:
    cause = getattr(error, "real_error", None) or error
    return str(cause) or type(cause).__name__
