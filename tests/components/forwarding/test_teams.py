"""Test what the team of a request changes."""

import logging

import pytest

from samphirelug.components.backend import model as backend_model
from samphirelug.components.forwarding import const
from samphirelug.components.forwarding import model
from samphirelug.components.metrics import forwarding as forwarding_metrics
from samphirelug.components.routing import credentials
from samphirelug.components.routing import model as routing_model
from samphirelug import core
from samphirelug import result_codes
from standins import forwarding as build
from tests.components.forwarding import test_forwarder

Code = result_codes.ResultCode
Kind = backend_model.FailureKind
REQUEST = build.request(key_digest="d1")


def regions(*names: str) -> frozenset[str]:
    """Return a set of regions."""
    return frozenset(names)


def make_harness(
    *outcomes: Kind | int,
    route_regions: frozenset[str] = frozenset(),
    team_regions: frozenset[str] = frozenset(),
    kind: routing_model.RouteKind = routing_model.RouteKind.SAFE,
) -> test_forwarder.ForwarderHarness:
    """Return a forwarder with a server in each of the regions a to c."""
    harness = test_forwarder.ForwarderHarness(*outcomes)
    registry = harness.forwarder.placer.registry
    for number, region in enumerate("abc"):
        server = build.server(f"s{number}", zone=region, region=region)
        registry.put(server, source="test")
    configuration = build.configuration(
        build.route(allowed_regions=route_regions, kind=kind, max_attempts=3),
        version=2,
    )
    team = routing_model.Team(
        "kites", regions("d1"), allowed_regions=team_regions
    )
    harness.configuration.apply(
        configuration._replace(teams=(team,)), now=0.0, source="test"
    )
    return harness


@pytest.mark.parametrize(
    ("route_regions", "team_regions", "expected"),
    [
        ("", "", "abc"),
        ("ab", "", "ab"),
        ("", "bc", "bc"),
        ("ab", "bc", "b"),
        ("c", "c", "c"),
    ],
)
def test_request_goes_to_allowed_regions_only(
    route_regions: str, team_regions: str, expected: str
) -> None:
    """Guard against a body in a region that team or route excludes."""
    harness = make_harness(
        *(Kind.NOT_SENT for _ in expected),
        route_regions=regions(*route_regions),
        team_regions=regions(*team_regions),
    )
    harness.run(REQUEST)
    servers = {attempt.server for attempt in harness.sender.attempts}
    assert {server.zone.region for server in servers} == set(expected)


def test_no_common_region_is_refused_without_an_attempt() -> None:
    """Guard against an empty set of regions that means every region."""
    harness = make_harness(
        route_regions=regions("a"), team_regions=regions("b")
    )
    refusal = harness.run(REQUEST)
    assert isinstance(refusal, result_codes.Refusal)
    assert refusal.code.http_status == 503
    assert not harness.sender.attempts


@pytest.mark.parametrize(("team_priority", "expected"), [(None, 3), (0, 0)])
def test_priority_of_the_team_goes_first(
    team_priority: int | None, expected: int
) -> None:
    """Guard against priority 0 of a team that is taken for none."""
    team = routing_model.Team("kites", regions("d1"), priority=team_priority)
    route = credentials.apply_team(build.route(priority=3), team)
    assert route is not None
    assert route.priority == expected


def test_further_attempts_are_judged_like_the_first() -> None:
    """Guard against a version that changes a request while it runs."""
    harness = make_harness(Kind.RESET, 200, team_regions=regions("a", "b"))
    send = harness.sender.send

    async def change_and_send(attempt: model.Attempt) -> model.AttemptResult:
        harness.configuration.apply(
            build.configuration(build.route(), version=3),
            now=0.0,
            source="test",
        )
        return await send(attempt)

    harness.sender.send = change_and_send  # type: ignore[method-assign]
    assert isinstance(harness.run(REQUEST), core.Answer)
    first, second = harness.sender.attempts
    assert {first.server.zone.region, second.server.zone.region} == {"a", "b"}
    assert first.team == second.team == "kites"


