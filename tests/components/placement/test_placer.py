"""Test the selection of a server by load, health and cold start."""

import logging

import pytest
from returns.result import Failure
from returns.result import Success

from samphirelug.components.backend import model as backend_model
from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.forwarding import model as forwarding_model
from samphirelug.components.placement import cold
from samphirelug.components.placement import load
from samphirelug.components.placement import placer
from samphirelug import core
from samphirelug import result_codes
from standins import forwarding as build

ROUTE = build.route()
SERVICE = build.service()


def make_placer(
    *servers: fleet_model.ServerInstance, hosts: int = 1
) -> placer.Placer:
    """Return a placer with the servers in its registry."""
    registry = fleet_registry.ServerRegistry()
    for server in servers:
        registry.put(server, source="test")
    return placer.Placer(
        registry=registry,
        host="h1",
        host_count=lambda: hosts,
        is_isolated=lambda: False,
    )


def choose_server(
    server_placer: placer.Placer,
    *,
    now: float = 0.0,
    tried: tuple[str, ...] = (),
) -> str | result_codes.ResultCode:
    """Return the name of the selected server or the refusal's code."""
    result = server_placer.choose(
        route=ROUTE, service=SERVICE, object_key="x", tried=tried, now=now
    )
    if isinstance(result, Failure):
        refusal: result_codes.Refusal = result.failure()
        return refusal.code
    candidate: placer.Candidate = result.unwrap()
    name: str = candidate.server.instance_id
    return name


def failed_attempt(
    kind: backend_model.FailureKind,
) -> forwarding_model.AttemptResult:
    """Return the outcome of a failed attempt."""
    return Failure(
        forwarding_model.AttemptFailure(backend_model.BackendFailure(kind, ""))
    )


def test_requests_for_an_object_stay_at_its_first_server() -> None:
    """Guard against least-loaded placement, which keeps all servers cold."""
    servers = [build.server(f"s{number}") for number in range(8)]
    server_placer = make_placer(*servers)
    first_name = choose_server(server_placer)
    first_server = next(
        server for server in servers if server.instance_id == first_name
    )
    server_placer.record_sent(first_server, service=SERVICE, now=0.0)
    server_placer.record_sent(first_server, service=SERVICE, now=0.0)
    assert choose_server(server_placer) == first_name


def test_request_is_refused_at_once_when_servers_are_full() -> None:
    """Guard against queueing a request where no slot frees up in time."""
    servers = [build.server(f"s{number}") for number in range(2)]
    server_placer = make_placer(*servers)
    for server in servers:
        for _ in range(5):
            server_placer.record_sent(server, service=SERVICE, now=0.0)
    assert choose_server(server_placer) is result_codes.ResultCode.OVERLOADED


def test_missing_servers_are_distinguished_from_full_servers() -> None:
    """Guard against reporting an outage as an overload."""
    assert (
        choose_server(make_placer())
        is result_codes.ResultCode.NO_BACKEND_SERVER
    )


def test_load_of_other_hosts_counts_and_decays() -> None:
    """Guard against hosts that together overload a shared server."""
    server_load = load.ServerLoad()
    server_load.in_flight = 1
    server_load.observe_report(load.LoadReport(3, 2, 3), now=10.0)
    assert server_load.estimate(10.0) == 5
    assert 1 < server_load.estimate(10.25) < 5
    assert server_load.estimate(20.0) < 1.1


def test_unreachable_server_is_paused_and_tried_again() -> None:
    """Guard against every request waiting for an unreachable server."""
    servers = [build.server(f"s{number}") for number in range(2)]
    server_placer = make_placer(*servers)
    first_name = choose_server(server_placer)
    first_server = next(
        server for server in servers if server.instance_id == first_name
    )
    server_placer.record_sent(first_server, service=SERVICE, now=0.0)
    server_placer.record_ended(first_server)
    server_placer.observe(
        first_server,
        failed_attempt(backend_model.FailureKind.NOT_SENT),
        now=0.0,
        took_s=0.1,
    )
    assert choose_server(server_placer) != first_name
    assert choose_server(server_placer, now=60.0) == first_name


def test_refusals_of_a_full_server_do_not_pause_it() -> None:
    """Guard against pausing servers when the load is highest."""
    server = build.server("s0")
    server_placer = make_placer(server)
    for _ in range(10):
        server_placer.record_sent(server, service=SERVICE, now=0.0)
        server_placer.record_ended(server)
        server_placer.observe(
            server,
            failed_attempt(backend_model.FailureKind.REFUSED),
            now=0.0,
            took_s=0.1,
        )
    assert choose_server(server_placer) == "s0"


def test_answer_with_a_server_error_counts_as_failure() -> None:
    """Guard against sending an object's requests to a failing server."""
    server = build.server("s0")
    server_placer = make_placer(server)
    answer = core.Answer(500, "", (), b"", "s0")
    for _ in range(3):
        server_placer.record_sent(server, service=SERVICE, now=0.0)
        server_placer.record_ended(server)
        server_placer.observe(
            server,
            Success(forwarding_model.AttemptAnswer(answer, None, None)),
            now=0.0,
            took_s=0.1,
        )
    assert (
        choose_server(server_placer)
        is result_codes.ResultCode.BACKEND_UNREACHABLE
    )


