"""Define the requests, attempts and results of forwarding."""

import abc
from typing import NamedTuple

from returns.result import Result

from samphirelug.components.backend import model as backend_model
from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.placement import load as placement_load
from samphirelug import core

Headers = tuple[tuple[str, str], ...]


class ReceivedRequest(NamedTuple):
    """Hold a completely received request of a caller."""

    request_id: str
    method: str
    # Path and query as the caller sent them.
    target: str
    hostname: str
    headers: Headers
    body: bytes
    affinity_key: str
    received_at_s: float
    # On the entry host's monotonic clock; None if the caller sent none.
    deadline_at_s: float | None
    # Digest of the key of a team; None without a key, empty if it is unusable.
    key_digest: str | None = None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


class Attempt(NamedTuple):
    """Hold a request and the server that it is sent to."""

    request: ReceivedRequest
    server: fleet_model.ServerInstance
    # The server stops work at this time, on the entry host's monotonic clock.
    deadline_at_s: float
    idempotent: bool
    # Whether this request was sent to the same server before. A second answer
    # to that attempt may arrive on any connection that has carried it.
    is_repeat: bool = False
    # Name of the team that the request is from; empty if there is none.
    team: str = ""


class AttemptAnswer(NamedTuple):
    """Hold a server's complete answer and the load that it reports."""

    answer: core.Answer
    report: placement_load.LoadReport | None
    # Seconds for which the server stays cold; None if it does not report it.
    cold_s: float | None
    # Seconds for which the server wants no requests from this host.
    retry_after_s: float = 0.0


class AttemptFailure(NamedTuple):
    """Hold the reason why an attempt has no answer."""

    failure: backend_model.BackendFailure
    report: placement_load.LoadReport | None = None

    @property
    def refused_with_free_slot(self) -> bool:
        """Return whether the server refused although it had a free slot.

        Such a server fails some requests at random and may accept the next,
        unless it wants no requests for a while.
        """
        return (
            self.failure.kind is backend_model.FailureKind.REFUSED
            and not self.failure.retry_after_s
            and self.report is not None
            and self.report.running < self.report.slots
        )


AttemptResult = Result[AttemptAnswer, AttemptFailure]


class AttemptSender(abc.ABC):
    """Send attempts to servers."""

    @abc.abstractmethod
    async def send(self, attempt: Attempt) -> AttemptResult:
        """Return the complete answer or the reason why there is none.

        Cancelling the call closes the connection, which stops the server's
        work on the request.
        """
