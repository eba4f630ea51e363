"""Test the validation of entries and of references between them."""

import copy
from typing import Any

import pytest
from returns.result import Failure
from returns.result import Success
from syrupy.assertion import SnapshotAssertion

from samphirelug.components.catalogue import codec
from samphirelug.components.catalogue import schema
from samphirelug.components.store import model as store_model
from samphirelug import core
from standins import builders


def small_catalogue() -> dict[str, schema.Entry]:
    """Return the entries of a valid catalogue by key."""
    view = builders.make_view()
    entries: list[schema.Entry] = [
        *view.regions.values(),
        *view.links.values(),
        *view.services.values(),
        *view.works.values(),
    ]
    return {schema.entry_key(entry): entry for entry in entries}


@pytest.mark.parametrize(
    "change",
    [
        {"deadline_s": 31},
        {"deadline_s": "10"},
        {"max_in_flight_per_region": True},
        {"work_class": "gold"},
        {"owner": None},
        {"kind": "queue"},
        {"name": "A b"},
        {"regions": []},
        {"region": ["tallinn"]},
        {"repeatable": "x" * 200},
    ],
    ids=lambda change: next(iter(change)),
)
def test_refusal_names_field_value_and_what_is_allowed(
    change: dict[str, Any], snapshot: SnapshotAssertion
) -> None:
    """Guard against an error that does not say what to correct."""
    work = builders.make_work("w", work_class=core.WorkClass.STATUS)
    result = schema.validate_entry({**work, **change}, allow_unknown=False)
    assert isinstance(result, Failure)
    assert result.failure() == snapshot


def test_problems_within_an_entry_are_reported() -> None:
    """Guard against duplicate names, bad ports and oversized entries."""
    service = builders.make_service("s", zones=["a", "a"])
    service["servers"][0]["address"] = "127.0.0.1:70000"
    text = schema.validate_entry(service, allow_unknown=False).failure()
    assert "servers.name: has 's-a-0' 2 times" in text
    assert "servers.0.address: is '127.0.0.1:70000'" in text
    link = builders.make_link("a", "a")
    text = schema.validate_entry(link, allow_unknown=False).failure()
    assert "regions: has 'a' 2 times" in text
    too_long = {**link, "owner": "x" * schema.MAX_ENTRY_BYTES}
    assert (
        "bytes"
        in schema.validate_entry(too_long, allow_unknown=True).failure()
    )
    for document in ("text", None, {1, 2}):
        assert isinstance(
            schema.validate_entry(document, allow_unknown=True), Failure
        )


def test_hosts_accept_fields_of_a_newer_release() -> None:
    """Guard against rejected entries during a rolling upgrade.

    Commands of a newer release may already write fields that entry hosts of
    the older one do not know.
    """
    work = builders.make_work("w", work_class=core.WorkClass.STATUS)
    result = schema.validate_entry(
        {**work, "newer_field": 1}, allow_unknown=True
    )
    assert result == Success(work)


def test_problems_between_entries_are_reported() -> None:
    """Guard against references to missing entries, and duplicate names."""
    entries = small_catalogue()
    assert schema.problems(entries) == ()
    for key in ("region/tartu", "backend-service/filing"):
        rest = {name: entry for name, entry in entries.items() if name != key}
        assert schema.new_problems(entries, rest)
        # Existing problems do not block other changes.
        assert schema.new_problems(rest, rest) == ()
    second = builders.make_service("fees", zones=["tartu-a"], per_zone=1)
    second["servers"][0]["name"] = "filing-tartu-a-0"
    limited = builders.make_work("l", work_class=core.WorkClass.STATUS)
    limited["backend_service"] = "fees"
    limited["regions"] = ["parnu", "oslo"]
    other = builders.make_link("tartu", "tallinn")
    region = builders.make_region("narva")
    region["availability_zones"] = ["tartu", "parnu-a"]
    found = schema.problems(
        {
            **entries,
            "backend-service/fees": second,
            "work/l": limited,
            "link/tartu-tallinn": other,
            "region/narva": region,
        }
    )
    text = "\n".join(found)
    for part in (
        "servers.name: 'filing-tartu-a-0' is also in backend-service/filing",
        "servers.address: '127.0.0.1:9000' is also in",
        "no region 'oslo'",
        "at least one region in which 'fees' has a server",
        "are also linked by link/tallinn-tartu",
        "'tartu' is also the name of region/tartu",
        "'parnu-a' is also in region/parnu",
    ):
        assert part in text


