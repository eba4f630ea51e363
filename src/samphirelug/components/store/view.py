"""Hold what is known of the objects of a kind, and its latest changes.

The objects come from the store or from another entry host. Either may be
behind the other, so that a view accepts only what is newer, and tells others
the changes since any revision that it still knows. Revisions of a view are
positions: those of a later era of the store are higher.
"""

import abc
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import logging
from typing import NamedTuple

from samphirelug.components.store import feed
from samphirelug.components.store import model
from samphirelug.components.store import position

_LOGGER = logging.getLogger(__name__)
# Time within which owners write entries again that an older copy of the store
# lacks. Servers whose entries have expired do so within two seconds.
ERA_GRACE_S = 2.3
# Time for which an older copy of the store may show servers that have ended,
# whose entries expire once three reports have failed to come, 1.5 s each, and
# may lack hosts, which look for their own entries every two seconds.
ERA_HOLD_S = 6.0
# Sets of changes that a view keeps for hosts that follow it. A host that is
# further behind gets all objects.
MAX_DELTAS = 256

Event = model.StoredObject | feed.Removal


class ObjectConsumer(abc.ABC):
    """Receive the objects of a kind and their changes.

    Objects that are missing or removed with a grace period above 0 may have
    expired because of an outage of the store, and may be written again.
    """

    @abc.abstractmethod
    def begin_era(self) -> None:
        """Expect a list that shows an older state than was known.

        Called before the list. What it lacks may be written again, and what
        it shows again may have ended.
        """

    @abc.abstractmethod
    def replace_all(
        self, objects: Sequence[model.StoredObject], *, grace_s: float
    ) -> None:
        """Apply a complete list of objects."""

    @abc.abstractmethod
    def upsert(self, stored: model.StoredObject) -> None:
        """Apply a new or changed object."""

    @abc.abstractmethod
    def remove(self, name: str, *, grace_s: float) -> None:
        """Apply the removal of an object."""


class Delta(NamedTuple):
    """Hold what changed after a revision, up to another one.

    It brings every state between the two revisions to the second one, since
    each object appears at most once, with its last change.
    """

    after: int
    revision: int
    events: tuple[Event, ...]
    # Whether the events are all objects, and others do not exist.
    is_complete: bool = False


class ChangedNames(NamedTuple):
    """Hold the names of the objects that changed up to a revision."""

    revision: int
    names: tuple[str, ...]


class ObjectView:
    """Keep the objects of a kind, whose position never decreases."""

    def __init__(
        self, *, kind: feed.ObjectKind, consumer: ObjectConsumer
    ) -> None:
        self.kind = kind
        self.consumer = consumer
        # Position of the store that the view shows; 0 if it shows nothing.
        self.revision = 0
        self.objects: dict[str, model.StoredObject] = {}
        # The changes after known_since, oldest first. Values of objects would
        # add up: a configuration may have a megabyte.
        self.deltas: collections.deque[ChangedNames] = collections.deque()
        self.known_since = 0
        # Called after each new revision.
        self.on_changed: list[Callable[[], None]] = []

    def replace_all(self, listing: model.Listing, *, grace_s: float) -> bool:
        """Apply all objects; return False if they are older than the view."""
        if listing.revision < self.revision:
            return False
        objects = {stored.key: stored for stored in listing.objects}
        if self.revision and not position.in_same_era(
            self.revision, listing.revision
        ):
            self._begin_era(listing)
            grace_s = max(grace_s, ERA_GRACE_S)
        elif self.revision:
            # Followers get the difference: all objects would take most of
            # the bytes between hosts.
            changed = [
                stored.key
                for stored in listing.objects
                if self.objects.get(stored.key) != stored
            ]
            changed += self.objects.keys() - objects
            self._record(listing.revision, changed)
        else:
            self.known_since = listing.revision
        self.revision = listing.revision
        self.objects = objects
        self.consumer.replace_all(listing.objects, grace_s=grace_s)
        self._notify()
        return True

    def apply(
        self,
        events: Iterable[Event],
        *,
        after: int,
        revision: int,
        grace_s: float,
    ) -> bool:
        """Apply all changes after a revision, up to another one.

        Returns False if changes are missing between the view and the first
        revision, and ignores changes that the view already shows.
        """
        if after > self.revision:
            return False
        if revision <= self.revision:
            return True
        if not position.in_same_era(self.revision, revision):
            return False
        events = tuple(events)
        self.revision = revision
        last_puts = {
            event.key: event
            for event in events
            if isinstance(event, model.StoredObject)
        }
        changed = []
        for event in last_events(events):
            changed.append(_name_of(event))
            if isinstance(event, feed.Removal):
                if event.name in last_puts:
                    # It may say that the removal is planned, and not that of
                    # an entry that has expired.
                    self.consumer.upsert(last_puts[event.name])
                self.objects.pop(event.name, None)
                self.consumer.remove(event.name, grace_s=grace_s)
            else:
                self.objects[event.key] = event
                self.consumer.upsert(event)
        self._record(revision, changed)
        self._notify()
        return True

    def since(self, revision: int) -> Delta:
        """Return what changed after a revision, or all objects."""
        if revision >= self.revision:
            return Delta(self.revision, self.revision, ())
        if revision < self.known_since:
            return Delta(0, self.revision, tuple(self.objects.values()), True)
        # The last change of an object led to its present state.
        changed = dict.fromkeys(
            name
            for delta in self.deltas
            if delta.revision > revision
            for name in delta.names
        )
        return Delta(
            revision,
            self.revision,
            tuple(
                self.objects.get(name, feed.Removal(name)) for name in changed
            ),
        )

    def _begin_era(self, listing: model.Listing) -> None:
        """Prepare for the first list of a later era.

        Followers get all objects: one that was ahead of this view in the
        former era would keep changes that the store has lost.
        """
        _LOGGER.warning(
            "view begins a new era of the store",
            extra={
                "kind": self.kind,
                **position.log_fields(listing.revision),
                "previous_era": position.era_of(self.revision),
                "previous_revision": position.revision_of(self.revision),
                "missing": len(
                    self.objects.keys()
                    - {stored.key for stored in listing.objects}
                ),
                "grace_s": ERA_GRACE_S,
                "hold_s": ERA_HOLD_S,
            },
        )
        self.deltas.clear()
        self.known_since = listing.revision
        self.consumer.begin_era()

    def _record(self, revision: int, names: Iterable[str]) -> None:
        changed = ChangedNames(revision, tuple(names))
        if not changed.names:
            return
        self.deltas.append(changed)
        if len(self.deltas) > MAX_DELTAS:
            self.known_since = self.deltas.popleft().revision

    def _notify(self) -> None:
        for listener in self.on_changed:
            listener()


def last_events(events: Iterable[Event]) -> tuple[Event, ...]:
    """Return the last event of each object, in the order of these."""
    by_name: dict[str, Event] = {}
    for event in events:
        name = _name_of(event)
        by_name.pop(name, None)
        by_name[name] = event
    return tuple(by_name.values())


def _name_of(event: Event) -> str:
    return event.name if isinstance(event, feed.Removal) else event.key
