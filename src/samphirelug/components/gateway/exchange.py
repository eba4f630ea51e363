"""Handle one HTTP request of a caller."""

import asyncio
import logging

from returns.result import Failure
from returns.result import Result
from returns.result import Success
from tornado import httputil

from samphirelug.components.gateway import model
from samphirelug.components.gateway import parsing
from samphirelug.components.gateway import rendering
from samphirelug.components.gateway import service as service_module
from samphirelug import const
from samphirelug import core
from samphirelug import result_codes

_LOGGER = logging.getLogger(__name__)
# Statuses of responses without a body and Content-Length.
BODYLESS_STATUSES = frozenset({204, 304})
# The colon, space and CRLF of a header field.
HEADER_FRAMING_BYTES = 4


class CallerExchange(httputil.HTTPMessageDelegate):
    """Check the headers, read the body, run the request and respond."""

    def __init__(
        self,
        *,
        service: service_module.CallerService,
        rank: core.Rank,
        connection: httputil.HTTPConnection,
    ) -> None:
        self.service = service
        self.rank = rank
        self.connection = connection
        self.started_at_s = 0.0
        self.request_id = "-"
        self.work = "-"
        # Set for requests to run that passed the check of their headers.
        self.request: service_module.CheckedRequest | None = None
        self.run_token: str | None = None
        self.header_fields: list[tuple[str, str]] = []
        self.chunks: list[bytes] = []
        self.received_bytes = 0
        # True from header block to response. An idle keep-alive connection
        # also has an exchange, which waits for the next header block.
        self.in_flight = False
        self.answered = False
        self.task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Check the request by its headers, before its body is read."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self.started_at_s = self.service.timer.monotonic()
        self.in_flight = True
        self.service.in_flight += 1
        self.request_id = headers.get(const.HEADER_REQUEST_ID) or "-"
        size = len(start_line.path) + sum(
            len(name) + len(value) + HEADER_FRAMING_BYTES
            for name, value in headers.get_all()
        )
        if size > const.MAX_HEADER_BYTES:
            self._refuse(
                result_codes.Refusal(
                    result_codes.ResultCode.HEADERS_TOO_LARGE,
                    f"header block is {size} bytes; allowed is "
                    f"{const.MAX_HEADER_BYTES}",
                )
            )
            return
        parsed = parsing.parse_route(start_line.method, start_line.path)
        if isinstance(parsed, Failure):
            self._refuse(parsed.failure())
            return
        route = parsed.unwrap()
        if isinstance(route, model.LookupRoute):
            self._answer_lookup(route)
            return
        if isinstance(route, model.OutcomeRoute):
            self.run_token = headers.get(const.HEADER_RUN_TOKEN) or ""
            return
        self.work = route.work
        checked = self.service.check_headers(
            rank=self.rank,
            method=start_line.method,
            route=route,
            fields=headers,
        )
        if isinstance(checked, Failure):
            self._refuse(checked.failure())
            return
        self.request = checked.unwrap()
        self.request_id = self.request.headers.request_id
        self.header_fields = list(headers.get_all())

    def data_received(self, chunk: bytes) -> None:
        """Collect the body up to the work entry's limit."""
        if self.answered or self.request is None:
            return
        self._add_buffered(len(chunk))
        if self.received_bytes > self.request.max_body_bytes:
            self._refuse(
                result_codes.Refusal(
                    result_codes.ResultCode.BODY_TOO_LARGE,
                    f"body exceeds {self.request.max_body_bytes} bytes",
                )
            )
            return
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Run the request, now that it has been received completely."""
        if self.answered:
            return
        set_close_callback = getattr(
            self.connection, "set_close_callback", None
        )
        if set_close_callback is not None:
            set_close_callback(self.on_connection_close)
        self.task = asyncio.get_running_loop().create_task(self._run())

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        self._end_exchange()
        self._add_buffered(-self.received_bytes)
        if self.task is not None and not self.task.done():
            self.task.cancel()

    async def _run(self) -> None:
        try:
            result = await self._get_result()
        except asyncio.CancelledError:
            self._record_metrics(result_codes.ResultCode.CALLER_GONE)
            raise
        except Exception:
            _LOGGER.exception(
                "unexpected error in request %s", self.request_id
            )
            result = Failure(
                result_codes.Refusal(
                    result_codes.ResultCode.INTERNAL_ERROR,
                    "internal error; see the log of the entry host",
                )
            )
        finally:
            self._add_buffered(-self.received_bytes)
        if isinstance(result, Success):
            self._answer(result.unwrap())
        else:
            self._refuse(result.failure())

    async def _get_result(self) -> Result[core.Answer, result_codes.Refusal]:
        if self.request is None:
            return await self.service.executor.outcome(self.run_token or "")
        body = b"".join(self.chunks)
        self.chunks.clear()
        return await self.service.run(
            request=self.request,
            rank=self.rank,
            header_fields=self.header_fields,
            body=body,
        )

    def _answer_lookup(self, route: model.LookupRoute) -> None:
        self.work = route.work
        result = self.service.look_up(route)
        if isinstance(result, Failure):
            self._refuse(result.failure())
            return
        body = rendering.render_lookup(result.unwrap())
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Cache-Control": "no-store",
            }
        )
        self._write(200, "OK", headers, body)

    def _answer(self, answer: core.Answer) -> None:
        self._record_metrics(result_codes.ResultCode.OK)
        headers = httputil.HTTPHeaders()
        for name, value in answer.headers:
            headers.add(name, value)
        headers[const.HEADER_REQUEST_ID] = self.request_id
        self._write(answer.status, answer.reason, headers, answer.body)

    def _refuse(self, refusal: result_codes.Refusal) -> None:
        if self.answered:
            return
        self._record_metrics(refusal.code)
        self.service.metrics.count_refusal(refusal.code, self.rank)
        self.service.refusal_log.write(
            refusal,
            rank=self.rank,
            work=self.work,
            request_id=self.request_id,
        )
        line, headers, body = rendering.render_refusal(
            refusal, self.request_id
        )
        self._write(line.code, line.reason, headers, body)

    def _write(
        self,
        status: int,
        reason: str,
        headers: httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        if self.answered:
            return
        self._end_exchange()
        if status not in BODYLESS_STATUSES:
            headers["Content-Length"] = str(len(body))
        line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self.connection.write_headers(line, headers, body)
        self.connection.finish()

    def _end_exchange(self) -> None:
        self.answered = True
        if self.in_flight:
            self.in_flight = False
            self.service.in_flight -= 1

    def _add_buffered(self, size: int) -> None:
        self.received_bytes += size
        self.service.buffered_bytes += size

    def _record_metrics(self, code: result_codes.ResultCode) -> None:
        if self.request is None:
            return
        self.service.metrics.observe_request(
            work=self.work,
            rank=self.rank,
            code=code,
            seconds=self.service.timer.monotonic() - self.started_at_s,
        )
