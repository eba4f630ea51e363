"""Guard against missing, bunched and unreported health probes."""

import asyncio
import random

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.backend import client
from samphirelug.components.backend import model
from samphirelug.components.backend import prober
from samphirelug.components.catalogue import view as catalogue_view
from samphirelug import core
from samphirelug.helpers import timer
from standins import builders

PROBED = model.BackendFailure(model.FailureKind.NOT_SENT, "refused")


class FakeCatalogue:
    """Hold the small view."""

    def __init__(self) -> None:
        self.view: catalogue_view.CatalogueView = builders.make_view()
        self.position = 1


class FakeHealth:
    """Keep what was reported."""

    def __init__(self) -> None:
        self.reports: list[str] = []
        self.failures: list[tuple[str, bool]] = []
        self.needed: tuple[str, ...] = ()
        self.leaving: list[str] = []

    def servers_due_for_probe(self) -> tuple[str, ...]:
        """Return what the test needs."""
        return self.needed

    def probe_failed(self, server: str, *, not_sent: bool) -> None:
        """Keep a failure."""
        self.failures.append((server, not_sent))

    def apply_report(self, report: model.HealthReport) -> None:
        """Keep a report."""
        self.reports.append(report.server)
        if report.leaving:
            self.leaving.append(report.server)


class FakeClient(client.BackendClient):
    """Answer probes, except those of servers that are dead or silent."""

    def __init__(self, clock: timer.TimerService) -> None:
        self.clock = clock
        self.times: list[tuple[str, float]] = []
        self.dead = ""
        self.silent = ""
        self.failure = PROBED

    async def send(
        self, request: model.BackendRequest
    ) -> Result[core.Answer, model.BackendFailure]:
        """Fail, since the prober sends no requests."""
        raise NotImplementedError(request)

    async def probe(
        self, server: core.BackendServer, health_path: str, *, timeout_s: float
    ) -> Result[model.HealthReport, model.BackendFailure]:
        """Answer as the server would."""
        assert (health_path, timeout_s) == ("/health", 1.0)
        self.times.append((server.name, self.clock.monotonic()))
        if server.name == self.silent:
            await asyncio.Event().wait()
        if server.name == self.dead:
            return Failure(self.failure)
        return Success(model.HealthReport(server.name, False, 0.0, "i1"))


def test_probes_are_spread_and_reported() -> None:
    """Guard against probes at the same moment, or piled up, or lost."""

    async def scenario() -> None:
        clock = timer.ManualTimerService()
        catalogue = FakeCatalogue()
        backend = FakeClient(clock)
        health = FakeHealth()
        servers = list(catalogue.view.servers.values())
        backend.dead = servers[0].name
        backend.silent = servers[1].name
        probing = prober.HealthProber(
            catalogue=catalogue,
            backend=backend,
            health=health,
            timer=clock,
            rng=random.Random(1),
            servers=lambda: servers,
        )
        probing.start()
        for _ in range(110):
            clock.advance(0.1)
            for _ in range(3):
                await asyncio.sleep(0)
        probing.stop()
        probed = [name for name, _ in backend.times]
        for server in servers[2:]:
            assert 10 <= probed.count(server.name) <= 11
            assert probed.count(server.name) == health.reports.count(
                server.name
            )
        assert probed.count(backend.silent) == 1
        # A server is scheduled again at the next interval's start.
        assert probed.count(backend.dead) >= 10
        failures = [(backend.dead, True)]
        assert health.failures == failures * probed.count(backend.dead)
        per_tenth: dict[float, int] = {}
        for _, at_s in backend.times:
            key = round(at_s, 1)
            per_tenth[key] = per_tenth.get(key, 0) + 1
        assert max(per_tenth.values()) <= len(servers) // 2
        clock.advance(5.0)
        assert len(backend.times) == len(probed)

    asyncio.run(scenario())


def test_needed_server_is_probed_sooner_than_others() -> None:
    """Guard against a server that is back and waits for a slow interval."""

    async def scenario() -> None:
        clock = timer.ManualTimerService()
        catalogue = FakeCatalogue()
        backend = FakeClient(clock)
        health = FakeHealth()
        servers = list(catalogue.view.servers.values())
        probing = prober.HealthProber(
            catalogue=catalogue,
            backend=backend,
            health=health,
            timer=clock,
            rng=random.Random(1),
            servers=lambda: servers,
        )
        probing.start()
        health.needed = (servers[0].name, "unknown")
        for _ in range(200):
            clock.advance(0.05)
            for _ in range(3):
                await asyncio.sleep(0)
        counts = [
            [name for name, _ in backend.times].count(server.name)
            for server in servers
        ]
        assert counts[0] >= 30
        assert max(counts[1:]) <= 11
        backend.dead = servers[1].name
        # Refusing for a moment is no fault; leaving is a signal.
        for kind in (model.FailureKind.REFUSED, model.FailureKind.LEAVING):
            backend.failure = model.BackendFailure(kind, "busy")
            await probing.probe(servers[1])
        probing.stop()
        assert health.failures == []
        assert health.leaving == [servers[1].name]

    asyncio.run(scenario())
