"""Define the catalogue's entries and the versions that hosts exchange."""

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
    """Limit the requests that a region serves for other regions' callers."""

    requests: Count
    # A request counts until this time after its end.
    interval_s: Annotated[float, pydantic.Field(gt=0.0, le=300.0)]


class GuaranteedFractions(TypedDict):
    """Set the fraction of capacity each rank is guaranteed under overload."""

    urgent: Fraction
    interactive: Fraction
    export: Fraction


class RegionEntry(TypedDict):
    """Describe a region, its availability zones and its limits."""

    kind: Literal["region"]
    name: Name
    owner: str
    availability_zones: Annotated[list[Name], pydantic.Field(min_length=1)]
    # One-way delay between the region's availability zones.
    zone_latency_ms: Milliseconds
    # Limit on the requests in flight to the region's backend servers.
    max_in_flight: Count
    shift_cap: ShiftCap
    guaranteed: GuaranteedFractions


class LinkEntry(TypedDict):
    """Describe the link between two regions."""

    kind: Literal["link"]
    name: Name
    owner: str
    regions: Annotated[list[Name], pydantic.Field(min_length=2, max_length=2)]
    # One-way delay.
    latency_ms: Milliseconds
    # In each direction.
    bytes_per_s: Annotated[int, pydantic.Field(ge=1)]


class ServerEntry(TypedDict):
    """Describe one backend server of a service."""

    name: Name
    availability_zone: Name
    address: Address
    # Requests that the server works on at the same time.
    slots: Annotated[int, pydantic.Field(ge=1, le=10_000)]
    connections: Count


class BackendServiceEntry(TypedDict):
    """Describe a backend service and its servers."""

    kind: Literal["backend-service"]
    name: Name
    owner: str
    health_path: Annotated[str, pydantic.Field(pattern=r"^/")]
    # A server that becomes usable receives its full load only after this time.
    ramp_s: Annotated[float, pydantic.Field(ge=0.0, le=3600.0)]
    servers: Annotated[list[ServerEntry], pydantic.Field(min_length=1)]


class WorkEntry(TypedDict):
    """Describe a kind of request that callers can send."""

    kind: Literal["work"]
    name: Name
    owner: str
    work_class: core.WorkClass
    # Whether a request may run more than once, so that it can be retried.
    repeatable: bool
    backend_service: Name
    max_in_flight_per_region: Count
    max_body_bytes: Annotated[
        int, pydantic.Field(ge=0, le=const.MAX_BODY_BYTES)
    ]
    max_answer_bytes: Annotated[
        int, pydantic.Field(ge=1, le=const.MAX_BODY_BYTES)
    ]
    # Longest deadline of a request, and the default if it sets none.
    deadline_s: Annotated[
        float, pydantic.Field(gt=0.0, le=const.MAX_REQUEST_S)
    ]
    # Regions that may serve the work; all regions if absent.
    regions: NotRequired[list[Name]]


Entry = Annotated[
    RegionEntry | LinkEntry | BackendServiceEntry | WorkEntry,
    pydantic.Field(discriminator="kind"),
]


class CatalogueObject(NamedTuple):
    """Hold one version of an entry and its revision in the store."""

    # <kind>/<name>
    key: str
    revision: int
    change_id: str
    # None for a tombstone: the entry was deleted at this revision.
    entry: RegionEntry | LinkEntry | BackendServiceEntry | WorkEntry | None


class Rejection(NamedTuple):
    """Report an entry whose latest version in the store is invalid."""

    key: str
    revision: int
    reason: str


class CatalogueDelta(NamedTuple):
    """Hold the latest versions of the entries that changed after since.

    Includes tombstones and may include versions above revision. Contains all
    changes up to revision, unless it is sent as part of a larger delta.
    """

    since: int
    revision: int
    objects: tuple[CatalogueObject, ...]
