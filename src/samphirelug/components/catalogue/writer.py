"""Write catalogue entries to the store, each at most once."""

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

# This many attempts limit how long an operator waits while answers are lost.
# If the store answers, the outcome is known after the first few.
MAX_ATTEMPTS = 6
INITIAL_RETRY_DELAY_S = 0.1
# Entries refer only to entries of kinds with a lower number.
KIND_ORDER = {kind: number for number, kind in enumerate(schema.KINDS)}

_CONFLICT = result_codes.ResultCode.CATALOGUE_CONFLICT
_UNKNOWN = result_codes.ResultCode.STORE_OUTCOME_UNKNOWN


class Catalogue(NamedTuple):
    """Hold the catalogue as read from the store in one listing."""

    revision: int
    entries: Mapping[str, schema.Entry]
    # Revision of each object, tombstones included.
    revisions: Mapping[str, int]
    # Key to reason, for objects that are invalid.
    invalid: Mapping[str, str]


class EntryOutcome(enum.StrEnum):
    """Name the outcomes of writing one entry of a change."""

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"


class EntryResult(NamedTuple):
    """Report the outcome of writing one entry."""

    key: str
    outcome: EntryOutcome
    # Of the version in the store; 0 if unknown.
    revision: int


class ApplyReport(NamedTuple):
    """Report the outcome of every entry of a change.

    Unless the change was refused as a whole, unchanged entries come first,
    the others in the order of the writes.
    """

    entries: tuple[EntryResult, ...]
    # Why the change stopped; None if it was completed.
    refusal: result_codes.Refusal | None
    # Problems caused by a concurrent change of other entries.
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
    """Apply operators' changes with conditional writes."""

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

        Expected holds the revisions that the change is based on. For entries
        without one, it is the revision read at the start of the call.
        """
        loaded = await self.load()
        if not isinstance(loaded, Success):
            return _nothing_applied(wanted, loaded.failure())
        catalogue = loaded.unwrap()
        for key, revision in (expected or {}).items():
            found = catalogue.revisions.get(key, 0)
            if key in wanted and found != revision:
                refusal = _conflict_refusal(
                    diff.EntryChange(
                        key, catalogue.entries.get(key), wanted[key]
                    ),
                    f"the store has revision {found}, this change is based"
                    f" on revision {revision}; nothing was written",
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
        results = [
            EntryResult(
                key, EntryOutcome.UNCHANGED, catalogue.revisions.get(key, 0)
            )
            for key in wanted
            if key not in changed
        ]
        for index, change in enumerate(ordered):
            written = await self._write(
                change, catalogue.revisions.get(change.key, 0)
            )
            if isinstance(written, Success):
                results.append(
                    EntryResult(
                        change.key,
                        EntryOutcome.APPLIED,
                        written.unwrap().revision,
                    )
                )
                continue
            refusal = written.failure()
            outcome_unknown = refusal.code is _UNKNOWN
            results.append(
                EntryResult(
                    change.key,
                    EntryOutcome.UNKNOWN
                    if outcome_unknown
                    else EntryOutcome.NOT_APPLIED,
                    0,
                )
            )
            results.extend(
                EntryResult(later.key, EntryOutcome.NOT_APPLIED, 0)
                for later in ordered[index + 1 :]
            )
            return ApplyReport(tuple(results), refusal)
        return ApplyReport(
            tuple(results),
            None,
            await self._warnings(catalogue) if ordered else (),
        )

    async def _warnings(self, before: Catalogue) -> tuple[str, ...]:
        # Each write is conditional on its own entry only, so another operator
        # may meanwhile have deleted an entry that a written one refers to.
        loaded = await self.load()
        if not isinstance(loaded, Success):
            return ()
        return schema.new_problems(before.entries, loaded.unwrap().entries)

    async def _write(
        self, change: diff.EntryChange, expected_revision: int
    ) -> Result[store_model.StoredObject, result_codes.Refusal]:
        """Write one entry; at most one of the attempts takes effect.

        All attempts carry the same change id and expected revision. The
        change id shows whether the version in the store is from this change.
        """
        change_id = self.new_change_id()
        key = codec.PREFIX + change.key
        body = codec.encode_body(change_id=change_id, entry=change.after)
        # An attempt whose answer was lost may have taken effect; one that met
        # another revision did not.
        answer_lost = conflicted = False
        refusal = result_codes.Refusal(
            result_codes.ResultCode.STORE_UNAVAILABLE, "no attempt was made"
        )
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                delay_s = INITIAL_RETRY_DELAY_S * 2.0 ** (attempt - 1)
                await self.timer.sleep(max(delay_s, refusal.retry_after_s))
            if answer_lost or conflicted:
                read_back = await self._read_back(
                    change,
                    change_id,
                    expected_revision,
                    answer_lost=answer_lost,
                )
                if isinstance(read_back, Failure):
                    refusal = read_back.failure()
                    if refusal.code is _CONFLICT:
                        return Failure(refusal)
                    continue
                found = read_back.unwrap()
                if found is not None:
                    return Success(found)
            answer = await self.store.put(
                key, dict(body), expected_revision=expected_revision
            )
            if isinstance(answer, Success):
                return answer
            refusal = answer.failure()
            if refusal.code is _UNKNOWN:
                answer_lost = True
            elif refusal.code is result_codes.ResultCode.STORE_CONFLICT:
                conflicted = True
            elif refusal.code not in (
                result_codes.ResultCode.STORE_UNAVAILABLE,
                result_codes.ResultCode.STORE_BUDGET_EMPTY,
            ):
                break
        if answer_lost:
            return Failure(
                result_codes.Refusal(
                    _UNKNOWN,
                    f"{change.key}: the change may have taken effect; apply"
                    f" it again once the store answers ({refusal.detail})",
                )
            )
        if conflicted:
            return Failure(
                result_codes.Refusal(
                    _CONFLICT,
                    f"{change.key}: another change, which could not be read,"
                    f" took effect first; nothing was written"
                    f" ({refusal.detail})",
                )
            )
        return Failure(refusal)

    async def _read_back(
        self,
        change: diff.EntryChange,
        change_id: str,
        expected_revision: int,
        *,
        answer_lost: bool,
    ) -> Result[store_model.StoredObject | None, result_codes.Refusal]:
        """Return the object if it is from this change.

        Returns None if the object is unchanged or absent, and a conflict if
        another change has replaced it.
        """
        answer = await self.store.get(codec.PREFIX + change.key)
        if not isinstance(answer, Success):
            refusal = answer.failure()
            if refusal.code is not result_codes.ResultCode.OBJECT_NOT_FOUND:
                return Failure(refusal)
            return Success(None)
        found = answer.unwrap()
        if codec.change_id_of(found.value) == change_id:
            return Success(found)
        # A lower revision comes from a stale read.
        if found.revision <= expected_revision:
            return Success(None)
        decoded = codec.decode_object(found)
        stored_entry = (
            decoded.unwrap().entry if isinstance(decoded, Success) else None
        )
        note = "nothing was written"
        if answer_lost:
            note = (
                "an answer was lost, so this change may have been in force"
                " until the other one replaced it"
            )
        return Failure(
            _conflict_refusal(
                diff.EntryChange(change.key, stored_entry, change.after),
                f"the store has revision {found.revision} from another"
                f" change, this change is based on revision"
                f" {expected_revision}; {note}",
                reason=str(decoded.failure())
                if isinstance(decoded, Failure)
                else None,
            )
        )


def read_catalogue(listing: store_model.Listing) -> Catalogue:
    """Decode the objects of a listing."""
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
    """Return the changes in an order that keeps the catalogue valid.

    Problems that the catalogue already has do not count.
    """
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
    final = _with_changes(catalogue.entries, pending)
    problems = schema.new_problems(catalogue.entries, final)
    if problems:
        return Failure(_invalid_refusal(problems))
    pending.sort(key=_sort_key)
    entries = dict(catalogue.entries)
    ordered: list[diff.EntryChange] = []
    while pending:
        added_problems: tuple[str, ...] = ()
        for change in pending:
            candidate = _with_changes(entries, [change])
            added_problems = schema.new_problems(catalogue.entries, candidate)
            if not added_problems:
                break
        else:
            return Failure(
                _invalid_refusal(
                    (
                        "no order of these changes keeps the catalogue valid"
                        " after each of them; apply them in several steps",
                        *added_problems,
                    )
                )
            )
        pending.remove(change)
        entries = candidate
        ordered.append(change)
    return Success(tuple(ordered))


def _sort_key(change: diff.EntryChange) -> tuple[bool, int]:
    """Return a key that sorts additions by kind, then deletions reversed."""
    kind_number = KIND_ORDER[change.key.partition("/")[0]]
    if change.after is None:
        return (True, -kind_number)
    return (False, kind_number)


def _with_changes(
    entries: Mapping[str, schema.Entry], changes: list[diff.EntryChange]
) -> dict[str, schema.Entry]:
    result = dict(entries)
    for change in changes:
        result.pop(change.key, None)
        if change.after is not None:
            result[change.key] = change.after
    return result


def _invalid_refusal(problems: tuple[str, ...]) -> result_codes.Refusal:
    return result_codes.Refusal(
        result_codes.ResultCode.CATALOGUE_INVALID, "; ".join(problems)
    )


def _conflict_refusal(
    change: diff.EntryChange, detail: str, *, reason: str | None
) -> result_codes.Refusal:
    """Return a refusal that shows the stored and the new version.

    Reason says why the stored version is invalid; None if it is valid.
    """
    stored_text = diff.to_yaml(change.before) or "(deleted or absent)\n"
    if reason is not None:
        stored_text = f"(invalid: {reason})\n"
    new_text = diff.to_yaml(change.after) or "(deleted)\n"
    return result_codes.Refusal(
        result_codes.ResultCode.CATALOGUE_CONFLICT,
        f"{change.key}: {detail}\n--- in the store\n{stored_text}"
        f"--- this change\n{new_text}",
    )


def _nothing_applied(
    wanted: Mapping[str, schema.Entry | None], refusal: result_codes.Refusal
) -> ApplyReport:
    return ApplyReport(
        tuple(EntryResult(key, EntryOutcome.NOT_APPLIED, 0) for key in wanted),
        refusal,
    )
