"""Estimate the number of requests at each server.

Several entry hosts send requests to the same few slots. Each host adds the
requests of the other hosts, as last reported by the server, to its own.
"""

from typing import NamedTuple

from samphirelug.components.placement import const


class LoadReport(NamedTuple):
    """Hold the request counts that a server reports about itself."""

    running: int
    waiting: int
    slots: int
    # Time that work takes on the server's machine now, as a multiple of the
    # usual time; None if the server does not report it.
    slowdown: float | None = None


class ServerLoad:
    """Track load and failures of one server incarnation."""

    def __init__(self) -> None:
        # Requests of this host only.
        self.in_flight = 0
        # Requests of all other hosts at the time of the newest report.
        self.other_hosts_in_flight = 0.0
        self.reported_at_s: float | None = None
        # Mean time of a request at this server, including its queueing time.
        self.service_time_s = const.INITIAL_SERVICE_TIME_S
        self.failures_in_row = 0
        self.pause_s = 0.0
        self.paused_until_s = 0.0
        # End of the time for which the server wants no requests; 0.0 if it
        # has not asked for that, or has answered a request since its end.
        self.held_until_s = 0.0
        # Whether the one request after that time is unanswered.
        self.probing = False

    def may_be_sent(self, now: float) -> bool:
        """Return whether neither failures nor the server forbid requests.

        After a time without requests, one is sent to see whether the server
        accepts requests again.
        """
        return (
            now >= self.paused_until_s
            and now >= self.held_until_s
            and not self.probing
        )

    def hold(self, *, until_s: float) -> None:
        """Send nothing to the server until a time at its wish."""
        self.held_until_s = max(self.held_until_s, until_s)
        self.probing = False

    def record_sent(self, now: float) -> None:
        """Count a request that is about to be sent."""
        self.in_flight += 1
        if self.held_until_s and now >= self.held_until_s:
            self.probing = True

    def record_ended(self) -> None:
        """Stop counting a request, and end a time without requests."""
        if self.in_flight:
            self.in_flight -= 1
        if self.probing:
            self.probing = False
            self.held_until_s = 0.0

    def estimate(self, now: float) -> float:
        """Return the estimated number of requests from all hosts."""
        if self.reported_at_s is None:
            return self.in_flight
        age_s = max(0.0, now - self.reported_at_s)
        half_life_s = min(
            const.MAX_HALF_LIFE_S,
            const.REPORT_HALF_LIFE_FACTOR * self.service_time_s,
        )
        decay: float = 0.5 ** (age_s / half_life_s)
        return self.in_flight + self.other_hosts_in_flight * decay

    def report_age_s(self, now: float) -> float | None:
        """Return the age of the newest report, None if there is none."""
        if self.reported_at_s is None:
            return None
        return now - self.reported_at_s

    def observe_report(self, report: LoadReport, *, now: float) -> None:
        """Record the reported requests, minus those of this host."""
        total = report.running + report.waiting
        self.other_hosts_in_flight = float(max(0, total - self.in_flight))
        self.reported_at_s = now

    def observe_success(self, *, took_s: float) -> None:
        """Update the mean request time and reset the failure count."""
        self.service_time_s += const.SERVER_TIME_EWMA_WEIGHT * (
            took_s - self.service_time_s
        )
        self.failures_in_row = 0
        self.pause_s = 0.0

    def observe_failure(self, *, now: float, unreachable: bool) -> bool:
        """Count a failure; return whether it pauses the server."""
        self.failures_in_row += 1
        if (
            not unreachable
            and self.failures_in_row < const.FAILURES_BEFORE_PAUSE
        ):
            return False
        self.pause_s = min(
            const.MAX_PAUSE_S, max(const.INITIAL_PAUSE_S, 2 * self.pause_s)
        )
        self.paused_until_s = now + self.pause_s
        return True


class LoadTracker:
    """Hold the load of each known server incarnation."""

    def __init__(self) -> None:
        self.by_incarnation: dict[tuple[str, int], ServerLoad] = {}

    def get_or_create(self, incarnation: tuple[str, int]) -> ServerLoad:
        """Return the load of an incarnation, added if it is unknown."""
        load = self.by_incarnation.get(incarnation)
        if load is None:
            load = self.by_incarnation[incarnation] = ServerLoad()
        return load

    def remove(self, incarnation: tuple[str, int]) -> None:
        """Remove an incarnation that has left."""
        self.by_incarnation.pop(incarnation, None)
