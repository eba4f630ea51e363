"""Define what the traffic to backend servers needs of other parts."""

from typing import Protocol

from samphirelug.components.backend import model
from samphirelug.components.catalogue import view as catalogue_view


class Catalogue(Protocol):
    """Give the catalogue that is in force."""

    @property
    def view(self) -> catalogue_view.CatalogueView:
        """Return the entries in force."""

    @property
    def position(self) -> int:
        """Return the store revision reached; 0 before the first."""


class Health(Protocol):
    """Take observations of attempts, by server name."""

    def attempt_started(self, server: str) -> None:
        """Note that an attempt has started."""

    def attempt_ended(
        self,
        server: str,
        *,
        latency_s: float,
        failure: model.FailureKind | None,
    ) -> None:
        """Note how an attempt has ended; None means with an answer."""


class ProbedHealth(Protocol):
    """Take observations of health probes, by server name."""

    def servers_due_for_probe(self) -> tuple[str, ...]:
        """Return the servers that a good probe would bring back."""

    def probe_failed(self, server: str, *, not_sent: bool) -> None:
        """Record a failed probe; not_sent if no byte was sent."""

    def apply_report(self, report: model.HealthReport) -> None:
        """Take a server's own report."""
