"""Hold the catalogue in force on an entry host."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import orjson
from returns.result import Success

from samphirelug.components.catalogue import codec
from samphirelug.components.catalogue import model
from samphirelug.components.catalogue import schema
from samphirelug.components.catalogue import view as catalogue_view
from samphirelug.components.store import model as store_model

# Limits on the rejections in a reply. Longer reasons are cut off.
MAX_REJECTIONS_SENT = 100
MAX_REASON_CHARS = 500
# A reply must stay below the limit of a message between hosts, even with one
# more entry of the largest size.
MAX_DELTA_BYTES = schema.MAX_ENTRY_BYTES


class CatalogueState:
    """Merge catalogue updates from the store and from peers, in any order.

    An entry is replaced only by a version with a higher revision, and the
    position only grows, so outdated updates have no effect.
    """

    def __init__(self, *, on_change: Callable[[], None] | None = None) -> None:
        self.on_change = on_change
        self.view = catalogue_view.CatalogueView()
        # Revision of the store up to which all changes are merged.
        self.position = 0
        # Key to reason, for entries whose latest version is invalid.
        self.rejected: Mapping[str, str] = {}
        # The latest valid version of each entry, tombstones included.
        self.objects: dict[str, model.CatalogueObject] = {}
        # Set when a change arrives late, at or below the position: the
        # revision before the oldest such change. Peers that have reached the
        # position through this host may lack the change too.
        self.repair_since: int | None = None
        self._rejected_revisions: dict[str, int] = {}
        # Size of each object as JSON, by key; computed when needed.
        self._sizes: dict[str, int] = {}

    def apply_listing(self, listing: store_model.Listing) -> bool:
        """Merge a full listing; return whether anything changed.

        An entry that the listing lacks is kept, since deletions are stored
        as tombstones.
        """
        return self._apply_stored(listing, after=0)

    def apply_watch(self, listing: store_model.Listing, after: int) -> bool:
        """Merge the result of a watch; return whether anything changed."""
        return self._apply_stored(listing, after=after)

    def apply_delta(self, delta: model.CatalogueDelta) -> bool:
        """Merge a peer's delta; return whether anything changed.

        A delta that starts beyond the position is ignored, since changes
        between the two would be missing.
        """
        if delta.since > self.position:
            return False
        return self._merge(delta.objects, delta.revision)

    def apply_partial_delta(self, delta: model.CatalogueDelta) -> bool:
        """Merge part of a larger delta, without advancing the position."""
        return self._merge(delta.objects, 0)

    def apply_rejections(self, rejected: Iterable[model.Rejection]) -> None:
        """Record entries that a peer rejected, unless they are outdated."""
        for item in rejected:
            if item.revision > self._latest_revision(item.key):
                self._record_rejection(item.key, item.revision, item.reason)

    def rejections_since(self, since: int) -> tuple[model.Rejection, ...]:
        """Return entries rejected after a revision, up to the limits."""
        found = [
            model.Rejection(key, revision, reason[:MAX_REASON_CHARS])
            for key, reason in self.rejected.items()
            if (revision := self._rejected_revisions[key]) > since
        ]
        return tuple(found[:MAX_REJECTIONS_SENT])

    def delta_since(self, since: int) -> model.CatalogueDelta:
        """Return the entries that changed after a revision, oldest first.

        A delta above MAX_DELTA_BYTES ends early: it is for
        apply_partial_delta, and its revision is the one to request the next
        part from. Changes beyond the position are included, since each may
        have replaced a version that the receiver would otherwise lack.
        """
        found: list[model.CatalogueObject] = []
        size = 0
        for item in sorted(
            (item for item in self.objects.values() if item.revision > since),
            key=lambda item: item.revision,
        ):
            size += self._size_of(item)
            if found and size > MAX_DELTA_BYTES:
                revision = min(found[-1].revision, self.position)
                return model.CatalogueDelta(since, revision, tuple(found))
            found.append(item)
        return model.CatalogueDelta(since, self.position, tuple(found))

    def pop_repair(self) -> model.CatalogueDelta | None:
        """Return the late changes, which peers may lack, and clear them."""
        since, self.repair_since = self.repair_since, None
        return None if since is None else self.delta_since(since)

    def _apply_stored(
        self, listing: store_model.Listing, *, after: int
    ) -> bool:
        """Merge a listing that contains all changes after a revision."""
        valid: list[model.CatalogueObject] = []
        rejected = False
        for stored in listing.objects:
            if not stored.key.startswith(codec.PREFIX):
                continue
            key = stored.key.removeprefix(codec.PREFIX)
            # Unchanged entries of a full listing are not validated again. One
            # that is older than a rejected version may still be the latest
            # valid one.
            known = self.objects.get(key)
            rejected_revision = self._rejected_revisions.get(key, 0)
            if stored.revision == rejected_revision or (
                known is not None and stored.revision <= known.revision
            ):
                continue
            decoded = codec.decode_object(stored)
            if isinstance(decoded, Success):
                valid.append(decoded.unwrap())
            elif stored.revision > rejected_revision:
                rejected = True
                self._record_rejection(
                    key, stored.revision, str(decoded.failure())
                )
        # The position stays if changes before the listing may be missing.
        revision = listing.revision if after <= self.position else 0
        return self._merge(valid, revision) or rejected

    def _merge(
        self, objects: Iterable[model.CatalogueObject], revision: int
    ) -> bool:
        changed = False
        for item in objects:
            known = self.objects.get(item.key)
            if known is not None and item.revision <= known.revision:
                continue
            changed = True
            self.objects[item.key] = item
            self._sizes.pop(item.key, None)
            if item.revision >= self._rejected_revisions.get(item.key, 0):
                self._clear_rejection(item.key)
            if item.revision <= self.position:
                since = item.revision - 1
                if self.repair_since is not None:
                    since = min(since, self.repair_since)
                self.repair_since = since
        advanced = revision > self.position
        if advanced:
            self.position = revision
        if changed:
            self.view = catalogue_view.CatalogueView(
                entries=[
                    item.entry
                    for item in self.objects.values()
                    if item.entry is not None
                ]
            )
            if self.on_change is not None:
                self.on_change()
        return changed or advanced

    def _latest_revision(self, key: str) -> int:
        """Return the entry's highest revision received, valid or not."""
        known = self.objects.get(key)
        return max(
            known.revision if known else 0,
            self._rejected_revisions.get(key, 0),
        )

    def _record_rejection(self, key: str, revision: int, reason: str) -> None:
        self._rejected_revisions[key] = revision
        self.rejected = {**self.rejected, key: reason}

    def _clear_rejection(self, key: str) -> None:
        if self._rejected_revisions.pop(key, None) is not None:
            self.rejected = {
                name: reason
                for name, reason in self.rejected.items()
                if name != key
            }

    def _size_of(self, item: model.CatalogueObject) -> int:
        size = self._sizes.get(item.key)
        if size is None:
            size = len(orjson.dumps(item._asdict()))
            self._sizes[item.key] = size
        return size
