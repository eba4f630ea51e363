"""Compare versions of catalogue entries."""

from collections.abc import Mapping
import difflib
from typing import NamedTuple

import yaml

from samphirelug.components.catalogue import schema


class EntryChange(NamedTuple):
    """Hold an entry before and after a change; None if it is absent."""

    key: str
    before: schema.Entry | None
    after: schema.Entry | None


def to_yaml(entry: schema.Entry | None) -> str:
    """Return an entry as YAML, or an empty string for None."""
    if entry is None:
        return ""
    text: str = yaml.safe_dump(
        schema.dump_entry(entry), sort_keys=False, allow_unicode=True
    )
    return text


def changed_entries(
    *,
    current: Mapping[str, schema.Entry],
    wanted: Mapping[str, schema.Entry | None],
) -> tuple[EntryChange, ...]:
    """Return the wanted entries that differ from the current ones.

    A wanted value of None deletes the entry.
    """
    return tuple(
        EntryChange(key, current.get(key), entry)
        for key, entry in wanted.items()
        if current.get(key) != entry
    )


def unified_diff(
    change: EntryChange,
    *,
    before_label: str = "current",
    after_label: str = "new",
) -> str:
    """Return a unified diff of both versions, empty if they are equal."""
    return "".join(
        difflib.unified_diff(
            to_yaml(change.before).splitlines(keepends=True),
            to_yaml(change.after).splitlines(keepends=True),
            fromfile=f"{change.key} ({before_label})",
            tofile=f"{change.key} ({after_label})",
        )
    )
