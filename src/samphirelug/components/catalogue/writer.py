"""Write catalogue entries to the store, each exactly once."""

from collections.abc import Callable
from collections.abc import Mapping
import enum
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.catalogue import codec
from samphirelug.components.catalogue import diff
from samphirelug.components.catalogue import schema
from samphirelug.components.store import model as store_model
from samphirelug.components.store import object_store
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

# Bounds how long an operator waits while answers are lost; a store that
# answers at all settles the outcome within the first of these.
MAX_TRIES = 6
FIRST_PAUSE_S = 0.1
# References point from the later of these kinds to the earlier ones.
KIND_ORDER = {kind: place for place, kind in enumerate(schema.KINDS)}

_CONFLICT = result_codes.ResultCode.CATALOGUE_CONFLICT
_UNKNOWN = result_codes.ResultCode.STORE_OUTCOME_UNKNOWN


class Catalogue(NamedTuple):
    """Hold the store's catalogue as one listing showed it."""

    revision: int
    entries: Mapping[str, schema.Entry]
    # Revision of each object, tombstones included.
    revisions: Mapping[str, int]
    # Key to reason, for objects that are not valid.
    invalid: Mapping[str, str]


class EntryOutcome(enum.StrEnum):
    """Name what became of one entry of a change."""

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"


class AppliedEntry(NamedTuple):
    """Tell what became of one entry."""

    key: str
    outcome: EntryOutcome
    # Of the version that is in the store, 0 where it is not known.
    revision: int


class ApplyReport(NamedTuple):
    """Tell what became of every entry of a change, in order."""

    entries: tuple[AppliedEntry, ...]
    # Why the change stopped; None after a complete one.
    refusal: result_codes.Refusal | None
    # Problems that a concurrent change of other entries has caused.
    warnings: tuple[str, ...] = ()

    @property
    def revision(self) -> int:
        """Return the highest revision that this change wrote, or 0."""
        return max(
            (
                item.revision
                for item in self.entries
                if item.outcome is EntryOutcome.APPLIED
            ),
            default=0,
        )


