"""Test views of a store that comes back from an older copy."""

from collections.abc import Sequence
import copy

import hypothesis
from hypothesis import strategies

from samphirelug.components.following import frames
from samphirelug.components.store import feed
from samphirelug.components.store import model
from samphirelug.components.store import position
from samphirelug.components.store import view as store_view
from tests.components.store import test_follower
from tests.components.store import test_view


def at(era: int, revision: int) -> int:
    """Return a position."""
    return position.combine(era=era, revision=revision)


def test_position_keeps_era_and_revision() -> None:
    """Guard against a late revision that passes for a later era."""
    last = at(1, 2**63 - 1)
    assert position.era_of(last) == 1
    assert position.revision_of(last) == 2**63 - 1
    assert last < at(2, 0) < at(2, 1)
    assert at(0, 17) == 17


def test_list_of_a_later_era_replaces_a_view_with_higher_revisions() -> None:
    """Guard against a host that stops following the store for good."""
    view, consumer = test_view.make_view(at(1, 119), "a", "b")
    copied = model.Listing(at(2, 113), (test_view.stored("a", 90),))
    assert view.replace_all(copied, grace_s=0.0)
    assert consumer.objects == {"a": 90}
    late = model.Listing(at(1, 120), (test_view.stored("b", 120),))
    assert not view.replace_all(late, grace_s=0.0)
    assert consumer.objects == {"a": 90}


def test_changes_never_lead_from_one_era_to_another() -> None:
    """Guard against a revision that is given out again."""
    view, consumer = test_view.make_view(at(1, 5), "a")
    event = test_view.stored("b", 7)
    assert not test_view.apply(view, at(1, 5), at(2, 7), event)
    assert not test_view.apply(view, at(2, 5), at(2, 7), event)
    assert "b" not in consumer.objects


def test_follower_ahead_of_its_source_gets_all_objects() -> None:
    """Guard against objects that only the lost part of the store had."""
    source, _ = test_view.make_view(at(1, 5), "a")
    source.replace_all(
        model.Listing(at(2, 4), (test_view.stored("a", 3),)), grace_s=0.0
    )
    follower, consumer = test_view.make_view(at(1, 7), "a", "lost")
    update = frames.make_update(
        source.kind, source.since(follower.revision), grace_s=0.0
    )
    received = frames.decode(frames.encode(update))
    assert isinstance(received, frames.Update)
    assert frames.apply_update(received, follower)
    assert consumer.objects == {"a": 3}
    assert follower.revision == source.revision


def test_watch_that_a_later_era_answers_leads_to_a_list() -> None:
    """Guard against changes behind a revision that was given out again."""
    received, calls = test_follower.run_follower(
        test_follower.list_result(at(1, 5), "a"),
        test_follower.watch_result(at(2, 9), "b"),
        test_follower.list_result(at(2, 9), "b", "c"),
    )
    assert received == [(["a"], False), (["b", "c"], True)]
    assert calls[:3] == ["list", f"watch {at(1, 5)}", "list"]


def test_answers_of_two_eras_in_turn_cause_no_lists() -> None:
    """Guard against a loop of lists without a pause."""
    received, calls = test_follower.run_follower(
        test_follower.list_result(at(2, 5), "a"),
        test_follower.watch_result(at(1, 9), "old"),
        test_follower.watch_result(at(2, 6), "b"),
        test_follower.watch_result(at(1, 9), "old"),
    )
    assert received == [(["a"], False), "b"]
    assert calls.count("list") == 1


class Consumer(test_view.Consumer):
    """Ignore the removal of an object that came and went unnoticed."""

    def remove(self, name: str, *, grace_s: float) -> None:
        """Remove an object if it is known."""
        if name in self.objects:
            super().remove(name, grace_s=grace_s)


