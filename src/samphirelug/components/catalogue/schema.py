"""Check catalogue entries, alone and against each other."""

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
# Leaves room for the envelope in an object of the store and, in another
# encoding, in a message between entry hosts.
MAX_ENTRY_BYTES = const.MAX_OBJECT_BYTES // 2
MAX_SHOWN_VALUE = 80

_ENTRY: pydantic.TypeAdapter[Entry] = pydantic.TypeAdapter(model.Entry)

# Includes the fields that may be absent.
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
    """Return the entry as values that JSON and YAML have."""
    value: dict[str, Any] = _ENTRY.dump_python(entry, mode="json")
    return value


def validate_entry(
    document: object, *, allow_unknown: bool
) -> Result[Entry, str]:
    """Validate one entry; the error names field, value and what is allowed.

    Hosts allow unknown fields, which a newer release may have added.
    """
    try:
        encoded = orjson.dumps(document)
    except TypeError as error:
        return Failure(f"the entry is not JSON: {error}")
    if len(encoded) > MAX_ENTRY_BYTES:
        return Failure(
            f"the entry has {len(encoded)} bytes; allowed: at most"
            f" {MAX_ENTRY_BYTES}"
        )
    try:
        # In strict mode a quoted number or a truth value is no integer.
        entry = _ENTRY.validate_json(encoded, strict=True)
    except pydantic.ValidationError as error:
        return Failure("; ".join(_describe(error, document)))
    faults = list(_own_faults(entry))
    if not allow_unknown:
        faults.extend(
            _unknown_fields(document, entry, "", _FIELDS[entry["kind"]])
        )
    if faults:
        return Failure("; ".join(faults))
    return Success(entry)


def problems(entries: Entries) -> tuple[str, ...]:
    """Return what is wrong between the entries of a whole catalogue."""
    return tuple(_cross_faults(entries))


def new_problems(before: Entries, after: Entries) -> tuple[str, ...]:
    """Return the problems that a change to the catalogue would add."""
    known = set(problems(before))
    found = [item for item in problems(after) if item not in known]
    return (*found, *_moves(before, after))


def _moves(before: Entries, after: Entries) -> Iterator[str]:
    """Find servers that one change takes from one region to another.

    A request that runs under the former region's units does not count in
    the units of the new region, so both together would overload the server.
    """
    wait_s = math.ceil(quota_const.LOAN_S + quota_const.REQUEST_HOLD_S)
    former = {place: region for _, place, region in _places(before)}
    for key, (field, value), region in _places(after):
        known = former.get((field, value), region)
        if known != region:
            yield (
                f"{key}: servers.{field}: {value!r} is in {known}; allowed:"
                f" no move to {region} in one change. Remove the server,"
                " wait until the change is in force at every entry host and"
                f" {wait_s} s longer, then add it there"
            )


def _places(
    entries: Entries,
) -> Iterator[tuple[str, tuple[str, str], str]]:
    """Return each server's entry, name or address, and region."""
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
                yield key, ("address", _endpoint(server["address"])), region


def _endpoint(address: str) -> str:
    """Return an address in one form, so that equal ones compare equal."""
    host, _, port = address.rpartition(":")
    try:
        parsed = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return address
    return f"{getattr(parsed, 'ipv4_mapped', None) or parsed}:{int(port)}"


