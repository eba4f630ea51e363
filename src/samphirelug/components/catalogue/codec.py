"""Convert between catalogue entries and objects in the store."""

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
    """Define the value of a catalogue object in the store."""

    change_id: str
    # True for a tombstone, whose entry is null.
    deleted: bool
    entry: dict[str, Any] | None


_BODY = pydantic.TypeAdapter(ObjectBody)


def encode_body(*, change_id: str, entry: schema.Entry | None) -> ObjectBody:
    """Return the value to write; an entry of None makes a tombstone."""
    return {
        "change_id": change_id,
        "deleted": entry is None,
        "entry": None if entry is None else schema.dump_entry(entry),
    }


def change_id_of(value: Mapping[str, Any]) -> str | None:
    """Return the change id, even if the entry is invalid."""
    change_id = value.get("change_id")
    return change_id if isinstance(change_id, str) else None


def decode_object(
    stored: store_model.StoredObject,
) -> Result[model.CatalogueObject, str]:
    """Return the catalogue object, or the reason why it is invalid."""
    key = stored.key.removeprefix(PREFIX)
    try:
        body = _BODY.validate_python(stored.value, strict=True)
    except pydantic.ValidationError as error:
        first_error = error.errors(include_url=False)[0]
        field = ".".join(str(part) for part in first_error["loc"])
        return Failure(
            f"{field}: is {first_error['input']!r};"
            f" allowed: {first_error['msg']}"
        )
    if body["deleted"]:
        return Success(
            model.CatalogueObject(
                key, stored.revision, body["change_id"], None
            )
        )
    validated = schema.validate_entry(body["entry"], allow_unknown=True)
    if isinstance(validated, Failure):
        return validated
    entry = validated.unwrap()
    if schema.entry_key(entry) != key:
        return Failure(
            f"kind and name: are {schema.entry_key(entry)!r}; allowed:"
            f" {key!r}, the key that the entry is stored under"
        )
    return Success(
        model.CatalogueObject(key, stored.revision, body["change_id"], entry)
    )
