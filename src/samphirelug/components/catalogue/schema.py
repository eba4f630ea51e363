"""Validate catalogue entries, alone and against each other."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import ipaddress
import itertools
import math
from typing import Any

import orjson
import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.catalogue import model
from samphirelug.components.quota import const as quota_const
from samphirelug import const

Entry = (
    model.RegionEntry
    | model.LinkEntry
    | model.BackendServiceEntry
    | model.WorkEntry
)
# Entries by key, <kind>/<name>.
Entries = Mapping[str, Entry]

KINDS = ("region", "link", "backend-service", "work")
# This leaves room for the other fields of the stored object, and of a message
# between entry hosts, which has another encoding.
MAX_ENTRY_BYTES = const.MAX_OBJECT_BYTES // 2
# Longer values are cut off in error messages.
MAX_SHOWN_CHARS = 80

_ENTRY: pydantic.TypeAdapter[Entry] = pydantic.TypeAdapter(model.Entry)

# All fields of each kind, optional ones included.
_FIELDS: Mapping[str, tuple[str, ...]] = {
    "region": tuple(model.RegionEntry.__annotations__),
    "link": tuple(model.LinkEntry.__annotations__),
    "backend-service": tuple(model.BackendServiceEntry.__annotations__),
    "work": tuple(model.WorkEntry.__annotations__),
}


def entry_key(entry: Entry) -> str:
    """Return the entry's key, <kind>/<name>."""
    return f"{entry['kind']}/{entry['name']}"


def dump_entry(entry: Entry) -> dict[str, Any]:
    """Return the entry as plain JSON values."""
    value: dict[str, Any] = _ENTRY.dump_python(entry, mode="json")
    return value


def validate_entry(
    document: object, *, allow_unknown: bool
) -> Result[Entry, str]:
    """Validate one entry; errors state field, value and what is allowed.

    Entry hosts allow and drop unknown fields, which a newer release may have
    added. Commands reject them, since they may be misspelt.
    """
    try:
        encoded = orjson.dumps(document)
    except TypeError as error:
        return Failure(f"the entry cannot be encoded as JSON: {error}")
    if len(encoded) > MAX_ENTRY_BYTES:
        return Failure(
            f"the entry has {len(encoded)} bytes; allowed: at most"
            f" {MAX_ENTRY_BYTES}"
        )
    try:
        # Strict mode accepts neither a quoted number nor a boolean as integer.
        entry = _ENTRY.validate_json(encoded, strict=True)
    except pydantic.ValidationError as error:
        return Failure("; ".join(_describe_error(error, document)))
    found_problems = list(_entry_problems(entry))
    if not allow_unknown:
        found_problems.extend(
            _unknown_fields(document, entry, "", _FIELDS[entry["kind"]])
        )
    if found_problems:
        return Failure("; ".join(found_problems))
    return Success(entry)


def problems(entries: Entries) -> tuple[str, ...]:
    """Return what is wrong between entries, such as unknown references."""
    return tuple(_cross_entry_problems(entries))


def new_problems(before: Entries, after: Entries) -> tuple[str, ...]:
    """Return the problems that a change to the catalogue would add."""
    existing = set(problems(before))
    added = [item for item in problems(after) if item not in existing]
    return (*added, *_region_moves(before, after))


def _region_moves(before: Entries, after: Entries) -> Iterator[str]:
    """Find servers that one change moves to another region.

    Each region has its own quota for the server. Requests that still run
    under the previous region's units do not count against the new region's,
    so both together could overload the server.
    """
    wait_s = math.ceil(quota_const.LOAN_S + quota_const.REQUEST_HOLD_S)
    previous_regions = {
        server: region for _, server, region in _server_regions(before)
    }
    for key, (field, value), region in _server_regions(after):
        previous = previous_regions.get((field, value), region)
        if previous != region:
            yield (
                f"{key}: servers.{field}: {value!r} cannot move from"
                f" {previous} to {region} in one change; allowed: remove the"
                " server, wait until that is in force at every entry host"
                f" and for another {wait_s} s, then add it there"
            )