def test_hosts_share_the_request_rate_of_a_cold_server() -> None:
    """Guard against a crash of a cold server: 10 hosts sent 10 at once."""
    limiters = [
        cold.ColdStartLimiter(host=f"h{number}") for number in range(10)
    ]
    incarnation = fleet_model.Incarnation("s0", 1)
    times: list[float] = []
    for step in range(3000):
        now = step / 1000
        for limiter in limiters:
            if limiter.allows(
                incarnation, now=now, requests_per_s=2.7, hosts=10
            ):
                limiter.record_request(incarnation, now=now)
                times.append(now)
    max_per_s = max(
        sum(1 for time_s in times if start <= time_s < start + 1.0)
        for start in times
    )
    # Limit of a deployment: 2.7 x 1.5 + 5.
    assert max_per_s <= 9
    assert times


def test_flood_of_a_cold_server_shows_in_the_log(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against a log that hides why a cold server got its requests."""
    server = build.server("s0", cold_until_s=3.0)
    server_placer = make_placer(server, hosts=2)
    server_placer.loads.get_or_create(server.incarnation).in_flight = 4
    withheld = 0
    with caplog.at_level(logging.INFO):
        # The host has one turn in this second.
        for step in range(100):
            now = step / 100
            if choose_server(server_placer, now=now) == "s0":
                server_placer.record_sent(server, service=SERVICE, now=now)
            else:
                withheld += 1
        choose_server(server_placer, now=3.0)
    begin, end = (
        record.__dict__
        for record in caplog.records
        if record.name == cold.__name__
    )
    assert begin["message"] == "backend server is cold"
    assert (begin["cold_for_s"], begin["in_flight"]) == (3.0, 4)
    assert end["message"] == "cold start of backend server ended"
    assert (end["sent"], end["withheld"]) == (1, withheld)
    assert withheld == 99
    assert end["fewest_hosts"] == 2


def refuse_with_retry_after(
    server_placer: placer.Placer,
    server: fleet_model.ServerInstance,
    *,
    now: float,
    retry_after_s: float,
) -> None:
    """Let the server turn a request away for a while."""
    server_placer.record_sent(server, service=SERVICE, now=now)
    server_placer.record_ended(server)
    server_placer.observe(
        server,
        Failure(
            forwarding_model.AttemptFailure(
                backend_model.BackendFailure(
                    backend_model.FailureKind.REFUSED, "", retry_after_s
                )
            )
        ),
        now=now,
        took_s=0.01,
    )


def test_server_that_wants_no_requests_gets_none_in_a_burst() -> None:
    """Guard against requests that the server has asked not to get."""
    server = build.server("s0")
    server_placer = make_placer(server)
    refuse_with_retry_after(server_placer, server, now=10.0, retry_after_s=2.0)
    for step in range(200):
        now = 10.0 + step / 100
        assert (
            choose_server(server_placer, now=now)
            is result_codes.ResultCode.BACKEND_UNREACHABLE
        )
    assert choose_server(server_placer, now=12.6) == "s0"


def test_one_request_probes_a_server_after_its_wish() -> None:
    """Guard against a rush at a server that was full a moment ago."""
    server = build.server("s0")
    server_placer = make_placer(server)
    refuse_with_retry_after(server_placer, server, now=0.0, retry_after_s=1.0)
    assert choose_server(server_placer, now=1.3) == "s0"
    server_placer.record_sent(server, service=SERVICE, now=1.3)
    assert choose_server(server_placer, now=1.3) != "s0"
    server_placer.record_ended(server)
    assert choose_server(server_placer, now=1.4) == "s0"
    server_placer.record_sent(server, service=SERVICE, now=1.4)
    assert choose_server(server_placer, now=1.4) == "s0"


def test_hosts_do_not_probe_a_server_at_the_same_moment() -> None:
    """Guard against a rush of all hosts when a server's wish ends."""
    server = build.server("s0")
    ends_s = set()
    for number in range(20):
        server_placer = make_placer(server)
        server_placer.host = f"h{number}"
        refuse_with_retry_after(
            server_placer, server, now=0.0, retry_after_s=2.0
        )
        load_of_server = server_placer.loads.get_or_create(server.incarnation)
        assert 2.0 <= load_of_server.held_until_s <= 2.5
        ends_s.add(load_of_server.held_until_s)
    assert len(ends_s) == 20
    assert max(ends_s) - min(ends_s) > 0.3


def test_refused_callers_are_told_when_servers_want_requests_again() -> None:
    """Guard against callers that come back while no server wants requests."""
    servers = [build.server(f"s{number}") for number in range(2)]
    server_placer = make_placer(*servers)
    for server, retry_after_s in zip(servers, (2.0, 4.0), strict=True):
        refuse_with_retry_after(
            server_placer, server, now=0.0, retry_after_s=retry_after_s
        )
    result = server_placer.choose(
        route=ROUTE, service=SERVICE, object_key="x", tried=(), now=0.5
    )
    refusal: result_codes.Refusal = result.failure()
    assert 1.5 <= refusal.retry_after_s <= 2.0
