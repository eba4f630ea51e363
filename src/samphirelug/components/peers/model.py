"""Define the messages between entry hosts.

Each is sent as a CBOR map with the class name in the field "type".
"""

import enum
from typing import Annotated
from typing import NamedTuple

import pydantic

from samphirelug.components.catalogue import model as catalogue_model
from samphirelug.components.quota import model as quota_model
from samphirelug import core

# The bound also rejects NaN, which would make every comparison of wait times
# false.
WaitSeconds = Annotated[float, pydantic.Field(ge=0.0)]
NonNegativeInt = Annotated[int, pydantic.Field(ge=0, lt=2**63)]


class Challenge(NamedTuple):
    """Start the handshake on a new connection; sent by the server."""

    protocol_min: int
    protocol_max: int
    host: str
    nonce: str


class Hello(NamedTuple):
    """Answer a Challenge with a join token and challenge the server."""

    protocol: int
    host: core.EntryHost
    token: str
    nonce: str


class Welcome(NamedTuple):
    """Accept a Hello and answer its challenge with a join token."""

    protocol: int
    host: core.EntryHost
    token: str


class KnownHosts(NamedTuple):
    """List other hosts to a peer; sent only in a full mesh."""

    hosts: tuple[core.EntryHost, ...]


class RegionHeadroom(NamedTuple):
    """Report the free and held units of a service in a region."""

    region: str
    service: str
    free: int
    held: int


class Sighting(NamedTuple):
    """Report that a backend server is leaving or live again."""

    server: str
    # Identifier that the server gave to its current run; empty if unknown.
    server_incarnation: str
    leaving: bool
    # Revision of the host list that reported the state; 0 if the entry host
    # observed it itself.
    list_revision: int


class Heartbeat(NamedTuple):
    """Report an entry host's state; sent every HEARTBEAT_INTERVAL_S."""

    host: core.EntryHost
    state: core.EntryHostState
    # Milliseconds since the start of the incarnation, on its own clock.
    clock_ms: NonNegativeInt
    catalogue_revision: int
    headroom: tuple[RegionHeadroom, ...]
    # Number of queued requests, by Rank value.
    queued: tuple[int, int, int]
    # Expected wait of a new request until capacity is free, by Rank value.
    wait_s: tuple[WaitSeconds, WaitSeconds, WaitSeconds]
    sightings: tuple[Sighting, ...]


class CatalogueRequest(NamedTuple):
    """Request all catalogue objects after a revision."""

    since: int


class CatalogueReply(NamedTuple):
    """Answer a CatalogueRequest."""

    delta: catalogue_model.CatalogueDelta
    # Set if the sender has further objects. An entry that changed again later
    # may be missing its version up to delta.revision, so that revision is
    # only the start of the next request.
    partial: bool = False
    rejected: tuple[catalogue_model.Rejection, ...] = ()


class GrantRequest(NamedTuple):
    """Request bundles of units for dispatching work to a region."""

    work: str
    region: str
    bundles_wanted: int
    # Region of the requesting entry host.
    host_region: str
    home_region: str
    body_bytes: int


class UnitRequest(NamedTuple):
    """Request plain units of single keys, such as bytes of a link."""

    units: tuple[quota_model.UnitAmount, ...]


class Grant(NamedTuple):
    """Lend bundles; empty if none are available."""

    loan_id: str
    bundles: tuple[quota_model.Bundle, ...]
    duration_s: float


class UnitGrant(NamedTuple):
    """Lend plain units of single keys; empty if none are available."""

    loan_id: str
    units: tuple[quota_model.UnitAmount, ...]
    duration_s: float


class GrantReturn(NamedTuple):
    """Return a bundle, or all units of a UnitGrant with bundle number 0."""

    loan_id: str
    bundle_number: int


