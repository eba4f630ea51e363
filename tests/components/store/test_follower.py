"""Test how objects are followed through outages of the store."""

import asyncio
from collections.abc import Sequence
import contextlib
import random

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.store import availability as store_availability
from samphirelug.components.store import feed
from samphirelug.components.store import follower
from samphirelug.components.store import model
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

UNAVAILABLE: Failure[result_codes.Refusal] = Failure(
    result_codes.Refusal(result_codes.ResultCode.STORE_UNAVAILABLE, "down")
)
Listed = Result[model.Listing, result_codes.Refusal]
Watched = Result[feed.Changes | None, result_codes.Refusal]


class ScriptedFeed(feed.ObjectFeed):
    """Return scripted results; wait for ever when they have run out."""

    def __init__(self, *script: Listed | Watched | float) -> None:
        self.script = list(script)
        self.timer = timer_helper.ManualTimerService()
        self.calls: list[str] = []
        self.waits_s: list[float] = []
        self.done = asyncio.Event()

    async def list(
        self, kind: feed.ObjectKind, *, allow_stale: bool = False
    ) -> Listed:
        """Return the next result."""
        del kind, allow_stale
        return await self._next("list")  # type: ignore[return-value]

    async def watch(
        self, kind: feed.ObjectKind, *, after: int, timeout_s: float
    ) -> Watched:
        """Return the next result."""
        del kind
        self.waits_s.append(timeout_s)
        return await self._next(f"watch {after}")  # type: ignore[return-value]

    async def put(
        self, kind: feed.ObjectKind, name: str, value: dict[str, object]
    ) -> Result[int, result_codes.Refusal]:
        """Refuse; followers do not write."""
        raise NotImplementedError

    async def delete(
        self, kind: feed.ObjectKind, name: str
    ) -> Result[None, result_codes.Refusal]:
        """Refuse; followers do not write."""
        raise NotImplementedError

    async def _next(self, call: str) -> Listed | Watched:
        self.calls.append(call)
        while self.script and isinstance(self.script[0], float):
            self.timer.now_s += self.script.pop(0)  # type: ignore[operator]
        if not self.script:
            self.done.set()
            await asyncio.Event().wait()
        return self.script.pop(0)  # type: ignore[return-value]


class Consumer(follower.ObjectConsumer):
    """Keep what it was told."""

    def __init__(self) -> None:
        self.seen: list[object] = []

    def replace_all(
        self, objects: Sequence[model.StoredObject], *, grace_s: float
    ) -> None:
        """Keep the names."""
        self.seen.append(([one.key for one in objects], grace_s > 0))

    def upsert(self, stored: model.StoredObject) -> None:
        """Keep the name."""
        self.seen.append(stored.key)

    def remove(self, name: str, *, grace_s: float) -> None:
        """Keep the name."""
        self.seen.append((name, grace_s > 0))


class InstantTimer(timer_helper.ManualTimerService):
    """Sleep no time, but yield."""

    async def sleep(self, delay_s: float) -> None:
        """Return at once."""
        del delay_s
        await asyncio.sleep(0)


def follow(
    *script: Listed | Watched | float,
) -> tuple[list[object], list[str]]:
    """Follow a script; return what the consumer saw and the calls made."""

    async def main() -> tuple[list[object], list[str]]:
        scripted = ScriptedFeed(*script)
        scripted.timer = InstantTimer()
        consumer = Consumer()
        following = follower.ObjectFollower(
            kind=feed.ObjectKind.BACKEND_SERVERS,
            feed=scripted,
            consumer=consumer,
            availability=store_availability.StoreAvailability(
                timer=scripted.timer
            ),
            timer=scripted.timer,
            rng=random.Random(1),
        )
        task = asyncio.ensure_future(following.run())
        await asyncio.wait_for(scripted.done.wait(), 5)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        return consumer.seen, scripted.calls

    return asyncio.run(main())


def listing(revision: int, *names: str) -> Listed:
    """Return a listing of objects."""
    objects = tuple(model.StoredObject(name, revision, {}) for name in names)
    return Success(model.Listing(revision, objects))


def changes(revision: int, *events: str | feed.Removal) -> Watched:
    """Return changes."""
    return Success(
        feed.Changes(
            revision,
            tuple(
                model.StoredObject(event, revision, {})
                if isinstance(event, str)
                else event
                for event in events
            ),
        )
    )


def test_watch_goes_on_from_the_last_revision() -> None:
    """Guard against changes lost between two watches."""
    seen, calls = follow(
        listing(5, "a"), changes(7, "b"), changes(9, feed.Removal("a"))
    )
    assert seen == [(["a"], False), "b", ("a", False)]
    assert calls == ["list", "watch 5", "watch 7", "watch 9"]


def test_lost_history_means_a_new_list() -> None:
    """Guard against missing what changed while history was dropped."""
    seen, calls = follow(listing(5, "a"), Success(None), listing(8, "b"))
    assert seen == [(["a"], False), (["b"], False)]
    assert calls[:3] == ["list", "watch 5", "list"]


def test_older_list_is_ignored() -> None:
    """Guard against a stale answer bringing departed servers back."""
    seen, _ = follow(
        listing(5, "a"), Success(None), listing(4, "old"), listing(6, "b")
    )
    assert seen == [(["a"], False), (["b"], False)]


