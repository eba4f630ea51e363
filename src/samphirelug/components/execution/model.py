"""Define outcomes, token claims and the admission interface."""

import enum
from typing import NamedTuple
from typing import Protocol

from returns.result import Result

from samphirelug.components.admission import model as admission_model
from samphirelug.components.backend import model as backend_model
from samphirelug import core
from samphirelug import result_codes

Outcome = Result[core.Answer, result_codes.Refusal]


class ClaimState(enum.Enum):
    """State whether the work of a claimed run token may start."""

    # The caller of begin() must run the work and then call finish().
    FIRST = "first"
    RUNNING = "running"
    # The outcome is known, or the token is refused.
    SETTLED = "settled"


class Claim(NamedTuple):
    """Hold the result of claiming a run token for a request."""

    state: ClaimState
    # Set only when the state is SETTLED.
    outcome: Outcome | None = None


class Admission(Protocol):
    """Admit requests to backend servers."""

    async def admit(
        self, request: core.CallerRequest, *, excluded: frozenset[str]
    ) -> Result[admission_model.Permit, result_codes.Refusal]:
        """Return a permit, or the refusal that says why there is none."""

    def finish(
        self,
        permit: admission_model.Permit,
        *,
        ended: admission_model.PermitEnd,
        request: core.CallerRequest,
        answer_bytes: int,
        traffic: backend_model.Traffic | None = None,
    ) -> None:
        """Release a permit and report how the attempt under it ended."""
