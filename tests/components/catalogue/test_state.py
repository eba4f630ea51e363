"""Test that the catalogue in force never reverts to older versions."""

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from samphirelug.components.catalogue import codec
from samphirelug.components.catalogue import model
from samphirelug.components.catalogue import schema
from samphirelug.components.catalogue import state as catalogue_state
from samphirelug import core
from standins import builders
from standins import store as store_standin

KEYS = ("work/a", "work/b", "work/c")


def write(
    store: store_standin.StoreCore, key: str, *, valid: bool, deleted: bool
) -> None:
    """Write a version of an entry, whose cap is the new revision."""
    name = key.partition("/")[2]
    entry = builders.make_work(name, work_class=core.WorkClass.STATUS)
    entry["max_in_flight_per_region"] = store.revision + 1
    body = codec.encode_body(
        change_id=str(store.revision), entry=None if deleted else entry
    )
    if not valid:
        body["entry"] = {"kind": "work", "name": name}
        body["deleted"] = False
    stored = store.objects.get(f"catalogue/{key}")
    store.put(f"catalogue/{key}", dict(body), stored.revision if stored else 0)


def version_at(
    store: store_standin.StoreCore, key: str, revision: int
) -> model.CatalogueObject | None:
    """Return the key's version as of a revision; None if invalid."""
    found = None
    for item in store.history:
        if item.key == f"catalogue/{key}" and item.revision <= revision:
            found = item
    return codec.decode_object(found).value_or(None) if found else None


def assert_position_is_complete(
    store: store_standin.StoreCore, state: catalogue_state.CatalogueState
) -> None:
    """Check that the state has all valid versions up to its position."""
    for key in KEYS:
        newest = version_at(store, key, state.position)
        if newest is not None:
            assert state.objects[key].revision >= newest.revision


_WRITE = ("write", 0, 0, False, False)
_WRITE_VALID = ("write", 0, 0, True, False)
_WATCH_BEYOND = ("watch", 0, 1, False, False)
_STALE_LIST = ("list", 0, 2, False, False)


# A valid version older than one that was rejected.
@example(
    [_WRITE] * 7 + [_WRITE_VALID, _WRITE, _WRITE, _WATCH_BEYOND, _STALE_LIST]
)
@example(
    [_WRITE] * 5
    + [_WRITE_VALID, ("list", 0, 0, False, False)]
    + [_WRITE_VALID, _WRITE, _WRITE, _WATCH_BEYOND, _STALE_LIST]
)
@settings(max_examples=400)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["write", "list", "watch", "peer"]),
            strategies.integers(0, 2),
            strategies.integers(0, 12),
            strategies.booleans(),
            strategies.booleans(),
        ),
        max_size=60,
    )
)
def test_versions_never_go_back(
    steps: list[tuple[str, int, int, bool, bool]],
) -> None:
    """Guard against an entry that reverts, or is lost below the position.

    Listings, watches and deltas of peers arrive in any order, may be stale by
    any number of revisions, and may start beyond the position.
    """
    store = store_standin.StoreCore()
    states = [catalogue_state.CatalogueState() for _ in range(3)]
    before: list[dict[str, int]] = [{} for _ in states]
    for step, number, age, valid, deleted in steps:
        state = states[number]
        after = max(0, state.position - age)
        if step == "write":
            write(store, KEYS[number], valid=valid, deleted=deleted)
        elif step == "list":
            store.faults.stale_by = age
            state.apply_listing(store.list(codec.PREFIX))
        elif step == "watch":
            # The answer may also start beyond the position.
            start = after if valid else state.position + age
            state.apply_watch(store.changes(codec.PREFIX, start), start)
        else:
            other = states[(number + 1) % 3]
            start = after if valid else state.position + age
            state.apply_delta(other.delta_since(start))
        for known, each in zip(before, states, strict=True):
            found = {key: item.revision for key, item in each.objects.items()}
            found["position"] = each.position
            assert all(found[key] >= known[key] for key in known)
            known.update(found)
            assert_position_is_complete(store, each)
            works = each.view.works
            for key, item in each.objects.items():
                name = key.partition("/")[2]
                assert works.get(name) == item.entry
    store.faults.stale_by = 0
    for state in states:
        state.apply_listing(store.list(codec.PREFIX))
        assert state.position == store.revision
        for key in KEYS:
            newest = version_at(store, key, store.revision)
            if newest is not None:
                assert state.objects[key] == newest
                assert key not in state.rejected
            elif f"catalogue/{key}" in store.objects:
                assert key in state.rejected


