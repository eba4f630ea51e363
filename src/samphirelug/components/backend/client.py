"""Define the interface to backend servers."""

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
        """Return the complete answer or the reason why there is none.

        Cancelling the call closes the connection, which stops the server's
        work on the request.
        """

    @abc.abstractmethod
    async def probe(
        self, server: core.BackendServer, health_path: str, *, timeout_s: float
    ) -> Result[model.HealthReport, model.BackendFailure]:
        """Return a server's health and load, or why there is no report."""
