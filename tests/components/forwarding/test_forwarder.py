"""Test attempts, retries and the results that callers get."""

import asyncio

import pytest
from returns.result import Failure
from returns.result import Success

from samphirelug.components.backend import model as backend_model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.forwarding import forwarder
from samphirelug.components.forwarding import model
from samphirelug.components.forwarding import request_log
from samphirelug.components.forwarding import retry_window
from samphirelug.components.metrics import forwarding as forwarding_metrics
from samphirelug.components.placement import load
from samphirelug.components.placement import placer
from samphirelug.components.routing import model as routing_model
from samphirelug.components.routing import table
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from standins import forwarding as build

Kind = backend_model.FailureKind
Code = result_codes.ResultCode

FREE_SLOT_REPORT = load.LoadReport(1, 0, 3)
FULL_REPORT = load.LoadReport(3, 9, 3)


class ScriptedSender(model.AttemptSender):
    """Return scripted outcomes in order and record the attempts."""

    def __init__(
        self, *outcomes: Kind | int, report: load.LoadReport | None = None
    ) -> None:
        self.outcomes = list(outcomes)
        self.report = report
        self.attempts: list[model.Attempt] = []

    async def send(self, attempt: model.Attempt) -> model.AttemptResult:
        """Return the next outcome."""
        self.attempts.append(attempt)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Kind):
            return Failure(
                model.AttemptFailure(
                    backend_model.BackendFailure(outcome, "scripted"),
                    self.report,
                )
            )
        answer = core.Answer(
            outcome, "", (), b"whole", attempt.server.instance_id
        )
        return Success(model.AttemptAnswer(answer, None, None))


class ForwarderHarness:
    """Set up a forwarder with three servers and a manual clock."""

    def __init__(
        self,
        *outcomes: Kind | int,
        slack: float = 100.0,
        version: int = 1,
        report: load.LoadReport | None = None,
    ) -> None:
        self.timer = timer_helper.ManualTimerService()
        self.sender = ScriptedSender(*outcomes, report=report)
        registry = fleet_registry.ServerRegistry()
        for number in range(3):
            registry.put(build.server(f"s{number}"), source="test")
        self.configuration = table.ConfigurationState()
        if version:
            self.configuration.apply(
                build.configuration(
                    build.route(),
                    build.route(
                        name="split",
                        path_prefix="/split/",
                        destinations=(("desk", 1.0), ("ledger", 1.0)),
                    ),
                    build.route(
                        name="filing",
                        path_prefix="/filing/",
                        kind=routing_model.RouteKind.UNSAFE,
                    ),
                    version=version,
                ),
                now=0.0,
                source="test",
            )
        self.view_age_s = 0.4
        self.metrics = forwarding_metrics.ForwardingMetrics()
        self.forwarder = forwarder.Forwarder(
            timer=self.timer,
            configuration=self.configuration,
            placer=placer.Placer(
                registry=registry,
                host="h1",
                host_count=lambda: 1,
                is_isolated=lambda: False,
            ),
            sender=self.sender,
            retries=retry_window.RetryWindow(
                ratio=0.2, slack=slack, window_s=10.0
            ),
            log=request_log.RequestLog(metrics=self.metrics),
            host_count=lambda: 1,
            view_age_s=lambda: self.view_age_s,
        )

    def run(
        self, request: model.ReceivedRequest
    ) -> core.Answer | result_codes.Refusal:
        """Return the answer or refusal for a request."""
        result = asyncio.run(self.forwarder.forward(request))
        if isinstance(result, Success):
            answer: core.Answer = result.unwrap()
            return answer
        refusal: result_codes.Refusal = result.failure()
        return refusal


FILING = build.request(method="POST", target="/filing/1", body=b"x")
STATUS = build.request()


def refusal_code(result: core.Answer | result_codes.Refusal) -> Code:
    """Return the code of a refusal."""
    assert isinstance(result, result_codes.Refusal)
    return result.code


