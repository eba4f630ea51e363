"""Define the history of a run and check the guarantees on it.

The history holds what callers, backend servers and the store observe. It also
holds the limits that hosts applied, because section 4 of the design lets a
host use the previous limit until it has received a lower one.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import NamedTuple

from samphirelug.components.quota import const as quota_const
from samphirelug.result_codes import Effect
from samphirelug.result_codes import ResultCode

# Refusals after which work under the same run token must never be run.
NEVER_RUN_CODES = (ResultCode.TOKEN_REVOKED, ResultCode.TOKEN_EXPIRED)
# A leaving server may get new work until this long after a host received the
# first sign that it is leaving.
LEAVING_GRACE_S = 3.0
# A change must be in force on all hosts within this time of its write.
IN_FORCE_S = 4.0
# Longest time from the dispatch of a request to its arrival at the server.
MAX_TRANSIT_S = 0.1


class Usage(NamedTuple):
    """Hold an amount of a quota key that is in use during a period."""

    start_s: float
    end_s: float
    key: str
    amount: int


class Run(NamedTuple):
    """Hold one execution of work by a backend server."""

    # When the entry host sent the request.
    sent_at_s: float
    start_s: float
    end_s: float
    work_id: str
    # Number of the run token, 0 for none.
    token: int
    # Region of the caller.
    home_region: str
    # Region of the server.
    region: str
    server: str
    server_incarnation: int
    # Incarnation of the entry host that sent the request.
    host: str


class Reply(NamedTuple):
    """Hold the reply of an entry host to a caller."""

    at_s: float
    work_id: str
    # Number of the run token, 0 for none.
    token: int
    # Incarnation of the entry host.
    host: str
    # Result code, 0 for an answer, or None if the reply was lost.
    code: int | None
    body: str


class HostState(NamedTuple):
    """Hold the catalogue state that a host applies from a time on."""

    at_s: float
    # Incarnation of the host.
    host: str
    position: int
    # Revisions of the entries, by key.
    entries: Mapping[str, int]
    # Limits by quota key; empty once the host has ended.
    limits: Mapping[str, int]


class Span(NamedTuple):
    """Hold a period in which a host serves or is paused, or a fault acts."""

    start_s: float
    end_s: float
    # "serving", "paused", or "fault" for the store or the network.
    kind: str
    # Incarnation of the host, empty for a fault.
    host: str

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Return whether the span and a period overlap."""
        return self.start_s <= end_s and self.end_s >= start_s


class Change(NamedTuple):
    """Hold the write of a catalogue entry that the store has accepted."""

    at_s: float
    key: str
    revision: int


class History:
    """Collect the records of one run in the order of time."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.link_bytes: list[Usage] = []
        self.replies: list[Reply] = []
        self.states: list[HostState] = []
        self.spans: list[Span] = []
        self.changes: list[Change] = []
        # When a host first received a sign that a server is leaving, by name
        # and incarnation of the server.
        self.leaving_known_at_s: dict[tuple[str, int], float] = {}
        # Requests whose connections a planned stop has closed.
        self.interrupted: list[str] = []


def usage_above_limit(history: History, usages: Iterable[Usage]) -> list[str]:
    """Return the moments at which the usages of a key exceed its limit.

    Usages that began at or after a time may together reach the highest limit
    that any host has applied since then. Limits that were replaced shortly
    before, by LOAN_S and MAX_TRANSIT_S at most, also count, because a borrower
    may still dispatch under a loan that was granted under them.
    """
    periods: list[tuple[float, float, Mapping[str, int]]] = []
    latest: dict[str, HostState] = {}
    for state in history.states:
        previous = latest.get(state.host, state)
        periods.append((previous.at_s, state.at_s, previous.limits))
        latest[state.host] = state
    periods += [
        (state.at_s, math.inf, state.limits) for state in latest.values()
    ]
    found: list[str] = []
    active: list[Usage] = []
    for usage in sorted(usages):
        now = usage.start_s
        active = [other for other in active if other.end_s > now] + [usage]
        total = 0
        for other in reversed(active):
            total += other.amount
            start_s = other.start_s - quota_const.LOAN_S - MAX_TRANSIT_S
            highest_limit = max(
                limits.get(usage.key, 0)
                for applied_s, replaced_s, limits in periods
                if applied_s <= now and replaced_s >= start_s
            )
            if total > highest_limit:
                found.append(
                    f"{now:.3f} {usage.key}: {total} above {highest_limit}"
                )
                break
    return found


def exceeded_shift_caps(history: History, interval_s: float) -> list[str]:
    """Check P1: arrivals from other regions stay within the shift cap."""
    usages: dict[str, list[Usage]] = {}
    for run in history.runs:
        if run.home_region != run.region:
            end_s = run.start_s + interval_s
            usage = Usage(run.start_s, end_s, f"shift:{run.region}", 1)
            usages.setdefault(usage.key, []).append(usage)
    return [
        line
        for group in usages.values()
        for line in usage_above_limit(history, group)
    ]


def exceeded_limits(history: History) -> list[str]:
    """Check P2: requests in flight and link bytes stay within their limits."""
    usages: dict[str, list[Usage]] = {}
    for run in history.runs:
        work = run.work_id.partition("/")[0]
        for key in (
            f"region:{run.region}",
            f"server:{run.server}",
            f"work:{work}@{run.region}",
        ):
            usage = Usage(run.start_s, run.end_s, key, 1)
            usages.setdefault(key, []).append(usage)
    for sent in history.link_bytes:
        usages.setdefault(sent.key, []).append(sent)
    return [
        line
        for group in usages.values()
        for line in usage_above_limit(history, group)
    ]


def answer_body(work_id: str) -> str:
    """Return the complete answer of a server to a piece of work."""
    return f"{work_id}:{'.' * (sum(work_id.encode()) % 50)}:end"


def wrong_answers(history: History) -> list[str]:
    """Check P3: answers are complete and belong to the caller's request."""
    started = {run.work_id: run.start_s for run in history.runs[::-1]}
    return [
        str(reply)
        for reply in history.replies
        if reply.code == ResultCode.OK
        and (
            reply.body != answer_body(reply.work_id)
            or started.get(reply.work_id, math.inf) > reply.at_s
        )
    ]


