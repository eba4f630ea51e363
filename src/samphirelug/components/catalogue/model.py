"""Define the catalogue's entries."""

from typing import Annotated
from typing import Literal
from typing import NamedTuple
from typing import NotRequired

import pydantic
from typing_extensions import TypedDict

from samphirelug import const
from samphirelug import core

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Count = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]
Fraction = Annotated[float, pydantic.Field(ge=0.0, le=0.5)]
Milliseconds = Annotated[float, pydantic.Field(ge=0.0, le=10_000.0)]
Address = Annotated[
    str, pydantic.Field(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")
]


class ShiftCap(TypedDict):
    """Bound the requests that arrive in a region from elsewhere."""

    requests: Count
    interval_s: Annotated[float, pydantic.Field(gt=0.0, le=300.0)]


class GuaranteedFractions(TypedDict):
    """Give the fraction of capacity that each rank keeps in a flood."""

    urgent: Fraction
    interactive: Fraction
    export: Fraction


class RegionEntry(TypedDict):
    """Describe a region, its availability zones and its limits."""

    kind: Literal["region"]
    name: Name
    owner: str
    availability_zones: Annotated[list[Name], pydantic.Field(min_length=1)]
    zone_latency_ms: Milliseconds
    max_in_flight: Count
    shift_cap: ShiftCap
    guaranteed: GuaranteedFractions


class LinkEntry(TypedDict):
    """Describe the link between two regions and its limit each way."""

    kind: Literal["link"]
    name: Name
    owner: str
    regions: Annotated[list[Name], pydantic.Field(min_length=2, max_length=2)]
    latency_ms: Milliseconds
    bytes_per_s: Annotated[int, pydantic.Field(ge=1)]


class ServerEntry(TypedDict):
    """Describe one backend server of a service."""

    name: Name
    availability_zone: Name
    address: Address
    slots: Annotated[int, pydantic.Field(ge=1, le=10_000)]
    connections: Count


class BackendServiceEntry(TypedDict):
    """Describe a backend service and its servers."""

    kind: Literal["backend-service"]
    name: Name
    owner: str
    health_path: Annotated[str, pydantic.Field(pattern=r"^/")]
    ramp_s: Annotated[float, pydantic.Field(ge=0.0, le=3600.0)]
    servers: Annotated[list[ServerEntry], pydantic.Field(min_length=1)]


class WorkEntry(TypedDict):
    """Describe a kind of work that callers ask for."""

    kind: Literal["work"]
    name: Name
    owner: str
    work_class: core.WorkClass
    repeatable: bool
    backend_service: Name
    max_in_flight_per_region: Count
    max_body_bytes: Annotated[
        int, pydantic.Field(ge=0, le=const.MAX_BODY_BYTES)
    ]
    max_answer_bytes: Annotated[
        int, pydantic.Field(ge=1, le=const.MAX_BODY_BYTES)
    ]
    deadline_s: Annotated[
        float, pydantic.Field(gt=0.0, le=const.MAX_REQUEST_S)
    ]
    # Regions that may serve the work; all regions where it is absent.
    regions: NotRequired[list[Name]]


Entry = Annotated[
    RegionEntry | LinkEntry | BackendServiceEntry | WorkEntry,
    pydantic.Field(discriminator="kind"),
]


class CatalogueObject(NamedTuple):
    """Pair a catalogue entry with its place in the store's order."""

    # <kind>/<name>
    key: str
    revision: int
    change_id: str
    # None is a tombstone: the entry was deleted at this revision.
    entry: RegionEntry | LinkEntry | BackendServiceEntry | WorkEntry | None


class Rejection(NamedTuple):
    """Report an entry whose latest version in the store is not valid."""

    key: str
    revision: int
    reason: str


class CatalogueDelta(NamedTuple):
    """Hold every entry whose revision is in (since, revision]."""

    since: int
    revision: int
    objects: tuple[CatalogueObject, ...]
