"""Read catalogue entries from an operator's files."""

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

# Names the version that an edit started from; get prints it.
REVISION_FIELD = "revision"


class Documents(NamedTuple):
    """Hold the entries of files and the revisions they were made from."""

    entries: Mapping[str, schema.Entry]
    expected: Mapping[str, int]


def read_files(
    names: Iterable[str],
) -> Result[Documents, result_codes.Refusal]:
    """Read and check all entries; every fault is named at once."""
    faults: list[str] = []
    entries: dict[str, schema.Entry] = {}
    expected: dict[str, int] = {}
    for name in names:
        try:
            found = list(_documents(name))
        except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
            faults.append(f"{name}: {' '.join(str(error).split())}")
            continue
        if not found:
            faults.append(f"{name}: has no entry; allowed: at least one")
        for place, document in enumerate(found, start=1):
            where = f"{name}, entry {place}"
            revision = None
            if isinstance(document, Mapping) and REVISION_FIELD in document:
                document = dict(document)
                revision = document.pop(REVISION_FIELD)
                if type(revision) is not int or revision < 0:
                    faults.append(
                        f"{where}: {REVISION_FIELD}: is {revision!r};"
                        " allowed: an integer from 0"
                    )
                    continue
            checked = schema.validate_entry(document, allow_unknown=False)
            if isinstance(checked, Failure):
                faults.append(f"{where}: {checked.failure()}")
                continue
            entry = checked.unwrap()
            key = schema.entry_key(entry)
            if key in entries:
                faults.append(
                    f"{where}: name: {key!r} is there twice; allowed: once"
                )
            entries[key] = entry
            if revision is not None:
                expected[key] = revision
    if faults:
        return Failure(
            result_codes.Refusal(
                result_codes.ResultCode.CATALOGUE_INVALID, "\n".join(faults)
            )
        )
    return Success(Documents(entries, expected))


def _documents(name: str) -> Iterator[object]:
    text = sys.stdin.read() if name == "-" else pathlib.Path(name).read_text()
    for document in yaml.safe_load_all(text):
        if isinstance(document, list):
            yield from document
        elif document is not None:
            yield document
