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
    # Most tokens that the owner hands out in a time of grant_window_s, within
    # which those spent in one window of the bounds were handed out.
    tokens_per_window: float
    grant_window_s: float
    # Tokens that all hosts together may spend before they are handed out.
    credit: float
    # Time from the question within which a token may be spent.
    lifetime_s: float

    @property
    def refill_per_s(self) -> float:
        """Return the tokens per second under steady demand."""
        return self.tokens_per_window / self.grant_window_s

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
    lifetime_s = min(
        const.MAX_LIFETIME_S, const.LIFETIME_RATIO * excess / rate
    )
    allowance = rate * bounds.window_s + team.burst
    return TeamLimit(
        name=team.name,
        key=xxhash.xxh64_intdigest(team.name.encode()),
        requests_per_s=rate,
        capacity=max(1.0, team.burst + const.CAPACITY_RATIO * excess),
        tokens_per_window=allowance + const.WINDOW_RATIO * excess,
        grant_window_s=bounds.window_s + lifetime_s,
        credit=const.CREDIT_RATIO * excess,
        lifetime_s=lifetime_s,
    )


class HostId(NamedTuple):
    """Identify one start of an entry host."""

    name: str
    incarnation: str


class Want(NamedTuple):
    """Ask for tokens of a team."""

    team: int
    tokens: int
    # Tokens that the host takes if there are plenty. If it wants none at all,
    # it gives up its fallback.
    extra: int
    # Rate of the fallback that the host has from another owner.
    carried_per_s: float


class Ask(NamedTuple):
    """Hold the questions of a host to an owner."""

    number: int
    # Number of the last answer of this owner, 0 if there is none.
    confirmed: int
    # Without wants, it keeps the fallbacks that the owner has named.
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
    # Changes when the sender no longer owns a partition: fallbacks that it
    # named before are not kept any longer.
    generation: int
    grants: Sequence[Grant]


Message = Ask | Answer


class Outgoing(NamedTuple):
    """Hold a message and the name of the host that it is for."""

    recipient: str
    message: Message
