"""Fake the platform's object store in memory, with faults on demand.

Run it with: python -m standins.store --port N
"""

import argparse
import asyncio
import collections
from collections.abc import Mapping
import json
from typing import Any
from typing import NamedTuple

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from tornado import http1connection
import tornado.httpserver
import tornado.netutil
import tornado.web
from typing_extensions import TypedDict

from samphirelug.components.store import model
from samphirelug.components.store import object_store
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

ObjectResult = Result[model.StoredObject, result_codes.Refusal]
ListingResult = Result[model.Listing, result_codes.Refusal]

# Versions kept for stale reads; bounds the memory of long runs.
MAX_HISTORY = 20_000
# The platform's store accepts values of up to 1 MiB.
MAX_BODY_BYTES = 1024 * 1024
MAX_WATCH_S = 60.0
CATALOGUE_PREFIX = "catalogue/"


class FaultSettings(TypedDict, total=False):
    """Describe faults to set; absent fields keep their values."""

    # All calls fail without any effect.
    down: bool
    # All answers are delayed by this time; writes take effect before it.
    delay_s: float
    # Number of next writes that take effect but are not answered.
    lose_answers: int
    # Number of next writes that are dropped without effect or answer.
    lose_requests: int
    # Number of next writes to the catalogue that wait until all of them have
    # arrived; writes of entry hosts are not held back.
    gather_writes: int
    # Number of revisions by which reads, lists and watches are stale.
    stale_by: int
    # Number of next watch answers that omit their objects.
    skip_watch_answers: int


FAULTS = pydantic.TypeAdapter(FaultSettings)


class Faults:
    """Hold the active faults; see FaultSettings."""

    def __init__(self) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.lose_requests = 0
        self.gather_writes = 0
        self.stale_by = 0
        self.skip_watch_answers = 0

    def update(self, settings: FaultSettings) -> None:
        """Apply the fields that are present."""
        for name, value in settings.items():
            setattr(self, name, value)


class PutOutcome(NamedTuple):
    """Hold the result of a conditional write."""

    written: bool
    # The written version, or the one that conflicts with the write.
    current: model.StoredObject | None


