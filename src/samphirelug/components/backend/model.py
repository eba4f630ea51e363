"""Define requests to backend servers and their failures."""

import enum
from typing import NamedTuple

from samphirelug import core


class Traffic:
    """Count the bytes of one attempt, including headers and framing."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0


class BackendRequest(NamedTuple):
    """Hold one attempt to run a caller's request on a server."""

    request_id: str
    server: core.BackendServer
    method: str
    # Path and query.
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # On the entry host's monotonic clock.
    deadline_at_s: float
    max_answer_bytes: int
    # Set by the client when the attempt has ended.
    traffic: Traffic | None = None


class FailureKind(enum.StrEnum):
    """Classify failed attempts by what the server may have done."""

    # No byte of the request can have reached the server.
    NOT_SENT = "not_sent"
    # The server answered that it did not run the request.
    REFUSED = "refused"
    # The server answered so because it is leaving.
    LEAVING = "leaving"
    # Another incarnation listens at the address; it did not run the request.
    MISDIRECTED = "misdirected"
    # The server may have run the request in the next four cases.
    TIMEOUT = "timeout"
    RESET = "reset"
    INCOMPLETE = "incomplete"
    TOO_LARGE = "too_large"
    # The caller disconnected, which says nothing about the server.
    CANCELLED = "cancelled"

    @property
    def certainly_not_run(self) -> bool:
        """Return whether the request cannot have been run."""
        return self in (
            FailureKind.NOT_SENT,
            FailureKind.REFUSED,
            FailureKind.LEAVING,
            FailureKind.MISDIRECTED,
        )


class BackendFailure(NamedTuple):
    """Describe a failed attempt."""

    kind: FailureKind
    detail: str
    # Seconds for which the server wants no requests from this host.
    retry_after_s: float = 0.0


class HealthReport(NamedTuple):
    """Hold a server's answer to a health probe."""

    server: str
    leaving: bool
    # Fraction of the server's capacity in use, 0.0 to 1.0, as it reports.
    load: float
    server_incarnation: str