@pytest.mark.parametrize("kind", [Kind.RESET, Kind.TIMEOUT, Kind.INCOMPLETE])
def test_upload_that_may_have_been_read_is_never_sent_again(
    kind: Kind,
) -> None:
    """Guard against an upload that runs twice."""
    harness = make_harness(kind, 200, kind=routing_model.RouteKind.UPLOAD)
    refusal = harness.run(REQUEST)
    assert isinstance(refusal, result_codes.Refusal)
    assert refusal.code.http_status in (502, 504)
    assert len(harness.sender.attempts) == 1


def test_unknown_key_makes_no_attempt() -> None:
    """Guard against requests that run without the key of a team."""
    for key_digest in (None, "", "d2"):
        harness = make_harness(200)
        refusal = harness.run(REQUEST._replace(key_digest=key_digest))
        assert test_forwarder.refusal_code(refusal) is Code.CREDENTIAL_UNKNOWN
        assert not harness.sender.attempts


def test_old_view_accepts_no_keys_with_strict_revocation() -> None:
    """Guard against a removed key that a host behind a partition accepts."""
    harness = make_harness(200, 200)
    harness.forwarder.max_view_age_s = lambda: 5.0
    harness.view_age_s = 5.0
    assert isinstance(harness.run(REQUEST), core.Answer)
    for harness.view_age_s in (5.1, float("inf")):
        retry_after_s = set()
        for number in range(5):
            refusal = harness.run(REQUEST._replace(request_id=f"r{number}"))
            assert isinstance(refusal, result_codes.Refusal)
            assert refusal.code is Code.CREDENTIALS_OUTDATED
            assert refusal.code.http_status == 503
            retry_after_s.add(refusal.retry_after_s)
        assert len(retry_after_s) == 5
    assert len(harness.sender.attempts) == 1
    public = build.route()._replace(is_public=True)
    harness.configuration.apply(
        build.configuration(public, version=3)._replace(
            teams=(routing_model.Team("kites", regions("d1")),)
        ),
        now=0.0,
        source="test",
    )
    assert isinstance(harness.run(REQUEST), core.Answer)
    harness.configuration.apply(
        build.configuration(build.route(), version=4), now=0.0, source="test"
    )
    harness.sender.outcomes.append(200)
    assert isinstance(harness.run(REQUEST), core.Answer)


def test_rejected_keys_leave_few_lines_without_the_key(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against guessed keys that hide the lines of other failures."""
    harness = make_harness(Kind.NOT_SENT, Kind.NOT_SENT, Kind.NOT_SENT)
    digest = "0123456789abcdef" * 2
    with caplog.at_level(logging.INFO):
        for _ in range(200):
            harness.run(REQUEST._replace(key_digest=digest))
        harness.run(REQUEST)
        harness.timer.advance(1.0)
        harness.run(REQUEST._replace(key_digest=None))
    *rejected, failed, keyless = (
        record.__dict__
        for record in caplog.records
        if record.message == "request ended"
    )
    assert len(rejected) == const.REJECTED_KEY_LOG_LINES_PER_S
    assert {line["key_digest"] for line in rejected} == {"01234567"}
    assert failed["code"] == "BACKEND_UNREACHABLE"
    assert (keyless["key_digest"], keyless["left_out"]) == ("", 190)
    assert digest not in caplog.text


def test_metrics_have_a_bounded_number_of_teams() -> None:
    """Guard against metrics that grow with the teams of a deployment."""
    metrics = forwarding_metrics.ForwardingMetrics()
    names = [f"team-{number}" for number in range(300)]
    for team in ['a"b\\c', *names, *names]:
        metrics.count_team_request(team=team, code="ok")
    lines = [
        line
        for line in metrics.render().decode().splitlines()
        if line.startswith("samphirelug_team_requests_total{")
    ]
    assert len(lines) == 100
    counter = 'samphirelug_team_requests_total{code="ok",team='
    assert f'{counter}"other"}} 404' in lines
    assert f'{counter}"team-97"}} 2' in lines
    assert f'{counter}"a\\"b\\\\c"}} 1' in lines


def test_requests_of_a_team_are_counted() -> None:
    """Guard against a metric that only the tests of the metrics use."""
    harness = make_harness(200)
    harness.run(REQUEST)
    harness.run(REQUEST._replace(key_digest="d2"))
    rendered = harness.forwarder.log.metrics.render().decode()
    assert rendered.count("samphirelug_team_requests_total{") == 1
    assert 'team_requests_total{code="ok",team="kites"} 1' in rendered
