"""Define interfaces to the catalogue and to health tracking."""

from typing import Protocol

from samphirelug.components.backend import model
from samphirelug.components.catalogue import view as catalogue_view


class Catalogue(Protocol):
    """Provide the catalogue in force."""

    @property
    def view(self) -> catalogue_view.CatalogueView:
        """Return the entries in force."""

    @property
    def position(self) -> int:
        """Return the store revision of the view, 0 before the first."""


class Health(Protocol):
    """Track the health of servers from attempts, by server name."""

    def attempt_started(self, server: str) -> None:
        """Record that an attempt has started."""

    def attempt_ended(
        self,
        server: str,
        *,
        latency_s: float,
        failure: model.FailureKind | None,
    ) -> None:
        """Record how an attempt ended; failure is None for an answer."""


class ProbedHealth(Protocol):
    """Track the health of servers from probes, by server name."""

    def servers_due_for_probe(self) -> tuple[str, ...]:
        """Return the failed servers that are due for a probe."""

    def probe_failed(self, server: str, *, not_sent: bool) -> None:
        """Record a failed probe; not_sent if no byte was sent."""

    def apply_report(self, report: model.HealthReport) -> None:
        """Apply a server's answer to a health probe."""
