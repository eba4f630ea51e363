"""Define the history of a run and check the promises on it.

Callers, backend servers and the store are the witnesses. The limits that
hosts acted on are recorded too, since section 4 of the design lets a host
that has not heard of a lower limit use the former one.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import NamedTuple

from samphirelug.components.quota import const as quota_const
from samphirelug.result_codes import Effect
from samphirelug.result_codes import ResultCode

NEVER_RUN = (ResultCode.TOKEN_REVOKED, ResultCode.TOKEN_EXPIRED)
LEAVING_GRACE_S = 3.0
IN_FORCE_S = 4.0
# Longest time between a dispatch and its arrival at the server.
TRANSIT_S = 0.1


class Use(NamedTuple):
    """Hold an amount of a key that counts from one time to another."""

    since_s: float
    until_s: float
    key: str
    amount: int


class Run(NamedTuple):
    """Hold one execution as the backend server saw it."""

    sent_at_s: float
    since_s: float
    until_s: float
    work_id: str
    # Number of the run token, 0 for none.
    token: int
    home: str
    region: str
    server: str
    server_start: int
    host: str


class Reply(NamedTuple):
    """Hold what an entry host told a caller; no code for a lost reply."""

    at_s: float
    work_id: str
    token: int
    host: str
    code: int | None
    body: str


class State(NamedTuple):
    """Hold what a host acts on from now on; no limits once it has ended."""

    at_s: float
    host: str
    position: int
    entries: Mapping[str, int]
    limits: Mapping[str, int]


class Span(NamedTuple):
    """Hold when a host serves or is paused, or any fault disturbs all."""

    since_s: float
    until_s: float
    kind: str
    host: str

    def overlaps(self, since_s: float, until_s: float) -> bool:
        return self.since_s <= until_s and self.until_s >= since_s


class Change(NamedTuple):
    """Hold an operator's change that the store has accepted."""

    at_s: float
    key: str
    revision: int


class History:
    """Collect the records of one run in the order of their times."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.link_bytes: list[Use] = []
        self.replies: list[Reply] = []
        self.states: list[State] = []
        self.spans: list[Span] = []
        self.changes: list[Change] = []
        # First sign that a server is leaving, by name and start.
        self.signs: dict[tuple[str, int], float] = {}
        self.cut_off: list[str] = []


def over_limit(history: History, uses: Iterable[Use]) -> list[str]:
    """Return the moments at which the uses of a key exceed its limit.

    Requests sent since a time may together use at most the highest limit
    that any host has acted on since then, or just before by a loan.
    """
    spans: list[tuple[float, float, Mapping[str, int]]] = []
    last: dict[str, State] = {}
    for state in history.states:
        former = last.get(state.host, state)
        spans.append((former.at_s, state.at_s, former.limits))
        last[state.host] = state
    spans += [(each.at_s, math.inf, each.limits) for each in last.values()]
    found: list[str] = []
    active: list[Use] = []
    for use in sorted(uses):
        now = use.since_s
        active = [each for each in active if each.until_s > now] + [use]
        total = 0
        for each in reversed(active):
            total += each.amount
            since_s = each.since_s - quota_const.LOAN_S - TRANSIT_S
            bound = max(
                limits.get(use.key, 0)
                for start_s, end_s, limits in spans
                if start_s <= now and end_s >= since_s
            )
            if total > bound:
                found.append(f"{now:.3f} {use.key}: {total} above {bound}")
                break
    return found


def shift_cap(history: History, interval_s: float) -> list[str]:
    """P1: arrivals from other regions stay within the cap."""
    uses: dict[str, list[Use]] = {}
    for run in history.runs:
        if run.home != run.region:
            until_s = run.since_s + interval_s
            use = Use(run.since_s, until_s, f"shift:{run.region}", 1)
            uses.setdefault(use.key, []).append(use)
    return [each for of in uses.values() for each in over_limit(history, of)]


def overload(history: History) -> list[str]:
    """P2: requests in flight and link bytes stay within their limits."""
    uses: dict[str, list[Use]] = {}
    for run in history.runs:
        work = run.work_id.partition("/")[0]
        for key in (
            f"region:{run.region}",
            f"server:{run.server}",
            f"work:{work}@{run.region}",
        ):
            use = Use(run.since_s, run.until_s, key, 1)
            uses.setdefault(key, []).append(use)
    for sent in history.link_bytes:
        uses.setdefault(sent.key, []).append(sent)
    return [each for of in uses.values() for each in over_limit(history, of)]


def answer_body(work_id: str) -> str:
    """Return the whole answer that a server gives for a piece of work."""
    return f"{work_id}:{'.' * (sum(work_id.encode()) % 50)}:end"


def wrong_answers(history: History) -> list[str]:
    """P3: an answer is whole and belongs to the caller's own request."""
    started = {run.work_id: run.since_s for run in history.runs[::-1]}
    return [
        str(reply)
        for reply in history.replies
        if reply.code == ResultCode.OK
        and (
            reply.body != answer_body(reply.work_id)
            or started.get(reply.work_id, math.inf) > reply.at_s
        )
    ]


