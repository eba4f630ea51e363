"""Render refusals and look-up answers as JSON."""

import math

import orjson
from tornado import httputil

from samphirelug.components.gateway import const as gateway_const
from samphirelug.components.steering import model as steering_model
from samphirelug import const
from samphirelug import result_codes


def render_refusal(
    refusal: result_codes.Refusal, request_id: str
) -> tuple[httputil.ResponseStartLine, httputil.HTTPHeaders, bytes]:
    """Return the start line, header fields and body of a refusal."""
    code = refusal.code
    body = orjson.dumps(
        {
            "code": int(code),
            "name": code.name,
            "effect": code.effect.value,
            "detail": refusal.detail,
            "retry_after_s": refusal.retry_after_s,
            "request_id": request_id,
        }
    )
    headers = httputil.HTTPHeaders()
    headers["Content-Type"] = "application/json"
    headers["Content-Length"] = str(len(body))
    headers[const.HEADER_REQUEST_ID] = request_id
    if refusal.retry_after_s > 0.0:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    elif code.http_status == 503:
        headers["Retry-After"] = str(
            math.ceil(gateway_const.DEFAULT_RETRY_AFTER_S)
        )
    line = httputil.ResponseStartLine(
        "HTTP/1.1", code.http_status, code.name.replace("_", " ").title()
    )
    return line, headers, body


def render_lookup(answer: steering_model.LookupAnswer) -> bytes:
    """Return a look-up answer as JSON."""
    document = answer._asdict()
    document["rank"] = answer.rank.label
    document["entry_hosts"] = [host._asdict() for host in answer.entry_hosts]
    if answer.run_token is None:
        del document["run_token"]
    return orjson.dumps(document)
