"""Test the gate of teams on a socket."""

import asyncio
import random

from returns.result import Failure
from returns.result import Success

from samphirelug.components.allowance import gate
from samphirelug.components.allowance import io_datagrams
from samphirelug.components.allowance import node
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.components.metrics import forwarding as forwarding_metrics
from samphirelug.components.routing import model as routing_model
from samphirelug.components.routing import table
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from standins import forwarding as build
from standins.simulation import allowance

TEAM = routing_model.Team("t", frozenset({"d"}), requests_per_s=50.0)


def make_gate(*teams: routing_model.Team) -> gate.TeamGate:
    """Return the gate of the only host."""
    own = next(iter(allowance.World(hosts=1, teams=[]).instances.values()))
    timer = timer_helper.LoopTimerService()
    roster = fleet_roster.HostRoster(own=own)
    roster.update_from_list([own], now=timer.monotonic())
    configuration = table.ConfigurationState()
    configuration.apply(
        build.configuration(build.route())._replace(teams=teams),
        now=timer.monotonic(),
        source="test",
    )
    protocol = io_datagrams.AllowanceProtocol(
        node=node.AllowanceNode(
            own=own,
            bounds=allowance.BOUNDS,
            rng=random.Random(1),
            first_start=True,
            now=timer.monotonic(),
        ),
        roster=roster,
        address=("127.0.0.1", 0),
        may_own=lambda: True,
        timer=timer,
    )
    return gate.TeamGate(
        configuration=configuration,
        protocol=protocol,
        timer=timer,
        metrics=forwarding_metrics.ForwardingMetrics(),
    )


def test_requests_are_admitted_then_refused() -> None:
    """Guard against a gate that admits all requests, or none."""

    async def run() -> list[gate.Admission]:
        team_gate = make_gate(TEAM)
        team_gate.start()
        await asyncio.sleep(0.5)
        return [
            await team_gate.acquire(team=TEAM, now=team_gate.timer.monotonic())
            for _ in range(200)
        ]

    results = asyncio.run(run())
    assert isinstance(results[0], Success)
    refusals = [
        result.failure() for result in results if isinstance(result, Failure)
    ]
    assert len(refusals) > 50
    assert {refusal.code for refusal in refusals} == {
        result_codes.ResultCode.TEAM_LIMIT
    }
    assert min(refusal.retry_after_s for refusal in refusals) > 0.0


def test_no_socket_without_limits() -> None:
    """Guard against costs for deployments without limits."""

    async def run() -> None:
        team_gate = make_gate(TEAM._replace(requests_per_s=0.0))
        team_gate.start()
        await asyncio.sleep(0.2)
        assert team_gate.protocol.transport is None
        admission = await team_gate.acquire(team=TEAM, now=0.0)
        assert admission.unwrap() is None

    asyncio.run(run())


def test_answer_that_is_unread_after_a_stall_is_awaited() -> None:
    """Guard against refusing as a late timer runs before the socket is read.

    On weak hosts, a tenth of the requests of teams within their limit were
    refused for it.
    """

    async def run() -> tuple[bool, bool]:
        team_gate = make_gate(TEAM)
        loop = asyncio.get_running_loop()
        now = team_gate.timer.monotonic()
        late: asyncio.Future[object] = loop.create_future()
        in_time: asyncio.Future[object] = loop.create_future()
        team_gate._end_wait(late, now - 0.1)  # type: ignore[arg-type]
        team_gate._end_wait(in_time, now)  # type: ignore[arg-type]
        return late.done(), in_time.done()

    assert asyncio.run(run()) == (False, True)