def _runs_by_work_id(history: History) -> dict[str, list[Run]]:
    found: dict[str, list[Run]] = {}
    for run in history.runs:
        found.setdefault(run.work_id, []).append(run)
    return found


def false_not_run(history: History) -> list[str]:
    """Check P4: work that a host refuses as not run was not run before.

    After a code of NEVER_RUN_CODES, it is not run under the same run token
    later either.
    """
    runs = _runs_by_work_id(history)
    return [
        f"{reply}, but {run}"
        for reply in history.replies
        if ResultCode(reply.code or 0).effect is Effect.NOT_RUN
        for run in runs.get(reply.work_id, ())
        if run.sent_at_s <= reply.at_s
        or (reply.code in NEVER_RUN_CODES and run.token == reply.token)
    ]


def double_runs(history: History) -> list[str]:
    """Check P5: work under a run token runs at most once."""
    runs = _runs_by_work_id(history).values()
    return [str(group) for group in runs if group[0].token and len(group) > 1]


def runs_on_leaving_servers(history: History) -> list[str]:
    """Check P6: a server gets no new work 3 s after a sign that it leaves."""
    found = []
    for run in history.runs:
        known_at_s = history.leaving_known_at_s.get(
            (run.server, run.server_incarnation), math.inf
        )
        if run.start_s > known_at_s + LEAVING_GRACE_S:
            found.append(f"{run} after the sign at {known_at_s:.3f}")
    return found


def reverted_states(history: History) -> list[str]:
    """Check P8: positions and entry revisions never go back on a host."""
    found: list[str] = []
    latest: dict[str, HostState] = {}
    for state in history.states:
        previous = latest.get(state.host, state)
        if state.position < previous.position or any(
            state.entries.get(key, 0) < revision
            for key, revision in previous.entries.items()
        ):
            found.append(f"{state.at_s:.3f} {state.host}: {state.position}")
        latest[state.host] = state
    return found


def changes_not_in_force(history: History) -> list[str]:
    """Check P8: a change is in force within 4 s of its write.

    Checked only on hosts that serve and are not paused during these 4 s, and
    only if no fault of the store or the network acts in them.
    """
    found: list[str] = []
    for at_s, key, revision in history.changes:
        due_s = at_s + IN_FORCE_S
        overlapping = [
            span for span in history.spans if span.overlaps(at_s, due_s)
        ]
        if any(span.kind == "fault" for span in overlapping):
            continue
        paused = {span.host for span in overlapping if span.kind == "paused"}
        for span in overlapping:
            if (
                span.kind == "serving"
                and span.start_s <= at_s
                and span.end_s > due_s
                and span.host not in paused
                and not any(
                    state.entries.get(key, 0) >= revision
                    for state in history.states
                    if state.host == span.host and state.at_s <= due_s
                )
            ):
                found.append(f"{at_s:.3f} {key}={revision} on {span.host}")
    return found


def violations(history: History, interval_s: float) -> dict[str, list[str]]:
    """Return a line for each violation, by the ID of the guarantee."""
    found = {
        "P1": exceeded_shift_caps(history, interval_s),
        "P2": exceeded_limits(history),
        "P3": wrong_answers(history),
        "P4": false_not_run(history),
        "P5": double_runs(history),
        "P6": runs_on_leaving_servers(history),
        "P7": history.interrupted,
        "P8": reverted_states(history) + changes_not_in_force(history),
    }
    return {guarantee: lines for guarantee, lines in found.items() if lines}