def _server_regions(
    entries: Entries,
) -> Iterator[tuple[str, tuple[str, str], str]]:
    """Yield the region of each server, identified by name and by address.

    The first item of each tuple is the key of the server's entry.
    """
    regions = {
        zone: entry["name"]
        for entry in entries.values()
        if entry["kind"] == "region"
        for zone in entry["availability_zones"]
    }
    for key, entry in entries.items():
        if entry["kind"] != "backend-service":
            continue
        for server in entry["servers"]:
            region = regions.get(server["availability_zone"])
            if region is not None:
                yield key, ("name", server["name"]), region
                yield (
                    key,
                    ("address", _normalize_address(server["address"])),
                    region,
                )


def _normalize_address(address: str) -> str:
    """Return an address in canonical form, for comparison."""
    host, _, port = address.rpartition(":")
    try:
        parsed = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return address
    return f"{getattr(parsed, 'ipv4_mapped', None) or parsed}:{int(port)}"


def _describe_error(
    error: pydantic.ValidationError, document: object
) -> Iterator[str]:
    if not isinstance(document, Mapping):
        yield (
            f"the entry is {_format_value(document)}; allowed: a mapping with"
            " the field kind"
        )
        return
    for item in error.errors(include_url=False):
        # For a union, pydantic puts the entry's kind in front of the path.
        location = [
            part
            for index, part in enumerate(item["loc"])
            if index or part not in KINDS
        ]
        if item["type"].startswith("union_tag"):
            location = ["kind"]
        field = ".".join(str(part) for part in location)
        if item["type"] == "missing":
            yield f"{field}: is missing; allowed: a value"
            continue
        value = item["input"]
        if item["type"].startswith("union_tag"):
            value = document.get("kind")
        allowed = item["msg"].removeprefix("Input should be ")
        if item["type"].startswith("union_tag"):
            allowed = ", ".join(KINDS)
        yield f"{field}: is {_format_value(value)}; allowed: {allowed}"


def _format_value(value: object) -> str:
    text = repr(value)
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return f"{text[:MAX_SHOWN_CHARS]}..."


def _unknown_fields(
    document: object, validated: object, path: str, allowed: Iterable[str] = ()
) -> Iterator[str]:
    if isinstance(document, Mapping) and isinstance(validated, Mapping):
        for name, value in document.items():
            if name not in validated:
                yield (
                    f"{path}{name}: is {_format_value(value)}; allowed fields:"
                    f" {', '.join(allowed or validated)}"
                )
            else:
                yield from _unknown_fields(
                    value, validated[name], f"{path}{name}."
                )
    elif isinstance(document, list) and isinstance(validated, list):
        for index, pair in enumerate(zip(document, validated, strict=True)):
            yield from _unknown_fields(*pair, f"{path}{index}.")


def _entry_problems(entry: Entry) -> Iterator[str]:
    if entry["kind"] == "region":
        yield from _duplicates(
            "availability_zones", entry["availability_zones"]
        )
    elif entry["kind"] == "link":
        yield from _duplicates("regions", entry["regions"])
    elif entry["kind"] == "backend-service":
        servers = entry["servers"]
        yield from _duplicates(
            "servers.name", (server["name"] for server in servers)
        )
        yield from _duplicates(
            "servers.address",
            (_normalize_address(server["address"]) for server in servers),
        )
        for index, server in enumerate(servers):
            port = int(server["address"].rpartition(":")[2])
            if not 1 <= port <= 65535:
                yield (
                    f"servers.{index}.address: is {server['address']!r};"
                    " allowed: a port from 1 to 65535"
                )
    else:
        regions = entry.get("regions")
        if regions is not None:
            yield from _duplicates("regions", regions)
            if not regions:
                yield "regions: is []; allowed: at least one region"


def _duplicates(field: str, values: Iterable[str]) -> Iterator[str]:
    for value, count in collections.Counter(values).items():
        if count > 1:
            yield f"{field}: has {value!r} {count} times; allowed: once"


def _cross_entry_problems(entries: Entries) -> Iterator[str]:
    regions: dict[str, str] = {}
    zones: dict[str, str] = {}
    services: dict[str, model.BackendServiceEntry] = {}
    for key, entry in entries.items():
        if entry["kind"] == "region":
            regions[entry["name"]] = key
            for zone in entry["availability_zones"]:
                if zone in zones:
                    yield (
                        f"{key}: availability_zones: {zone!r} is also in"
                        f" {zones[zone]}; allowed: one region"
                    )
                zones.setdefault(zone, key)
        elif entry["kind"] == "backend-service":
            services[entry["name"]] = entry
    # A look-up names either a zone or a region, so a name must not be both.
    for name in sorted(zones.keys() & regions.keys()):
        yield (
            f"{zones[name]}: availability_zones: {name!r} is also the name"
            f" of {regions[name]}; allowed: another name"
        )
    yield from _link_problems(entries, regions)
    yield from _server_problems(entries, zones)
    yield from _work_problems(entries, regions, zones, services)
    yield from _size_problems(entries, zones, services)