class StoreCore:
    """Hold versioned objects, the active faults and the call counts."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, model.StoredObject] = {}
        self.history: collections.deque[model.StoredObject] = (
            collections.deque(maxlen=MAX_HISTORY)
        )
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        # Set when the last of the gathered writes has arrived.
        self.gathered = asyncio.Event()
        # Number of watches that wait for a change.
        self.waiting = 0
        self.waiters: set[asyncio.Future[None]] = set()

    def get(self, key: str) -> model.StoredObject | None:
        """Return an object."""
        return self._visible_objects().get(key)

    def list(self, prefix: str) -> model.Listing:
        """Return the objects under a prefix."""
        return self.changes(prefix, 0)

    def put(
        self, key: str, value: Mapping[str, Any], expected_revision: int
    ) -> PutOutcome:
        """Write if the object still has the expected revision."""
        current = self.objects.get(key)
        if (current.revision if current else 0) != expected_revision:
            return PutOutcome(False, current)
        self.revision += 1
        written = model.StoredObject(key, self.revision, value)
        self.objects[key] = written
        self.history.append(written)
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()
        return PutOutcome(True, written)

    def changes(self, prefix: str, after: int) -> model.Listing:
        """Return the objects that were last written after the revision."""
        found = [
            item
            for item in self._visible_objects().values()
            if item.revision > after and item.key.startswith(prefix)
        ]
        found.sort(key=lambda item: item.revision)
        return model.Listing(
            max(0, self.revision - self.faults.stale_by), tuple(found)
        )

    async def watch(
        self,
        prefix: str,
        after: int,
        timeout_s: float,
        timer: timer_helper.TimerService,
    ) -> model.Listing:
        """Wait for changes under a prefix; empty after timeout_s."""
        until_s = timer.monotonic() + timeout_s
        self.waiting += 1
        try:
            while True:
                found = self.changes(prefix, after)
                if found.objects or timer.monotonic() >= until_s:
                    break
                await self._wait(until_s, timer)
        finally:
            self.waiting -= 1
        if found.objects and self.faults.skip_watch_answers:
            self.faults.skip_watch_answers -= 1
            return model.Listing(found.revision, ())
        return found

    async def _wait(
        self, until_s: float, timer: timer_helper.TimerService
    ) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        timeout = timer.call_at(
            when_s=until_s,
            callback=lambda: (
                None if waiter.done() else waiter.set_result(None)
            ),
        )
        try:
            await waiter
        finally:
            timeout.cancel()
            self.waiters.discard(waiter)

    def _visible_objects(self) -> dict[str, model.StoredObject]:
        """Return the objects that reads see, which may be stale."""
        if not self.faults.stale_by:
            return self.objects
        revision = self.revision - self.faults.stale_by
        return {
            item.key: item
            for item in self.history
            if item.revision <= revision
        }


class FakeObjectStore(object_store.ObjectStore):
    """Access a StoreCore of the same process as one client.

    Set reachable to False to make the store unreachable for this client only.
    """

    def __init__(
        self,
        *,
        core: StoreCore,
        timer: timer_helper.TimerService,
        timeout_s: float = 2.0,
    ) -> None:
        self.core = core
        self.timer = timer
        self.timeout_s = timeout_s
        self.reachable = True

    async def get(self, key: str) -> ObjectResult:
        """Return an object; OBJECT_NOT_FOUND where there is none."""
        self.core.calls["get"] += 1
        found = self.core.get(key)
        if not await self._delay_answer():
            return Failure(_unavailable())
        if found is None:
            return Failure(
                result_codes.Refusal(
                    result_codes.ResultCode.OBJECT_NOT_FOUND, key
                )
            )
        return Success(found)

    async def list(self, prefix: str) -> ListingResult:
        """Return the objects whose keys start with the prefix."""
        self.core.calls["list"] += 1
        found = self.core.list(prefix)
        if not await self._delay_answer():
            return Failure(_unavailable())
        return Success(found)

    async def put(
        self, key: str, value: Mapping[str, Any], *, expected_revision: int
    ) -> ObjectResult:
        """Write if the object still has the revision; 0 creates it."""
        self.core.calls["put"] += 1
        faults = self.core.faults
        if not self._is_up():
            return Failure(_unavailable())
        if faults.lose_requests:
            faults.lose_requests -= 1
            return Failure(_outcome_unknown(key))
        outcome = self.core.put(key, value, expected_revision)
        if faults.lose_answers:
            faults.lose_answers -= 1
            return Failure(_outcome_unknown(key))
        if not await self._delay_answer():
            return Failure(_outcome_unknown(key))
        if not outcome.written or outcome.current is None:
            return Failure(
                result_codes.Refusal(
                    result_codes.ResultCode.STORE_CONFLICT, key
                )
            )
        return Success(outcome.current)

    async def watch(
        self, prefix: str, *, after: int, timeout_s: float
    ) -> ListingResult:
        """Wait for objects with a revision above after."""
        self.core.calls["watch"] += 1
        if not self._is_up():
            return Failure(_unavailable())
        found = await self.core.watch(prefix, after, timeout_s, self.timer)
        if not await self._delay_answer():
            return Failure(_unavailable())
        return Success(found)

    def _is_up(self) -> bool:
        return self.reachable and not self.core.faults.down

    async def _delay_answer(self) -> bool:
        """Apply the delay; return whether the answer arrives in time."""
        delay_s = self.core.faults.delay_s
        if delay_s:
            await self.timer.sleep(min(delay_s, self.timeout_s))
        return self._is_up() and delay_s < self.timeout_s


def _unavailable() -> result_codes.Refusal:
    return result_codes.Refusal(
        result_codes.ResultCode.STORE_UNAVAILABLE, "the store did not answer"
    )


def _outcome_unknown(key: str) -> result_codes.Refusal:
    return result_codes.Refusal(
        result_codes.ResultCode.STORE_OUTCOME_UNKNOWN,
        f"the answer to the write of {key} was lost",
    )


class _Handler(tornado.web.RequestHandler):
    """Apply the faults that affect all calls."""

    def initialize(
        self, core: StoreCore, timer: timer_helper.TimerService
    ) -> None:
        """Set the core and the timer that all handlers share."""
        self.core = core
        self.timer = timer

    async def respond(self, status: int, body: Mapping[str, Any]) -> None:
        """Respond after the delay, or close the connection if down."""
        if self.core.faults.delay_s:
            await self.timer.sleep(self.core.faults.delay_s)
        if self.core.faults.down:
            self.drop_connection()
            return
        self.set_status(status)
        self.finish(json.dumps(body))

    def drop_connection(self) -> None:
        """Close the connection without a response."""
        self._finished = True
        self._auto_finish = False
        connection = self.request.connection
        if isinstance(connection, http1connection.HTTP1Connection):
            connection.stream.close()

    def numeric_argument(self, name: str, default: float) -> float:
        """Return a query argument as a number."""
        try:
            return float(self.get_query_argument(name, str(default)))
        except ValueError:
            raise tornado.web.HTTPError(
                400, "query argument %s is not a number", name
            ) from None

    def on_connection_close(self) -> None:
        """Cancel the watch of a client that has disconnected."""
        task = getattr(self, "task", None)
        if task is not None:
            task.cancel()


class _ObjectHandler(_Handler):
    async def get(self, key: str) -> None:
        """Return one object."""
        self.core.calls["get"] += 1
        found = self.core.get(key)
        if found is None:
            await self.respond(404, {"key": key})
            return
        await self.respond(200, found._asdict())

    async def put(self, key: str) -> None:
        """Write one object conditionally."""
        self.core.calls["put"] += 1
        faults = self.core.faults
        if faults.down:
            self.drop_connection()
            return
        if faults.lose_requests:
            faults.lose_requests -= 1
            self.drop_connection()
            return
        if len(self.request.body) > MAX_BODY_BYTES:
            raise tornado.web.HTTPError(413)
        try:
            value = json.loads(self.request.body)
            expected = int(self.request.headers["If-Match"])
        except (KeyError, ValueError):
            raise tornado.web.HTTPError(
                400, "invalid JSON value or If-Match revision"
            ) from None
        if faults.gather_writes and key.startswith(CATALOGUE_PREFIX):
            faults.gather_writes -= 1
            if not faults.gather_writes:
                self.core.gathered.set()
            await self.core.gathered.wait()
        outcome = self.core.put(key, value, expected)
        if faults.lose_answers:
            faults.lose_answers -= 1
            self.drop_connection()
            return
        current = outcome.current._asdict() if outcome.current else {}
        await self.respond(200 if outcome.written else 412, current)


class _ListHandler(_Handler):
    async def get(self) -> None:
        """Return the objects under a prefix."""
        self.core.calls["list"] += 1
        found = self.core.list(self.get_query_argument("prefix", ""))
        await self.respond(200, _listing_body(found))


class _WatchHandler(_Handler):
    async def get(self) -> None:
        """Respond to changes under a prefix, or empty after timeout_s."""
        self.core.calls["watch"] += 1
        if self.core.faults.down:
            self.drop_connection()
            return
        self.task = asyncio.ensure_future(
            self.core.watch(
                self.get_query_argument("prefix", ""),
                int(self.numeric_argument("after", 0)),
                min(self.numeric_argument("timeout_s", 0.0), MAX_WATCH_S),
                self.timer,
            )
        )
        try:
            found = await self.task
        except asyncio.CancelledError:
            return
        await self.respond(200, _listing_body(found))


class _FaultsHandler(_Handler):
    def post(self) -> None:
        """Set the faults in the body and return all active ones."""
        try:
            settings = FAULTS.validate_json(self.request.body)
        except pydantic.ValidationError as error:
            raise tornado.web.HTTPError(400, "%s", error) from None
        self.core.faults.update(settings)
        self.finish(json.dumps(vars(self.core.faults)))


class _CallsHandler(_Handler):
    def get(self) -> None:
        """Return the number of calls by kind and of waiting watches."""
        self.finish(
            json.dumps({**self.core.calls, "waiting": self.core.waiting})
        )


def _listing_body(listing: model.Listing) -> Mapping[str, Any]:
    return {
        "revision": listing.revision,
        "objects": [item._asdict() for item in listing.objects],
    }


def make_application(
    core: StoreCore, timer: timer_helper.TimerService
) -> tornado.web.Application:
    """Return the HTTP application that serves a core."""
    shared = {"core": core, "timer": timer}
    return tornado.web.Application(
        [
            (r"/v1/objects/(.+)", _ObjectHandler, shared),
            (r"/v1/objects", _ListHandler, shared),
            (r"/v1/watch", _WatchHandler, shared),
            (r"/control/faults", _FaultsHandler, shared),
            (r"/control/calls", _CallsHandler, shared),
        ],
        log_function=lambda _: None,
    )


def listen(core: StoreCore, *, port: int, address: str = "127.0.0.1") -> int:
    """Serve the core on the running event loop and return the port."""
    sockets = tornado.netutil.bind_sockets(port, address)
    server = tornado.httpserver.HTTPServer(
        make_application(core, timer_helper.LoopTimerService())
    )
    server.add_sockets(sockets)
    bound: int = sockets[0].getsockname()[1]
    return bound


async def _serve(port: int, address: str) -> None:
    bound = listen(StoreCore(), port=port, address=address)
    print(f"ready port={bound}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Serve the fake store until stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--address", default="127.0.0.1")
    arguments = parser.parse_args()
    asyncio.run(_serve(arguments.port, arguments.address))


if __name__ == "__main__":
    main()
