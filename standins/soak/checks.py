"""Check the guarantees against records of callers and backend servers."""

from collections.abc import Sequence
from typing import NamedTuple

from standins.soak import callers
from standins.soak import servers

# Drain time in the settings of the entry hosts; see HostProcess.settings.
DRAIN_S = 2.5
# Scheduling delay that a busy machine may add to the drain time.
MAX_SCHEDULING_DELAY_S = 1.0


class PlannedPeriod(NamedTuple):
    """Hold a period in which all disruptions were planned operations."""

    start_s: float
    end_s: float


def violations(
    outcomes: Sequence[callers.Outcome],
    run_log: servers.RunLog,
    *,
    planned_periods: Sequence[PlannedPeriod],
    check_drain: bool,
) -> list[str]:
    """Return one line for each violated guarantee.

    A request sent in a planned period must get an answer. With
    check_drain, requests must not reach a server after its drain time.
    """
    found: list[str] = []
    for outcome in outcomes:
        runs = run_log.runs[outcome.request_id]
        if not outcome.idempotent and runs > 1:
            found.append(
                f"{outcome.request_id} is not idempotent and ran {runs} times"
            )
        if (
            not outcome.idempotent
            and outcome.status in callers.NOT_RUN_STATUSES
            and runs
        ):
            found.append(
                f"{outcome.request_id} got {outcome.status} but was run"
            )
        if outcome.status is None:
            if any(
                period.start_s <= outcome.sent_at_s <= period.end_s
                for period in planned_periods
            ):
                found.append(
                    f"{outcome.request_id} was cut off by a planned operation"
                )
            continue
        if outcome.answered_id not in (None, outcome.request_id):
            found.append(
                f"{outcome.request_id} got {outcome.answered_id}'s answer"
            )
        if outcome.status == 200 and (
            not outcome.sealed
            or outcome.body != f"answer to {outcome.request_id}".encode()
            or not runs
        ):
            found.append(
                f"{outcome.request_id} got 200 without a complete answer"
            )
    if check_drain:
        found.extend(
            f"{request_id} reached {server} {late_s:.1f} s into its drain"
            for server, request_id, late_s in run_log.late_arrivals
            if late_s > DRAIN_S + MAX_SCHEDULING_DELAY_S
        )
    return found
