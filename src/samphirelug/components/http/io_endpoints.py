"""Listen for requests without bodies, such as look-ups and metrics."""

from tornado import httpserver
from tornado import web

from samphirelug.components.http import const
from samphirelug.components.http import io_accept


class EndpointServer(io_accept.PausingServer, httpserver.HTTPServer):
    """Serve HTTP requests, and pause without descriptors."""


def listen(
    application: web.Application,
    *,
    host: str,
    port: int,
    max_buffer_bytes: int = const.ENDPOINT_BUFFER_BYTES,
) -> httpserver.HTTPServer:
    """Serve an application on an address; longer requests get status 400."""
    server = EndpointServer(
        application,
        max_buffer_size=max_buffer_bytes,
        max_header_size=const.DEFAULT_HEADER_BYTES,
        max_body_size=const.ENDPOINT_BODY_BYTES,
        body_timeout=const.DEFAULT_HEADER_TIMEOUT_S,
    )
    server.listen(port, host)
    return server
