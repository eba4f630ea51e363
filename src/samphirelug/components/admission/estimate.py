"""Estimate queueing delays and service times."""

import math

from samphirelug.components.admission import const
from samphirelug import core


class DecayingRate:
    """Measure events per second, averaged over about RATE_WINDOW_S."""

    __slots__ = ("at_s", "value")

    def __init__(self) -> None:
        self.at_s = 0.0
        self.value = 0.0

    def add(self, now: float) -> None:
        """Record one event."""
        self.value = self.per_second(now) * const.RATE_WINDOW_S + 1.0
        self.at_s = now

    def per_second(self, now: float) -> float:
        """Return the current rate."""
        age = (now - self.at_s) / const.RATE_WINDOW_S
        return self.value * math.exp(-age) / const.RATE_WINDOW_S


class WaitEstimator:
    """Estimate waits from recent service times and dispatch rates."""

    def __init__(self) -> None:
        self.service_times: dict[str, float] = {}
        # Mean and mean absolute deviation of the service time, by work entry.
        self.work_service_times: dict[str, tuple[float, float]] = {}
        # Dispatch rates by rank, for each service and home region.
        self.rates: dict[tuple[str, str], list[DecayingRate]] = {}

    def observe_service_time(
        self, service: str, work: str, seconds: float
    ) -> None:
        """Record how long a request held its units."""
        known = self.service_times.get(service, seconds)
        self.service_times[service] = known + const.SERVICE_TIME_WEIGHT * (
            seconds - known
        )
        mean, deviation = self.work_service_times.get(work, (seconds, 0.0))
        difference = seconds - mean
        self.work_service_times[work] = (
            mean + const.SERVICE_TIME_WEIGHT * difference,
            deviation
            + const.SERVICE_TIME_WEIGHT * (abs(difference) - deviation),
        )

    def service_time_s(self, service: str) -> float:
        """Return the recent mean service time of a backend service."""
        return max(
            0.001,
            self.service_times.get(service, const.INITIAL_SERVICE_TIME_S),
        )

    def high_service_time_s(self, work: str) -> float:
        """Return the seconds within which most requests of a work entry end.

        With the mean alone, half of the requests dispatched at the last
        moment would end after their deadline. Returns 0.0 if no request has
        ended yet.
        """
        mean, deviation = self.work_service_times.get(work, (0.0, 0.0))
        return mean + const.SERVICE_TIME_DEVIATIONS * deviation

    def count_dispatch(
        self, service_region: tuple[str, str], rank: core.Rank, now: float
    ) -> None:
        """Record a dispatch for a service and home region."""
        rates = self.rates.get(service_region)
        if rates is None:
            rates = self.rates[service_region] = [
                DecayingRate() for _ in core.Rank
            ]
        rates[rank].add(now)

    def wait_s(
        self,
        *,
        service_region: tuple[str, str],
        rank: core.Rank,
        queued_ahead: int,
        guaranteed_fraction: float,
        concurrency: float,
        release_delay_s: float,
        now: float,
    ) -> float:
        """Return the expected wait behind queued requests, in seconds.

        Concurrency is the number of requests that the scarce units can serve
        at a time. The measured rate is considered as well, since it includes
        loans and other regions. A rank gets the rate that more urgent ranks
        leave, and at least its guaranteed fraction. Infinite if there were no
        recent dispatches and concurrency is 0.
        """
        rates = [
            rate.per_second(now) for rate in self.rates.get(service_region, ())
        ]
        total = max(
            concurrency
            / (self.service_time_s(service_region[0]) + release_delay_s),
            sum(rates),
        )
        rate = max(guaranteed_fraction * total, total - sum(rates[:rank]))
        return queued_ahead / rate if rate > 0.0 else math.inf
