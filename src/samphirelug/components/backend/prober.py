"""Probe the health of backend servers at regular intervals."""

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
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)


class HealthProber:
    """Probe each server once per interval, and failed ones more often."""

    def __init__(
        self,
        *,
        catalogue: ports.Catalogue,
        backend: backend_client.BackendClient,
        health: ports.ProbedHealth,
        timer: timer_helper.TimerService,
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
        # At most one probe of a server runs at a time, even if it is slow.
        self.running: dict[str, asyncio.Task[None]] = {}
        self.scheduled: dict[str, timer_helper.Subscription] = {}
        self.subscriptions: list[timer_helper.Subscription] = []

    def start(self) -> None:
        """Start probing; requires a running event loop."""
        for interval_s, callback in (
            (self.interval_s, self.schedule_all),
            (const.RECOVERY_PROBE_INTERVAL_S, self.schedule_recovery),
        ):
            self.subscriptions.append(
                self.timer.subscribe(interval_s=interval_s, callback=callback)
            )
        self.schedule_all()

    def stop(self) -> None:
        """Cancel all probes."""
        for subscription in self.subscriptions:
            subscription.cancel()
        for scheduled in self.scheduled.values():
            scheduled.cancel()
        for task in self.running.values():
            task.cancel()
        self.scheduled.clear()

    def schedule_all(self) -> None:
        """Schedule a probe of each server, at random within the interval."""
        for server in self.servers():
            if server.name not in self.scheduled:
                self._schedule(server, self.interval_s)

    def schedule_recovery(self) -> None:
        """Schedule earlier probes of the servers that are due for one."""
        due = frozenset(self.health.servers_due_for_probe())
        if not due:
            return
        for server in self.servers():
            if server.name in due:
                self._schedule(server, const.RECOVERY_PROBE_INTERVAL_S)

    def _schedule(self, server: core.BackendServer, within_s: float) -> None:
        if server.name in self.running:
            return
        scheduled = self.scheduled.pop(server.name, None)
        if scheduled is not None:
            scheduled.cancel()
        when_s = self.timer.monotonic() + self.rng.uniform(0.0, within_s)
        self.scheduled[server.name] = self.timer.call_at(
            when_s=when_s,
            callback=functools.partial(self._start_probe, server),
        )

    def _start_probe(self, server: core.BackendServer) -> None:
        self.scheduled.pop(server.name, None)
        self.running[server.name] = asyncio.create_task(self.probe(server))

    async def probe(self, server: core.BackendServer) -> None:
        """Probe a server and report its answer or failure."""
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
            _LOGGER.debug(
                "probe of %s failed: %s", server.name, failure.detail
            )
            if failure.kind is model.FailureKind.LEAVING:
                self.health.apply_report(
                    model.HealthReport(server.name, True, 1.0, "")
                )
            elif failure.kind is not model.FailureKind.REFUSED:
                # A server that refuses the probe is running but busy.
                self.health.probe_failed(
                    server.name,
                    not_sent=failure.kind is model.FailureKind.NOT_SENT,
                )
        finally:
            self.running.pop(server.name, None)
