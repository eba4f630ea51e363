"""Translate between catalogue entries and objects of the store."""

from collections.abc import Mapping
from typing import Any

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from typing_extensions import TypedDict

from samphirelug.components.catalogue import model
from samphirelug.components.catalogue import schema
from samphirelug.components.store import model as store_model

PREFIX = "catalogue/"


class ObjectBody(TypedDict):
    """Lay out the value of a catalogue object in the store."""

    change_id: str
    # A tombstone; its entry is null.
    deleted: bool
    entry: dict[str, Any] | None


_BODY = pydantic.TypeAdapter(ObjectBody)


def encode_body(*, change_id: str, entry: schema.Entry | None) -> ObjectBody:
    """Return the value to write; None makes a tombstone."""
    return {
        "change_id": change_id,
        "deleted": entry is None,
        "entry": None if entry is None else schema.dump_entry(entry),
    }


def change_id_of(value: Mapping[str, Any]) -> str | None:
    """Return the change id, also where the entry is not valid."""
    change_id = value.get("change_id")
    return change_id if isinstance(change_id, str) else None


def decode_object(
    stored: store_model.StoredObject,
) -> Result[model.CatalogueObject, str]:
    """Return the catalogue object, or why it is not valid."""
    key = stored.key.removeprefix(PREFIX)
    try:
        body = _BODY.validate_python(stored.value, strict=True)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False)[0]
        field = ".".join(str(part) for part in first["loc"])
        return Failure(
            f"{field}: is {first['input']!r}; allowed: {first['msg']}"
        )
    if body["deleted"]:
        return Success(
            model.CatalogueObject(
                key, stored.revision, body["change_id"], None
            )
        )
    checked = schema.validate_entry(body["entry"], allow_unknown=True)
    if isinstance(checked, Failure):
        return checked
    entry = checked.unwrap()
    if schema.entry_key(entry) != key:
        return Failure(
            f"name: is {schema.entry_key(entry)!r}; allowed: {key!r}, the"
            " object's key"
        )
    return Success(
        model.CatalogueObject(key, stored.revision, body["change_id"], entry)
    )
