"""Provide the metrics of an entry host."""

from typing import Any

from aioprometheus import collectors

from aioprometheus.formats import text

from samphirelug.components.backend import model as backend_model
from samphirelug import core
from samphirelug import result_codes

# Codes that callers can receive. Their counters start at 0, so that an alert
# on the increase detects the first refusal.
REFUSAL_CODES = tuple(
    code
    for code in result_codes.ResultCode
    if code.effect
    in (result_codes.Effect.NOT_RUN, result_codes.Effect.OUTCOME_UNKNOWN)
)
RETRY_REASONS = tuple(kind.value for kind in backend_model.FailureKind)

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
    """Hold the metrics of an entry host in one registry."""

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
        self.headroom = self._gauge(
            "samphirelug_headroom_requests",
            "Requests that own units allow, by region, service and state",
        )
        self.units = self._gauge(
            "samphirelug_quota_units",
            "Quota units of regions, shifts and links by key and state",
        )
        self.seat_valid = self._gauge(
            "samphirelug_seat_valid_seconds",
            "Time for which the seat stays valid without the store",
        )
        self.ready = self._gauge(
            "samphirelug_ready", "1 while /readyz answers 200, else 0"
        )
        self.in_flight = self._gauge(
            "samphirelug_in_flight_requests", "Requests of callers in flight"
        )
        self.wait = self._gauge(
            "samphirelug_wait_seconds", "Estimated wait by rank"
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
        for code in REFUSAL_CODES:
            for rank in core.Rank:
                self.refusals.set(_refusal_labels(code, rank), 0)
        for reason in RETRY_REASONS:
            self.retries.set({"reason": reason}, 0)

    def count_refusal(
        self, code: result_codes.ResultCode, rank: core.Rank | None
    ) -> None:
        """Count a refusal sent to a caller."""
        self.refusals.inc(_refusal_labels(code, rank))

    def count_retry(self, reason: str) -> None:
        """Count a retry of a request."""
        self.retries.inc({"reason": reason})

    def observe_request(
        self,
        *,
        work: str,
        rank: core.Rank,
        code: result_codes.ResultCode,
        seconds: float,
    ) -> None:
        """Count a finished request and record its latency."""
        labels = {"work": work, "rank": rank.label}
        self.requests.inc({**labels, "code": code.name.lower()})
        self.latency.observe(labels, seconds)

    def count_store_call(self, kind: str, outcome: str) -> None:
        """Count a call to the store."""
        self.store_calls.inc({"kind": kind, "outcome": outcome})

    def count_peer_message(self, kind: str, outcome: str) -> None:
        """Count a message received from a peer."""
        self.peer_messages.inc({"type": kind, "outcome": outcome})

    def refusals_by_reason(self) -> dict[str, int]:
        """Return the number of refusals by reason, without reasons at 0."""
        refusals: dict[str, int] = {}
        for labels, value in self.refusals.get_all():
            count = _as_int(value)
            if count:
                reason = labels["reason"]
                refusals[reason] = refusals.get(reason, 0) + count
        return refusals

    def store_calls_by_outcome(self) -> list[dict[str, str | int]]:
        """Return the number of store calls by kind and outcome."""
        return [
            {**labels, "count": _as_int(value)}
            for labels, value in self.store_calls.get_all()
        ]

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return text.TextFormatter().marshall(self.registry)

    def _counter(self, name: str, help_text: str) -> collectors.Counter:
        return collectors.Counter(name, help_text, registry=self.registry)

    def _gauge(self, name: str, help_text: str) -> collectors.Gauge:
        return collectors.Gauge(name, help_text, registry=self.registry)


def _as_int(value: Any) -> int:
    return int(value)


def _refusal_labels(
    code: result_codes.ResultCode, rank: core.Rank | None
) -> dict[str, str]:
    label = rank.label if rank is not None else "none"
    return {"reason": code.name.lower(), "rank": label}
