"""Check the promises on what callers and backend servers have seen."""

from collections.abc import Sequence
from typing import NamedTuple

from standins.soak import callers
from standins.soak import servers

# Bound of the settings, and what a busy machine adds to it.
DRAIN_S = 2.5
SCHEDULING_S = 1.0


class Undisturbed(NamedTuple):
    """Hold a span in which only planned stops happened."""

    start_s: float
    end_s: float


def violations(
    outcomes: Sequence[callers.Outcome],
    book: servers.RunBook,
    *,
    undisturbed: Sequence[Undisturbed],
    drain_holds: bool,
) -> list[str]:
    """Return a line for each broken promise."""
    found: list[str] = []
    for one in outcomes:
        runs = book.runs[one.request_id]
        if not one.idempotent and runs > 1:
            found.append(f"{one.request_id} may run once and ran {runs} times")
        if not one.idempotent and one.status in callers.PROMISES and runs:
            found.append(f"{one.request_id} got {one.status} and was run")
        if one.status is None:
            if any(
                span.start_s <= one.sent_at_s <= span.end_s
                for span in undisturbed
            ):
                found.append(f"{one.request_id} was cut off by a planned stop")
            continue
        if one.answered_id not in (None, one.request_id):
            found.append(f"{one.request_id} got {one.answered_id}'s answer")
        if one.status == 200 and (
            not one.sealed
            or one.body != f"answer to {one.request_id}".encode()
            or not runs
        ):
            found.append(f"{one.request_id} got a success that is not whole")
    if drain_holds:
        found.extend(
            f"{request_id} reached {server} {late_s:.1f} s after it left"
            for server, request_id, late_s in book.after_leaving
            if late_s > DRAIN_S + SCHEDULING_S
        )
    return found
