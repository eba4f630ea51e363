"""Decide who may queue at a server when capacity is short.

Up to its number of slots, a server takes everybody's requests. Under shortage,
the queue is reserved for the most urgent requests and for teams that get less
than their max-min fair share. Each entry host decides from the requests that
it handles itself.
"""

from collections.abc import Callable
import logging
import math

from samphirelug.components.placement import const
from samphirelug.components.placement import retry_after
from samphirelug.helpers import log_rate

_LOGGER = logging.getLogger(__name__)


class _Count:
    """Hold decayed numbers of requests, scaled by their service."""

    __slots__ = ("refused", "sent")

    def __init__(self) -> None:
        self.sent = 0.0
        self.refused = 0.0

    def multiply(self, factor: float) -> None:
        """Scale both numbers."""
        self.sent *= factor
        self.refused *= factor


class _PriorityCount(_Count):
    """Hold the requests of a priority, and which refusals others bear."""

    __slots__ = ("refused_within",)

    def __init__(self) -> None:
        super().__init__()
        # Refused requests of teams within their share.
        self.refused_within = 0.0

    def multiply(self, factor: float) -> None:
        """Scale all numbers."""
        super().multiply(factor)
        self.refused_within *= factor


class _TeamCount(_Count):
    """Hold the requests of a team, and its weight in the fair shares."""

    __slots__ = ("weight",)

    def __init__(self) -> None:
        super().__init__()
        # 0 until the shares are computed for the first time.
        self.weight = 0.0


class ServiceShares:
    """Hold what one service's teams and priorities were lately sent.

    Numbers decay exponentially. Instead of decaying each of them, new ones
    are counted with a weight that grows at the same rate.
    """

    def __init__(self, *, now: float) -> None:
        self.total = _Count()
        self.teams: dict[str, _TeamCount] = {}
        self.priorities: dict[int, _PriorityCount] = {}
        self.scaled_at_s = now
        self.refreshed_at_s = float("-inf")
        self.events_since_refresh = 0
        # Scaled requests for each unit of weight; infinite if no team asks
        # for more than its share.
        self.level = float("inf")
        self.short_since_s: float | None = None
        self.refused_while_short = 0
        # Teams with a lower threshold during this shortage, for the log.
        self.over_share: dict[str, None] = {}

    def scale(self, now: float) -> float:
        """Return the weight at which a request is counted now."""
        age = (now - self.scaled_at_s) / const.SHARE_MEMORY_S
        if not 0.0 <= age <= const.MAX_SCALE_EXPONENT:
            self._rescale(math.exp(-max(0.0, age)), now)
            return 1.0
        return math.exp(age)

    def count(
        self, *, team: str, priority: int, sent: bool, now: float
    ) -> None:
        """Count a request that is sent to a server or refused."""
        weight = self.scale(now)
        self.events_since_refresh += 1
        priority_count = self._priority_count(priority)
        if not sent and not self.team_excess(team, now=now):
            priority_count.refused_within += weight
        counts: list[_Count] = [self.total, priority_count]
        team_count = self._team_count(team)
        if team_count is not None:
            counts.append(team_count)
        for count in counts:
            if sent:
                count.sent += weight
            else:
                count.refused += weight

    def update(self, *, weight_of: Callable[[str], float], now: float) -> None:
        """Compute the fair shares again if they are old.

        The number of requests between two computations grows with the number
        of teams, so that a request bears a constant part of the cost.
        """
        if (
            now - self.refreshed_at_s < const.SHARE_INTERVAL_S
            or self.events_since_refresh * const.TEAMS_PER_EVENT
            < len(self.teams)
        ):
            return
        self._remove_idle(now)
        self.refreshed_at_s = now
        self.events_since_refresh = 0
        self._set_weights(weight_of)
        self.level = max_min_level(
            [
                (team.sent + team.refused, team.weight)
                for team in self.teams.values()
            ],
            capacity=sum(team.sent for team in self.teams.values()),
        )

    def refused_share(self, now: float) -> float:
        """Return the share of requests that were lately refused.

        A request in addition keeps a single refusal among few requests from
        counting as a shortage for longer than among many.
        """
        scale = self.scale(now)
        refused = self.total.refused
        return refused / (self.total.sent + refused + scale)

    def priority_yield(
        self, priority: int, *, over_share: bool, now: float
    ) -> float:
        """Return how far a priority goes behind others, from 0 to 1.

        It grows with the share of more urgent requests that were refused, and
        with the rank of the priority, so that each goes before the next one.
        Refusals of teams over their share count for requests of such teams
        only: a flood of urgent requests does not hold up those of others.
        """
        scale = self.scale(now)
        more_urgent = []
        for other, count in self.priorities.items():
            if other < priority:
                refused = count.refused if over_share else count.refused_within
                more_urgent.append(refused / (count.sent + refused + scale))
        if not more_urgent:
            return 0.0
        rank = len(more_urgent) / max(1, len(self.priorities) - 1)
        return rank * min(1.0, max(more_urgent) / const.FULL_YIELD_SHARE)

    def team_excess(self, team: str, *, now: float) -> float:
        """Return how far a team is over its share, from 0 to 1."""
        count = self.teams.get(team)
        if count is None or not count.weight or math.isinf(self.level):
            return 0.0
        scale = self.scale(now)
        share = self.level * count.weight / scale
        excess = count.sent / scale - share - const.SHARE_SLACK
        return min(
            1.0,
            max(0.0, excess)
            / (const.SHARE_SLACK + const.EXCESS_RATIO * share),
        )

    def _team_count(self, team: str) -> _TeamCount | None:
        """Return the count of a team, None if it is not counted."""
        if not team:
            return None
        count = self.teams.get(team)
        if count is None and len(self.teams) < const.MAX_COUNTED_TEAMS:
            count = self.teams[team] = _TeamCount()
        return count

    def _priority_count(self, priority: int) -> _PriorityCount:
        count = self.priorities.get(priority)
        if count is None:
            if len(self.priorities) >= const.MAX_COUNTED_PRIORITIES:
                return _PriorityCount()
            count = self.priorities[priority] = _PriorityCount()
        return count

    def _set_weights(self, weight_of: Callable[[str], float]) -> None:
        """Set the weights; teams without a limit get the mean weight."""
        unlimited = []
        total = 0.0
        for name, team in self.teams.items():
            team.weight = weight_of(name)
            total += team.weight
            if not team.weight:
                unlimited.append(team)
        limited = len(self.teams) - len(unlimited)
        mean = total / limited if limited else 1.0
        for team in unlimited:
            team.weight = mean

    def _remove_idle(self, now: float) -> None:
        """Remove teams and priorities of which there were few requests."""
        least = const.MIN_COUNTED_REQUESTS * self.scale(now)
        for name in [
            name
            for name, team in self.teams.items()
            if team.sent + team.refused < least
        ]:
            del self.teams[name]
        for priority in [
            priority
            for priority, count in self.priorities.items()
            if count.sent + count.refused < least
        ]:
            del self.priorities[priority]

    def _rescale(self, factor: float, now: float) -> None:
        self.scaled_at_s = now
        self.level = self.level * factor if factor else float("inf")
        for count in (
            self.total,
            *self.teams.values(),
            *self.priorities.values(),
        ):
            count.multiply(factor)
        self._remove_idle(now)


