"""Run the commands against stand-ins on loopback."""

import asyncio
from collections.abc import Iterator
import json
import threading
from typing import Any

import pytest
import tornado.httpserver
import tornado.netutil
import tornado.web
import typer.testing

from samphirelug import __main__
from standins import store as store_standin


class FakeEntryHost:
    """Give set answers by path, as an entry host would."""

    def __init__(self) -> None:
        self.answers: dict[str, tuple[int, Any]] = {}
        self.url = ""


class _Handler(tornado.web.RequestHandler):
    def initialize(self, host: FakeEntryHost) -> None:
        """Take the set answers."""
        self.host = host

    def get(self) -> None:
        """Give the answer that is set for the path and query."""
        status, body = self.host.answers.get(self.request.uri or "", (404, {}))
        self.set_status(status)
        self.finish(json.dumps(body))


class Servers:
    """Hold the stand-ins that one test's commands talk to."""

    def __init__(self) -> None:
        self.core = store_standin.StoreCore()
        self.store_url = ""
        self.host = FakeEntryHost()

    def run(self, *arguments: str) -> Any:
        """Run a command line and return its result."""
        return typer.testing.CliRunner().invoke(
            __main__.app, list(arguments), env={"COLUMNS": "200"}
        )

    def catalogue(self, command: str, *arguments: str) -> Any:
        """Run a catalogue command against the store."""
        return self.run(
            "catalogue", command, "--store-url", self.store_url, *arguments
        )


@pytest.fixture
def servers() -> Iterator[Servers]:
    """Serve the stand-ins on a loop of their own."""
    found = Servers()
    loop = asyncio.new_event_loop()

    async def start() -> None:
        port = store_standin.listen(found.core, port=0)
        found.store_url = f"http://127.0.0.1:{port}"
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        server = tornado.httpserver.HTTPServer(
            tornado.web.Application(
                [(r".*", _Handler, {"host": found.host})],
                log_function=lambda _: None,
            )
        )
        server.add_sockets(sockets)
        found.host.url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"

    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    asyncio.run_coroutine_threadsafe(start(), loop).result(timeout=5.0)
    yield found
    loop.call_soon_threadsafe(loop.stop)
    thread.join(timeout=5.0)