class CatalogueWriter:
    """Apply operators' changes through conditional writes."""

    def __init__(
        self,
        *,
        store: object_store.ObjectStore,
        timer: timer_helper.TimerService,
        new_change_id: Callable[[], str],
    ) -> None:
        self.store = store
        self.timer = timer
        self.new_change_id = new_change_id

    async def load(self) -> Result[Catalogue, result_codes.Refusal]:
        """Read the whole catalogue."""
        answer = await self.store.list(codec.PREFIX)
        if not isinstance(answer, Success):
            return Failure(answer.failure())
        return Success(read_catalogue(answer.unwrap()))

    async def apply(
        self,
        wanted: Mapping[str, schema.Entry | None],
        *,
        expected: Mapping[str, int] | None = None,
    ) -> ApplyReport:
        """Write entries one by one; None deletes an entry.

        Expected holds the revisions that the change was made from; where
        it has none, the revision read at the start counts.
        """
        loaded = await self.load()
        if not isinstance(loaded, Success):
            return _nothing_applied(wanted, loaded.failure())
        catalogue = loaded.unwrap()
        for key, revision in (expected or {}).items():
            found = catalogue.revisions.get(key, 0)
            if key in wanted and found != revision:
                refusal = _conflict(
                    diff.EntryChange(
                        key, catalogue.entries.get(key), wanted[key]
                    ),
                    f"the store has revision {found}, the change was made"
                    f" from revision {revision}; nothing was written",
                    reason=catalogue.invalid.get(key),
                )
                return _nothing_applied(wanted, refusal)
        ordered = order_changes(catalogue, wanted)
        if not isinstance(ordered, Success):
            return _nothing_applied(wanted, ordered.failure())
        return await self._write_all(catalogue, wanted, ordered.unwrap())

    async def _write_all(
        self,
        catalogue: Catalogue,
        wanted: Mapping[str, schema.Entry | None],
        ordered: tuple[diff.EntryChange, ...],
    ) -> ApplyReport:
        changed = {change.key for change in ordered}
        done = [
            AppliedEntry(
                key, EntryOutcome.UNCHANGED, catalogue.revisions.get(key, 0)
            )
            for key in wanted
            if key not in changed
        ]
        for place, change in enumerate(ordered):
            written = await self._write(
                change, catalogue.revisions.get(change.key, 0)
            )
            if isinstance(written, Success):
                done.append(
                    AppliedEntry(
                        change.key,
                        EntryOutcome.APPLIED,
                        written.unwrap().revision,
                    )
                )
                continue
            refusal = written.failure()
            unknown = refusal.code is _UNKNOWN
            done.append(
                AppliedEntry(
                    change.key,
                    EntryOutcome.UNKNOWN
                    if unknown
                    else EntryOutcome.NOT_APPLIED,
                    0,
                )
            )
            done.extend(
                AppliedEntry(later.key, EntryOutcome.NOT_APPLIED, 0)
                for later in ordered[place + 1 :]
            )
            return ApplyReport(tuple(done), refusal)
        return ApplyReport(
            tuple(done),
            None,
            await self._warnings(catalogue) if ordered else (),
        )

    async def _warnings(self, before: Catalogue) -> tuple[str, ...]:
        # Writes are conditional per entry, so another operator may have
        # deleted what an entry refers to since the catalogue was read.
        loaded = await self.load()
        if not isinstance(loaded, Success):
            return ()
        return schema.new_problems(before.entries, loaded.unwrap().entries)

    async def _write(
        self, change: diff.EntryChange, expected_revision: int
    ) -> Result[store_model.StoredObject, result_codes.Refusal]:
        """Write one entry; at most one of the tries takes effect.

        All tries carry one change id and one expected revision, so the
        change id tells whether the version in the store is this change.
        """
        change_id = self.new_change_id()
        key = codec.PREFIX + change.key
        body = codec.encode_body(change_id=change_id, entry=change.after)
        # A try whose answer was lost may have taken effect; one that met
        # another revision has not.
        lost = conflicted = False
        refusal = result_codes.Refusal(
            result_codes.ResultCode.STORE_UNAVAILABLE, "no try was made"
        )
        for place in range(MAX_TRIES):
            if place:
                pause_s = FIRST_PAUSE_S * 2.0 ** (place - 1)
                await self.timer.sleep(max(pause_s, refusal.retry_after_s))
            if lost or conflicted:
                settled = await self._settle(
                    change, change_id, expected_revision, lost=lost
                )
                if isinstance(settled, Failure):
                    refusal = settled.failure()
                    if refusal.code is _CONFLICT:
                        return Failure(refusal)
                    continue
                found = settled.unwrap()
                if found is not None:
                    return Success(found)
            answer = await self.store.put(
                key, dict(body), expected_revision=expected_revision
            )
            if isinstance(answer, Success):
                return answer
            refusal = answer.failure()
            if refusal.code is _UNKNOWN:
                lost = True
            elif refusal.code is result_codes.ResultCode.STORE_CONFLICT:
                conflicted = True
            elif refusal.code not in (
                result_codes.ResultCode.STORE_UNAVAILABLE,
                result_codes.ResultCode.STORE_BUDGET_EMPTY,
            ):
                break
        if lost:
            return Failure(
                result_codes.Refusal(
                    _UNKNOWN,
                    f"{change.key}: the change may have taken effect; apply"
                    f" it again when the store answers ({refusal.detail})",
                )
            )
        if conflicted:
            return Failure(
                result_codes.Refusal(
                    _CONFLICT,
                    f"{change.key}: another change took effect first and"
                    f" could not be read; nothing was written"
                    f" ({refusal.detail})",
                )
            )
        return Failure(refusal)

    async def _settle(
        self,
        change: diff.EntryChange,
        change_id: str,
        expected_revision: int,
        *,
        lost: bool,
    ) -> Result[store_model.StoredObject | None, result_codes.Refusal]:
        """Read the object back: this change, or None for the old revision."""
        answer = await self.store.get(codec.PREFIX + change.key)
        if not isinstance(answer, Success):
            refusal = answer.failure()
            if refusal.code is not result_codes.ResultCode.OBJECT_NOT_FOUND:
                return Failure(refusal)
            return Success(None)
        found = answer.unwrap()
        if codec.change_id_of(found.value) == change_id:
            return Success(found)
        # A lower revision is an answer from before the change was made.
        if found.revision <= expected_revision:
            return Success(None)
        decoded = codec.decode_object(found)
        theirs = (
            decoded.unwrap().entry if isinstance(decoded, Success) else None
        )
        note = "nothing was written"
        if lost:
            note = (
                "an answer was lost, so this change may have been in force"
                " until the other one replaced it"
            )
        return Failure(
            _conflict(
                diff.EntryChange(change.key, theirs, change.after),
                f"the store has revision {found.revision} of another"
                f" change, this one was made from revision"
                f" {expected_revision}; {note}",
                reason=str(decoded.failure())
                if isinstance(decoded, Failure)
                else None,
            )
        )


