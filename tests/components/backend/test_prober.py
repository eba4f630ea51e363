"""Test the times and reports of health probes."""

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

CONNECTION_REFUSED = model.BackendFailure(
    model.FailureKind.NOT_SENT, "refused"
)


class FakeCatalogue:
    """Hold the small catalogue."""

    def __init__(self) -> None:
        self.view: catalogue_view.CatalogueView = builders.make_view()
        self.position = 1


class FakeHealth:
    """Record the reports and failures of probes."""

    def __init__(self) -> None:
        self.reports: list[str] = []
        self.failures: list[tuple[str, bool]] = []
        self.due: tuple[str, ...] = ()
        self.leaving: list[str] = []

    def servers_due_for_probe(self) -> tuple[str, ...]:
        """Return the servers that the test has set."""
        return self.due

    def probe_failed(self, server: str, *, not_sent: bool) -> None:
        """Record a failed probe."""
        self.failures.append((server, not_sent))

    def apply_report(self, report: model.HealthReport) -> None:
        """Record a report."""
        self.reports.append(report.server)
        if report.leaving:
            self.leaving.append(report.server)


class FakeClient(client.BackendClient):
    """Answer probes; one server may fail, one may never answer."""

    def __init__(self, clock: timer.TimerService) -> None:
        self.clock = clock
        self.times: list[tuple[str, float]] = []
        self.failing = ""
        self.silent = ""
        self.failure = CONNECTION_REFUSED

    async def send(
        self, request: model.BackendRequest
    ) -> Result[core.Answer, model.BackendFailure]:
        """Fail, as the prober sends no requests."""
        raise NotImplementedError(request)

    async def probe(
        self, server: core.BackendServer, health_path: str, *, timeout_s: float
    ) -> Result[model.HealthReport, model.BackendFailure]:
        """Return a report, a failure or nothing, depending on the server."""
        assert (health_path, timeout_s) == ("/health", 1.0)
        self.times.append((server.name, self.clock.monotonic()))
        if server.name == self.silent:
            await asyncio.Event().wait()
        if server.name == self.failing:
            return Failure(self.failure)
        return Success(model.HealthReport(server.name, False, 0.0, "i1"))


def test_probes_are_spread_and_reported() -> None:
    """Guard against simultaneous, overlapping and unreported probes."""

    async def scenario() -> None:
        clock = timer.ManualTimerService()
        catalogue = FakeCatalogue()
        backend = FakeClient(clock)
        health = FakeHealth()
        servers = list(catalogue.view.servers.values())
        backend.failing = servers[0].name
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
        assert probed.count(backend.failing) >= 10
        failures = [(backend.failing, True)]
        assert health.failures == failures * probed.count(backend.failing)
        probes_per_tenth: dict[float, int] = {}
        for _, at_s in backend.times:
            key = round(at_s, 1)
            probes_per_tenth[key] = probes_per_tenth.get(key, 0) + 1
        assert max(probes_per_tenth.values()) <= len(servers) // 2
        clock.advance(5.0)
        assert len(backend.times) == len(probed)

    asyncio.run(scenario())


def test_failed_server_is_probed_more_often() -> None:
    """Guard against late detection that a failed server has recovered."""

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
        health.due = (servers[0].name, "unknown")
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
        backend.failing = servers[1].name
        # A refused probe is not a failure; leaving is reported.
        for kind in (model.FailureKind.REFUSED, model.FailureKind.LEAVING):
            backend.failure = model.BackendFailure(kind, "busy")
            await probing.probe(servers[1])
        probing.stop()
        assert health.failures == []
        assert health.leaving == [servers[1].name]

    asyncio.run(scenario())
