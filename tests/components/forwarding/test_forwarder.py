"""Test attempts, repeats and what the caller is told."""

import asyncio

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
from samphirelug.components.routing import table
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from standins import forwarding as build

Kind = backend_model.FailureKind
Code = result_codes.ResultCode


ROOM = load.LoadReport(1, 0, 3)
FULL = load.LoadReport(3, 9, 3)


class ScriptedSender(model.AttemptSender):
    """Return scripted outcomes in turn and keep the attempts."""

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


class World:
    """Hold a forwarder with three servers and a manual clock."""

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
                        name="filing",
                        path_prefix="/filing/",
                        idempotent=False,
                    ),
                    version=version,
                ),
                now=0.0,
                source="test",
            )
        self.forwarder = forwarder.Forwarder(
            timer=self.timer,
            configuration=self.configuration,
            placer=placer.Placer(
                registry=registry, host="h1", host_count=lambda: 1
            ),
            sender=self.sender,
            retries=retry_window.RetryWindow(
                ratio=0.2, slack=slack, window_s=10.0
            ),
            log=request_log.RequestLog(
                metrics=forwarding_metrics.ForwardingMetrics()
            ),
            host_count=lambda: 1,
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


def code_of(result: core.Answer | result_codes.Refusal) -> Code:
    """Return the code of a refusal."""
    assert isinstance(result, result_codes.Refusal)
    return result.code


def test_answer_is_passed_on() -> None:
    """Guard against a changed answer."""
    result = World(200).run(STATUS)
    assert isinstance(result, core.Answer)
    assert result.body == b"whole"


def test_unknown_configuration_is_no_unknown_route() -> None:
    """Guard against 404 from a host that has no configuration yet."""
    starting = World(version=0).run(STATUS)
    assert code_of(starting) is Code.NO_CATALOGUE
    assert isinstance(starting, result_codes.Refusal)
    # The configuration is there before a caller would wait any longer.
    assert 0.0 < starting.retry_after_s <= 0.5
    other = build.request(target="/other/1")
    assert code_of(World().run(other)) is Code.UNKNOWN_PATH


def test_filing_that_may_have_run_is_never_sent_again() -> None:
    """Guard against a filing that runs twice."""
    for kind in (Kind.RESET, Kind.TIMEOUT, Kind.INCOMPLETE):
        world = World(kind, 200)
        result = world.run(FILING)
        assert len(world.sender.attempts) == 1
        assert isinstance(result, result_codes.Refusal)
        # A status that promises that the request was not run would be false.
        assert result.code.http_status in (502, 504)


def test_filing_that_has_certainly_not_run_is_sent_elsewhere() -> None:
    """Guard against a refusal where another server has room."""
    for kind in (Kind.NOT_SENT, Kind.REFUSED, Kind.MISDIRECTED):
        world = World(kind, 200)
        assert isinstance(world.run(FILING), core.Answer)
        first, second = world.sender.attempts
        assert first.server != second.server


def test_server_error_of_a_filing_is_passed_on() -> None:
    """Guard against repeating a filing that a server has run."""
    world = World(500, 200)
    result = world.run(FILING)
    assert isinstance(result, core.Answer)
    assert result.status == 500
    assert len(world.sender.attempts) == 1


def test_idempotent_request_is_repeated_after_any_failure() -> None:
    """Guard against callers seeing a failure that another server hides."""
    for outcome in (Kind.RESET, Kind.INCOMPLETE, 500):
        result = World(outcome, 200).run(STATUS)
        assert isinstance(result, core.Answer)
        assert result.status == 200


def test_refusal_after_an_unknown_outcome_does_not_promise() -> None:
    """Guard against 503 for a request that the first server has run."""
    result = World(Kind.RESET, Kind.REFUSED).run(STATUS)
    assert code_of(result) is Code.BACKEND_RESET


def test_servers_own_error_is_the_last_resort() -> None:
    """Guard against a made-up failure in place of a server's answer."""
    result = World(500, Kind.NOT_SENT).run(STATUS)
    assert isinstance(result, core.Answer)
    assert result.status == 500


def test_attempts_are_bounded_by_the_route() -> None:
    """Guard against more servers than the route allows."""
    world = World(Kind.RESET, Kind.RESET, 200)
    assert code_of(world.run(STATUS)) is Code.BACKEND_RESET
    assert len(world.sender.attempts) == 2


def test_repeats_are_bounded_by_the_budget() -> None:
    """Guard against repeats that multiply load when all servers fail."""
    world = World(Kind.RESET, 200, slack=0.0)
    assert code_of(world.run(STATUS)) is Code.BACKEND_RESET
    world = World(Kind.REFUSED, 200, slack=0.0)
    assert code_of(world.run(STATUS)) is Code.RETRY_BUDGET_EMPTY
    assert len(world.sender.attempts) == 1


def test_attempt_that_reached_no_server_costs_no_budget() -> None:
    """Guard against refusals while a zone's servers are unreachable.

    The budget bounds what arrives at servers beyond each first arrival.
    """
    world = World(Kind.NOT_SENT, 200, slack=0.0)
    assert isinstance(world.run(STATUS), core.Answer)


def test_server_that_refuses_with_room_is_tried_again() -> None:
    """Guard against leaving the warm server for a refusal by chance.

    Load pattern: servers fail half of the requests at once and say so.
    """
    world = World(Kind.REFUSED, Kind.REFUSED, 200, report=ROOM)
    assert isinstance(world.run(FILING), core.Answer)
    assert len({one.server for one in world.sender.attempts}) == 1
    world = World(Kind.REFUSED, 200, report=FULL)
    assert isinstance(world.run(FILING), core.Answer)
    assert len({one.server for one in world.sender.attempts}) == 2


def test_sends_are_bounded_when_a_server_keeps_refusing() -> None:
    """Guard against a loop at a server that refuses everything."""
    world = World(*[Kind.REFUSED] * 9, report=ROOM)
    assert code_of(world.run(STATUS)) is Code.BACKEND_REFUSED
    assert len(world.sender.attempts) == 3


def test_server_gets_no_more_time_than_route_and_caller_allow() -> None:
    """Guard against work that goes on after the caller has its answer."""
    world = World(200, 200)
    world.run(build.request(deadline_at_s=0.3))
    world.run(build.request(deadline_at_s=30.0))
    assert [attempt.deadline_at_s for attempt in world.sender.attempts] == [
        0.3,
        1.0,
    ]


def test_expired_request_is_not_sent() -> None:
    """Guard against work for a caller that no longer waits."""
    world = World(200)
    world.timer.advance(2.0)
    assert code_of(world.run(STATUS)) is Code.DEADLINE_EXPIRED
    assert not world.sender.attempts
