"""Check promises by what callers and backend servers saw.

Nothing here reads the system's own counters.
"""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from standins import caller


class Call(NamedTuple):
    """Pair what a caller asked with what it got."""

    work_id: str
    body: str
    result: caller.CallResult
    # Region of the caller.
    home: str


class Interval(NamedTuple):
    """Hold the time for which a server worked on a request."""

    start_s: float
    end_s: float


Reports = dict[str, dict[str, Any]]


def runs_by_work_id(reports: Reports) -> dict[str, int]:
    """Return how often each piece of work was run on any server."""
    runs: dict[str, int] = {}
    for report in reports.values():
        for arrival in report["arrivals"]:
            work_id = arrival["work_id"]
            runs[work_id] = runs.get(work_id, 0) + 1
    return runs


def double_runs(reports: Reports, work_ids: Iterable[str]) -> list[str]:
    """Return the work that was run more than once."""
    runs = runs_by_work_id(reports)
    return [each for each in work_ids if runs.get(each, 0) > 1]


def false_not_run(reports: Reports, calls: Iterable[Call]) -> list[Call]:
    """Return the calls that were told "not run" although they were run."""
    runs = runs_by_work_id(reports)
    return [
        call
        for call in calls
        if call.result.code
        and call.result.effect == "not_run"
        and runs.get(call.work_id, 0)
    ]


def wrong_answers(calls: Iterable[Call]) -> list[Call]:
    """Return the calls whose answer is not the whole answer to its own."""
    return [
        call
        for call in calls
        if call.result.status == 200
        and (
            call.result.body.get("echo") != call.body
            or "padding" not in call.result.body
        )
    ]


def calls_without_result(calls: Iterable[Call]) -> list[Call]:
    """Return the calls that got neither an answer nor a refusal."""
    return [call for call in calls if call.result.status == 0]


def overfull_servers(reports: Reports) -> dict[str, int]:
    """Return the servers that had more requests than slots at once."""
    return {
        name: report["max_in_flight"]
        for name, report in reports.items()
        if report["max_in_flight"] > report["slots"]
    }


def peak_overlap(intervals: Iterable[Interval]) -> int:
    """Return the largest number of intervals that overlap."""
    steps: list[tuple[float, int]] = []
    for interval in intervals:
        steps.append((interval.start_s, 1))
        steps.append((interval.end_s, -1))
    most = now = 0
    # At equal times ends come first.
    for _, step in sorted(steps):
        now += step
        most = max(most, now)
    return most


def peak_in_flight(reports: Reports, region: str) -> int:
    """Return the most requests that a region's servers had at once."""
    return peak_overlap(
        Interval(arrival["at_s"], arrival["ended_at_s"])
        for name, report in reports.items()
        if name.startswith(region)
        for arrival in report["arrivals"]
    )


def peak_shifted(reports: Reports, region: str, window_s: float) -> int:
    """Return the most arrivals from other regions in any time window."""
    return peak_overlap(
        Interval(arrival["at_s"], arrival["at_s"] + window_s)
        for name, report in reports.items()
        if name.startswith(region)
        for arrival in report["arrivals"]
        if arrival["home_region"] != region
    )
