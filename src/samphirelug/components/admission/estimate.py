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
        # Average service time of a work entry, and its average deviation.
        self.own: dict[str, tuple[float, float]] = {}
        self.rates: dict[tuple[str, str], list[DecayingRate]] = {}

    def observe_hold(self, service: str, work: str, seconds: float) -> None:
        """Note how long a request held its units."""
        known = self.holds.get(service, seconds)
        self.holds[service] = known + const.HOLD_WEIGHT * (seconds - known)
        mean, deviation = self.own.get(work, (seconds, 0.0))
        error = seconds - mean
        self.own[work] = (
            mean + const.HOLD_WEIGHT * error,
            deviation + const.HOLD_WEIGHT * (abs(error) - deviation),
        )

    def hold_s(self, service: str) -> float:
        """Return the recent time for which units are held."""
        return max(0.001, self.holds.get(service, const.HOLD_DEFAULT_S))

    def own_s(self, work: str) -> float:
        """Return the time that a request of a work entry may well take.

        By the mean alone, half of the requests that are dispatched last
        would end after their deadline. Returns 0.0 where nothing is known.
        """
        mean, deviation = self.own.get(work, (0.0, 0.0))
        return mean + const.HOLD_DEVIATIONS * deviation

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
        release_delay_s: float,
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
        total = max(
            places / (self.hold_s(domain[0]) + release_delay_s), sum(rates)
        )
        rate = max(part * total, total - sum(rates[:rank]))
        return ahead / rate if rate > 0.0 else math.inf
