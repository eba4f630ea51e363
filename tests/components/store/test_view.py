"""Test views of objects that are fed by several sources."""

from collections.abc import Sequence
import tracemalloc

import pytest
from returns.result import Result
from returns.result import Success

from samphirelug.components.fleet import consumers
from samphirelug.components.fleet import decoder as fleet_decoder
from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.routing import model as routing_model
from samphirelug.components.store import feed
from samphirelug.components.store import model
from samphirelug.components.store import view as store_view
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from standins import forwarding as build


class Consumer(store_view.ObjectConsumer):
    """Hold the objects and record the calls."""

    def __init__(self) -> None:
        self.objects: dict[str, int] = {}
        self.calls: list[str] = []

    def begin_era(self) -> None:
        """Record nothing."""

    def replace_all(
        self, objects: Sequence[model.StoredObject], *, grace_s: float
    ) -> None:
        """Replace all objects."""
        del grace_s
        self.objects = {stored.key: stored.revision for stored in objects}
        self.calls.append("replace")

    def upsert(self, stored: model.StoredObject) -> None:
        """Add or replace an object."""
        self.objects[stored.key] = stored.revision
        self.calls.append(f"put {stored.key}")

    def remove(self, name: str, *, grace_s: float) -> None:
        """Remove an object."""
        del grace_s
        del self.objects[name]
        self.calls.append(f"remove {name}")


def stored(key: str, revision: int) -> model.StoredObject:
    """Return an object without fields."""
    return model.StoredObject(key, revision, {})


def make_view(
    revision: int = 5, *names: str
) -> tuple[store_view.ObjectView, Consumer]:
    """Return a view that shows the objects, and its consumer."""
    consumer = Consumer()
    view = store_view.ObjectView(
        kind=feed.ObjectKind.BACKEND_SERVERS, consumer=consumer
    )
    view.replace_all(
        model.Listing(
            revision, tuple(stored(name, revision) for name in names)
        ),
        grace_s=0.0,
    )
    consumer.calls.clear()
    return view, consumer


def apply(
    view: store_view.ObjectView,
    after: int,
    revision: int,
    *events: store_view.Event,
) -> bool:
    """Apply events."""
    return view.apply(events, after=after, revision=revision, grace_s=0.0)


def test_same_changes_from_two_sources_are_applied_once() -> None:
    """Guard against a server that is added again after its removal."""
    view, consumer = make_view(5, "a")
    assert apply(view, 5, 8, stored("b", 6), feed.Removal("a"))
    assert apply(view, 5, 7, stored("b", 6))
    assert apply(view, 5, 8, stored("b", 6), feed.Removal("a"))
    assert consumer.objects == {"b": 6}
    assert len(consumer.calls) == 2


def test_overlapping_changes_lead_to_the_latest_state() -> None:
    """Guard against the removal of an object that was written again."""
    view, consumer = make_view(5, "a")
    assert apply(view, 5, 8, feed.Removal("a"), stored("a", 8))
    assert consumer.calls == ["put a"]
    assert apply(view, 5, 9, feed.Removal("a"), stored("a", 8), stored("b", 9))
    assert consumer.objects == {"a": 8, "b": 9}
    assert "remove a" not in consumer.calls


def test_changes_after_a_gap_are_not_applied() -> None:
    """Guard against a removal that is missed for ever."""
    view, consumer = make_view(5, "a")
    assert not apply(view, 6, 9, stored("b", 9))
    assert view.revision == 5
    assert consumer.objects == {"a": 5}


def test_older_list_changes_nothing() -> None:
    """Guard against returning to a state that the store has left."""
    view, consumer = make_view(5, "a")
    apply(view, 5, 8, feed.Removal("a"))
    assert not view.replace_all(
        model.Listing(7, (stored("a", 5),)), grace_s=0.0
    )
    assert consumer.objects == {}