class OutcomeRecord(NamedTuple):
    """Describe the outcome of one run token."""

    token_id: str
    # Value of a ResultCode. The answer is set if it is OK.
    code: int
    detail: str
    answer: core.Answer | None
    # Milliseconds left until the token expires.
    ttl_ms: int
    # Digest of the request that used the token; empty if unknown.
    digest: bytes = b""


class OutcomeQuery(NamedTuple):
    """Request the outcome of a run token from its incarnation."""

    token: str


class OutcomeReply(NamedTuple):
    """Answer an OutcomeQuery; the token cannot be run after this."""

    record: OutcomeRecord


class OutcomeHandover(NamedTuple):
    """Transfer the outcomes of a stopping incarnation to a peer."""

    incarnation: str
    records: tuple[OutcomeRecord, ...]
    # Set on the last message: no further token of the incarnation was run.
    complete: bool
    ttl_ms: int
    # Clock of the incarnation when its last token could start. None in
    # messages of earlier releases, in which case complete proves nothing.
    clock_ms: NonNegativeInt | None = None


class Acknowledgement(NamedTuple):
    """Acknowledge a message that needs no other reply."""


class ZoneSummary(NamedTuple):
    """Describe a zone to other zones; built by its primary watcher."""

    zone: core.AvailabilityZone
    # Incremented with each summary of the zone, whichever host builds it.
    epoch: NonNegativeInt
    # Lowest catalogue position of the zone's serving hosts.
    revision: NonNegativeInt
    # The first names in order, up to SUMMARY_MAX_LAGGING; lagging_count
    # counts all.
    lagging: tuple[str, ...]
    lagging_count: int
    serving_count: int
    # A few serving hosts, without their frequently changing fields.
    entry_hosts: tuple[Heartbeat, ...]


class ZoneEpoch(NamedTuple):
    """Identify a zone by relay.zone_id, and the epoch of its summary."""

    zone_id: NonNegativeInt
    epoch: NonNegativeInt


class ZonePositions(NamedTuple):
    """Report the zones whose lowest position has risen to a revision."""

    revision: NonNegativeInt
    zones: tuple[ZoneEpoch, ...]


class RelayedSighting(NamedTuple):
    """Contain a sighting and the identity that prevents relay loops."""

    # Name and incarnation of the host that originated the sighting.
    origin: str
    sequence: NonNegativeInt
    sighting: Sighting


class Relayed(NamedTuple):
    """Contain what a host relays to one peer in one tick."""

    sightings: tuple[RelayedSighting, ...]
    positions: tuple[ZonePositions, ...]
    summaries: tuple[ZoneSummary, ...]
    # Lowest and highest catalogue position in the fleet that the sender
    # knows; a lowest of 0 means unknown.
    lowest_revision: NonNegativeInt
    highest_revision: NonNegativeInt


Message = (
    Challenge
    | Hello
    | Welcome
    | KnownHosts
    | Relayed
    | Heartbeat
    | Sighting
    | CatalogueRequest
    | CatalogueReply
    | GrantRequest
    | UnitRequest
    | Grant
    | UnitGrant
    | GrantReturn
    | OutcomeQuery
    | OutcomeReply
    | OutcomeHandover
    | Acknowledgement
)


class PeerView(NamedTuple):
    """Describe a peer by its last heartbeat."""

    heartbeat: Heartbeat
    # Time of the last heartbeat on this host's monotonic clock.
    heard_at_s: float
    connected: bool


class MemberState(enum.StrEnum):
    """Define the states of a host as seen by another host."""

    # Known from the host list, a setting or a peer, and not heard from yet or
    # not for UNREACHABLE_RETRY_S.
    UNCONFIRMED = "unconfirmed"
    LIVE = "live"
    # Could not be dialled, or no heartbeat for PEER_TIMEOUT_S.
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"


class Frame(NamedTuple):
    """Contain a message and the ids that match replies to requests."""

    message: Message
    # Set on a message that expects a reply.
    message_id: int | None = None
    reply_to: int | None = None