def test_invalid_entry_leaves_the_previous_version_in_force() -> None:
    """Guard against an entry that disappears when its update is invalid."""
    store = store_standin.StoreCore()
    changed_positions: list[int] = []
    state = catalogue_state.CatalogueState(
        on_change=lambda: changed_positions.append(state.position)
    )
    write(store, "work/a", valid=True, deleted=False)
    state.apply_watch(store.changes(codec.PREFIX, 0), 0)
    write(store, "work/a", valid=False, deleted=False)
    assert state.apply_watch(store.changes(codec.PREFIX, 1), 1)
    assert state.position == 2
    assert state.view.works["a"]["max_in_flight_per_region"] == 1
    assert "owner: is missing" in state.rejected["work/a"]
    peer = catalogue_state.CatalogueState()
    peer.apply_delta(state.delta_since(0))
    assert (peer.position, list(peer.view.works)) == (2, ["a"])
    write(store, "work/a", valid=True, deleted=True)
    state.apply_watch(store.changes(codec.PREFIX, 2), 2)
    assert (dict(state.rejected), state.view.works) == ({}, {})
    assert changed_positions == [1, 3]


def test_large_delta_is_split_into_parts() -> None:
    """Guard against a delta that exceeds the limit of a peer message."""
    store = store_standin.StoreCore()
    for name in "abcde":
        entry = builders.make_work(name, work_class=core.WorkClass.STATUS)
        entry["owner"] = "x" * (schema.MAX_ENTRY_BYTES // 2)
        body = codec.encode_body(change_id=name, entry=entry)
        store.put(f"catalogue/work/{name}", dict(body), 0)
    state = catalogue_state.CatalogueState()
    state.apply_listing(store.list(codec.PREFIX))
    peer = catalogue_state.CatalogueState()
    parts = 0
    while peer.position < state.position:
        delta = state.delta_since(peer.position)
        assert len(delta.objects) <= 2
        assert peer.apply_delta(delta)
        parts += 1
    assert parts > 2
    assert peer.objects == state.objects


def test_late_change_is_merged_and_passed_on() -> None:
    """Guard against a change that is lost because a watch left it out."""
    store = store_standin.StoreCore()
    for key in KEYS:
        write(store, key, valid=True, deleted=False)
    full = store.changes(codec.PREFIX, 0)
    incomplete = full._replace(objects=(full.objects[0], full.objects[2]))
    state = catalogue_state.CatalogueState()
    state.apply_watch(incomplete, 0)
    peer = catalogue_state.CatalogueState()
    peer.apply_delta(state.delta_since(0))
    assert state.pop_repair() is None
    state.apply_watch(full, 0)
    repair = state.pop_repair()
    assert repair is not None
    peer.apply_delta(repair)
    assert peer.objects == state.objects
    assert state.pop_repair() is None


def test_delta_includes_changes_beyond_the_position() -> None:
    """Guard against a delta without an entry that has changed again.

    The version that it had at the position is gone, so that a receiver of
    the position would have none at all.
    """
    store = store_standin.StoreCore()
    write(store, "work/a", valid=True, deleted=False)
    state = catalogue_state.CatalogueState()
    state.apply_watch(store.changes(codec.PREFIX, 0), 0)
    write(store, "work/b", valid=True, deleted=False)
    write(store, "work/a", valid=True, deleted=False)
    # The answer starts beyond the position, which stays at 1.
    state.apply_watch(store.changes(codec.PREFIX, 2), 2)
    peer = catalogue_state.CatalogueState()
    peer.apply_delta(state.delta_since(0))
    assert peer.position == 1
    assert peer.objects["work/a"].revision == 3
    assert_position_is_complete(store, peer)
