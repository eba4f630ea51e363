"""Proxy requests round robin and first come, first served, as a baseline.

Benchmarks compare the system with this proxy, which has no quotas or ranks. It
speaks the protocol of callers, so that the same load can be sent to it.
"""

import asyncio
import itertools
import json
import pathlib
from typing import NamedTuple

import pydantic
from tornado import httpclient
from tornado import httpserver
from tornado import netutil
from tornado import web
import typer

from samphirelug import const

LOOKUP_KEEP_S = 10.0


class BaselineHost(NamedTuple):
    """Hold the location and URL of a proxy, in place of an entry host."""

    name: str
    availability_zone: str
    region: str
    url: str


class Setup(NamedTuple):
    """Hold the configuration that all proxies share."""

    hosts: list[BaselineHost]
    # Addresses of the backend servers of each work entry.
    servers: dict[str, list[str]]
    # Connections that one proxy may have open to backend servers.
    connections: int


SETUP = pydantic.TypeAdapter(Setup)


class Proxy:
    """Hold the round-robin state and the HTTP client of a proxy process."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.server_cycles = {
            work: itertools.cycle(addresses)
            for work, addresses in setup.servers.items()
        }
        self.lookup_numbers = itertools.count()
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=setup.connections
        )


class LookupHandler(web.RequestHandler):
    """Answer look-ups with proxies, round robin."""

    def initialize(self, *, proxy: Proxy) -> None:
        """Set the proxy that all handlers share."""
        self.proxy = proxy

    def get(self, work: str) -> None:
        """Write the look-up answer."""
        hosts = self.proxy.setup.hosts
        first = next(self.proxy.lookup_numbers) % len(hosts)
        order = hosts[first:] + hosts[:first]
        self.write(
            {
                "work": work,
                "keep_s": LOOKUP_KEEP_S,
                "entry_hosts": [host._asdict() for host in order[:4]],
            }
        )


class RunHandler(web.RequestHandler):
    """Forward a request to the next backend server, round robin."""

    def initialize(self, *, proxy: Proxy) -> None:
        """Set the proxy that all handlers share."""
        self.proxy = proxy
        self.task: asyncio.Task[None] | None = None

    def on_connection_close(self) -> None:
        """Cancel the request when the caller closes the connection."""
        if self.task is not None:
            self.task.cancel()

    async def post(self, work: str) -> None:
        """Forward the request and return the server's answer."""
        self.task = asyncio.current_task()
        deadline_s = (
            float(self.request.headers[const.HEADER_DEADLINE_MS]) / 1000
        )
        address = next(self.proxy.server_cycles[work])
        try:
            response = await self.proxy.client.fetch(
                httpclient.HTTPRequest(
                    f"http://{address}/",
                    method="POST",
                    body=self.request.body,
                    headers=self.request.headers,
                    connect_timeout=deadline_s,
                    request_timeout=deadline_s,
                ),
                raise_error=False,
            )
        except httpclient.HTTPError:
            self._fail("BASELINE_TIMEOUT")
            return
        except OSError:
            self._fail("BASELINE_NO_SERVER")
            return
        except asyncio.CancelledError:
            return
        self.set_status(response.code)
        self.finish(response.body)

    def _fail(self, name: str) -> None:
        self.set_status(504)
        self.finish(
            json.dumps({"code": 1, "name": name, "effect": "outcome_unknown"})
        )


def main(setup: pathlib.Path, port: int) -> None:
    """Serve one proxy until it is stopped."""

    # All addresses are numeric, which the default resolver would still pass
    # to a thread.
    netutil.Resolver.configure("tornado.netutil.BlockingResolver")
    settings = SETUP.validate_json(setup.read_bytes())

    async def serve() -> None:
        proxy = Proxy(settings)
        arguments = {"proxy": proxy}
        application = web.Application(
            [
                (r"/v1/lookup/([^/]+)", LookupHandler, arguments),
                (r"/v1/run/([^/]+)/", RunHandler, arguments),
            ],
            log_function=lambda _: None,
        )
        server = httpserver.HTTPServer(application)
        server.add_sockets(
            netutil.bind_sockets(port, "127.0.0.1", backlog=1024)
        )
        print("ready", flush=True)
        await asyncio.Event().wait()

    asyncio.run(serve())


if __name__ == "__main__":
    typer.run(main)
