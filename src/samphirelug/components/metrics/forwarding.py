"""Provide the metrics of an entry host that forwards by routes."""

from aioprometheus import collectors
from aioprometheus.formats import text

from samphirelug.components.metrics import registry


# Labels of one metric that name teams, priorities and routes with several
# services. Every further one is counted as OTHER, which is one of them.
MAX_TEAM_LABELS = 100
MAX_PRIORITY_LABELS = 16
MAX_SPLIT_ROUTE_LABELS = 100
OTHER = "other"


class LabelLimit:
    """Bound the number of labels; names that come first have their own."""

    def __init__(self, *, labels: int) -> None:
        self.labels = labels
        self.known: set[str] = set()

    def label(self, name: str) -> str:
        """Return the name, or OTHER if there are too many."""
        if name not in self.known:
            if len(self.known) >= self.labels - 1:
                return OTHER
            self.known.add(name)
        # The formatter does not escape values.
        return name.replace("\\", "\\\\").replace('"', '\\"')


class ForwardingMetrics:
    """Hold the metrics of a forwarding entry host in one registry."""

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self.requests = collectors.Counter(
            "samphirelug_requests_total",
            "Requests by route and result code",
            registry=self.registry,
        )
        self.split_requests = collectors.Counter(
            "samphirelug_split_requests_total",
            "Requests on routes with several services by route and service",
            registry=self.registry,
        )
        self.split_labels = LabelLimit(labels=MAX_SPLIT_ROUTE_LABELS)
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
        self.shortage_refusals_by_team = collectors.Counter(
            "samphirelug_shortage_refusals_by_team_total",
            "Refusals because the candidate servers were full, by team",
            registry=self.registry,
        )
        self.shortage_refusals_by_priority = collectors.Counter(
            "samphirelug_shortage_refusals_by_priority_total",
            "Refusals because the candidate servers were full, by priority",
            registry=self.registry,
        )
        self.team_labels = LabelLimit(labels=MAX_TEAM_LABELS)
        self.priority_labels = LabelLimit(labels=MAX_PRIORITY_LABELS)
        self.team_requests = collectors.Counter(
            "samphirelug_team_requests_total",
            "Requests of teams by team and result code",
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

        self.update_bytes = collectors.Gauge(
            "samphirelug_update_bytes",
            "Bytes of views and changes sent to following entry hosts",
            registry=self.registry,
        )
        self.connections = collectors.Gauge(
            "samphirelug_connections",
            "Open connections of clients by listener",
            registry=self.registry,
        )
        self.held_bytes = collectors.Gauge(
            "samphirelug_held_bytes",
            "Estimated memory of connections and messages by listener",
            registry=self.registry,
        )
        self.closed_connections = collectors.Counter(
            "samphirelug_connections_closed_total",
            "Connections closed or refused for room by listener",
            registry=self.registry,
        )

    def observe_request(
        self, *, route: str, code: str, seconds: float
    ) -> None:
        """Count a finished request and record its latency."""
        labels = {"route": route, "code": code}
        self.requests.inc(labels)
        self.latency.observe(labels, seconds)

    def count_team_request(self, *, team: str, code: str) -> None:
        """Count a finished request of a team.

        The first teams that send requests have a label of their own.
        """
        label = self.team_labels.label(team)
        self.team_requests.inc({"team": label, "code": code})

    def count_split(self, *, route: str, service: str) -> None:
        """Count a request whose service was chosen by weight.

        Shares are those of all entry hosts together.
        """
        label = self.split_labels.label(route)
        self.split_requests.inc({"route": label, "service": service})

    def count_retry(self, outcome: str) -> None:
        """Count a retry of a request."""
        self.retries.inc({"outcome": outcome})

    def count_cold_request(self, service: str) -> None:
        """Count an attempt at a server that is known to be cold."""
        self.cold_requests.inc({"service": service})

    def count_shortage_refusal(self, team: str, priority: int) -> None:
        """Count a refusal because the candidate servers were full."""
        self.shortage_refusals_by_team.inc(
            {"team": self.team_labels.label(team)}
        )
        self.shortage_refusals_by_priority.inc(
            {"priority": self.priority_labels.label(str(priority))}
        )

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

    def set_update_bytes(self, count: int) -> None:
        """Set the bytes that followers have been sent."""
        self.update_bytes.set({}, count)

    def set_held(
        self, listener: str, *, connections: int, held_bytes: int, closed: int
    ) -> None:
        """Set what a listener holds, and how many it has closed for room."""
        labels = {"listener": listener}
        self.connections.set(labels, connections)
        self.held_bytes.set(labels, held_bytes)
        self.closed_connections.set(labels, closed)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return text.TextFormatter().marshall(self.registry)