def test_answer_is_forwarded_unchanged() -> None:
    """Guard against changing a server's answer."""
    result = ForwarderHarness(200).run(STATUS)
    assert isinstance(result, core.Answer)
    assert result.body == b"whole"


def test_requests_of_a_split_route_are_counted_by_service() -> None:
    """Guard against shares that no operator can compare with the weights."""
    harness = ForwarderHarness(200, 200, 200)
    harness.run(STATUS)
    for _ in range(2):
        harness.run(build.request(target="/split/1"))
    lines = [
        line.split()
        for line in harness.metrics.render().decode().splitlines()
        if line.startswith("samphirelug_split_requests_total{")
    ]
    assert all('route="split"' in labels for labels, _ in lines)
    assert sum(float(value) for _, value in lines) == 2.0


def test_missing_configuration_is_not_reported_as_unknown_path() -> None:
    """Guard against status 404 from a host without a configuration."""
    starting = ForwarderHarness(version=0).run(STATUS)
    assert refusal_code(starting) is Code.NO_CATALOGUE
    assert isinstance(starting, result_codes.Refusal)
    # The host is expected to have its configuration within this time.
    assert 0.0 < starting.retry_after_s <= 0.5
    other = build.request(target="/other/1")
    assert refusal_code(ForwarderHarness().run(other)) is Code.UNKNOWN_PATH


def test_filing_that_may_have_run_is_never_sent_again() -> None:
    """Guard against running a filing twice."""
    for kind in (Kind.RESET, Kind.TIMEOUT, Kind.INCOMPLETE):
        harness = ForwarderHarness(kind, 200)
        result = harness.run(FILING)
        assert len(harness.sender.attempts) == 1
        assert isinstance(result, result_codes.Refusal)
        # Other codes would wrongly state that the request was not run.
        assert result.code.http_status in (502, 504)


def test_filing_that_has_not_run_is_sent_to_another_server() -> None:
    """Guard against a refusal while another server has a free slot."""
    for kind in (Kind.NOT_SENT, Kind.REFUSED, Kind.MISDIRECTED):
        harness = ForwarderHarness(kind, 200)
        assert isinstance(harness.run(FILING), core.Answer)
        first, second = harness.sender.attempts
        assert first.server != second.server


def test_server_error_for_a_filing_is_forwarded() -> None:
    """Guard against retrying a filing that a server has run."""
    harness = ForwarderHarness(500, 200)
    result = harness.run(FILING)
    assert isinstance(result, core.Answer)
    assert result.status == 500
    assert len(harness.sender.attempts) == 1


def test_idempotent_request_is_retried_after_any_failure() -> None:
    """Guard against a failure where another server can answer."""
    for outcome in (Kind.RESET, Kind.INCOMPLETE, 500):
        result = ForwarderHarness(outcome, 200).run(STATUS)
        assert isinstance(result, core.Answer)
        assert result.status == 200


def test_unknown_outcome_takes_precedence_over_a_refusal() -> None:
    """Guard against status 503 for a request that may have run."""
    result = ForwarderHarness(Kind.RESET, Kind.REFUSED).run(STATUS)
    assert refusal_code(result) is Code.BACKEND_RESET


def test_server_error_is_forwarded_when_the_retry_fails() -> None:
    """Guard against replacing a server's answer by a generated refusal."""
    result = ForwarderHarness(500, Kind.NOT_SENT).run(STATUS)
    assert isinstance(result, core.Answer)
    assert result.status == 500


def test_attempts_are_limited_by_the_route() -> None:
    """Guard against trying more servers than the route allows."""
    harness = ForwarderHarness(Kind.RESET, Kind.RESET, 200)
    assert refusal_code(harness.run(STATUS)) is Code.BACKEND_RESET
    assert len(harness.sender.attempts) == 2


def test_retries_are_limited_by_the_budget() -> None:
    """Guard against retries that multiply the load when all servers fail."""
    harness = ForwarderHarness(Kind.RESET, 200, slack=0.0)
    assert refusal_code(harness.run(STATUS)) is Code.BACKEND_RESET
    harness = ForwarderHarness(Kind.REFUSED, 200, slack=0.0)
    assert refusal_code(harness.run(STATUS)) is Code.RETRY_BUDGET_EMPTY
    assert len(harness.sender.attempts) == 1


