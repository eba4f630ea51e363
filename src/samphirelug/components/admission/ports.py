"""State what admission needs from the component that borrows units."""

from collections.abc import Callable
from typing import Protocol

from samphirelug.components.admission import model


class UnitBorrower(Protocol):
    """Borrow bundles from peers; Borrower does."""

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
        """Ask a peer for bundles unless a request is running."""

    def request_units(self, *, key: str, needed: int) -> None:
        """Ask peers for plain units until this many are free."""

    def take(
        self, *, work: str, region: str, home_region: str, body_bytes: int
    ) -> model.Permit | None:
        """Return a borrowed bundle, if one is at hand."""

    def end(
        self,
        permit: model.Permit,
        *,
        ended: model.PermitEnd,
        deadline_at_s: float,
    ) -> None:
        """Give back or keep a borrowed bundle after its use."""
