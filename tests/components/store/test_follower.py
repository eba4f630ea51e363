"""Test listing and watching of objects across outages of the store."""

import asyncio
from collections.abc import Sequence
import contextlib
import random

import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.store import availability as store_availability
from samphirelug.components.store import feed
from samphirelug.components.store import follower
from samphirelug.components.store import model
from samphirelug.components.store import view as store_view
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

UNAVAILABLE: Failure[result_codes.Refusal] = Failure(
    result_codes.Refusal(result_codes.ResultCode.STORE_UNAVAILABLE, "down")
)
ListResult = Result[model.Listing, result_codes.Refusal]
WatchResult = Result[feed.Changes | None, result_codes.Refusal]


class ScriptedFeed(feed.ObjectFeed):
    """Return scripted results, then wait for ever.

    A number in the script advances the clock by as many seconds.
    """

    def __init__(self, *script: ListResult | WatchResult | float) -> None:
        self.script = list(script)
        self.timer = timer_helper.ManualTimerService()
        self.calls: list[str] = []
        self.watch_timeouts_s: list[float] = []
        self.script_ended = asyncio.Event()

    async def list(
        self, kind: feed.ObjectKind, *, allow_stale: bool = False
    ) -> ListResult:
        """Return the next result of the script."""
        del kind, allow_stale
        return await self._next("list")  # type: ignore[return-value]

    async def watch(
        self, kind: feed.ObjectKind, *, after: int, timeout_s: float
    ) -> WatchResult:
        """Return the next result of the script."""
        del kind
        self.watch_timeouts_s.append(timeout_s)
        return await self._next(f"watch {after}")  # type: ignore[return-value]

    async def put(
        self,
        kind: feed.ObjectKind,
        name: str,
        value: dict[str, object],
        *,
        probably_exists: bool = False,
    ) -> Result[int, result_codes.Refusal]:
        """Raise an error, since followers do not write."""
        raise NotImplementedError

    async def delete(
        self, kind: feed.ObjectKind, name: str, *, revision: int | None = None
    ) -> Result[None, result_codes.Refusal]:
        """Raise an error, since followers do not write."""
        raise NotImplementedError

    async def _next(self, call: str) -> ListResult | WatchResult:
        self.calls.append(call)
        while self.script and isinstance(self.script[0], float):
            self.timer.now_s += self.script.pop(0)  # type: ignore[operator]
        if not self.script:
            self.script_ended.set()
            await asyncio.Event().wait()
        return self.script.pop(0)  # type: ignore[return-value]


class RecordingConsumer(store_view.ObjectConsumer):
    """Record the calls of the follower.

    A flag next to names says whether they came with a grace period.
    """

    def __init__(self) -> None:
        self.received: list[object] = []

    def begin_era(self) -> None:
        """Record nothing."""

    def replace_all(
        self, objects: Sequence[model.StoredObject], *, grace_s: float
    ) -> None:
        """Record the names."""
        self.received.append(([stored.key for stored in objects], grace_s > 0))

    def upsert(self, stored: model.StoredObject) -> None:
        """Record the name."""
        self.received.append(stored.key)

    def remove(self, name: str, *, grace_s: float) -> None:
        """Record the name."""
        self.received.append((name, grace_s > 0))


class InstantTimer(timer_helper.ManualTimerService):
    """Sleep without delay, but yield to the event loop."""

    async def sleep(self, delay_s: float) -> None:
        """Return after yielding to the event loop."""
        del delay_s
        await asyncio.sleep(0)


def run_follower(
    *script: ListResult | WatchResult | float,
) -> tuple[list[object], list[str]]:
    """Follow a script; return what the consumer received and the calls."""
    consumer, scripted_feed, _ = run_script(*script)
    return consumer.received, scripted_feed.calls


def run_script(
    *script: ListResult | WatchResult | float,
    confirm_interval_s: float = follower.WATCH_TIMEOUT_S,
) -> tuple[
    RecordingConsumer, ScriptedFeed, store_availability.StoreAvailability
]:
    """Follow a script to its end; return what took part in it."""

    async def main() -> tuple[
        RecordingConsumer, ScriptedFeed, store_availability.StoreAvailability
    ]:
        scripted_feed = ScriptedFeed(*script)
        scripted_feed.timer = InstantTimer()
        availability = store_availability.StoreAvailability(
            timer=scripted_feed.timer
        )
        consumer = RecordingConsumer()
        object_follower = follower.ObjectFollower(
            feed=scripted_feed,
            view=store_view.ObjectView(
                kind=feed.ObjectKind.BACKEND_SERVERS, consumer=consumer
            ),
            availability=availability,
            timer=scripted_feed.timer,
            rng=random.Random(1),
            confirm_interval_s=lambda: confirm_interval_s,
        )
        task = asyncio.ensure_future(object_follower.run())
        await asyncio.wait_for(scripted_feed.script_ended.wait(), 5)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        return consumer, scripted_feed, availability

    return asyncio.run(main())