def _by_work(history: History) -> dict[str, list[Run]]:
    found: dict[str, list[Run]] = {}
    for run in history.runs:
        found.setdefault(run.work_id, []).append(run)
    return found


def false_not_run(history: History) -> list[str]:
    """P4: work that a refusal calls not run was and is not run."""
    runs = _by_work(history)
    return [
        f"{reply}, but {run}"
        for reply in history.replies
        if ResultCode(reply.code or 0).effect is Effect.NOT_RUN
        for run in runs.get(reply.work_id, ())
        if run.sent_at_s <= reply.at_s
        or (reply.code in NEVER_RUN and run.token == reply.token)
    ]


def double_runs(history: History) -> list[str]:
    """P5: work under a run token runs at most once."""
    runs = _by_work(history).values()
    return [str(each) for each in runs if each[0].token and len(each) > 1]


def late_new_work(history: History) -> list[str]:
    """P6: a server gets no new work 3 s after the first sign."""
    found = []
    for run in history.runs:
        sign_s = history.signs.get((run.server, run.server_start), math.inf)
        if run.since_s > sign_s + LEAVING_GRACE_S:
            found.append(f"{run} after the sign at {sign_s:.3f}")
    return found


def reverted(history: History) -> list[str]:
    """P8: positions and entry revisions never go back on a host."""
    found: list[str] = []
    last: dict[str, State] = {}
    for item in history.states:
        former = last.get(item.host, item)
        if item.position < former.position or any(
            item.entries.get(key, 0) < revision
            for key, revision in former.entries.items()
        ):
            found.append(f"{item.at_s:.3f} {item.host}: {item.position}")
        last[item.host] = item
    return found


def not_in_force(history: History) -> list[str]:
    """P8: a change is in force within 4 s of its write.

    Holds for hosts that serve and are not paused from the write on, while
    no fault disturbs the store or the network.
    """
    found: list[str] = []
    for at_s, key, revision in history.changes:
        due_s = at_s + IN_FORCE_S
        near = [span for span in history.spans if span.overlaps(at_s, due_s)]
        if any(span.kind == "fault" for span in near):
            continue
        paused = {span.host for span in near if span.kind == "paused"}
        for span in near:
            if (
                span.kind == "serving"
                and span.since_s <= at_s
                and span.until_s > due_s
                and span.host not in paused
                and not any(
                    state.entries.get(key, 0) >= revision
                    for state in history.states
                    if state.host == span.host and state.at_s <= due_s
                )
            ):
                found.append(f"{at_s:.3f} {key}={revision} on {span.host}")
    return found


def broken(history: History, interval_s: float) -> dict[str, list[str]]:
    """Return all that breaks a promise, by the promise's id."""
    found = {
        "P1": shift_cap(history, interval_s),
        "P2": overload(history),
        "P3": wrong_answers(history),
        "P4": false_not_run(history),
        "P5": double_runs(history),
        "P6": late_new_work(history),
        "P7": history.cut_off,
        "P8": reverted(history) + not_in_force(history),
    }
    return {promise: each for promise, each in found.items() if each}
