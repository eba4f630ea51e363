"""Estimate how long a request would wait."""

import math

from samphirelug.components.admission import const
from samphirelug import core


class DecayingRate:
    """Measure events per second over the last RATE_WINDOW_S or so."""

    __slots__ = ("at_s", "value")

    def __init__(self) -> None:
        self.at_s = 0.0
        self.value = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self.value = self.per_second(now) * const.RATE_WINDOW_S + 1.0
        self.at_s = now

    def per_second(self, now: float) -> float:
        """Return the rate."""
        age = (now - self.at_s) / const.RATE_WINDOW_S
        return self.value * math.exp(-age) / const.RATE_WINDOW_S


class WaitEstimator:
    """Keep recent service times and dispatch rates."""

    def __init__(self) -> None:
        self.holds: dict[str, float] = {}
        self.own: dict[str, float] = {}
        self.rates: dict[tuple[str, str], list[DecayingRate]] = {}

    def observe_hold(self, service: str, work: str, seconds: float) -> None:
        """Note how long a request held its units."""
        for averages, name in ((self.holds, service), (self.own, work)):
            known = averages.get(name, seconds)
            averages[name] = known + const.HOLD_WEIGHT * (seconds - known)

    def hold_s(self, service: str) -> float:
        """Return the recent time for which units are held."""
        return max(0.001, self.holds.get(service, const.HOLD_DEFAULT_S))

    def own_s(self, work: str) -> float:
        """Return the recent service time of a work entry, 0.0 if unknown."""
        return self.own.get(work, 0.0)

    def count_dispatch(
        self, domain: tuple[str, str], rank: core.Rank, now: float
    ) -> None:
        """Note a dispatch for callers of a service in a home region."""
        rates = self.rates.get(domain)
        if rates is None:
            rates = self.rates[domain] = [DecayingRate() for _ in core.Rank]
        rates[rank].add(now)

    def wait_s(
        self,
        *,
        domain: tuple[str, str],
        rank: core.Rank,
        ahead: int,
        part: float,
        places: float,
        linger_s: float,
        now: float,
    ) -> float:
        """Return seconds until a request after those ahead finds room.

        Places are the requests that the scarce units serve at a time. The
        measured rate counts too, since it includes loans and other regions.
        More urgent ranks leave what they do not take of the rate, and at
        least the guaranteed part. Infinite where nothing was dispatched of
        late and there are no places.
        """
        rates = [rate.per_second(now) for rate in self.rates.get(domain, ())]
        total = max(places / (self.hold_s(domain[0]) + linger_s), sum(rates))
        rate = max(part * total, total - sum(rates[:rank]))
        return ahead / rate if rate > 0.0 else math.inf
