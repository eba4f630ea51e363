"""Carry calls to the store over HTTP, and tell lost calls from unsent."""

import socket
from typing import Any
from typing import NamedTuple

from tornado import httpclient
from tornado import iostream
from tornado import simple_httpclient
from tornado import tcpclient

# The store answers in milliseconds; a call that takes this long has met an
# outage, and a slow store must not hold the callers of this client.
CONNECT_TIMEOUT_S = 0.5
REQUEST_TIMEOUT_S = 2.0
# A whole catalogue can be many megabytes.
LIST_TIMEOUT_S = 10.0
MAX_CALLS_AT_ONCE = 32
# The client raises time-outs before anything was sent with these messages.
UNSENT_TIMEOUTS = ("Timeout while connecting", "Timeout in request queue")
# A waiting watch whose connection has gone silent is noticed within about
# three seconds; changes have to be in force soon after.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2


class StoreTimeouts(NamedTuple):
    """Bound the time of calls to the store, in seconds."""

    connect_s: float = CONNECT_TIMEOUT_S
    request_s: float = REQUEST_TIMEOUT_S
    list_s: float = LIST_TIMEOUT_S


class Reply(NamedTuple):
    """Hold an HTTP answer's status and body."""

    status: int
    body: bytes


class NoReply(NamedTuple):
    """Tell why no answer came, and whether the store may have the call."""

    reason: str
    maybe_sent: bool


class KeepAliveTcpClient(tcpclient.TCPClient):
    """Open connections that notice a silent peer."""

    async def connect(self, *args: Any, **kwargs: Any) -> iostream.IOStream:
        """Return a connection with short keep-alive probes."""
        stream = await super().connect(*args, **kwargs)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        ):
            stream.socket.setsockopt(socket.IPPROTO_TCP, option, value)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        return stream


class StoreTransport:
    """Send calls to the store."""

    def __init__(self, *, base_url: str, timeouts: StoreTimeouts) -> None:
        self.base_url = base_url.rstrip("/")
        self.timeouts = timeouts
        self.client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CALLS_AT_ONCE
        )
        self.client.tcp_client = KeepAliveTcpClient(
            resolver=self.client.resolver
        )

    def close(self) -> None:
        """Release the client's resources."""
        self.client.close()

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Reply | NoReply:
        """Return the store's answer or why there is none."""
        request = httpclient.HTTPRequest(
            f"{self.base_url}{path}",
            method=method,
            body=body,
            headers=headers,
            connect_timeout=min(self.timeouts.connect_s, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
        except (httpclient.HTTPError, OSError) as error:
            return NoReply(str(error) or type(error).__name__, _sent(error))
        return Reply(response.code, response.body)


def _sent(error: Exception) -> bool:
    """Tell whether bytes of the request may have reached the store."""
    if isinstance(error, ConnectionRefusedError | socket.gaierror):
        return False
    return not (
        isinstance(error, simple_httpclient.HTTPTimeoutError)
        and str(error.message) in UNSENT_TIMEOUTS
    )
