"""Send calls to the store over HTTP.

When there is no answer, the result says whether the store may have received
the call, since a write may then have taken effect.
"""

from collections.abc import Mapping
import socket
from types import MappingProxyType
from typing import Any
from typing import NamedTuple

from tornado import httpclient
from tornado import iostream
from tornado import simple_httpclient
from tornado import tcpclient

# The store answers within milliseconds, so a call that takes this long
# indicates an outage. A slow store must not block the users of this client.
CONNECT_TIMEOUT_S = 0.5
REQUEST_TIMEOUT_S = 2.0
# Lists may take longer: a whole catalogue can have many megabytes.
LIST_TIMEOUT_S = 10.0
# A watch that is given up keeps its place until the store answers it.
MAX_CONCURRENT_CALLS = 128
# Messages of the HTTP client's timeouts that occur before a call is sent.
UNSENT_TIMEOUT_MESSAGES = (
    "Timeout while connecting",
    "Timeout in request queue",
)
# These detect a broken connection of a waiting watch within about three
# seconds, since changes have to be in force soon after they are made.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2


class StoreTimeouts(NamedTuple):
    """Limit the time of calls to the store, in seconds."""

    connect_s: float = CONNECT_TIMEOUT_S
    request_s: float = REQUEST_TIMEOUT_S
    list_s: float = LIST_TIMEOUT_S


class Reply(NamedTuple):
    """Hold the status, body and header fields of an HTTP answer."""

    status: int
    body: bytes
    headers: Mapping[str, str] = MappingProxyType({})


class NoReply(NamedTuple):
    """Describe why a call to the store has no answer."""

    reason: str
    # Whether the store may have received the call.
    maybe_sent: bool


class KeepAliveTcpClient(tcpclient.TCPClient):
    """Open TCP connections with keep-alive to detect broken connections."""

    async def connect(self, *args: Any, **kwargs: Any) -> iostream.IOStream:
        """Return a connection with short keep-alive intervals."""
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
    """Send HTTP calls to the store."""

    def __init__(self, *, base_url: str, timeouts: StoreTimeouts) -> None:
        self.base_url = base_url.rstrip("/")
        self.timeouts = timeouts
        self.client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_CALLS
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
        """Return the store's answer, or the reason why there is none."""
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
            return NoReply(
                str(error) or type(error).__name__, _maybe_sent(error)
            )
        return Reply(response.code, response.body, response.headers)


def _maybe_sent(error: Exception) -> bool:
    """Return whether parts of the request may have reached the store."""
    if isinstance(error, ConnectionRefusedError | socket.gaierror):
        return False
    return not (
        isinstance(error, simple_httpclient.HTTPTimeoutError)
        and str(error.message) in UNSENT_TIMEOUT_MESSAGES
    )
