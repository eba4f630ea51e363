"""Define look-up answers and slot counts."""

from typing import NamedTuple

from samphirelug import core


class NamedEntryHost(NamedTuple):
    """Describe an entry host that a caller may send its request to."""

    name: str
    availability_zone: str
    region: str
    url: str


class LookupAnswer(NamedTuple):
    """List the entry hosts that a caller should use, in order."""

    work: str
    rank: core.Rank
    # Time in seconds for which the caller may cache the answer.
    keep_s: float
    entry_hosts: tuple[NamedEntryHost, ...]
    # None for repeatable work.
    run_token: str | None


class SlotCount(NamedTuple):
    """Count the slots of a service in a region that this host may use."""

    usable: int
    free: int