def test_view_tells_what_changed_since_each_revision() -> None:
    """Guard against followers that miss a change or get all objects."""
    view, consumer = make_view(5, "a", "b")
    apply(view, 5, 6, stored("c", 6))
    apply(view, 6, 9, feed.Removal("a"), stored("c", 8))
    apply(view, 9, 12)
    for revision in (5, 6, 7, 9, 11):
        follower = dict.fromkeys(("a", "b"), 5)
        if revision >= 6:
            follower["c"] = 6
        if revision >= 9:
            follower = {"b": 5, "c": 8}
        delta = view.since(revision)
        assert not delta.is_complete
        assert (delta.after, delta.revision) == (revision, 12)
        for event in delta.events:
            if isinstance(event, feed.Removal):
                follower.pop(event.name, None)
            else:
                follower[event.key] = event.revision
        assert follower == consumer.objects
    assert view.since(12).events == ()
    assert view.since(4).is_complete
    assert {
        event.key
        for event in view.since(0).events
        if isinstance(event, model.StoredObject)
    } == {"b", "c"}


def test_known_changes_are_bounded() -> None:
    """Guard against memory that grows with each change."""
    view, _ = make_view(5)
    for revision in range(6, 6 + 2 * store_view.MAX_DELTAS):
        apply(view, revision - 1, revision, stored("a", revision))
    assert len(view.deltas) == store_view.MAX_DELTAS
    assert view.since(5).is_complete


@pytest.mark.parametrize("is_listed", [False, True])
def test_known_changes_of_an_object_hold_its_value_once(
    is_listed: bool,
) -> None:
    """Guard against a host that dies of changes of a large configuration."""
    size, changes = 1_000_000, 20
    view, _ = make_view(5)
    tracemalloc.start()
    try:
        for revision in range(6, 6 + changes):
            event = model.StoredObject("a", revision, {"a": bytes(size)})
            if is_listed:
                view.replace_all(
                    model.Listing(revision, (event,)), grace_s=0.0
                )
            else:
                apply(view, revision - 1, revision, event)
        del event
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held_bytes < 2 * size
    assert view.since(6).events == (view.objects["a"],)


def test_new_list_is_passed_on_as_its_difference() -> None:
    """Guard against all objects sent to all hosts after each list.

    On the large site, lists after the end of the store's history took 1.6
    times as many bytes between zones as all requests.
    """
    view, _ = make_view(5, "a", "b", "c")
    assert view.replace_all(
        model.Listing(9, (stored("a", 5), stored("b", 8), stored("d", 7))),
        grace_s=0.0,
    )
    delta = view.since(5)
    assert not delta.is_complete
    assert delta.events == (
        stored("b", 8),
        stored("d", 7),
        feed.Removal("c"),
    )
    assert view.replace_all(
        model.Listing(12, tuple(view.objects.values())), grace_s=0.0
    )
    assert view.since(9).events == ()
    assert view.since(5).events == delta.events


def test_server_that_drained_in_a_set_of_changes_gets_no_grace() -> None:
    """Guard against a server that has left and stays in use for a while.

    A host that was out of touch gets its draining and its removal together.
    """
    registry = fleet_registry.ServerRegistry()

    class Decoder(fleet_decoder.ObjectDecoder):
        """Decode servers whose object says whether they are draining."""

        def configuration(
            self, stored: model.StoredObject
        ) -> Result[routing_model.Configuration, result_codes.Refusal]:
            """Fail, since there is none."""
            raise NotImplementedError

        def server(
            self, stored: model.StoredObject, *, now: float
        ) -> Result[fleet_model.ServerInstance, result_codes.Refusal]:
            """Return a server."""
            del now
            return Success(
                build.server(stored.key, draining="draining" in stored.value)
            )

    view = store_view.ObjectView(
        kind=feed.ObjectKind.BACKEND_SERVERS,
        consumer=consumers.ServerConsumer(
            registry=registry,
            decoder=Decoder(),
            timer=timer_helper.ManualTimerService(),
            is_current=lambda: True,
        ),
    )
    view.replace_all(
        model.Listing(5, (stored("a", 5), stored("b", 5))), grace_s=0.0
    )
    view.apply(
        (
            model.StoredObject("a", 6, {"draining": True}),
            feed.Removal("a"),
            feed.Removal("b"),
        ),
        after=5,
        revision=8,
        grace_s=2.0,
    )
    known = [server.instance_id for server in registry.usable("desk")]
    assert known == ["b"]
