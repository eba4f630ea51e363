"""Test the listeners for callers over real connections."""

import asyncio
import json
from typing import Any

from tornado import httpclient

from samphirelug.components.gateway import const as gateway_const
from samphirelug.components.gateway import io_server
from samphirelug.components.metrics import registry
from samphirelug import core
from samphirelug.helpers import logging as logging_helper
from samphirelug.helpers import timer
from samphirelug import result_codes


class FakeService:
    """Provide the attributes that refusing a request uses."""

    def __init__(self) -> None:
        self.metrics = registry.Metrics()
        self.timer = timer.LoopTimerService()
        self.in_flight = 0
        self.buffered_bytes = 0
        self.refusal_log = logging_helper.RefusalLog(timer_service=self.timer)


def make_listener() -> io_server.RankListener:
    """Return a started listener for the least urgent rank."""
    listener = io_server.RankListener(
        rank=core.Rank.EXPORT, address="127.0.0.1", port=0
    )
    service: Any = FakeService()
    listener.start(service)
    return listener


async def fetch(port: int) -> httpclient.HTTPResponse:
    """Send a request with an unknown path."""
    client = httpclient.AsyncHTTPClient(force_instance=True)
    try:
        return await client.fetch(
            f"http://127.0.0.1:{port}/nowhere", raise_error=False
        )
    finally:
        client.close()


def test_closed_connections_are_not_counted() -> None:
    """Guard against a listener that counts closed connections as open."""

    async def run() -> None:
        listener = make_listener()
        for _ in range(5):
            await fetch(listener.port)
        # The server handles the last close in a later loop iteration.
        for _ in range(200):
            if not listener.server.open_connections:
                break
            await asyncio.sleep(0.01)
        assert listener.server.open_connections == 0
        assert listener.service.in_flight == 0
        listener.stop_accepting()
        await listener.close()

    asyncio.run(run())


def test_full_listener_refuses_with_a_code(monkeypatch: Any) -> None:
    """Guard against closing a connection without a result code."""
    monkeypatch.setitem(gateway_const.MAX_CONNECTIONS, core.Rank.EXPORT, 0)

    async def run() -> None:
        listener = make_listener()
        response = await fetch(listener.port)
        body = json.loads(response.body)
        code = result_codes.ResultCode.TOO_MANY_CONNECTIONS
        assert response.code == code.http_status
        assert body["code"] == code
        assert body["effect"] == "not_run"
        assert int(response.headers["Retry-After"]) > 0
        listener.stop_accepting()
        await listener.close()

    asyncio.run(run())


def test_rejected_header_blocks_get_a_code() -> None:
    """Guard against the bare 400 of tornado, which has no result code."""

    async def run(request: bytes) -> int:
        listener = make_listener()
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listener.port
        )
        writer.write(request)
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split()[0])
        body = json.loads(await reader.readexactly(length))
        writer.close()
        listener.stop_accepting()
        await listener.close()
        assert body["effect"] == "not_run"
        return int(body["code"])

    code = result_codes.ResultCode
    assert asyncio.run(run(b"nonsense\r\n\r\n")) == code.MALFORMED_REQUEST
    large = b"GET / HTTP/1.1\r\nHost: a\r\nX-A: %b\r\n\r\n" % (b"x" * 20_000)
    assert asyncio.run(run(large)) == code.HEADERS_TOO_LARGE