class SimulatedStore:
    """Hold objects with revisions, and the history of one era."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 1
        self.objects: dict[str, model.StoredObject] = {}
        self.history: list[tuple[int, store_view.Event]] = []
        self.oldest = 1
        self.copies: list[tuple[int, dict[str, model.StoredObject]]] = []

    def change(self, name: str) -> None:
        """Write an object, or remove every third one that exists."""
        self.revision += 1
        event: store_view.Event
        if name in self.objects and self.revision % 3 == 0:
            del self.objects[name]
            event = feed.Removal(name)
        else:
            event = model.StoredObject(
                name, self.revision, {"era": self.era, "at": self.revision}
            )
            self.objects[name] = event
        self.history.append((self.revision, event))

    def save(self) -> None:
        """Make a copy from which the store may come back."""
        self.copies.append((self.revision, copy.copy(self.objects)))

    def come_back(self) -> None:
        """Begin a new era with the last copy."""
        if not self.copies:
            return
        self.era += 1
        self.revision, objects = self.copies[-1]
        self.objects = copy.copy(objects)
        self.history.clear()
        self.oldest = self.revision

    def listing(self) -> model.Listing:
        """Return all objects."""
        return model.Listing(
            at(self.era, self.revision), tuple(self.objects.values())
        )

    def watch(self, after: int) -> feed.Changes | None:
        """Return the changes after a position, by its revision alone."""
        revision = position.revision_of(after)
        if not self.oldest <= revision <= self.revision:
            return None
        return feed.Changes(
            at(self.era, self.revision),
            tuple(
                event
                for event_revision, event in self.history
                if event_revision > revision
            ),
        )


def read(view: store_view.ObjectView, answer: feed.Changes | None) -> bool:
    """Apply the answer to a watch; return whether a list is needed."""
    return answer is None or not view.apply(
        answer.events,
        after=view.revision,
        revision=answer.revision,
        grace_s=0.0,
    )


class Hosts:
    """Let two hosts read the store, and two others follow them."""

    def __init__(self) -> None:
        self.store = SimulatedStore()
        self.views = [self.make_view() for _ in range(4)]
        # Lists and updates that are under way, with their receivers.
        self.lists: list[tuple[store_view.ObjectView, model.Listing]] = []
        self.updates: list[tuple[store_view.ObjectView, frames.Update]] = []

    def make_view(self) -> store_view.ObjectView:
        """Return an empty view."""
        return store_view.ObjectView(
            kind=feed.ObjectKind.BACKEND_SERVERS,
            consumer=Consumer(),
        )

    def run(self, steps: Sequence[tuple[str, int]]) -> None:
        """Carry out the steps; positions never go back."""
        for step, number in steps:
            before = [view.revision for view in self.views]
            self.step(step, number)
            assert all(
                view.revision >= revision
                for view, revision in zip(self.views, before, strict=True)
            )

    def step(self, step: str, number: int) -> None:
        """Carry out one step."""
        reader = self.views[number % 2]
        follower = self.views[2 + number % 2]
        if step == "change":
            self.store.change("abc"[number % 3])
        elif step == "save":
            self.store.save()
        elif step == "come back":
            self.store.come_back()
        elif step == "list":
            reader.replace_all(self.store.listing(), grace_s=0.0)
        elif step == "ask for a list":
            self.lists.append((reader, self.store.listing()))
        elif step == "deliver a list" and self.lists:
            view, listing = self.lists.pop(number % len(self.lists))
            view.replace_all(listing, grace_s=0.0)
        elif step == "watch" and reader.revision:
            if read(reader, self.store.watch(reader.revision)):
                reader.replace_all(self.store.listing(), grace_s=0.0)
        elif step == "tell":
            update = frames.make_update(
                reader.kind, reader.since(follower.revision), grace_s=0.0
            )
            self.updates.append((follower, update))
        elif step == "deliver an update" and self.updates:
            view, update = self.updates.pop(number % len(self.updates))
            frames.apply_update(update, view)

    def settle(self) -> None:
        """Let all hosts learn of the present state."""
        for number, reader in enumerate(self.views[:2]):
            if reader.revision:
                self.step("watch", number)
            else:
                reader.replace_all(self.store.listing(), grace_s=0.0)
        for follower in self.views[2:]:
            delta = self.views[0].since(follower.revision)
            update = frames.make_update(self.views[0].kind, delta, grace_s=0.0)
            frames.apply_update(update, follower)


STEPS = (
    "change",
    "change",
    "save",
    "come back",
    "list",
    "ask for a list",
    "deliver a list",
    "watch",
    "tell",
    "deliver an update",
)


@hypothesis.settings(max_examples=1500, derandomize=True, deadline=None)
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(STEPS), strategies.integers(0, 5)
        ),
        min_size=10,
        max_size=40,
    )
)
def test_all_hosts_show_what_the_store_holds_after_drills(
    steps: list[tuple[str, int]],
) -> None:
    """Guard against an order of answers after which views differ."""
    hosts = Hosts()
    hosts.run(steps)
    hosts.settle()
    for view in hosts.views:
        assert view.objects == hosts.store.objects
        assert isinstance(view.consumer, Consumer)
        assert view.consumer.objects.keys() == view.objects.keys()
