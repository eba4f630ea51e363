"""Define the interface towards backend servers."""

import abc

from returns.result import Result

from samphirelug.components.backend import model
from samphirelug import core


class BackendClient(abc.ABC):
    """Send requests and health probes to backend servers."""

    @abc.abstractmethod
    async def send(
        self, request: model.BackendRequest
    ) -> Result[core.Answer, model.BackendFailure]:
        """Return the whole answer or why there is none.

        Cancelling the call closes the connection, which cancels the work.
        """

    @abc.abstractmethod
    async def probe(
        self, server: core.BackendServer, health_path: str, *, timeout_s: float
    ) -> Result[model.HealthReport, model.BackendFailure]:
        """Ask a server for its health and load."""
