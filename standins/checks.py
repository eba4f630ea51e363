"""Check guarantees against records of callers and backend servers.

The counters of the system under test are not used.
"""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from standins import caller


class Call(NamedTuple):
    """Pair a caller's request with its result."""

    # ID of a piece of work, the same for its repeated requests.
    work_id: str
    body: str
    result: caller.CallResult
    # Region of the caller.
    home_region: str


class Interval(NamedTuple):
    """Hold the start and the end of a period."""

    start_s: float
    end_s: float


# Reports of backend servers by name; the names begin with the region.
Reports = dict[str, dict[str, Any]]


def runs_by_work_id(reports: Reports) -> dict[str, int]:
    """Return the number of runs on all servers by work ID."""
    runs: dict[str, int] = {}
    for report in reports.values():
        for arrival in report["arrivals"]:
            work_id = arrival["work_id"]
            runs[work_id] = runs.get(work_id, 0) + 1
    return runs


def double_runs(reports: Reports, work_ids: Iterable[str]) -> list[str]:
    """Return the work IDs that were run more than once."""
    runs = runs_by_work_id(reports)
    return [each for each in work_ids if runs.get(each, 0) > 1]


def false_not_run(reports: Reports, calls: Iterable[Call]) -> list[Call]:
    """Return the calls that were refused as not run although they ran."""
    runs = runs_by_work_id(reports)
    return [
        call
        for call in calls
        if call.result.code
        and call.result.effect == "not_run"
        and runs.get(call.work_id, 0)
    ]


def wrong_answers(calls: Iterable[Call]) -> list[Call]:
    """Return the calls whose answer is truncated or to another request."""
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
    """Return the peak of requests in flight where it exceeds the slots."""
    return {
        name: report["max_in_flight"]
        for name, report in reports.items()
        if report["max_in_flight"] > report["slots"]
    }


def peak_overlap(intervals: Iterable[Interval]) -> int:
    """Return the largest number of intervals that overlap at one moment."""
    steps: list[tuple[float, int]] = []
    for interval in intervals:
        steps.append((interval.start_s, 1))
        steps.append((interval.end_s, -1))
    peak = current = 0
    # At equal times, ends sort before starts.
    for _, step in sorted(steps):
        current += step
        peak = max(peak, current)
    return peak


def peak_in_flight(reports: Reports, region: str) -> int:
    """Return the peak of requests in flight at a region's servers."""
    return peak_overlap(
        Interval(arrival["at_s"], arrival["ended_at_s"])
        for name, report in reports.items()
        if name.startswith(region)
        for arrival in report["arrivals"]
    )


def peak_shifted(reports: Reports, region: str, window_s: float) -> int:
    """Return the most arrivals from other regions in any window_s seconds."""
    return peak_overlap(
        Interval(arrival["at_s"], arrival["at_s"] + window_s)
        for name, report in reports.items()
        if name.startswith(region)
        for arrival in report["arrivals"]
        if arrival["home_region"] != region
    )