class FairShare:
    """Lower the threshold of requests that others go before."""

    def __init__(
        self,
        *,
        weight_of: Callable[[str], float] = lambda _: 0.0,
        on_refused: Callable[[str, int], None] = lambda _, __: None,
        is_enabled: Callable[[], bool] = lambda: True,
    ) -> None:
        # Whether callers belong to teams; without, all requests are alike.
        self.is_enabled = is_enabled
        # Requests per second that a team may send; 0 if it has no limit.
        self.weight_of = weight_of
        # Called with team and priority of each refusal.
        self.on_refused = on_refused
        self.services: dict[str, ServiceShares] = {}
        self.limiter = log_rate.LogRateLimiter(
            lines_per_s=const.SHORTAGE_LOG_LINES_PER_S
        )

    def full_ratio(
        self, *, service: str, team: str, priority: int, now: float
    ) -> float:
        """Return the requests per slot from which a server is full.

        It is the constant except for requests of a short service that are
        less urgent than refused ones, or whose team is over its share.
        """
        if not self.is_enabled():
            return const.FULL_RATIO
        shares = self.services.get(service)
        if shares is None or not self._is_short(service, shares, now=now):
            return const.FULL_RATIO
        excess = shares.team_excess(team, now=now)
        if excess and len(shares.over_share) < const.MAX_LOGGED_TEAMS:
            shares.over_share[team] = None
        team_part = const.OVER_SHARE_YIELD * excess
        yielding = team_part + (1.0 - team_part) * shares.priority_yield(
            priority, over_share=excess > 0.0, now=now
        )
        reserved = max(0.0, const.FULL_RATIO - const.SHORT_RATIO)
        return const.FULL_RATIO - yielding * reserved

    def is_short(self, *, service: str, now: float) -> bool:
        """Return whether requests for the service were lately refused."""
        shares = self.services.get(service)
        return shares is not None and self._is_short(service, shares, now=now)

    def retry_order(
        self, *, service: str, team: str, now: float
    ) -> retry_after.RetryOrder:
        """Return how callers of a team that are refused retry."""
        if not self.is_enabled():
            return retry_after.RetryOrder.BY_SLOTS
        shares = self.services.get(service)
        if (
            shares is None
            or not shares.teams
            or not self._is_short(service, shares, now=now)
        ):
            return retry_after.RetryOrder.BY_SLOTS
        if shares.team_excess(team, now=now):
            return retry_after.RetryOrder.OVER_SHARE
        return retry_after.RetryOrder.WITHIN_SHARE

    def record_sent(
        self, *, service: str, team: str, priority: int, now: float
    ) -> None:
        """Count a request that is sent to a server of the service."""
        if not self.is_enabled():
            return
        self._shares(service, now=now).count(
            team=team, priority=priority, sent=True, now=now
        )

    def record_refused(
        self, *, service: str, team: str, priority: int, now: float
    ) -> None:
        """Count a request that is refused as its servers are full."""
        if not self.is_enabled():
            return
        shares = self._shares(service, now=now)
        shares.count(team=team, priority=priority, sent=False, now=now)
        shares.refused_while_short += 1
        self._is_short(service, shares, now=now)
        self.on_refused(team, priority)

    def _shares(self, service: str, *, now: float) -> ServiceShares:
        shares = self.services.get(service)
        if shares is None:
            if len(self.services) >= const.MAX_COUNTED_SERVICES:
                # Services that left the configuration; others start anew.
                self.services.clear()
            shares = self.services[service] = ServiceShares(now=now)
        return shares

    def _is_short(
        self, service: str, shares: ServiceShares, *, now: float
    ) -> bool:
        """Return whether the service is short, and log a change of that."""
        refused_share = shares.refused_share(now)
        was_short = shares.short_since_s is not None
        is_short = refused_share >= (
            const.SHORTAGE_END_SHARE
            if was_short
            else const.SHORTAGE_BEGIN_SHARE
        )
        if is_short:
            shares.update(weight_of=self.weight_of, now=now)
        elif len(shares.teams) >= const.MAX_COUNTED_TEAMS:
            # Makes room for the teams that send requests now.
            shares.update(weight_of=self.weight_of, now=now)
        if is_short and not was_short:
            shares.short_since_s = now
            shares.refused_while_short = 0
            shares.over_share = {
                team: None
                for team in shares.teams
                if shares.team_excess(team, now=now)
            }
            self._log(
                "service is short of capacity",
                {
                    "service": service,
                    "refused_share": round(refused_share, 3),
                    "teams": len(shares.teams),
                    "over_share": _names(shares.over_share),
                },
                now=now,
            )
        elif was_short and not is_short:
            assert shares.short_since_s is not None
            self._log(
                "service is no longer short of capacity",
                {
                    "service": service,
                    "lasted_s": round(now - shares.short_since_s, 3),
                    "refused": shares.refused_while_short,
                    "over_share": _names(shares.over_share),
                },
                now=now,
            )
            shares.short_since_s = None
            shares.over_share = {}
        return is_short

    def _log(
        self, message: str, fields: dict[str, object], *, now: float
    ) -> None:
        left_out = self.limiter.try_acquire(now)
        if left_out is not None:
            _LOGGER.info(message, extra={**fields, "left_out": left_out})


def max_min_level(
    demands: list[tuple[float, float]], *, capacity: float
) -> float:
    """Return the share of each unit of weight at which capacity is used up.

    Demands are pairs of demand and weight. The result is infinite if the
    capacity meets all demands.
    """
    remaining_weight = sum(weight for _, weight in demands)
    for ratio, demand, weight in sorted(
        (demand / weight, demand, weight) for demand, weight in demands
    ):
        if ratio * remaining_weight > capacity:
            return capacity / remaining_weight
        capacity -= demand
        remaining_weight -= weight
    return float("inf")


def _names(teams: dict[str, None]) -> list[str]:
    return [team[:64] for team in list(teams)[: const.MAX_LOGGED_TEAMS]]
