"""Read catalogue entries from YAML and JSON files."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import pathlib
import sys
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success
import yaml

from samphirelug.components.catalogue import schema
from samphirelug import result_codes

# Field with the revision that an edited entry is based on. The command get
# prints it, and apply detects conflicting changes with it.
REVISION_FIELD = "revision"


class Documents(NamedTuple):
    """Represent the entries of files and the revisions they are based on."""

    entries: Mapping[str, schema.Entry]
    # Expected revisions of entries in the store, by key, where given.
    expected: Mapping[str, int]


def read_files(
    names: Iterable[str],
) -> Result[Documents, result_codes.Refusal]:
    """Read and validate all entries; return all errors in one refusal."""
    errors: list[str] = []
    entries: dict[str, schema.Entry] = {}
    expected: dict[str, int] = {}
    for name in names:
        try:
            documents = list(_load_documents(name))
        except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
            errors.append(f"{name}: {' '.join(str(error).split())}")
            continue
        if not documents:
            errors.append(f"{name}: has no entry; allowed: at least one")
        for number, document in enumerate(documents, start=1):
            location = f"{name}, entry {number}"
            revision = None
            if isinstance(document, Mapping) and REVISION_FIELD in document:
                document = dict(document)
                revision = document.pop(REVISION_FIELD)
                if type(revision) is not int or revision < 0:
                    errors.append(
                        f"{location}: {REVISION_FIELD}: is {revision!r};"
                        " allowed: an integer from 0"
                    )
                    continue
            checked = schema.validate_entry(document, allow_unknown=False)
            if isinstance(checked, Failure):
                errors.append(f"{location}: {checked.failure()}")
                continue
            entry = checked.unwrap()
            key = schema.entry_key(entry)
            if key in entries:
                errors.append(
                    f"{location}: name: {key!r} occurs twice; allowed: once"
                )
            entries[key] = entry
            if revision is not None:
                expected[key] = revision
    if errors:
        return Failure(
            result_codes.Refusal(
                result_codes.ResultCode.CATALOGUE_INVALID, "\n".join(errors)
            )
        )
    return Success(Documents(entries, expected))


def _load_documents(name: str) -> Iterator[object]:
    text = sys.stdin.read() if name == "-" else pathlib.Path(name).read_text()
    for document in yaml.safe_load_all(text):
        if isinstance(document, list):
            yield from document
        elif document is not None:
            yield document
