"""Fake the platform's metadata store over HTTP, with faults on demand."""

import asyncio
import random
from typing import Any
from typing import NamedTuple

import orjson
from tornado import httpserver
from tornado import web

ROUTE = r"/-/objects/([^/]+)(?:/([^/]+))?"


class StoreCopy(NamedTuple):
    """Hold what the store may come back from."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]


class StoreState:
    """Hold the objects, their change history and the active fault."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        # Revision, kind and event of each change.
        self.history: list[tuple[int, str, dict[str, Any]]] = []
        # Watches that start before this revision get status 410.
        self.oldest_watchable = 0
        self.changed = asyncio.Event()
        # "down": 503 for each call; "slow": 0.3 s before each answer; "lost":
        # half of the writes take effect without an answer; empty for none.
        self.fault = ""
        # Named in each answer; 0 for none.
        self.era = 0
        # Whether watches from before the present era get no answer.
        self.is_silent = False

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return StoreCopy(self.revision, dict(self.objects))

    def come_back_from(
        self, copy: StoreCopy, *, is_silent: bool = False
    ) -> None:
        """Begin a new era with the state of a copy, without history.

        Watches that wait are cut off, or get no answer for good.
        """
        self.era += 1
        self.is_silent = is_silent
        self.revision = copy.revision
        self.objects = dict(copy.objects)
        self.compact_history()

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
                for (stored_kind, _), stored in sorted(self.objects.items())
                if stored_kind == kind
            ],
            "HasMore": False,
            "AsOf": self.revision,
        }

    def events_after(self, kind: str, revision: int) -> list[dict[str, Any]]:
        """Return the events of a kind after a revision."""
        return [
            event
            for event_revision, event_kind, event in self.history
            if event_kind == kind and event_revision > revision
        ]

    def compact_history(self) -> None:
        """Drop all events; watches of older revisions get status 410."""
        self.history.clear()
        self.oldest_watchable = self.revision
        self._wake_watches()

    def _record(self, kind: str, event: dict[str, Any]) -> None:
        self.history.append((self.revision, kind, event))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class ObjectHandler(web.RequestHandler):
    """Serve the HTTP calls of the store."""

    def initialize(self, state: StoreState) -> None:
        """Set the state that all handlers share."""
        self.state = state

    async def prepare(self) -> None:
        """Apply the active fault."""
        if self.state.era:
            self.set_header("Store-Era", str(self.state.era))
        if self.state.fault == "down":
            self.set_status(503)
            self.finish()
        elif self.state.fault == "slow":
            await asyncio.sleep(0.3)

    async def get(self, kind: str, name: str | None) -> None:
        """List or watch a kind."""
        del name
        after = self.get_query_argument("Watch", "")
        if not after:
            self._respond(self.state.listing(kind))
            return
        deadline_s = asyncio.get_running_loop().time() + (
            int(self.get_query_argument("WaitMs", "0")) / 1000
        )
        era = self.state.era
        while True:
            if self.state.era != era:
                if self.state.is_silent:
                    await asyncio.Event().wait()
                self._drop_connection()
                return
            if not (
                self.state.oldest_watchable
                <= int(after)
                <= self.state.revision
            ):
                self.set_status(410)
                return
            events = self.state.events_after(kind, int(after))
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                self._respond({"events": events, "AsOf": self.state.revision})
                return
            try:
                await asyncio.wait_for(self.state.changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def post(self, kind: str, name: str | None) -> None:
        """Create an object."""
        del name
        document = orjson.loads(self.request.body)
        name = document["Metadata"]["Name"]
        if (kind, name) in self.state.objects:
            self.set_status(409)
            self._respond(self.state.objects[kind, name])
            return
        self._respond_to_write(self.state.put(kind, name, document["Spec"]))

    def put(self, kind: str, name: str) -> None:
        """Replace an object."""
        document = orjson.loads(self.request.body)
        self._respond_to_write(self.state.put(kind, name, document["Spec"]))

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.state.delete(kind, name)
        self._respond_to_write({})

    def _respond_to_write(self, document: dict[str, Any]) -> None:
        if self.state.fault == "lost" and self.state.rng.random() < 0.5:
            self._drop_connection()
            return
        self._respond(document)

    def _drop_connection(self) -> None:
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def _respond(self, document: dict[str, Any]) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(document))


def serve(state: StoreState, *, host: str, port: int) -> httpserver.HTTPServer:
    """Start an HTTP server for the state."""
    application = web.Application([(ROUTE, ObjectHandler, {"state": state})])
    return application.listen(port, host)
