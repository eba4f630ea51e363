"""Estimate how many requests each server has.

Answers load that several entry hosts send to the same few slots: each host
adds the other hosts' requests, as the server last reported them, to its own.
"""

from typing import NamedTuple

from samphirelug.components.placement import const


class LoadReport(NamedTuple):
    """Hold a server's own count of its requests."""

    running: int
    waiting: int
    slots: int


class ServerLoad:
    """Track one incarnation of a server."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.others = 0.0
        self.reported_at_s: float | None = None
        # Mean time that requests take here, waiting included.
        self.service_time_s = const.INITIAL_SERVICE_TIME_S
        self.failures_in_row = 0
        self.pause_s = 0.0
        self.suspended_until_s = 0.0

    def estimate(self, now: float) -> float:
        """Return the requests that the server has, from all hosts."""
        if self.reported_at_s is None:
            return self.in_flight
        age_s = max(0.0, now - self.reported_at_s)
        half_life_s = min(
            const.MAX_HALF_LIFE_S,
            const.REPORT_HALF_LIFE * self.service_time_s,
        )
        decay: float = 0.5 ** (age_s / half_life_s)
        return self.in_flight + self.others * decay

    def report_age_s(self, now: float) -> float | None:
        """Return the age of the newest report, None if there is none."""
        if self.reported_at_s is None:
            return None
        return now - self.reported_at_s

    def observe_report(self, report: LoadReport, *, now: float) -> None:
        """Take over what the server reports, less this host's requests."""
        total = report.running + report.waiting
        self.others = float(max(0, total - self.in_flight))
        self.reported_at_s = now

    def observe_success(self, *, took_s: float) -> None:
        """Learn the time that a request takes, and forget failures."""
        self.service_time_s += const.SERVER_TIME_GAIN * (
            took_s - self.service_time_s
        )
        self.failures_in_row = 0
        self.pause_s = 0.0

    def observe_failure(self, *, now: float, unreachable: bool) -> bool:
        """Count a failure; return whether it suspends the server."""
        self.failures_in_row += 1
        if (
            not unreachable
            and self.failures_in_row < const.FAILURES_TO_SUSPEND
        ):
            return False
        self.pause_s = min(
            const.SUSPEND_MAX_S, max(const.SUSPEND_FIRST_S, 2 * self.pause_s)
        )
        self.suspended_until_s = now + self.pause_s
        return True


class LoadBook:
    """Hold the load of each known incarnation."""

    def __init__(self) -> None:
        self.loads: dict[tuple[str, int], ServerLoad] = {}

    def of(self, incarnation: tuple[str, int]) -> ServerLoad:
        """Return the load of an incarnation, new if it is unknown."""
        load = self.loads.get(incarnation)
        if load is None:
            load = self.loads[incarnation] = ServerLoad()
        return load

    def forget(self, incarnation: tuple[str, int]) -> None:
        """Drop an incarnation that has left."""
        self.loads.pop(incarnation, None)
