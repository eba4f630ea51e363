"""Ask backend servers for their health at regular intervals."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import functools
import logging
import random

from returns.result import Success

from samphirelug.components.backend import client as backend_client
from samphirelug.components.backend import const
from samphirelug.components.backend import ports
from samphirelug import core
from samphirelug.helpers import timer as timer_module

LOG = logging.getLogger(__name__)


class HealthProber:
    """Probe each server once an interval, spread over the interval."""

    def __init__(
        self,
        *,
        catalogue: ports.Catalogue,
        backend: backend_client.BackendClient,
        health: ports.Health,
        timer: timer_module.TimerService,
        rng: random.Random,
        servers: Callable[[], Iterable[core.BackendServer]],
        interval_s: float = const.PROBE_INTERVAL_S,
    ) -> None:
        self.catalogue = catalogue
        self.backend = backend
        self.health = health
        self.timer = timer
        self.rng = rng
        self.servers = servers
        self.interval_s = interval_s
        # One probe of a server at a time, also when it answers slowly.
        self.running: dict[str, asyncio.Task[None]] = {}
        self.waiting: dict[str, timer_module.Subscription] = {}
        self.subscription: timer_module.Subscription | None = None

    def start(self) -> None:
        """Begin to probe; needs a running event loop."""
        self.subscription = self.timer.subscribe(
            interval_s=self.interval_s, callback=self.schedule
        )
        self.schedule()

    def stop(self) -> None:
        """End all probes."""
        if self.subscription is not None:
            self.subscription.cancel()
        for waiting in self.waiting.values():
            waiting.cancel()
        for task in self.running.values():
            task.cancel()
        self.waiting.clear()

    def schedule(self) -> None:
        """Place one probe of each server at random in the next interval."""
        now = self.timer.monotonic()
        for server in self.servers():
            if server.name in self.running or server.name in self.waiting:
                continue
            self.waiting[server.name] = self.timer.call_at(
                when_s=now + self.rng.uniform(0.0, self.interval_s),
                callback=functools.partial(self._launch, server),
            )

    def _launch(self, server: core.BackendServer) -> None:
        self.waiting.pop(server.name, None)
        self.running[server.name] = asyncio.create_task(self.probe(server))

    async def probe(self, server: core.BackendServer) -> None:
        """Probe a server and report what it said or how it failed."""
        try:
            service = self.catalogue.view.services.get(server.service)
            if service is None:
                return
            started_s = self.timer.monotonic()
            result = await self.backend.probe(
                server, service["health_path"], timeout_s=const.PROBE_TIMEOUT_S
            )
            if isinstance(result, Success):
                self.health.apply_report(result.unwrap())
                return
            failure = result.failure()
            LOG.info("probe of %s failed: %s", server.name, failure.detail)
            self.health.started(server.name)
            self.health.ended(
                server.name,
                latency_s=self.timer.monotonic() - started_s,
                failure=failure.kind,
            )
        finally:
            self.running.pop(server.name, None)