def _link_problems(
    entries: Entries, regions: Mapping[str, str]
) -> Iterator[str]:
    link_keys: dict[frozenset[str], str] = {}
    for key, entry in entries.items():
        if entry["kind"] != "link":
            continue
        for name in entry["regions"]:
            if name not in regions:
                yield _unknown_reference(
                    key, "regions", name, "region", regions
                )
        pair = frozenset(entry["regions"])
        if pair in link_keys:
            yield (
                f"{key}: regions: {sorted(pair)} are also linked by"
                f" {link_keys[pair]}; allowed: one link for two regions"
            )
        link_keys.setdefault(pair, key)


def _server_problems(
    entries: Entries, zones: Mapping[str, str]
) -> Iterator[str]:
    names: dict[str, str] = {}
    addresses: dict[str, str] = {}
    for key, entry in entries.items():
        if entry["kind"] != "backend-service":
            continue
        for server in entry["servers"]:
            zone = server["availability_zone"]
            if zone not in zones:
                yield _unknown_reference(
                    key,
                    f"servers.{server['name']}.availability_zone",
                    zone,
                    "availability zone",
                    zones,
                )
            for field, value, known_keys in (
                ("name", server["name"], names),
                ("address", _normalize_address(server["address"]), addresses),
            ):
                # _entry_problems reports duplicates within one entry.
                if known_keys.setdefault(value, key) != key:
                    yield (
                        f"{key}: servers.{field}: {value!r} is also in"
                        f" {known_keys[value]}; allowed: a unique {field}"
                    )


def _work_problems(
    entries: Entries,
    regions: Mapping[str, str],
    zones: Mapping[str, str],
    services: Mapping[str, model.BackendServiceEntry],
) -> Iterator[str]:
    for key, entry in entries.items():
        if entry["kind"] != "work":
            continue
        allowed_regions = entry.get("regions")
        for name in allowed_regions or ():
            if name not in regions:
                yield _unknown_reference(
                    key, "regions", name, "region", regions
                )
        name = entry["backend_service"]
        if name not in services:
            yield _unknown_reference(
                key, "backend_service", name, "backend service", services
            )
        elif allowed_regions is not None and not any(
            zones.get(server["availability_zone"]) == f"region/{region}"
            for server, region in itertools.product(
                services[name]["servers"], allowed_regions
            )
        ):
            yield (
                f"{key}: regions: is {allowed_regions}; allowed: at least one"
                f" region in which {name!r} has a server"
            )


def _size_problems(
    entries: Entries,
    zones: Mapping[str, str],
    services: Mapping[str, model.BackendServiceEntry],
) -> Iterator[str]:
    """Find work whose requests or answers never fit through a link."""
    links = [entry for entry in entries.values() if entry["kind"] == "link"]
    for key, entry in entries.items():
        if entry["kind"] != "work":
            continue
        service = services.get(entry["backend_service"])
        server_regions = {
            zones.get(server["availability_zone"], "").partition("/")[2]
            for server in (service["servers"] if service else ())
        }
        serving_regions = server_regions & set(
            entry.get("regions", server_regions)
        )
        for link, (field, size) in itertools.product(
            links,
            (
                ("max_body_bytes", entry["max_body_bytes"]),
                ("max_answer_bytes", entry["max_answer_bytes"]),
            ),
        ):
            # All requests sent within one second share bytes_per_s, header
            # blocks included.
            max_size = link["bytes_per_s"] - quota_const.LINK_HEADER_BYTES
            if serving_regions & set(link["regions"]) and size > max_size:
                yield (
                    f"{key}: {field}: is {size}; allowed: at most {max_size},"
                    f" which link/{link['name']} can carry in one second"
                )


def _unknown_reference(
    key: str, field: str, name: str, kind: str, existing: Iterable[str]
) -> str:
    allowed = ", ".join(sorted(existing)[:10]) or "none is in the catalogue"
    return f"{key}: {field}: no {kind} {name!r}; allowed: {allowed}"
