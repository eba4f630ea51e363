"""Serve status, catalogue status, metrics and probes to operators."""

from collections.abc import Callable
import logging
from typing import Any

import orjson
from tornado import httpserver
from tornado import netutil
from tornado import web

from samphirelug.components.metrics import registry

_LOGGER = logging.getLogger(__name__)


class JsonHandler(web.RequestHandler):
    """Answer with the JSON object that a function returns."""

    def initialize(
        self, *, build_document: Callable[[], dict[str, Any]]
    ) -> None:
        """Set the function that returns the object."""
        self.build_document = build_document

    def get(self) -> None:
        """Write the object as JSON."""
        self.set_header("Content-Type", "application/json")
        self.write(orjson.dumps(self.build_document()))


class MetricsHandler(web.RequestHandler):
    """Answer with the metrics in the Prometheus text format."""

    def initialize(
        self, *, metrics: registry.Metrics, update: Callable[[], None]
    ) -> None:
        """Set the registry and the function that updates its gauges."""
        self.metrics = metrics
        self.update = update

    def get(self) -> None:
        """Write the metrics."""
        self.update()
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self.metrics.render())


class ProbeHandler(web.RequestHandler):
    """Answer 200 if there is no problem, else 503 with the problem."""

    def initialize(
        self, *, probe: Callable[[], dict[str, Any]], readiness: bool
    ) -> None:
        """Set the function that returns the state of the entry host."""
        self.probe = probe
        self.readiness = readiness

    def get(self) -> None:
        """Write the state; any process that answers passes /healthz."""
        report = self.probe()
        if not self.readiness:
            report = {**report, "problem": None}
        ok = report["problem"] is None
        self.set_status(200 if ok else 503)
        self.write({"ok": ok, **report})


class OperatorServer:
    """Serve operators on a separate port."""

    def __init__(
        self,
        *,
        address: str,
        port: int,
        status: Callable[[], dict[str, Any]],
        catalogue_status: Callable[[], dict[str, Any]],
        probe: Callable[[], dict[str, Any]],
        metrics: registry.Metrics,
        update_metrics: Callable[[], None],
    ) -> None:
        application = web.Application(
            [
                (r"/v1/status", JsonHandler, {"build_document": status}),
                (
                    r"/v1/catalogue/status",
                    JsonHandler,
                    {"build_document": catalogue_status},
                ),
                (
                    r"/metrics",
                    MetricsHandler,
                    {"metrics": metrics, "update": update_metrics},
                ),
                (
                    r"/healthz",
                    ProbeHandler,
                    {"probe": probe, "readiness": False},
                ),
                (
                    r"/readyz",
                    ProbeHandler,
                    {"probe": probe, "readiness": True},
                ),
            ],
            log_function=lambda _: None,
        )
        self.server = httpserver.HTTPServer(application)
        self.sockets = netutil.bind_sockets(port, address)
        self.port: int = self.sockets[0].getsockname()[1]

    def start(self) -> None:
        """Accept connections on the running loop."""
        self.server.add_sockets(self.sockets)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self.server.stop()
        await self.server.close_all_connections()
