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
from samphirelug.components.backend import model
from samphirelug.components.backend import ports
from samphirelug import core
from samphirelug.helpers import timer as timer_module

LOG = logging.getLogger(__name__)


class HealthProber:
    """Probe each server once an interval, and needed ones more often."""

    def __init__(
        self,
        *,
        catalogue: ports.Catalogue,
        backend: backend_client.BackendClient,
        health: ports.ProbedHealth,
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
        self.subscriptions: list[timer_module.Subscription] = []

    def start(self) -> None:
        """Begin to probe; needs a running event loop."""
        for interval_s, callback in (
            (self.interval_s, self.schedule),
            (const.NEEDED_PROBE_INTERVAL_S, self.schedule_needed),
        ):
            self.subscriptions.append(
                self.timer.subscribe(interval_s=interval_s, callback=callback)
            )
        self.schedule()

    def stop(self) -> None:
        """End all probes."""
        for subscription in self.subscriptions:
            subscription.cancel()
        for waiting in self.waiting.values():
            waiting.cancel()
        for task in self.running.values():
            task.cancel()
        self.waiting.clear()

    def schedule(self) -> None:
        """Place one probe of each server at random in the next interval."""
        for server in self.servers():
            if server.name not in self.waiting:
                self._place(server, self.interval_s)

    def schedule_needed(self) -> None:
        """Probe soon what a good probe would bring back into use."""
        needed = frozenset(self.health.servers_due_for_probe())
        if not needed:
            return
        for server in self.servers():
            if server.name in needed:
                self._place(server, const.NEEDED_PROBE_INTERVAL_S)

    def _place(self, server: core.BackendServer, within_s: float) -> None:
        if server.name in self.running:
            return
        waiting = self.waiting.pop(server.name, None)
        if waiting is not None:
            waiting.cancel()
        when_s = self.timer.monotonic() + self.rng.uniform(0.0, within_s)
        self.waiting[server.name] = self.timer.call_at(
            when_s=when_s, callback=functools.partial(self._launch, server)
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
            result = await self.backend.probe(
                server, service["health_path"], timeout_s=const.PROBE_TIMEOUT_S
            )
            if isinstance(result, Success):
                self.health.apply_report(result.unwrap())
                return
            failure = result.failure()
            LOG.debug("probe of %s failed: %s", server.name, failure.detail)
            if failure.kind is model.FailureKind.LEAVING:
                self.health.apply_report(
                    model.HealthReport(server.name, True, 1.0, "")
                )
            elif failure.kind is not model.FailureKind.REFUSED:
                # A server that refuses is at work, though busy.
                self.health.probe_failed(
                    server.name,
                    not_sent=failure.kind is model.FailureKind.NOT_SENT,
                )
        finally:
            self.running.pop(server.name, None)
