"""Define the limits of teams and the messages about their tokens."""

from collections.abc import Sequence
from typing import NamedTuple

import xxhash

from samphirelug.components.allowance import const
from samphirelug.components.routing import model as routing_model


class AllowanceBounds(NamedTuple):
    """Hold how far requests may exceed the limits of teams."""

    window_s: float
    # Ratio by which the requests in a window may exceed the allowance.
    overage: float
    # Requests by which they may exceed it besides.
    slack: float


class TeamLimit(NamedTuple):
    """Hold the limit of a team and what follows from the bounds."""

    name: str
    key: int
    requests_per_s: float
    # Most tokens that the owner saves up.
    capacity: float
    # Time from the question within which a token may be spent.
    lifetime_s: float

    @property
    def partition(self) -> int:
        """Return the partition of the team."""
        return self.key % const.PARTITIONS

    @property
    def has_fallback(self) -> bool:
        """Return whether hosts get a fallback for the team."""
        return self.requests_per_s >= const.FALLBACK_MIN_TEAM_PER_S


def make_limit(
    team: routing_model.Team, bounds: AllowanceBounds
) -> TeamLimit | None:
    """Return the limit of a team, None if it has none."""
    rate = team.requests_per_s
    if rate <= 0.0:
        return None
    excess = (
        bounds.overage * (rate * bounds.window_s + team.burst) + bounds.slack
    )
    return TeamLimit(
        name=team.name,
        key=xxhash.xxh64_intdigest(team.name.encode()),
        requests_per_s=rate,
        capacity=max(1.0, team.burst + const.CAPACITY_RATIO * excess),
        lifetime_s=min(
            const.MAX_LIFETIME_S, const.LIFETIME_RATIO * excess / rate
        ),
    )


class HostId(NamedTuple):
    """Identify one start of an entry host."""

    name: str
    incarnation: str


class Want(NamedTuple):
    """Ask for tokens of a team."""

    team: int
    # With 0 the host gives up its fallback.
    tokens: int
    # Rate of the fallback that the host has from another owner.
    carried_per_s: float
    # Number of the last answer with this team, 0 if there is none.
    confirmed: int


class Ask(NamedTuple):
    """Hold the questions of a host to an owner."""

    number: int
    wants: Sequence[Want]


class Grant(NamedTuple):
    """Hand out tokens of a team."""

    team: int
    tokens: int
    fallback_per_s: float
    # Whether the host shall use its fallback at once.
    use_fallback: bool
    # Time for which there are no more tokens.
    refuse_s: float


class Answer(NamedTuple):
    """Answer the question with the same number."""

    number: int
    grants: Sequence[Grant]


class LeaseAsk(NamedTuple):
    """Ask a witness for the partitions whose bits are set."""

    number: int
    partitions: int
    # Partitions that the sender no longer owns.
    released: int


class LeaseAnswer(NamedTuple):
    """Promise partitions to an owner."""

    number: int
    partitions: int
    # Those that had another owner shortly before.
    recent: int
    # Those that another host has asked for.
    contested: int


Message = Ask | Answer | LeaseAsk | LeaseAnswer


class Outgoing(NamedTuple):
    """Hold a message and the name of the host that it is for."""

    recipient: str
    message: Message