def _describe(
    error: pydantic.ValidationError, document: object
) -> Iterator[str]:
    if not isinstance(document, Mapping):
        yield f"the entry is {_show(document)}; allowed: a mapping with kind"
        return
    for item in error.errors(include_url=False):
        # The tag of the union is no field of the document.
        location = [
            part
            for place, part in enumerate(item["loc"])
            if place or part not in KINDS
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
        yield f"{field}: is {_show(value)}; allowed: {allowed}"


def _show(value: object) -> str:
    shown = repr(value)
    if len(shown) <= MAX_SHOWN_VALUE:
        return shown
    return f"{shown[:MAX_SHOWN_VALUE]}..."


def _unknown_fields(
    document: object, checked: object, path: str, allowed: Iterable[str] = ()
) -> Iterator[str]:
    if isinstance(document, Mapping) and isinstance(checked, Mapping):
        for name, value in document.items():
            if name not in checked:
                yield (
                    f"{path}{name}: is {_show(value)}; allowed fields:"
                    f" {', '.join(allowed or checked)}"
                )
            else:
                yield from _unknown_fields(
                    value, checked[name], f"{path}{name}."
                )
    elif isinstance(document, list) and isinstance(checked, list):
        for place, pair in enumerate(zip(document, checked, strict=True)):
            yield from _unknown_fields(*pair, f"{path}{place}.")


def _own_faults(entry: Entry) -> Iterator[str]:
    if entry["kind"] == "region":
        yield from _repeated("availability_zones", entry["availability_zones"])
    elif entry["kind"] == "link":
        yield from _repeated("regions", entry["regions"])
    elif entry["kind"] == "backend-service":
        servers = entry["servers"]
        yield from _repeated("servers.name", (it["name"] for it in servers))
        yield from _repeated(
            "servers.address", (_endpoint(it["address"]) for it in servers)
        )
        for place, server in enumerate(servers):
            port = int(server["address"].rpartition(":")[2])
            if not 1 <= port <= 65535:
                yield (
                    f"servers.{place}.address: is {server['address']!r};"
                    " allowed: a port from 1 to 65535"
                )
    else:
        regions = entry.get("regions")
        if regions is not None:
            yield from _repeated("regions", regions)
            if not regions:
                yield "regions: is []; allowed: at least one region"


def _repeated(field: str, names: Iterable[str]) -> Iterator[str]:
    for name, count in collections.Counter(names).items():
        if count > 1:
            yield f"{field}: has {name!r} {count} times; allowed: once"


def _cross_faults(entries: Entries) -> Iterator[str]:
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
    # A place in a look-up is the name of a zone or of a region.
    for name in sorted(zones.keys() & regions.keys()):
        yield (
            f"{zones[name]}: availability_zones: {name!r} is also the name"
            f" of {regions[name]}; allowed: another name"
        )
    yield from _link_faults(entries, regions)
    yield from _server_faults(entries, zones)
    yield from _work_faults(entries, regions, zones, services)
    yield from _size_faults(entries, zones, services)


def _link_faults(
    entries: Entries, regions: Mapping[str, str]
) -> Iterator[str]:
    pairs: dict[frozenset[str], str] = {}
    for key, entry in entries.items():
        if entry["kind"] != "link":
            continue
        for name in entry["regions"]:
            if name not in regions:
                yield _missing(key, "regions", name, "region", regions)
        pair = frozenset(entry["regions"])
        if pair in pairs:
            yield (
                f"{key}: regions: {sorted(pair)} are also linked by"
                f" {pairs[pair]}; allowed: one link for two regions"
            )
        pairs.setdefault(pair, key)


def _server_faults(
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
                yield _missing(
                    key,
                    f"servers.{server['name']}.availability_zone",
                    zone,
                    "availability zone",
                    zones,
                )
            for field, value, taken in (
                ("name", server["name"], names),
                ("address", _endpoint(server["address"]), addresses),
            ):
                # Within one entry the entry's own check has reported it.
                if taken.setdefault(value, key) != key:
                    yield (
                        f"{key}: servers.{field}: {value!r} is also in"
                        f" {taken[value]}; allowed: a unique {field}"
                    )


def _work_faults(
    entries: Entries,
    regions: Mapping[str, str],
    zones: Mapping[str, str],
    services: Mapping[str, model.BackendServiceEntry],
) -> Iterator[str]:
    for key, entry in entries.items():
        if entry["kind"] != "work":
            continue
        wanted = entry.get("regions")
        for name in wanted or ():
            if name not in regions:
                yield _missing(key, "regions", name, "region", regions)
        name = entry["backend_service"]
        if name not in services:
            yield _missing(
                key, "backend_service", name, "backend service", services
            )
        elif wanted is not None and not any(
            zones.get(server["availability_zone"]) == f"region/{region}"
            for server, region in itertools.product(
                services[name]["servers"], wanted
            )
        ):
            yield (
                f"{key}: regions: is {wanted}; allowed: at least one region"
                f" in which {name!r} has a server"
            )


def _size_faults(
    entries: Entries,
    zones: Mapping[str, str],
    services: Mapping[str, model.BackendServiceEntry],
) -> Iterator[str]:
    """Find work that can never be sent over a link that it may use."""
    links = [entry for entry in entries.values() if entry["kind"] == "link"]
    for key, entry in entries.items():
        if entry["kind"] != "work":
            continue
        service = services.get(entry["backend_service"])
        places = {
            zones.get(server["availability_zone"], "").partition("/")[2]
            for server in (service["servers"] if service else ())
        }
        used = places & set(entry.get("regions", places))
        for link, (field, size) in itertools.product(
            links,
            (
                ("max_body_bytes", entry["max_body_bytes"]),
                ("max_answer_bytes", entry["max_answer_bytes"]),
            ),
        ):
            # The requests of one second share the bytes, header blocks
            # included.
            room = link["bytes_per_s"] - quota_const.LINK_HEADER_BYTES
            if used & set(link["regions"]) and size > room:
                yield (
                    f"{key}: {field}: is {size}; allowed: at most {room},"
                    f" which link/{link['name']} carries in one second"
                )


def _missing(
    key: str, field: str, name: str, kind: str, known: Iterable[str]
) -> str:
    allowed = ", ".join(sorted(known)[:10]) or "none is in the catalogue"
    return f"{key}: {field}: no {kind} {name!r}; allowed: {allowed}"