def list_result(revision: int, *names: str) -> ListResult:
    """Return the result of a list call with empty objects."""
    objects = tuple(model.StoredObject(name, revision, {}) for name in names)
    return Success(model.Listing(revision, objects))


def watch_result(revision: int, *events: str | feed.Removal) -> WatchResult:
    """Return the result of a watch call; a name stands for an upsert."""
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


def test_watch_continues_from_the_last_revision() -> None:
    """Guard against changes that are lost between two watches."""
    received, calls = run_follower(
        list_result(5, "a"),
        watch_result(7, "b"),
        watch_result(9, feed.Removal("a")),
    )
    assert received == [(["a"], False), "b", ("a", False)]
    assert calls == ["list", "watch 5", "watch 7", "watch 9"]


def test_watch_that_cannot_continue_leads_to_a_new_list() -> None:
    """Guard against missing changes that the store no longer has."""
    received, calls = run_follower(
        list_result(5, "a"), Success(None), list_result(8, "b")
    )
    assert received == [(["a"], False), (["b"], False)]
    assert calls[:3] == ["list", "watch 5", "list"]


def test_older_list_is_ignored() -> None:
    """Guard against a stale list that adds removed servers again."""
    received, _ = run_follower(
        list_result(5, "a"),
        Success(None),
        list_result(4, "old"),
        list_result(6, "b"),
    )
    assert received == [(["a"], False), (["b"], False)]


def test_removal_after_an_outage_has_a_grace_period() -> None:
    """Guard against removing running servers after an outage.

    Their entries expire during the outage and are written again after it.
    """
    received, _ = run_follower(
        list_result(5, "a"),
        UNAVAILABLE,
        3.0,
        UNAVAILABLE,
        watch_result(6, feed.Removal("a")),
        5.0,
        watch_result(7, feed.Removal("b")),
    )
    assert received == [(["a"], False), ("a", True), ("b", False)]


def test_single_failed_watch_is_not_an_outage() -> None:
    """Guard against keeping removed servers after one broken connection."""
    received, _ = run_follower(
        list_result(5, "a"), UNAVAILABLE, watch_result(6, feed.Removal("a"))
    )
    assert received == [(["a"], False), ("a", False)]


class HangingFeed(ScriptedFeed):
    """Never answer the first watch; answer later ones by the script."""

    async def watch(
        self, kind: feed.ObjectKind, *, after: int, timeout_s: float
    ) -> WatchResult:
        """Wait for ever on the first call."""
        if not any(call.startswith("watch") for call in self.calls):
            self.calls.append("watch")
            await asyncio.Event().wait()
        return await super().watch(kind, after=after, timeout_s=timeout_s)


@pytest.mark.parametrize("away_s", [3.0, 0.1])
def test_watch_from_before_an_outage_is_restarted(away_s: float) -> None:
    """Guard against a connection that never carries data after an outage.

    With such a watch, a host that had been cut off from the store used a
    server 12 s after it had left (vnk-portaal, scale-2, seed 571223684798).
    An outage that was noticed only in its last moments counts too.
    """

    async def main() -> list[str]:
        hanging_feed = HangingFeed(list_result(5, "a"), watch_result(6, "b"))
        hanging_feed.timer = InstantTimer()
        availability = store_availability.StoreAvailability(
            timer=hanging_feed.timer
        )
        object_follower = follower.ObjectFollower(
            feed=hanging_feed,
            view=store_view.ObjectView(
                kind=feed.ObjectKind.BACKEND_SERVERS,
                consumer=RecordingConsumer(),
            ),
            availability=availability,
            timer=hanging_feed.timer,
            rng=random.Random(1),
        )
        task = asyncio.ensure_future(object_follower.run())
        await asyncio.sleep(0.01)
        other_follower = object()
        availability.record_failure(other_follower, detail="cut")
        hanging_feed.timer.now_s += away_s
        availability.record_success()
        await asyncio.wait_for(hanging_feed.script_ended.wait(), 5)
        task.cancel()
        return hanging_feed.calls

    assert asyncio.run(main()) == ["list", "watch", "watch 5", "watch 6"]


def test_only_one_follower_calls_the_store_during_an_outage() -> None:
    """Guard against calls of all followers of all hosts during an outage."""
    timer = timer_helper.ManualTimerService()

    async def main() -> None:
        availability = store_availability.StoreAvailability(timer=timer)
        availability.record_failure("first", detail="down")
        availability.record_failure("second", detail="down")
        assert availability.is_prober("first")
        assert not availability.is_prober("second")
        timer.now_s += 4.0
        availability.record_failure("first", detail="down")
        timer.now_s += 0.2
        availability.record_success()
        # The grace period starts at the last failed call, 0.2 s ago.
        assert abs(availability.grace_remaining_s() - 2.1) < 0.001

    asyncio.run(main())


