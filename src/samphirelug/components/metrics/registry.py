"""Count refusals, retries, requests and store calls of this process."""

from aioprometheus import collectors

from aioprometheus.formats import text

from samphirelug import core
from samphirelug import result_codes

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)


class Metrics:
    """Hold every metric of the entry host in one registry."""

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self.requests = self._counter(
            "samphirelug_requests_total", "Requests by work, rank and code"
        )
        self.refusals = self._counter(
            "samphirelug_refusals_total", "Refusals by reason and rank"
        )
        self.retries = self._counter(
            "samphirelug_retries_total", "Retries by reason"
        )
        self.store_calls = self._counter(
            "samphirelug_store_calls_total", "Store calls by kind and outcome"
        )
        self.peer_messages = self._counter(
            "samphirelug_peer_messages_total",
            "Messages from peers by type and outcome",
        )
        self.latency = collectors.Histogram(
            "samphirelug_request_seconds",
            "Time from header block to answer by work and rank",
            buckets=list(LATENCY_BUCKETS_S),
            registry=self.registry,
        )
        self.units = self._gauge(
            "samphirelug_quota_units", "Own quota units by key and state"
        )
        self.catalogue_revision = self._gauge(
            "samphirelug_catalogue_revision", "Catalogue position in force"
        )
        self.loop_lag = self._gauge(
            "samphirelug_loop_lag_seconds", "Latest lag of the event loop"
        )
        self.queued = self._gauge(
            "samphirelug_queued_requests", "Requests queued by rank"
        )

    def count_refusal(
        self, code: result_codes.ResultCode, rank: core.Rank | None
    ) -> None:
        """Count a refusal sent to a caller."""
        label = rank.label if rank is not None else "none"
        self.refusals.inc({"reason": code.name.lower(), "rank": label})

    def count_retry(self, reason: str) -> None:
        """Count another attempt for a request."""
        self.retries.inc({"reason": reason})

    def observe_request(
        self,
        *,
        work: str,
        rank: core.Rank,
        code: result_codes.ResultCode,
        seconds: float,
    ) -> None:
        """Count a finished request and its latency in seconds."""
        labels = {"work": work, "rank": rank.label}
        self.requests.inc({**labels, "code": code.name.lower()})
        self.latency.observe(labels, seconds)

    def count_store_call(self, kind: str, outcome: str) -> None:
        """Count a call to the store."""
        self.store_calls.inc({"kind": kind, "outcome": outcome})

    def count_peer_message(self, kind: str, outcome: str) -> None:
        """Count a message received from a peer."""
        self.peer_messages.inc({"type": kind, "outcome": outcome})

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return text.TextFormatter().marshall(self.registry)

    def _counter(self, name: str, doc: str) -> collectors.Counter:
        return collectors.Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> collectors.Gauge:
        return collectors.Gauge(name, doc, registry=self.registry)
