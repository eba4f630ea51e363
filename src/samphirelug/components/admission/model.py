"""Define the permits that admit a request to a backend server."""

import enum
from typing import NamedTuple

from samphirelug.components.quota import model as quota_model


class PermitSource(enum.StrEnum):
    """Enumerate where the units of a permit come from."""

    OWN = "own"
    LOAN = "loan"


class Permit(NamedTuple):
    """Permit one dispatch of a request to one backend server."""

    # ID of the held units in the ledger, or of the loan in the borrower.
    hold_id: int
    bundle: quota_model.Bundle
    source: PermitSource


class PermitEnd(enum.StrEnum):
    """Enumerate how an attempt under a permit ended."""

    # The whole answer was received, or the request was certainly not sent.
    COMPLETE = "complete"
    # The server may still process the request until its deadline.
    ORPHANED = "orphaned"
