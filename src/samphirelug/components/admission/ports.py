"""Define the interface through which admission borrows quota units."""

from collections.abc import Callable
from typing import Protocol

from samphirelug.components.admission import model


class UnitBorrower(Protocol):
    """Borrow quota units from peers; implemented by Borrower."""

    on_free: list[Callable[[], None]]

    def request_bundles(
        self,
        *,
        work: str,
        region: str,
        home_region: str,
        body_bytes: int,
        count: int,
    ) -> None:
        """Ask peers for bundles unless such a request is in progress."""

    def request_units(self, *, key: str, needed: int) -> None:
        """Ask peers for plain units of a key until this many are free."""

    def try_acquire(
        self, *, work: str, region: str, home_region: str, body_bytes: int
    ) -> model.Permit | None:
        """Return a permit for a borrowed bundle, if one is available."""

    def end(
        self,
        permit: model.Permit,
        *,
        ended: model.PermitEnd,
        deadline_at_s: float,
    ) -> None:
        """Return a borrowed bundle to its lender or keep it for reuse."""