def test_entries_that_vanish_after_an_outage_are_marked() -> None:
    """Guard against taking lapsed entries for servers that left."""
    seen, _ = follow(
        listing(5, "a"),
        UNAVAILABLE,
        3.0,
        UNAVAILABLE,
        changes(6, feed.Removal("a")),
        5.0,
        changes(7, feed.Removal("b")),
    )
    assert seen == [(["a"], False), ("a", True), ("b", False)]


def test_single_lost_watch_is_no_outage() -> None:
    """Guard against keeping a departed server after each cut connection."""
    seen, _ = follow(
        listing(5, "a"), UNAVAILABLE, changes(6, feed.Removal("a"))
    )
    assert seen == [(["a"], False), ("a", False)]


class SilentFeed(ScriptedFeed):
    """Answer a first watch never, and later ones at once."""

    async def watch(
        self, kind: feed.ObjectKind, *, after: int, timeout_s: float
    ) -> Watched:
        """Hang on the first call."""
        if not any(call.startswith("watch") for call in self.calls):
            self.calls.append("watch")
            await asyncio.Event().wait()
        return await super().watch(kind, after=after, timeout_s=timeout_s)


def test_watch_that_outlived_an_outage_is_started_again() -> None:
    """Guard against a connection that stays silent after an outage.

    Seen on vnk-portaal, scale-2, seed 571223684798: a host that was cut off
    from the store used a server 12 s after it had left.
    """

    async def main() -> list[str]:
        silent = SilentFeed(listing(5, "a"), changes(6, "b"))
        silent.timer = InstantTimer()
        availability = store_availability.StoreAvailability(timer=silent.timer)
        following = follower.ObjectFollower(
            kind=feed.ObjectKind.BACKEND_SERVERS,
            feed=silent,
            consumer=Consumer(),
            availability=availability,
            timer=silent.timer,
            rng=random.Random(1),
        )
        task = asyncio.ensure_future(following.run())
        await asyncio.sleep(0.01)
        other = object()
        availability.note_failure(other, detail="cut")
        silent.timer.now_s += 3.0
        availability.note_success()
        await asyncio.wait_for(silent.done.wait(), 5)
        task.cancel()
        return silent.calls

    assert asyncio.run(main()) == ["list", "watch", "watch 5", "watch 6"]


def test_only_one_follower_calls_a_store_that_is_away() -> None:
    """Guard against all followers of all hosts calling a store in trouble."""
    timer = timer_helper.ManualTimerService()

    async def main() -> None:
        availability = store_availability.StoreAvailability(timer=timer)
        availability.note_failure("first", detail="down")
        availability.note_failure("second", detail="down")
        assert availability.is_prober("first")
        assert not availability.is_prober("second")
        timer.now_s += 4.0
        availability.note_failure("first", detail="down")
        timer.now_s += 0.2
        availability.note_success()
        # Counted from the last call that failed.
        assert abs(availability.grace_s() - 2.1) < 0.001

    asyncio.run(main())


def test_store_that_is_away_is_asked_with_a_short_wait() -> None:
    """Guard against 25 s without news after a cut from the store.

    Seen on vnk-portaal, mix, seed 334590984826: the follower that asked for
    all others waited in a watch without changes while a version was
    confirmed.
    """

    async def main() -> list[float]:
        scripted = ScriptedFeed(
            listing(5, "a"), UNAVAILABLE, changes(5), changes(6, "b")
        )
        scripted.timer = InstantTimer()
        following = follower.ObjectFollower(
            kind=feed.ObjectKind.EVACUATIONS,
            feed=scripted,
            consumer=Consumer(),
            availability=store_availability.StoreAvailability(
                timer=scripted.timer
            ),
            timer=scripted.timer,
            rng=random.Random(1),
        )
        task = asyncio.ensure_future(following.run())
        await asyncio.wait_for(scripted.done.wait(), 5)
        task.cancel()
        return scripted.waits_s

    long, short = follower.WATCH_TIMEOUT_S, follower.PROBE_WATCH_S
    assert asyncio.run(main()) == [long, short, long, long]


def test_changes_are_gathered_for_the_time_that_the_kind_allows() -> None:
    """Guard against a call of each host for each of many servers."""

    class SleepLog(InstantTimer):
        """Keep the times slept."""

        def __init__(self) -> None:
            super().__init__()
            self.slept_s: list[float] = []

        async def sleep(self, delay_s: float) -> None:
            """Keep the time and return at once."""
            self.slept_s.append(delay_s)
            await super().sleep(delay_s)

    async def main() -> list[float]:
        scripted = ScriptedFeed(
            listing(5), changes(6, "s1", "s2"), changes(7), changes(8, "s3")
        )
        timer = SleepLog()
        scripted.timer = timer
        following = follower.ObjectFollower(
            kind=feed.ObjectKind.BACKEND_SERVERS,
            feed=scripted,
            consumer=Consumer(),
            availability=store_availability.StoreAvailability(timer=timer),
            timer=timer,
            rng=random.Random(1),
            pause_s=0.875,
        )
        task = asyncio.ensure_future(following.run())
        await asyncio.wait_for(scripted.done.wait(), 5)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        return timer.slept_s

    assert asyncio.run(main()) == [0.875, 0.875]
