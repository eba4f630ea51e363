"""Define permits, which admit a request to one backend server."""

import enum
from typing import NamedTuple

from samphirelug.components.quota import model as quota_model


class PermitSource(enum.StrEnum):
    """Name where the units of a permit come from."""

    OWN = "own"
    LOAN = "loan"


class Permit(NamedTuple):
    """Allow one dispatch to one backend server."""

    # Identifies the hold in the ledger.
    hold_id: int
    bundle: quota_model.Bundle
    source: PermitSource


class PermitEnd(enum.StrEnum):
    """Name how an attempt under a permit ended."""

    # Whole answer received, or certainly not sent.
    COMPLETE = "complete"
    # The server may still be working until the request's deadline.
    ORPHANED = "orphaned"
