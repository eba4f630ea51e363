"""Provide a fake store and entry host that commands can call."""

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
    """Answer requests with configured answers, by path and query."""

    def __init__(self) -> None:
        # Status and body by path with query.
        self.answers: dict[str, tuple[int, Any]] = {}
        self.url = ""


class _Handler(tornado.web.RequestHandler):
    def initialize(self, entry_host: FakeEntryHost) -> None:
        """Store the host whose answers are served."""
        self.entry_host = entry_host

    def get(self) -> None:
        """Write the answer configured for the path and query, or 404."""
        status, body = self.entry_host.answers.get(
            self.request.uri or "", (404, {})
        )
        self.set_status(status)
        self.finish(json.dumps(body))


class CommandEnvironment:
    """Run commands against a fake store and a fake entry host."""

    def __init__(self) -> None:
        self.store = store_standin.StoreCore()
        self.store_url = ""
        self.entry_host = FakeEntryHost()

    def run(self, *arguments: str) -> Any:
        """Run a command and return its result."""
        return typer.testing.CliRunner().invoke(
            __main__.app, list(arguments), env={"COLUMNS": "200"}
        )

    def catalogue(self, command: str, *arguments: str) -> Any:
        """Run a catalogue command against the store."""
        return self.run(
            "catalogue", command, "--store-url", self.store_url, *arguments
        )


@pytest.fixture
def environment() -> Iterator[CommandEnvironment]:
    """Serve the fake store and entry host from a separate thread."""
    environment = CommandEnvironment()
    loop = asyncio.new_event_loop()

    async def start() -> None:
        port = store_standin.listen(environment.store, port=0)
        environment.store_url = f"http://127.0.0.1:{port}"
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        server = tornado.httpserver.HTTPServer(
            tornado.web.Application(
                [(r".*", _Handler, {"entry_host": environment.entry_host})],
                log_function=lambda _: None,
            )
        )
        server.add_sockets(sockets)
        environment.entry_host.url = (
            f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        )

    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    asyncio.run_coroutine_threadsafe(start(), loop).result(timeout=5.0)
    yield environment
    loop.call_soon_threadsafe(loop.stop)
    thread.join(timeout=5.0)
