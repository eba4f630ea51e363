"""Provide the metrics of an entry host that forwards by routes."""

from aioprometheus import collectors
from aioprometheus.formats import text

from samphirelug.components.metrics import registry


class ForwardingMetrics:
    """Hold the metrics of a forwarding entry host in one registry."""

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self.requests = collectors.Counter(
            "samphirelug_requests_total",
            "Requests by route and result code",
            registry=self.registry,
        )
        self.retries = collectors.Counter(
            "samphirelug_retries_total",
            "Further attempts by their outcome",
            registry=self.registry,
        )
        self.cold_requests = collectors.Counter(
            "samphirelug_cold_requests_total",
            "Attempts at servers known to be cold, by service",
            registry=self.registry,
        )
        self.allowances = collectors.Counter(
            "samphirelug_allowance_requests_total",
            "Requests of teams with a limit by team and result",
            registry=self.registry,
        )
        self.latency = collectors.Histogram(
            "samphirelug_request_seconds",
            "Time from the whole request to its result by route and code",
            buckets=list(registry.LATENCY_BUCKETS_S),
            registry=self.registry,
        )
        self.store_calls = collectors.Counter(
            "samphirelug_store_calls_total",
            "Store calls by kind and outcome",
            registry=self.registry,
        )
        self.lost_lines = collectors.Gauge(
            "samphirelug_log_lines_lost",
            "Log lines dropped because standard output was not read",
            registry=self.registry,
        )
        # What this process knows of the fleet, which may differ from the state
        # in the store.
        self.beliefs = collectors.Gauge(
            "samphirelug_belief",
            "Configuration version, servers and entry hosts known",
            registry=self.registry,
        )

    def observe_request(
        self, *, route: str, code: str, seconds: float
    ) -> None:
        """Count a finished request and record its latency."""
        labels = {"route": route, "code": code}
        self.requests.inc(labels)
        self.latency.observe(labels, seconds)

    def count_retry(self, outcome: str) -> None:
        """Count a retry of a request."""
        self.retries.inc({"outcome": outcome})

    def count_cold_request(self, service: str) -> None:
        """Count an attempt at a server that is known to be cold."""
        self.cold_requests.inc({"service": service})

    def count_allowance(self, team: str, result: str) -> None:
        """Count a request of a team with a limit."""
        self.allowances.inc({"team": team, "result": result})

    def count_store_call(self, kind: str, outcome: str) -> None:
        """Count a call to the store."""
        self.store_calls.inc({"kind": kind, "outcome": outcome})

    def set_lost_lines(self, count: int) -> None:
        """Set the number of log lines that were dropped."""
        self.lost_lines.set({}, count)

    def set_belief(self, name: str, value: float) -> None:
        """Set the value of samphirelug_belief that has this name."""
        self.beliefs.set({"name": name}, value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return text.TextFormatter().marshall(self.registry)
