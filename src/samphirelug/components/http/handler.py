"""Forward HTTP requests of callers and render the responses."""

import asyncio
import http.client
import logging

import orjson
from returns.result import Success

from samphirelug.components.forwarding import forwarder
from samphirelug.components.forwarding import model as forwarding_model
from samphirelug.components.http import io_pipeline
from samphirelug.components.http import model
from samphirelug.components.http import request_parser
from samphirelug.helpers import credentials
from samphirelug.helpers import http_fields
from samphirelug import result_codes

_LOGGER = logging.getLogger(__name__)
# Statuses sent with Retry-After. The request has not run and will not run, so
# the caller may send it again.
RETRY_AFTER_STATUSES = (429, 503)


class ForwardingHandler(io_pipeline.RequestHandler):
    """Forward the requests of callers by the configured routes."""

    def __init__(
        self,
        *,
        forwarder: forwarder.Forwarder,
        names: model.HeaderNames,
    ) -> None:
        self.forwarder = forwarder
        self.names = names
        # Only the digest of the key is passed on, and the team is set anew.
        self.removed_fields = frozenset((names.credential, names.team))

    def may_run_concurrently(
        self, message: request_parser.CallerMessage
    ) -> bool:
        """Return whether the request is idempotent."""
        route = self.forwarder.find_route(
            hostname=_hostname(message), target=message.target
        )
        return route is not None and route.idempotent

    def cancel_on_disconnect(
        self, message: request_parser.CallerMessage
    ) -> bool:
        """Return whether cancelling is safe, as for idempotent requests."""
        return self.may_run_concurrently(message)

    async def handle(
        self, message: request_parser.CallerMessage
    ) -> model.Response:
        """Return the server's answer or a refusal as a response."""
        request = self._parse(message)
        if request is None:
            refusal = result_codes.Refusal(
                result_codes.ResultCode.MALFORMED_REQUEST,
                "the request has no ID, not one host name, or a malformed"
                " deadline",
            )
            return self._render_refusal(refusal, "")
        try:
            result = await self.forwarder.forward(request)
        except asyncio.CancelledError:
            raise
        except Exception:
            _LOGGER.exception(
                "request failed in this process",
                extra={"request_id": request.request_id[:128]},
            )
            refusal = result_codes.Refusal(
                result_codes.ResultCode.INTERNAL_ERROR,
                "internal error; see the log of the entry host",
            )
            return self._render_refusal(refusal, request.request_id)
        if not isinstance(result, Success):
            return self._render_refusal(result.failure(), request.request_id)
        answer = result.unwrap()
        return model.Response(
            answer.status, answer.reason, answer.headers, answer.body
        )

    def _parse(
        self, message: request_parser.CallerMessage
    ) -> forwarding_model.ReceivedRequest | None:
        request_id = message.get(self.names.request_id)
        hostname = _hostname(message)
        # A server might take another host name than this process.
        if len(message.get_all("host")) > 1:
            return None
        if not request_id or not hostname:
            return None
        deadline_at_s = None
        deadline = message.get(self.names.deadline_ms)
        if deadline is not None:
            deadline_ms = http_fields.parse_whole(deadline)
            if deadline_ms is None:
                return None
            deadline_at_s = message.received_at_s + deadline_ms / 1000
        return forwarding_model.ReceivedRequest(
            request_id=request_id,
            method=message.method,
            target=message.target,
            hostname=hostname,
            headers=http_fields.without_spellings(
                message.headers, names=self.removed_fields
            ),
            body=message.body,
            affinity_key=self._affinity_key(message),
            received_at_s=message.received_at_s,
            deadline_at_s=deadline_at_s,
            key_digest=self._key_digest(message),
        )

    def _key_digest(self, message: request_parser.CallerMessage) -> str | None:
        keys = message.get_all(self.names.credential)
        if not keys:
            return None
        if len(keys) > 1:
            return ""
        # The parser leaves white space behind a value.
        return credentials.digest(keys[0].strip(" \t").encode("latin-1"))

    def _affinity_key(self, message: request_parser.CallerMessage) -> str:
        header = message.get("cookie")
        if header is None:
            return ""
        for part in header.split(";"):
            name, _, value = part.strip().partition("=")
            if name == self.names.affinity_cookie:
                return value
        return ""

    def _render_refusal(
        self, refusal: result_codes.Refusal, request_id: str
    ) -> model.Response:
        code = refusal.code
        status = code.http_status
        headers = [("Content-Type", "application/json")]
        if request_id:
            headers.append((self.names.request_id, request_id))
        if status in RETRY_AFTER_STATUSES and refusal.retry_after_s > 0.0:
            headers.append(("Retry-After", f"{refusal.retry_after_s:.3f}"))
        body = orjson.dumps(
            {
                "code": int(code),
                "name": code.name,
                "effect": code.effect.value,
                "detail": refusal.detail,
            }
        )
        reason = http.client.responses.get(status, "Error")
        return model.Response(status, reason, tuple(headers), body)


def _hostname(message: request_parser.CallerMessage) -> str:
    return (message.get("host") or "").partition(":")[0]
