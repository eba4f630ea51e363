"""Accept callers' connections, and answer pipelined requests in order."""

import abc
import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
import http.client
import logging
import socket

from tornado import iostream
from tornado import netutil

from samphirelug.components.http import body_buffer
from samphirelug.components.http import connection_account
from samphirelug.components.http import const
from samphirelug.components.http import held_memory
from samphirelug.components.http import io_accept
from samphirelug.components.http import io_connection
from samphirelug.components.http import model
from samphirelug.components.http import request_parser
from samphirelug.components.http import unread_answer
from samphirelug.components.routing import model as routing_model
from samphirelug.helpers import log_rate
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
DEFAULT_LIMITS = routing_model.CallerLimits(
    max_header_bytes=const.DEFAULT_HEADER_BYTES,
    max_body_bytes=const.DEFAULT_BODY_BYTES,
    header_timeout_s=const.DEFAULT_HEADER_TIMEOUT_S,
    idle_timeout_s=const.DEFAULT_IDLE_TIMEOUT_S,
)


class RequestHandler(abc.ABC):
    """Answer the requests of callers."""

    @abc.abstractmethod
    def may_run_concurrently(
        self, message: request_parser.CallerMessage
    ) -> bool:
        """Return whether the request may start before earlier ones end."""

    @abc.abstractmethod
    def cancel_on_disconnect(
        self, message: request_parser.CallerMessage
    ) -> bool:
        """Return whether to cancel the request if its caller disconnects."""

    @abc.abstractmethod
    async def handle(
        self, message: request_parser.CallerMessage
    ) -> model.Response:
        """Return the response to a request."""


class PendingRequest:
    """Hold a request until its response is written."""

    def __init__(
        self, *, message: request_parser.CallerMessage, keep_alive: bool
    ) -> None:
        self.message = message
        self.keep_alive = keep_alive
        # Bytes of memory that the request takes.
        self.size = body_buffer.message_size(
            headers=message.headers, body=message.body
        )
        self.task: asyncio.Task[model.Response] | None = None
        # Set from the end of the task until the response has been written.
        self.answer: unread_answer.UnreadAnswer | None = None
        # Whether no response can be written any more.
        self.discarded = False


