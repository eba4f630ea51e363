"""Define what the outcome book returns and what the executor needs."""

import enum
from typing import NamedTuple
from typing import Protocol

from returns.result import Result

from samphirelug.components.admission import model as admission_model
from samphirelug.components.backend import model as backend_model
from samphirelug import core
from samphirelug import result_codes

Outcome = Result[core.Answer, result_codes.Refusal]


class Standing(enum.Enum):
    """Tell what a request with a run token may do."""

    # The caller of begin() has to run the work and call finish().
    FIRST = "first"
    RUNNING = "running"
    # The outcome is known.
    SETTLED = "settled"


class Claim(NamedTuple):
    """Answer a request that comes with a run token."""

    standing: Standing
    # Present only when SETTLED.
    outcome: Outcome | None = None


class Admission(Protocol):
    """Admit requests to backend servers."""

    async def admit(
        self, request: core.CallerRequest, *, excluded: frozenset[str]
    ) -> Result[admission_model.Permit, result_codes.Refusal]:
        """Return a permit or why there is none."""

    def finish(
        self,
        permit: admission_model.Permit,
        *,
        ended: admission_model.PermitEnd,
        request: core.CallerRequest,
        answer_bytes: int,
        traffic: backend_model.Traffic | None = None,
    ) -> None:
        """Give back a permit."""