def read_catalogue(listing: store_model.Listing) -> Catalogue:
    """Return the catalogue that a listing holds."""
    entries: dict[str, schema.Entry] = {}
    revisions: dict[str, int] = {}
    invalid: dict[str, str] = {}
    for stored in listing.objects:
        key = stored.key.removeprefix(codec.PREFIX)
        revisions[key] = stored.revision
        decoded = codec.decode_object(stored)
        if isinstance(decoded, Failure):
            invalid[key] = str(decoded.failure())
            continue
        entry = decoded.unwrap().entry
        if entry is not None:
            entries[key] = entry
    return Catalogue(listing.revision, entries, revisions, invalid)


def order_changes(
    catalogue: Catalogue, wanted: Mapping[str, schema.Entry | None]
) -> Result[tuple[diff.EntryChange, ...], result_codes.Refusal]:
    """Return the changes so that the catalogue is valid after each."""
    missing = [
        key
        for key, entry in wanted.items()
        if entry is None
        and key not in catalogue.entries
        and key not in catalogue.invalid
    ]
    if missing:
        return Failure(
            result_codes.Refusal(
                result_codes.ResultCode.OBJECT_NOT_FOUND,
                f"{', '.join(missing)}: not in the catalogue",
            )
        )
    pending = [
        diff.EntryChange(key, catalogue.entries.get(key), entry)
        for key, entry in wanted.items()
        if entry != catalogue.entries.get(key) or key in catalogue.invalid
    ]
    final = _changed(catalogue.entries, pending)
    found = schema.new_problems(catalogue.entries, final)
    if found:
        return Failure(_invalid(found))
    pending.sort(key=_preference)
    entries = dict(catalogue.entries)
    ordered: list[diff.EntryChange] = []
    while pending:
        blocked: tuple[str, ...] = ()
        for change in pending:
            trial = _changed(entries, [change])
            blocked = schema.new_problems(catalogue.entries, trial)
            if not blocked:
                break
        else:
            return Failure(
                _invalid(
                    (
                        "no order of these changes keeps the catalogue"
                        " valid after each; apply them in steps",
                        *blocked,
                    )
                )
            )
        pending.remove(change)
        entries = trial
        ordered.append(change)
    return Success(tuple(ordered))


def _preference(change: diff.EntryChange) -> tuple[bool, int]:
    """Put additions in order of reference first, deletions reversed last."""
    place = KIND_ORDER[change.key.partition("/")[0]]
    if change.after is None:
        return (True, -place)
    return (False, place)


def _changed(
    entries: Mapping[str, schema.Entry], made: list[diff.EntryChange]
) -> dict[str, schema.Entry]:
    changed = dict(entries)
    for change in made:
        changed.pop(change.key, None)
        if change.after is not None:
            changed[change.key] = change.after
    return changed


def _invalid(found: tuple[str, ...]) -> result_codes.Refusal:
    return result_codes.Refusal(
        result_codes.ResultCode.CATALOGUE_INVALID, "; ".join(found)
    )


def _conflict(
    change: diff.EntryChange, detail: str, *, reason: str | None
) -> result_codes.Refusal:
    """Return a conflict that shows the store's and the new version."""
    theirs = diff.to_yaml(change.before) or "(deleted or absent)\n"
    if reason is not None:
        theirs = f"(not valid: {reason})\n"
    mine = diff.to_yaml(change.after) or "(deleted)\n"
    return result_codes.Refusal(
        result_codes.ResultCode.CATALOGUE_CONFLICT,
        f"{change.key}: {detail}\n--- in the store\n{theirs}"
        f"--- this change\n{mine}",
    )


def _nothing_applied(
    wanted: Mapping[str, schema.Entry | None], refusal: result_codes.Refusal
) -> ApplyReport:
    return ApplyReport(
        tuple(
            AppliedEntry(key, EntryOutcome.NOT_APPLIED, 0) for key in wanted
        ),
        refusal,
    )
