"""Stand in for the platform's metadata store, with faults on demand."""

import asyncio
import random
from typing import Any

import orjson
from tornado import httpserver
from tornado import web

ROUTE = r"/-/objects/([^/]+)(?:/([^/]+))?"


class ObjectBook:
    """Hold objects, their history and the faults in force."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        # Revision, kind and event of each change.
        self.history: list[tuple[int, str, dict[str, Any]]] = []
        self.forgotten = 0
        self.changed = asyncio.Event()
        # down, slow, lost or none.
        self.fault = ""

    def put(self, kind: str, name: str, spec: object) -> dict[str, Any]:
        """Create or replace an object."""
        self.revision += 1
        stored = {
            "Metadata": {"Name": name, "Revision": self.revision},
            "Spec": spec,
            "Status": None,
        }
        self.objects[kind, name] = stored
        self._record(kind, {"Deleted": False, "Object": stored})
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._record(kind, {"Deleted": True, "Object": stored})

    def listing(self, kind: str) -> dict[str, Any]:
        """Return the objects of a kind."""
        return {
            "items": [
                stored
                for (one, _), stored in sorted(self.objects.items())
                if one == kind
            ],
            "HasMore": False,
            "AsOf": self.revision,
        }

    def events_after(self, kind: str, revision: int) -> list[dict[str, Any]]:
        """Return the events of a kind after a revision."""
        return [
            event
            for at, one, event in self.history
            if one == kind and at > revision
        ]

    def forget_history(self) -> None:
        """Drop the history, and cut the watches."""
        self.history.clear()
        self.forgotten = self.revision
        self._wake()

    def _record(self, kind: str, event: dict[str, Any]) -> None:
        self.history.append((self.revision, kind, event))
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class ObjectHandler(web.RequestHandler):
    """Serve the store's calls."""

    def initialize(self, book: ObjectBook) -> None:
        """Keep the objects."""
        self.book = book

    async def prepare(self) -> None:
        """Apply the fault in force."""
        if self.book.fault == "down":
            self.set_status(503)
            self.finish()
        elif self.book.fault == "slow":
            await asyncio.sleep(0.3)

    async def get(self, kind: str, name: str | None) -> None:
        """List or watch a kind."""
        del name
        after = self.get_query_argument("Watch", "")
        if not after:
            self._answer(self.book.listing(kind))
            return
        deadline_s = asyncio.get_running_loop().time() + (
            int(self.get_query_argument("WaitMs", "0")) / 1000
        )
        while True:
            if int(after) < self.book.forgotten:
                self.set_status(410)
                return
            events = self.book.events_after(kind, int(after))
            left_s = deadline_s - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                self._answer({"events": events, "AsOf": self.book.revision})
                return
            try:
                await asyncio.wait_for(self.book.changed.wait(), left_s)
            except TimeoutError:
                continue

    def post(self, kind: str, name: str | None) -> None:
        """Create an object."""
        del name
        document = orjson.loads(self.request.body)
        name = document["Metadata"]["Name"]
        if (kind, name) in self.book.objects:
            self.set_status(409)
            self._answer(self.book.objects[kind, name])
            return
        self._written(self.book.put(kind, name, document["Spec"]))

    def put(self, kind: str, name: str) -> None:
        """Replace an object."""
        document = orjson.loads(self.request.body)
        self._written(self.book.put(kind, name, document["Spec"]))

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.book.delete(kind, name)
        self._written({})

    def _written(self, document: dict[str, Any]) -> None:
        if self.book.fault == "lost" and self.book.rng.random() < 0.5:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self._answer(document)

    def _answer(self, document: dict[str, Any]) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(document))


def serve(book: ObjectBook, *, host: str, port: int) -> httpserver.HTTPServer:
    """Listen for the store's calls."""
    application = web.Application([(ROUTE, ObjectHandler, {"book": book})])
    return application.listen(port, host)
