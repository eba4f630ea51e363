"""Test the choice of a server by load, health and coldness."""

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


def make(
    *servers: fleet_model.ServerInstance, hosts: int = 1
) -> placer.Placer:
    """Return a placer that knows the servers."""
    registry = fleet_registry.ServerRegistry()
    for server in servers:
        registry.put(server, source="test")
    return placer.Placer(
        registry=registry, host="h1", host_count=lambda: hosts
    )


def choose(
    placing: placer.Placer, *, now: float = 0.0, tried: tuple[str, ...] = ()
) -> str | result_codes.ResultCode:
    """Return the chosen server or the code of the refusal."""
    result = placing.choose(
        route=ROUTE, service=SERVICE, object_key="x", tried=tried, now=now
    )
    if isinstance(result, Failure):
        refusal: result_codes.Refusal = result.failure()
        return refusal.code
    candidate: placer.Candidate = result.unwrap()
    name: str = candidate.server.instance_id
    return name


def failed(kind: backend_model.FailureKind) -> forwarding_model.AttemptResult:
    """Return the outcome of a failed attempt."""
    return Failure(
        forwarding_model.AttemptFailure(backend_model.BackendFailure(kind, ""))
    )


def test_requests_for_an_object_stay_at_its_first_server() -> None:
    """Guard against least-loaded placement, which keeps all servers cold."""
    servers = [build.server(f"s{number}") for number in range(8)]
    placing = make(*servers)
    first = choose(placing)
    chosen = next(s for s in servers if s.instance_id == first)
    placing.sent(chosen, service=SERVICE, now=0.0)
    placing.sent(chosen, service=SERVICE, now=0.0)
    assert choose(placing) == first


def test_full_servers_refuse_at_once() -> None:
    """Guard against a request waiting where no slot frees up in time."""
    servers = [build.server(f"s{number}") for number in range(2)]
    placing = make(*servers)
    for server in servers:
        for _ in range(5):
            placing.sent(server, service=SERVICE, now=0.0)
    assert choose(placing) is result_codes.ResultCode.OVERLOADED


def test_no_server_is_told_apart_from_full_servers() -> None:
    """Guard against an outage that looks like load."""
    assert choose(make()) is result_codes.ResultCode.NO_BACKEND_SERVER


def test_load_of_other_hosts_counts_and_fades() -> None:
    """Guard against hosts that overload a server they share."""
    server_load = load.ServerLoad()
    server_load.in_flight = 1
    server_load.observe_report(load.LoadReport(3, 2, 3), now=10.0)
    assert server_load.estimate(10.0) == 5
    assert 1 < server_load.estimate(10.25) < 5
    assert server_load.estimate(20.0) < 1.1


def test_unreachable_server_is_paused_and_tried_again() -> None:
    """Guard against every request waiting for a dead server."""
    servers = [build.server(f"s{number}") for number in range(2)]
    placing = make(*servers)
    first = choose(placing)
    chosen = next(s for s in servers if s.instance_id == first)
    placing.sent(chosen, service=SERVICE, now=0.0)
    placing.ended(chosen)
    placing.observe(
        chosen,
        failed(backend_model.FailureKind.NOT_SENT),
        now=0.0,
        took_s=0.1,
    )
    assert choose(placing) != first
    assert choose(placing, now=60.0) == first


def test_full_server_is_not_taken_for_a_broken_one() -> None:
    """Guard against pausing servers when load is at its worst."""
    server = build.server("s0")
    placing = make(server)
    for _ in range(10):
        placing.sent(server, service=SERVICE, now=0.0)
        placing.ended(server)
        placing.observe(
            server,
            failed(backend_model.FailureKind.REFUSED),
            now=0.0,
            took_s=0.1,
        )
    assert choose(placing) == "s0"


def test_answer_with_a_server_error_counts_as_failure() -> None:
    """Guard against a server that fails requests keeping its objects."""
    server = build.server("s0")
    placing = make(server)
    answer = core.Answer(500, "", (), b"", "s0")
    for _ in range(3):
        placing.sent(server, service=SERVICE, now=0.0)
        placing.ended(server)
        placing.observe(
            server,
            Success(forwarding_model.AttemptAnswer(answer, None, None)),
            now=0.0,
            took_s=0.1,
        )
    assert choose(placing) is result_codes.ResultCode.BACKEND_UNREACHABLE


def test_hosts_share_what_a_cold_server_bears() -> None:
    """Guard against the crash of a cold server: 10 hosts sent 10 at once."""
    gates = [cold.ColdGate(host=f"h{number}") for number in range(10)]
    incarnation = ("s0", 1)
    times: list[float] = []
    for step in range(3000):
        now = step / 1000
        for gate in gates:
            if gate.admits(incarnation, now=now, requests_per_s=2.7, hosts=10):
                gate.take(incarnation, now=now, requests_per_s=2.7, hosts=10)
                times.append(now)
    most = max(
        sum(1 for other in times if start <= other < start + 1.0)
        for start in times
    )
    # The bound of a deployment: 2.7 x 1.5 + 5.
    assert most <= 9
    assert times