def test_watch_during_an_outage_has_a_short_timeout() -> None:
    """Guard against 25 s without updates after an outage.

    All followers wait for the call of the prober. In a run of vnk-portaal
    (mix, seed 334590984826) that call was a long watch without changes, while
    a version of the configuration was being confirmed.
    """

    async def main() -> list[float]:
        scripted_feed = ScriptedFeed(
            list_result(5, "a"),
            UNAVAILABLE,
            watch_result(5),
            watch_result(6, "b"),
        )
        scripted_feed.timer = InstantTimer()
        object_follower = follower.ObjectFollower(
            feed=scripted_feed,
            view=store_view.ObjectView(
                kind=feed.ObjectKind.EVACUATIONS, consumer=RecordingConsumer()
            ),
            availability=store_availability.StoreAvailability(
                timer=scripted_feed.timer
            ),
            timer=scripted_feed.timer,
            rng=random.Random(1),
        )
        task = asyncio.ensure_future(object_follower.run())
        await asyncio.wait_for(scripted_feed.script_ended.wait(), 5)
        task.cancel()
        return scripted_feed.watch_timeouts_s

    long, short = follower.WATCH_TIMEOUT_S, follower.PROBE_WATCH_TIMEOUT_S
    assert asyncio.run(main()) == [long, short, long, long]


def test_watch_after_a_lost_answer_has_a_short_timeout() -> None:
    """Guard against a second lost answer that is noticed after seconds.

    Other followers may have ended the outage meanwhile.
    """

    class RegainingTimer(InstantTimer):
        """Let the store answer a call for another kind during a delay."""

        async def sleep(self, delay_s: float) -> None:
            """End the outage."""
            availability.record_success()
            await super().sleep(delay_s)

    timer = RegainingTimer()
    availability = store_availability.StoreAvailability(timer=timer)

    async def main() -> list[float]:
        scripted_feed = ScriptedFeed(
            list_result(5, "a"),
            UNAVAILABLE,
            UNAVAILABLE,
            watch_result(6, "b"),
        )
        scripted_feed.timer = timer
        task = asyncio.ensure_future(
            follower.ObjectFollower(
                feed=scripted_feed,
                view=store_view.ObjectView(
                    kind=feed.ObjectKind.CONFIGURATION,
                    consumer=RecordingConsumer(),
                ),
                availability=availability,
                timer=timer,
                rng=random.Random(1),
            ).run()
        )
        await asyncio.wait_for(scripted_feed.script_ended.wait(), 5)
        task.cancel()
        return scripted_feed.watch_timeouts_s

    first, second, third, fourth = asyncio.run(main())
    assert first == fourth == follower.WATCH_TIMEOUT_S
    assert second == third == follower.PROBE_WATCH_TIMEOUT_S


def test_follower_pauses_after_changes() -> None:
    """Guard against a call for each of many changes in quick succession."""

    class RecordingTimer(InstantTimer):
        """Record the delays of sleeps."""

        def __init__(self) -> None:
            super().__init__()
            self.sleep_delays_s: list[float] = []

        async def sleep(self, delay_s: float) -> None:
            """Record the delay and return without it."""
            self.sleep_delays_s.append(delay_s)
            await super().sleep(delay_s)

    async def main() -> list[float]:
        scripted_feed = ScriptedFeed(
            list_result(5),
            watch_result(6, "s1", "s2"),
            watch_result(7),
            watch_result(8, "s3"),
        )
        timer = RecordingTimer()
        scripted_feed.timer = timer
        object_follower = follower.ObjectFollower(
            feed=scripted_feed,
            view=store_view.ObjectView(
                kind=feed.ObjectKind.BACKEND_SERVERS,
                consumer=RecordingConsumer(),
            ),
            availability=store_availability.StoreAvailability(timer=timer),
            timer=timer,
            rng=random.Random(1),
            pause_after_change_s=0.875,
        )
        task = asyncio.ensure_future(object_follower.run())
        await asyncio.wait_for(scripted_feed.script_ended.wait(), 5)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        return timer.sleep_delays_s

    assert asyncio.run(main()) == [0.875, 0.875]


def test_silence_of_the_store_confirms_nothing() -> None:
    """Guard against a view that counts as current while a watch waits."""
    _, scripted_feed, availability = run_script(
        list_result(5, "a"), 0.6, watch_result(5), 9.0, confirm_interval_s=0.6
    )
    assert availability.confirmed_at_s == 0.6
    assert scripted_feed.timer.now_s == 9.6
    assert scripted_feed.watch_timeouts_s == [0.6, 0.6]


def test_changes_confirm_the_state_when_their_watch_began() -> None:
    """Guard against an answer that was read long after it was sent."""
    _, scripted_feed, availability = run_script(
        list_result(5), 0.5, watch_result(6, "a"), confirm_interval_s=0.6
    )
    assert availability.confirmed_at_s == 0.0
    # The next watch is short, so that confirmations are not far apart.
    assert scripted_feed.watch_timeouts_s[1] == pytest.approx(0.1)


def test_answer_without_the_known_history_confirms_nothing() -> None:
    """Guard against a view that lacks changes and counts as current."""
    _, _, availability = run_script(
        list_result(5), 3.0, Success(None), 1.0, list_result(4), 1.0
    )
    assert availability.confirmed_at_s == 0.0