def test_attempt_that_reached_no_server_uses_no_budget() -> None:
    """Guard against refusals while a zone's servers are unreachable.

    The budget limits the requests that reach a server after another server
    has received them.
    """
    harness = ForwarderHarness(Kind.NOT_SENT, 200, slack=0.0)
    assert isinstance(harness.run(STATUS), core.Answer)


def test_server_that_refuses_with_a_free_slot_is_tried_again() -> None:
    """Guard against leaving the warm server after a random refusal.

    Load pattern: servers immediately refuse half of the requests and report
    that they did not run them.
    """
    harness = ForwarderHarness(
        Kind.REFUSED, Kind.REFUSED, 200, report=FREE_SLOT_REPORT
    )
    assert isinstance(harness.run(STATUS), core.Answer)
    assert len({attempt.server for attempt in harness.sender.attempts}) == 1
    harness = ForwarderHarness(Kind.REFUSED, 200, report=FULL_REPORT)
    assert isinstance(harness.run(FILING), core.Answer)
    assert len({attempt.server for attempt in harness.sender.attempts}) == 2


def test_request_that_must_run_once_is_not_sent_twice_to_a_server() -> None:
    """Guard against a double run after a refusal that is sent again.

    Seen in the soak (seed 807): the server refused the request, ran its
    repeat, and wrote the refusal once more in front of the answer.
    """
    harness = ForwarderHarness(
        Kind.REFUSED, Kind.REFUSED, 200, report=FREE_SLOT_REPORT
    )
    harness.run(FILING)
    servers = [attempt.server for attempt in harness.sender.attempts]
    assert len(servers) == len(set(servers)) == 2


def test_sends_are_limited_when_a_server_keeps_refusing() -> None:
    """Guard against an endless loop at a server that refuses everything."""
    harness = ForwarderHarness(*[Kind.REFUSED] * 9, report=FREE_SLOT_REPORT)
    assert refusal_code(harness.run(STATUS)) is Code.BACKEND_REFUSED
    assert len(harness.sender.attempts) == 3


def test_attempt_deadline_is_limited_by_route_and_caller() -> None:
    """Guard against servers working on a request after its deadline."""
    harness = ForwarderHarness(200, 200)
    harness.run(build.request(deadline_at_s=0.3))
    harness.run(build.request(deadline_at_s=30.0))
    assert [attempt.deadline_at_s for attempt in harness.sender.attempts] == [
        0.3,
        1.0,
    ]


def test_expired_request_is_not_sent() -> None:
    """Guard against server work for a caller that no longer waits."""
    harness = ForwarderHarness(200)
    harness.timer.advance(2.0)
    assert refusal_code(harness.run(STATUS)) is Code.DEADLINE_EXPIRED
    assert not harness.sender.attempts


def test_unexpected_error_is_not_logged_as_a_caller_that_left(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against a fault of this process that looks like a caller's."""
    harness = ForwarderHarness()
    with caplog.at_level("INFO"), pytest.raises(IndexError):
        harness.run(STATUS)
    (record,) = (
        record for record in caplog.records if "request" in record.message
    )
    assert record.message == "request failed in this process"
    assert record.__dict__["code"] == "INTERNAL_ERROR"


@pytest.mark.parametrize(
    "view_age_s, logged_ms", [(0.4, 400), (float("inf"), None)]
)
def test_age_of_what_the_host_knew_shows_in_the_log(
    caplog: pytest.LogCaptureFixture,
    view_age_s: float,
    logged_ms: int | None,
) -> None:
    """Guard against requests to departed servers without a reason."""
    harness = ForwarderHarness(200)
    harness.view_age_s = view_age_s
    with caplog.at_level("INFO"):
        harness.run(STATUS)
    ended = [r for r in caplog.records if r.message == "request ended"]
    assert [vars(record)["view_age_ms"] for record in ended] == [logged_ms]