class CallerConnection(connection_account.HeldConnection):
    """Serve the requests of one connection of a caller."""

    def __init__(
        self,
        *,
        stream: iostream.IOStream,
        listener: "CallerListener",
        peer: str,
    ) -> None:
        self.stream = stream
        self.listener = listener
        self.listener_name = listener.name
        self.peer = peer
        self.parser = request_parser.RequestParser(
            limits=listener.limits,
            timer=listener.timer,
            on_rejected=self._refuse_for_memory,
        )
        self.pending: collections.deque[PendingRequest] = collections.deque()
        # Set when there may be a response to write.
        self.writer_wakeup = asyncio.Event()
        # Cleared while as many requests are pending as may be.
        self.can_read = asyncio.Event()
        self.can_read.set()
        # Bytes that were read beyond these requests.
        self.unparsed = b""
        self.opened_at_s = listener.timer.monotonic()
        self.idle_since_s = self.opened_at_s
        # When the caller last completed a request, sent a part of one that
        # counts, or read a part of a response; and what it sent since then.
        self.progress_at_s = self.opened_at_s
        self.progress_bytes = 0
        # When the caller last read a part of a response; None while none is
        # being written.
        self.read_at_s: float | None = None
        # Status of the error response that ends the connection, if any.
        self.error_status: int | None = None
        self.closing = False

    async def serve(self) -> None:
        """Read requests and write responses until either side closes."""
        writer = asyncio.ensure_future(self._write_responses())
        try:
            await self._read_requests()
        except (OSError, iostream.StreamClosedError):
            _LOGGER.debug("caller closed the connection")
        finally:
            writer.cancel()
            self.listener.memory.release(self.parser)
            self._discard_pending()
            self.close()

    @property
    def overhead_bytes(self) -> int:
        """Return the bytes that it takes besides its messages."""
        return (
            const.CONNECTION_BYTES
            + const.PENDING_BYTES * len(self.pending)
            + len(self.unparsed)
            + self.parser.framing_bytes
        )

    @property
    def held_bytes(self) -> int:
        """Return the bytes that it takes with its messages."""
        return (
            self.overhead_bytes
            + self.parser.held_bytes
            + sum(
                pending.size if pending.answer is None else pending.answer.size
                for pending in self.pending
            )
        )

    def stalled_s(self, now: float) -> float | None:
        """Return for how long the caller has moved nothing.

        None while it waits for an answer.
        """
        if self.read_at_s is not None:
            return now - self.read_at_s
        if self.pending:
            return None
        if self.parser.started_at_s is None and self._has_unread_bytes():
            # A request has just arrived.
            return 0.0
        return now - self.progress_at_s

    def close_for_room(self) -> None:
        """Close at once; the listener counts it no longer."""
        self.listener.connections.discard(self)
        self.close()

    def _record_progress(self) -> None:
        self.progress_at_s = self.listener.timer.monotonic()
        self.progress_bytes = 0

    def close(self) -> None:
        """Close at once; requests that have not started are dropped."""
        self.closing = True
        self.stream.close()
        # Reading ends too if it waits until responses have been written.
        self.can_read.set()

    async def _read_requests(self) -> None:
        while True:
            await self.can_read.wait()
            # Nothing more is read while requests wait that were read before.
            data, self.unparsed = self.unparsed, b""
            if not data:
                data = await self._read()
            if self.closing or self.error_status is not None:
                # Discard the data. Closing the socket with unread data would
                # reset the connection, and the caller could lose the last
                # response.
                await self._let_others_run()
                continue
            if not self._receive(data):
                await self._let_others_run()

    def _receive(self, data: bytes) -> bool:
        """Parse received bytes; return whether they complete a request.

        Nothing here may outlive the call but what the parser and the pending
        requests hold: an idle connection would keep its last request.
        """
        length = request_parser.length_of_requests(
            data, max_requests=max(1, self._max_pending - len(self.pending))
        )
        self.unparsed = data[length:]
        self.progress_bytes += length
        try:
            self.parser.feed(data[:length])
        except request_parser.RequestError as error:
            self.error_status = error.status
        has_completed = bool(self.parser.completed)
        # Complete requests are counted when they are added to the pending.
        self.listener.memory.update(self.parser)
        for message, keep_alive in self.parser.completed:
            self._enqueue(message, keep_alive)
        self.parser.completed.clear()
        if has_completed or self.progress_bytes >= const.PROGRESS_BYTES:
            self._record_progress()
        self.listener.account.update(self)
        self._send_continue()
        if self.error_status is not None:
            self.parser.discard()
            self.listener.memory.release(self.parser)
            self.writer_wakeup.set()
        return has_completed

    @property
    def _max_pending(self) -> int:
        """Return how many requests may be read ahead of their answers."""
        return 1 if self.listener.account.is_over else const.MAX_PIPELINED

    async def _read(self) -> bytes:
        size = (
            const.READ_CHUNK_BYTES
            if self.parser.has_head
            else const.HEAD_CHUNK_BYTES
        )
        self.stream.read_chunk_size = size
        data: bytes = await self.stream.read_bytes(size, partial=True)
        return data

    def _refuse_for_memory(self, reason: held_memory.Reason) -> None:
        self.listener.log_rejection("not enough memory for a request", reason)
        self.error_status = 503
        self.writer_wakeup.set()

    def _send_continue(self) -> None:
        """Let the caller send a body, once earlier responses are written."""
        is_writing = self.read_at_s is not None
        if (
            self.parser.expects_continue
            and not self.pending
            and not is_writing
        ):
            self.parser.expects_continue = False
            self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _let_others_run(self) -> None:
        """Return to the event loop between two reads.

        A read returns at once while bytes are waiting, so that a caller that
        sends without pause would block the event loop.
        """
        await self.listener.timer.sleep(0)

    def _enqueue(
        self, message: request_parser.CallerMessage, keep_alive: bool
    ) -> None:
        if self.closing:
            return
        pending = PendingRequest(message=message, keep_alive=keep_alive)
        self.listener.memory.hold(pending.size)
        self.pending.append(pending)
        self._start_runnable()
        if len(self.pending) >= self._max_pending:
            self.can_read.clear()
        self.writer_wakeup.set()

    def _start_runnable(self) -> None:
        handler = self.listener.handler
        for index, pending in enumerate(self.pending):
            if pending.task is not None:
                continue
            if index and not handler.may_run_concurrently(pending.message):
                # Must not start yet: an earlier response may close the
                # connection, and the caller would send this request again.
                break
            pending.task = asyncio.ensure_future(
                handler.handle(pending.message)
            )
            pending.task.add_done_callback(
                functools.partial(self._handle_ended, pending=pending)
            )
            if not pending.keep_alive:
                break

    def _handle_ended(
        self, task: "asyncio.Task[model.Response]", *, pending: PendingRequest
    ) -> None:
        """Hold and count the response in place of its request."""
        self.listener.memory.drop(pending.size)
        pending.message = pending.message._replace(body=b"")
        if pending.discarded or task.cancelled() or task.exception():
            return
        response = task.result()
        pending.answer = unread_answer.UnreadAnswer(
            size=body_buffer.message_size(
                headers=response.headers, body=response.body
            ),
            is_stalled=self._is_stalled,
            on_rejected=self._give_up_unread,
        )
        self.listener.answer_memory.update(pending.answer)

    def _is_stalled(self) -> bool:
        """Return whether the caller has read nothing for a while."""
        now = self.listener.timer.monotonic()
        return (
            self.read_at_s is not None
            and now - self.read_at_s > const.UNREAD_AFTER_S
        )

    def _give_up_unread(self, reason: held_memory.Reason) -> None:
        self.listener.log_rejection(
            "caller does not read its response", reason
        )
        self.close()

    async def _write_responses(self) -> None:
        try:
            await self._write_in_order()
        except iostream.StreamClosedError:
            _LOGGER.debug(
                "caller disconnected before its response was written"
            )
            self.close()
        except Exception:
            _LOGGER.exception("unexpected error while writing responses")
            self.close()

    async def _write_in_order(self) -> None:
        while True:
            while not self.pending:
                self._send_continue()
                if self.error_status is not None:
                    self.closing = True
                    await self._write(
                        _error_response(self.error_status), close=True
                    )
                    self._linger()
                    return
                self.writer_wakeup.clear()
                await self.writer_wakeup.wait()
            self._start_runnable()
            if await self._write_first():
                self._linger()
                return

    async def _write_first(self) -> bool:
        """Write the next response; return whether it ends the connection.

        An idle connection keeps neither this response nor its request.
        """
        first = self.pending[0]
        assert first.task is not None
        response = await asyncio.shield(first.task)
        self.pending.popleft()
        if len(self.pending) < self._max_pending:
            self.can_read.set()
        # While draining, close only after the last pending response, as the
        # caller would have to send the requests behind it again.
        close = not first.keep_alive or (
            self.listener.draining and not self.pending
        )
        self.idle_since_s = self.listener.timer.monotonic()
        if close:
            # Requests that arrive from now on are not started; the caller
            # sends them again on another connection.
            self.closing = True
            self._discard_pending()
        try:
            await self._write(
                response, close=close, is_head=first.message.method == "HEAD"
            )
        finally:
            self._release_answer(first)
        self._record_progress()
        self.listener.account.update(self)
        return close

    async def _write(
        self, response: model.Response, *, close: bool, is_head: bool = False
    ) -> None:
        lines = [f"HTTP/1.1 {response.status} {response.reason}"]
        lines += [f"{name}: {value}" for name, value in response.headers]
        # The length in a response without a body by its kind would be that of
        # a body that is not known here.
        if response.body or not (is_head or response.status in (204, 304)):
            lines.append(f"Content-Length: {len(response.body)}")
        if close:
            lines.append("Connection: close")
        head = "\r\n".join(lines) + "\r\n\r\n"
        self.read_at_s = self.listener.timer.monotonic()
        try:
            await self._write_in_steps(
                head.encode("latin-1"), b"" if is_head else response.body
            )
        finally:
            self.read_at_s = None

    async def _write_in_steps(self, head: bytes, body: bytes) -> None:
        step = memoryview(body)[: const.WRITE_STEP_BYTES]
        await io_connection.write(self.stream, head=head, body=step)
        for start in range(len(step), len(body), const.WRITE_STEP_BYTES):
            self.read_at_s = self.listener.timer.monotonic()
            step = memoryview(body)[start : start + const.WRITE_STEP_BYTES]
            await self.stream.write(step)

    def _linger(self) -> None:
        """Shut down sending; close after LINGER_S unless the caller does."""
        if self.stream.closed():
            return
        with contextlib.suppress(OSError):
            self.stream.socket.shutdown(socket.SHUT_WR)
        timer = self.listener.timer
        timer.call_at(
            when_s=timer.monotonic() + const.LINGER_S,
            callback=self.close,
        )

    def _discard_pending(self) -> None:
        """Cancel or detach the requests whose responses cannot be sent."""
        handler = self.listener.handler
        for pending in self.pending:
            pending.discarded = True
            self._release_answer(pending)
            task = pending.task
            if task is None:
                self.listener.memory.drop(pending.size)
                continue
            if handler.cancel_on_disconnect(pending.message):
                task.cancel()
            else:
                self.listener.detach(task)
        self.pending.clear()

    def _release_answer(self, pending: PendingRequest) -> None:
        if pending.answer is not None:
            self.listener.answer_memory.release(pending.answer)
            pending.answer = None

    def is_idle(self) -> bool:
        """Return whether nothing is being received, handled or written."""
        return (
            not self.pending
            and not self.unparsed
            and self.parser.started_at_s is None
            and not self.stream.writing()
            and not self._has_unread_bytes()
        )

    def _has_unread_bytes(self) -> bool:
        """Return whether a request may be waiting in the socket."""
        if self.closing or self.stream.closed():
            return False
        try:
            return bool(self.stream.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def check_timeouts(self, *, now: float) -> None:
        """Answer a slow request with 408; close a connection out of use."""
        limits = self.listener.limits()
        started_at_s = self.parser.started_at_s
        if started_at_s is not None and not self.pending:
            if now - started_at_s > limits.header_timeout_s:
                self.error_status = 408
                self.writer_wakeup.set()
        elif (
            self.read_at_s is not None
            and now - self.read_at_s > limits.idle_timeout_s
        ):
            self._give_up_unread("the idle timeout has passed")
        elif (
            self.is_idle()
            and now - self.idle_since_s
            > limits.idle_timeout_s + const.IDLE_MARGIN_S
        ):
            self.close()


class CallerListener(io_accept.PausingServer):
    """Accept callers' connections on one address."""

    def __init__(
        self,
        *,
        handler: RequestHandler,
        limits: Callable[[], routing_model.CallerLimits],
        timer: timer_helper.TimerService,
        memory: held_memory.HeldMemory,
        answer_memory: held_memory.HeldMemory,
        max_connections: int,
        max_per_peer: int | None = None,
        may_close_active: bool = False,
        account: connection_account.ConnectionAccount | None = None,
        name: str = "callers",
    ) -> None:
        super().__init__(max_buffer_size=2 * const.DEFAULT_BODY_BYTES)
        # The memory of the requests of all connections.
        self.memory = memory
        # The memory of all answers, from the first bytes of a server until
        # callers have read them.
        self.answer_memory = answer_memory
        # The connections of this listener and others of the process. Further
        # ones wait in the queue of the socket.
        self.account = account or connection_account.ConnectionAccount(
            limit_bytes=memory.limit_bytes + answer_memory.limit_bytes,
            messages=(memory, answer_memory),
        )
        self.name = name
        self.account.add_listener(
            name,
            connection_account.ListenerLimits(
                max_connections=max_connections,
                max_per_peer=(
                    max_connections if max_per_peer is None else max_per_peer
                ),
                may_close_active=may_close_active,
            ),
        )
        self.handler = handler
        self.limits = limits
        self.timer = timer
        self.draining = False
        self.log_limiter = log_rate.LogRateLimiter(
            lines_per_s=const.REJECTION_LOG_LINES_PER_S
        )
        self.port = 0
        self.sockets: list[socket.socket] = []
        self.connections: set[CallerConnection] = set()
        self.detached_tasks: set[asyncio.Task[model.Response]] = set()

    def start_listening(self, *, host: str, port: int) -> None:
        """Bind the address and accept connections on the running loop."""
        self.sockets = netutil.bind_sockets(
            port, host, backlog=const.LISTEN_BACKLOG
        )
        self.port = self.sockets[0].getsockname()[1]
        self.add_sockets(self.sockets)
        self.timer.subscribe(
            interval_s=const.TIMEOUT_CHECK_INTERVAL_S,
            callback=self._check_timeouts,
        )

    def has_room(self) -> bool:
        """Return whether a further connection may be accepted."""
        return self.account.has_room(self.name, now=self.timer.monotonic())

    def may_connect(self, peer: str) -> bool:
        """Return whether an address may have a further connection."""
        return self.account.admit(self.name, peer, now=self.timer.monotonic())

    def stop(self) -> None:
        """Stop listening; connections that the kernel has accepted stay.

        Closing the socket would reset those that still wait in its queue,
        although their callers may have sent requests.
        """
        sockets, self.sockets = self.sockets, []
        for sock in sockets:
            with contextlib.suppress(OSError):
                while True:
                    self._handle_connection(*sock.accept())
        super().stop()

    def handle_stream(
        self, stream: iostream.IOStream, address: object
    ) -> Awaitable[None]:
        """Count an accepted connection, and return the task that serves it.

        Many are accepted before the tasks run.
        """
        stream.set_nodelay(True)
        with contextlib.suppress(OSError):
            stream.socket.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_NOTSENT_LOWAT,
                const.UNSENT_BYTES,
            )
        connection = CallerConnection(
            stream=stream, listener=self, peer=io_accept.peer_of(address)
        )
        self.connections.add(connection)
        self.account.add(connection)
        return self._serve(connection)

    async def _serve(self, connection: CallerConnection) -> None:
        try:
            await connection.serve()
        finally:
            self.connections.discard(connection)
            self.account.remove(connection)

    def log_rejection(self, message: str, reason: held_memory.Reason) -> None:
        """Log what a connection lost for a limit, at a bounded rate."""
        left_out = self.log_limiter.try_acquire(self.timer.monotonic())
        if left_out is not None:
            _LOGGER.warning(
                message, extra={"detail": reason, "left_out": left_out}
            )

    def detach(self, task: "asyncio.Task[model.Response]") -> None:
        """Let a request finish although its response cannot be sent."""
        self.detached_tasks.add(task)
        task.add_done_callback(self._finish_detached)

    def close_idle(self, *, min_idle_s: float = 0.0) -> None:
        """Close the connections that have had no request for a while."""
        now = self.timer.monotonic()
        for connection in list(self.connections):
            if (
                connection.is_idle()
                and now - connection.idle_since_s >= min_idle_s
            ):
                connection.close()

    @property
    def busy(self) -> bool:
        """Return whether any request is in progress."""
        return bool(self.detached_tasks) or any(
            not connection.is_idle() for connection in self.connections
        )

    def _finish_detached(self, task: "asyncio.Task[model.Response]") -> None:
        self.detached_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error("detached request failed", exc_info=task.exception())

    def _check_timeouts(self) -> None:
        now = self.timer.monotonic()
        for connection in list(self.connections):
            connection.check_timeouts(now=now)
        self.account.check(now=now)


def _error_response(status: int) -> model.Response:
    reason = http.client.responses.get(status, "Error")
    headers: tuple[tuple[str, str], ...] = ()
    if status == 503:
        headers = (("Retry-After", str(const.MEMORY_RETRY_AFTER_S)),)
    return model.Response(status, reason, headers, b"")
