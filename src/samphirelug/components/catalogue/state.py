"""Hold the catalogue that is in force on this host."""

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

# Bound what a reply holds besides its delta.
MAX_REJECTIONS_SENT = 100
MAX_REASON_SENT = 500
# A reply must stay below the limit of a message between hosts, also with one
# entry of the largest size on top.
MAX_DELTA_BYTES = schema.MAX_ENTRY_BYTES


class CatalogueState:
    """Merge catalogue changes from any source in any order.

    An entry is replaced only by one with a higher revision, and the position
    only grows, so old news from any source has no effect.
    """

    def __init__(self, *, on_change: Callable[[], None] | None = None) -> None:
        self.on_change = on_change
        self.view = catalogue_view.CatalogueView()
        self.position = 0
        self.rejected: Mapping[str, str] = {}
        # The latest valid version of each entry, tombstones included.
        self.objects: dict[str, model.CatalogueObject] = {}
        # Set when a change arrived that the position already claimed: the
        # position before the oldest such change. Peers that took the
        # position over from this host may lack it too.
        self.repaired_since: int | None = None
        self._rejected_revisions: dict[str, int] = {}
        self._sizes: dict[str, int] = {}

    def apply_listing(self, listing: store_model.Listing) -> bool:
        """Merge a full listing of the catalogue; tell if anything is new.

        An entry that the listing lacks stays: entries end by tombstones.
        """
        return self._apply_stored(listing, covers_from=0)

    def apply_watch(self, listing: store_model.Listing, after: int) -> bool:
        """Merge the answer to a watch after a revision."""
        return self._apply_stored(listing, covers_from=after)

    def apply_delta(self, delta: model.CatalogueDelta) -> bool:
        """Merge a peer's delta; one that starts beyond the position waits."""
        if delta.since > self.position:
            return False
        return self._merge(delta.objects, delta.revision)

    def apply_part(self, delta: model.CatalogueDelta) -> bool:
        """Merge a part of a delta, which leaves the position as it is."""
        return self._merge(delta.objects, 0)

    def apply_rejections(self, rejected: Iterable[model.Rejection]) -> None:
        """Report what a peer could not apply, unless it is old news."""
        for item in rejected:
            if item.revision > self._revision_seen(item.key):
                self._reject(item.key, item.revision, item.reason)

    def rejections_since(self, since: int) -> tuple[model.Rejection, ...]:
        """Return the first entries rejected after a revision."""
        found = [
            model.Rejection(key, revision, reason[:MAX_REASON_SENT])
            for key, reason in self.rejected.items()
            if (revision := self._rejected_revisions[key]) > since
        ]
        return tuple(found[:MAX_REJECTIONS_SENT])

    def delta_since(self, since: int) -> model.CatalogueDelta:
        """Return what changed after a revision, oldest first.

        A delta above MAX_DELTA_BYTES ends early, with the revision that the
        receiver asks again from: a part for apply_part. Changes beyond
        the position are included, since each stands for an older version
        that the receiver would otherwise lack.
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

    def take_repair(self) -> model.CatalogueDelta | None:
        """Return the changes that peers may lack, once."""
        since, self.repaired_since = self.repaired_since, None
        return None if since is None else self.delta_since(since)

    def _apply_stored(
        self, listing: store_model.Listing, *, covers_from: int
    ) -> bool:
        valid: list[model.CatalogueObject] = []
        rejected = False
        for stored in listing.objects:
            if not stored.key.startswith(codec.PREFIX):
                continue
            key = stored.key.removeprefix(codec.PREFIX)
            # Unchanged entries of a full listing need no second check.
            if stored.revision <= self._revision_seen(key):
                continue
            decoded = codec.decode_object(stored)
            if isinstance(decoded, Success):
                valid.append(decoded.unwrap())
            else:
                rejected = True
                self._reject(key, stored.revision, str(decoded.failure()))
        revision = listing.revision if covers_from <= self.position else 0
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
                self._unreject(item.key)
            if item.revision <= self.position:
                since = item.revision - 1
                if self.repaired_since is not None:
                    since = min(since, self.repaired_since)
                self.repaired_since = since
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

    def _revision_seen(self, key: str) -> int:
        known = self.objects.get(key)
        return max(
            known.revision if known else 0,
            self._rejected_revisions.get(key, 0),
        )

    def _reject(self, key: str, revision: int, reason: str) -> None:
        self._rejected_revisions[key] = revision
        self.rejected = {**self.rejected, key: reason}

    def _unreject(self, key: str) -> None:
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
