"""Define what a look-up answers."""

from typing import NamedTuple

from samphirelug import core


class NamedEntryHost(NamedTuple):
    """Name an entry host that a caller may send its request to."""

    name: str
    availability_zone: str
    region: str
    url: str


class LookupAnswer(NamedTuple):
    """Tell a caller which entry hosts to use, in order."""

    work: str
    rank: core.Rank
    # The caller may cache the answer for this long.
    keep_s: float
    entry_hosts: tuple[NamedEntryHost, ...]
    # Only for work that is not repeatable.
    run_token: str | None


class SlotCount(NamedTuple):
    """Count the slots of a service in a region that this host may use."""

    usable: int
    free: int
