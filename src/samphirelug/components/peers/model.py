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

# Not a number would break every comparison of waits.
WaitSeconds = Annotated[float, pydantic.Field(ge=0.0)]
Sequence = Annotated[int, pydantic.Field(ge=0, lt=2**63)]


class Challenge(NamedTuple):
    """Open the server's side of a handshake on a new connection."""

    protocol_min: int
    protocol_max: int
    host: str
    nonce: str


class Hello(NamedTuple):
    """Answer a Challenge with a join token and a challenge in return."""

    protocol: int
    host: core.EntryHost
    token: str
    nonce: str


class Welcome(NamedTuple):
    """Accept a Hello and prove that the server knows the secret."""

    protocol: int
    host: core.EntryHost
    token: str


class KnownHosts(NamedTuple):
    """Tell a peer of other hosts; sent only while the mesh is full."""

    hosts: tuple[core.EntryHost, ...]


class RegionHeadroom(NamedTuple):
    """Report units free and held for one service in one region."""

    region: str
    service: str
    free: int
    held: int


class Sighting(NamedTuple):
    """Report that a backend server is leaving or live again."""

    server: str
    # The server's own name for its start; empty where unknown.
    server_incarnation: str
    leaving: bool
    # Host list revision behind the sighting, 0 for an own observation.
    list_revision: int


class Heartbeat(NamedTuple):
    """Report an entry host's state; sent every HEARTBEAT_INTERVAL_S."""

    host: core.EntryHost
    state: core.EntryHostState
    # Milliseconds since this incarnation started, on its own clock.
    clock_ms: Sequence
    catalogue_revision: int
    headroom: tuple[RegionHeadroom, ...]
    # Requests queued, by Rank value.
    queued: tuple[int, int, int]
    # Seconds until a new request of the rank would find room, by Rank value.
    wait_s: tuple[WaitSeconds, WaitSeconds, WaitSeconds]
    sightings: tuple[Sighting, ...]


class CatalogueRequest(NamedTuple):
    """Ask for all catalogue objects after a revision."""

    since: int


class CatalogueReply(NamedTuple):
    """Answer a CatalogueRequest."""

    delta: catalogue_model.CatalogueDelta
    # The sender has more; an entry changed again since may lack its version
    # up to delta.revision, so that is only where to ask from next.
    partial: bool = False
    rejected: tuple[catalogue_model.Rejection, ...] = ()


class GrantRequest(NamedTuple):
    """Ask for bundles of units to dispatch work into a region."""

    work: str
    region: str
    bundles_wanted: int
    # Region of the entry host that asks.
    host_region: str
    home_region: str
    body_bytes: int


class UnitRequest(NamedTuple):
    """Ask for plain units, such as bytes of a link."""

    units: tuple[quota_model.UnitAmount, ...]


class Grant(NamedTuple):
    """Lend bundles; empty where nothing can be spared."""

    loan_id: str
    bundles: tuple[quota_model.Bundle, ...]
    duration_s: float


class UnitGrant(NamedTuple):
    """Lend plain units; empty where nothing can be spared."""

    loan_id: str
    units: tuple[quota_model.UnitAmount, ...]
    duration_s: float


class GrantReturn(NamedTuple):
    """Give back a bundle, or all plain units with bundle number 0."""

    loan_id: str
    bundle_number: int


class OutcomeRecord(NamedTuple):
    """Keep the outcome of one run token."""

    token_id: str
    # A ResultCode; OK comes with the answer.
    code: int
    detail: str
    answer: core.Answer | None
    # Milliseconds left until the token expires.
    ttl_ms: int
    # Identifies the request that used the token; empty where unknown.
    digest: bytes = b""


class OutcomeQuery(NamedTuple):
    """Ask the incarnation named in a run token what became of it."""

    token: str


class OutcomeReply(NamedTuple):
    """Answer an OutcomeQuery; the queried token will never run later."""

    record: OutcomeRecord


class OutcomeHandover(NamedTuple):
    """Pass outcomes of a stopping incarnation to a peer."""

    incarnation: str
    records: tuple[OutcomeRecord, ...]
    # Set on the last message: no other token of the incarnation has run.
    complete: bool
    ttl_ms: int
    # Clock of the incarnation when its last token could start. Without it,
    # as in messages of earlier releases, the mark proves nothing.
    clock_ms: Sequence | None = None


class Acknowledgement(NamedTuple):
    """Confirm a message that needs no other answer."""


class ZoneSummary(NamedTuple):
    """Report a zone beyond its borders; built by its first watcher."""

    zone: core.AvailabilityZone
    # Grows with each summary of the zone, whoever builds it.
    epoch: Sequence
    # Lowest position of the zone's serving hosts.
    revision: Sequence
    # Bounded to the first names in order; lagging_count counts all.
    lagging: tuple[str, ...]
    lagging_count: int
    serving_count: int
    # A few serving hosts, without what changes from moment to moment.
    entry_hosts: tuple[Heartbeat, ...]


class ZoneEpoch(NamedTuple):
    """Name a zone by its short id, and the summary that was current."""

    zone_id: Sequence
    epoch: Sequence


class ZonePositions(NamedTuple):
    """Report that the lowest position of zones has risen to a revision."""

    revision: Sequence
    zones: tuple[ZoneEpoch, ...]


class RelayedSighting(NamedTuple):
    """Carry a sighting with the identity that stops loops."""

    # Name and incarnation of the host that sent it first.
    origin: str
    sequence: Sequence
    sighting: Sighting


class Relayed(NamedTuple):
    """Carry what a host passes on to one peer in one tick."""

    sightings: tuple[RelayedSighting, ...]
    positions: tuple[ZonePositions, ...]
    summaries: tuple[ZoneSummary, ...]
    # Lowest and highest position that the sender knows of in the fleet.
    lowest_revision: Sequence
    highest_revision: Sequence


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
    """Hold what is known of a peer from its last heartbeat."""

    heartbeat: Heartbeat
    # On this host's clock.
    heard_at_s: float
    connected: bool


class MemberState(enum.StrEnum):
    """Name what a host knows of another host."""

    # Named by the host list, a setting or a peer, and not heard yet.
    LISTED = "listed"
    LIVE = "live"
    # Heard before or dialled in vain, and not heard since.
    SILENT = "silent"
    LEAVING = "leaving"


class Frame(NamedTuple):
    """Hold a message with the ids that pair requests and replies."""

    message: Message
    # Set on a message that wants a reply.
    message_id: int | None = None
    reply_to: int | None = None