def test_server_cannot_move_to_another_region_in_one_change() -> None:
    """Guard against a server that is overloaded by two regions' quotas.

    Requests sent under the previous region's quota still occupy its slots
    when the new region starts to send.
    """
    entries = small_catalogue()
    service = builders.make_service(
        "filing", zones=[f"{name}-a" for name in ("tallinn", "tartu", "parnu")]
    )
    before = {**entries, "backend-service/filing": service}
    moved = copy.deepcopy(before)
    servers = moved["backend-service/filing"]["servers"]  # type: ignore
    servers[0]["availability_zone"] = "tallinn-b"
    assert schema.new_problems(before, moved) == ()
    servers[0]["availability_zone"] = "tartu-b"
    by_name, by_address = schema.new_problems(before, moved)
    assert "'filing-tallinn-a-0' cannot move from tallinn to tartu" in by_name
    assert "for another 33 s, then add it there" in by_name
    servers[0]["name"] = "renamed"
    assert schema.new_problems(before, moved) == (by_address,)
    # Servers also move if their zones move between regions.
    moved = copy.deepcopy(before)
    for name, zone in (("tallinn", "tartu-a"), ("tartu", "tallinn-a")):
        region = moved[f"region/{name}"]
        region["availability_zones"] = [zone]  # type: ignore
    assert len(schema.new_problems(before, moved)) == 8


def test_equal_addresses_are_found_in_any_notation() -> None:
    """Guard against a server that is used under two names."""
    service = builders.make_service("s", zones=["tartu-a"], per_zone=2)
    service["servers"][1]["address"] = "[::ffff:7f00:1]:09000"
    text = schema.validate_entry(service, allow_unknown=False).failure()
    assert "servers.address: has '127.0.0.1:9000' 2 times" in text
    other = builders.make_service("t", zones=["tartu-a"], per_zone=1)
    other["servers"][0]["address"] = "[::ffff:7f00:1]:09000"
    found = schema.new_problems(
        small_catalogue(),
        {**small_catalogue(), "backend-service/t": other},
    )
    assert "servers.address: '127.0.0.1:9000' is also in" in found[0]


def test_work_must_fit_through_its_links() -> None:
    """Guard against work that would wait for its link forever."""
    entries = small_catalogue()
    slow = builders.make_link("tallinn", "tartu", bytes_per_s=80_000)
    found = schema.new_problems(
        entries, {**entries, "link/tallinn-tartu": slow}
    )
    assert len(found) == 6
    assert "max_answer_bytes: is 65536; allowed: at most 62592" in found[1]
    for regions, count in ((["parnu"], 0), (["tartu"], 2)):
        work = builders.make_work("w", work_class=core.WorkClass.STATUS)
        work["regions"] = regions
        after = {**entries, "link/tallinn-tartu": slow, "work/w": work}
        assert len(schema.new_problems(entries, after)) == 6 + count


@pytest.mark.parametrize(
    ("value", "reason"),
    [
        ({}, "change_id"),
        ({"change_id": "c", "deleted": 1, "entry": None}, "deleted"),
        ({"change_id": "c", "deleted": False, "entry": None}, "kind"),
    ],
)
def test_invalid_object_is_reported(
    value: dict[str, Any], reason: str
) -> None:
    """Guard against an invalid object that stops the synchronisation."""
    stored = store_model.StoredObject("catalogue/work/w", 1, value)
    assert reason in codec.decode_object(stored).failure()


def test_object_stored_under_the_wrong_key_is_reported() -> None:
    """Guard against an entry that replaces one with another name."""
    work = builders.make_work("v", work_class=core.WorkClass.STATUS)
    body = codec.encode_body(change_id="c", entry=work)
    stored = store_model.StoredObject("catalogue/work/w", 1, dict(body))
    assert "allowed: 'work/w'" in codec.decode_object(stored).failure()
    assert codec.decode_object(
        stored._replace(key="catalogue/work/v")
    ).unwrap() == ("work/v", 1, "c", work)
