"""Define what is parsed from the header block of a request."""

from typing import NamedTuple


class LookupRoute(NamedTuple):
    """Ask for entry hosts for a work entry near a place."""

    work: str
    # Availability zone or region; empty if the caller names none.
    place: str


class RunRoute(NamedTuple):
    """Ask to run a request of a work entry."""

    work: str
    path: str
    query: str


class OutcomeRoute(NamedTuple):
    """Ask for the outcome of a run token."""


Route = LookupRoute | RunRoute | OutcomeRoute


class RunHeaders(NamedTuple):
    """Hold the checked header fields of a request to run."""

    request_id: str
    # Seconds that the caller waits; None if it sets no deadline.
    deadline_s: float | None
    home_region: str | None
    run_token: str | None
    # None for a chunked body.
    content_length: int | None
