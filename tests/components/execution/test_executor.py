"""Guard against false results for work that may run only once."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from returns.result import Success

from samphirelug.components.admission.model import PermitEnd
from samphirelug.components.backend.model import FailureKind
from samphirelug.components.execution import const
from samphirelug.components.execution import model
from samphirelug.components.peers import model as peers_model
from samphirelug import result_codes
from samphirelug.result_codes import ResultCode
from tests.components.execution import world as world_module

BUSY = result_codes.Refusal(ResultCode.OVERLOADED, "busy", 1.0)
Scenario = Callable[[world_module.World], Awaitable[None]]


async def result_code(call: Awaitable[model.Outcome]) -> ResultCode:
    """Return the code of an outcome; OK for an answer."""
    outcome = await asyncio.wait_for(call, 1.0)
    if isinstance(outcome, Success):
        return ResultCode.OK
    return outcome.failure().code


async def dispatch(
    world: world_module.World, token: str | None, piece: str = "p"
) -> asyncio.Task[model.Outcome]:
    """Send a request to the first host and admit it to a server."""
    call = world.call("eh1", piece, token)
    await world.run_ready_tasks()
    world.hosts["eh1"].admission.decide()
    await world.run_ready_tasks()
    return call


async def complete(
    world: world_module.World, token: str, piece: str = "p"
) -> None:
    """Run a piece of work until it is answered."""
    call = await dispatch(world, token, piece)
    world.attempts[-1].reply(None)
    assert await result_code(call) is ResultCode.OK


async def call_other_host(
    world: world_module.World,
    token: str,
    piece: str = "p",
    *,
    reply_lost: bool = False,
) -> ResultCode:
    """Send a request to a host other than the token's host."""
    call = world.call("eh2", piece, token)
    await world.run_ready_tasks()
    while world.messages:
        await world.messages.pop(0)(reply_lost)
    world.clock.advance(const.OUTCOME_QUERY_TIMEOUT_S)
    return await result_code(call)


async def stop_host(world: world_module.World, *, deliver_count: int) -> None:
    """Stop the first host and deliver only some of its messages."""
    stopping = asyncio.create_task(world.hosts["eh1"].executor.hand_over())
    await world.run_ready_tasks()
    while world.messages:
        message = world.messages.pop(0)
        if deliver_count > 0:
            await message(False)
            deliver_count -= 1
        else:
            world.clock.advance(const.HANDOVER_TIMEOUT_S)
        await world.run_ready_tasks()
    await stopping
    world.start_host("eh1")


async def signed_home_region_applies(world: world_module.World) -> None:
    """A caller cannot avoid the shift cap by sending another home region."""
    await complete(world, world.token())
    await dispatch(world, None)
    assert world.hosts["eh1"].admission.home_regions == ["tallinn", "parnu"]


async def unknown_outcome_is_not_hidden(world: world_module.World) -> None:
    """A later refusal must not turn "may have run" into "not run"."""
    call = await dispatch(world, None)
    world.attempts[0].run()
    world.attempts[0].reply(FailureKind.RESET)
    await world.run_ready_tasks()
    world.hosts["eh1"].admission.decide(BUSY)
    assert await result_code(call) is ResultCode.BACKEND_RESET


async def reset_is_not_retried(world: world_module.World) -> None:
    """A filing that may have run is not sent again after a reset."""
    token = world.token()
    call = await dispatch(world, token)
    world.attempts[0].run()
    world.attempts[0].reply(FailureKind.RESET)
    assert await result_code(call) is ResultCode.BACKEND_RESET
    assert await result_code(world.call("eh1", "p", token)) is (
        ResultCode.BACKEND_RESET
    )
    host = world.hosts["eh1"]
    assert host.admission.ended == [PermitEnd.ORPHANED]
    assert host.health.failures == [FailureKind.RESET]
    assert not host.executor.is_unused(token)


async def not_sent_is_retried(world: world_module.World) -> None:
    """A filing that was not sent is retried on another server."""
    call = await dispatch(world, world.token())
    world.attempts[0].reply(FailureKind.NOT_SENT)
    await world.run_ready_tasks()
    admission = world.hosts["eh1"].admission
    first_server = world.attempts[0].request.server.name
    assert admission.excluded[1] == {first_server}
    admission.decide()
    await world.run_ready_tasks()
    world.attempts[1].reply(None)
    assert await result_code(call) is ResultCode.OK
    assert admission.ended == [PermitEnd.COMPLETE] * 2


async def retry_budget_limits_retries(world: world_module.World) -> None:
    """A service that is down gets only the retries of the budget."""
    codes = []
    for _ in range(20):
        call = await dispatch(world, None)
        while not call.done():
            world.attempts[-1].reply(FailureKind.NOT_SENT)
            await world.run_ready_tasks()
            world.clock.advance(0.021)
            await world.run_ready_tasks()
            world.hosts["eh1"].admission.decide()
            await world.run_ready_tasks()
        codes.append(await result_code(call))
    assert codes[-1] is ResultCode.RETRY_BUDGET_EMPTY
    assert len(world.attempts) <= 20 + 20 * const.RETRY_RATIO + 4


async def refused_token_can_run_later(world: world_module.World) -> None:
    """A refusal that reports "not run" leaves the token usable."""
    token = world.token()
    call = world.call("eh1", "p", token)
    await world.run_ready_tasks()
    assert not world.hosts["eh1"].executor.is_unused(token)
    world.hosts["eh1"].admission.decide(BUSY)
    assert await result_code(call) is ResultCode.OVERLOADED
    assert world.hosts["eh1"].executor.is_unused(token)
    await complete(world, token)


async def repeated_request_joins_the_run(
    world: world_module.World,
) -> None:
    """A request repeated during the run gets the answer of that run."""
    token = world.token()
    call = await dispatch(world, token)
    repeat = world.call("eh1", "p", token)
    short_call = world.call("eh1", "p", token, timeout_s=0.1)
    await world.run_ready_tasks()
    world.clock.advance(0.1 + const.WAIT_MARGIN_S)
    assert await result_code(short_call) is ResultCode.ATTEMPT_RUNNING
    world.attempts[0].reply(None)
    assert (
        await result_code(call) is await result_code(repeat) is ResultCode.OK
    )
    assert len(world.attempts) == 1


async def sent_work_outlives_its_caller(world: world_module.World) -> None:
    """The outcome of a sent filing is kept if its caller disconnects."""
    token = world.token()
    call = await dispatch(world, token)
    call.cancel()
    await world.run_ready_tasks()
    assert len(world.hosts["eh1"].executor.runs) == 1
    world.attempts[0].reply(None)
    await world.hosts["eh1"].executor.wait_for_runs()
    assert await result_code(world.call("eh1", "p", token)) is ResultCode.OK


async def unsent_work_ends_with_its_caller(
    world: world_module.World,
) -> None:
    """A caller that disconnects while queued frees its place and token."""
    token = world.token()
    call = world.call("eh1", "p", token)
    await world.run_ready_tasks()
    call.cancel()
    await world.run_ready_tasks()
    assert not world.hosts["eh1"].executor.runs
    assert world.hosts["eh1"].admission.pending[0].cancelled()
    await complete(world, token)


async def repeatable_work_is_cancelled(world: world_module.World) -> None:
    """A caller that disconnects cancels repeatable work."""
    call = await dispatch(world, None)
    call.cancel()
    await world.run_ready_tasks()
    assert world.attempts[0].result.cancelled()
    assert world.hosts["eh1"].admission.ended == [PermitEnd.ORPHANED]
    # None would count as an answer, and with its short latency a fast one.
    assert world.hosts["eh1"].health.failures == [FailureKind.CANCELLED]


async def cancelled_run_has_unknown_outcome(
    world: world_module.World,
) -> None:
    """A run that is cancelled after sending is not reported as "not run"."""
    call = await dispatch(world, world.token())
    world.attempts[0].run()
    for run in world.hosts["eh1"].executor.runs.values():
        assert run.task is not None
        run.task.cancel()
    assert await result_code(call) is ResultCode.CALLER_GONE_RUNNING


async def client_exception_has_unknown_outcome(
    world: world_module.World,
) -> None:
    """An exception in the backend client leaves the outcome unknown."""
    token = world.token()
    call = await dispatch(world, token)
    world.attempts[0].run()
    world.attempts[0].result.set_exception(RuntimeError("fault"))
    assert await result_code(call) is ResultCode.ENTRY_HOST_LOST
    assert world.hosts["eh1"].admission.ended == [PermitEnd.ORPHANED]


async def query_revokes_unused_token(world: world_module.World) -> None:
    """A token that a query reported as not run is never run later."""
    token = world.token()
    assert await call_other_host(world, token) is ResultCode.TOKEN_REVOKED
    late_call = world.call("eh1", "p", token)
    assert await result_code(late_call) is ResultCode.TOKEN_REVOKED
    assert world.attempts == []


async def lost_reply_has_unknown_outcome(
    world: world_module.World,
) -> None:
    """A lost reply of the token's host leaves the outcome unknown."""
    token = world.token()
    query_result = await call_other_host(world, token, reply_lost=True)
    assert query_result is ResultCode.ENTRY_HOST_LOST


async def other_host_returns_the_outcome(
    world: world_module.World,
) -> None:
    """A request repeated on another host gets the first answer."""
    token = world.token()
    call = await dispatch(world, token)
    assert await call_other_host(world, token) is ResultCode.ATTEMPT_RUNNING
    world.attempts[0].reply(None)
    assert await result_code(call) is ResultCode.OK
    assert await call_other_host(world, token) is ResultCode.OK


async def previous_incarnation_has_unknown_outcome(
    world: world_module.World,
) -> None:
    """A restarted host does not run tokens of its previous incarnation."""
    token = world.token()
    await dispatch(world, token)
    world.start_host("eh1")
    call = world.call("eh1", "p", token)
    assert await result_code(call) is ResultCode.ENTRY_HOST_LOST
    assert await call_other_host(world, token) is ResultCode.ENTRY_HOST_LOST


async def handover_is_complete(world: world_module.World) -> None:
    """After a planned stop, peers know which tokens were run."""
    used, running, unused = (world.token() for _ in range(3))
    await complete(world, used)
    await dispatch(world, running, "q")
    await stop_host(world, deliver_count=99)
    codes = [
        await call_other_host(world, used),
        await call_other_host(world, running, "q"),
        await call_other_host(world, unused, "r"),
    ]
    assert codes == [
        ResultCode.OK,
        ResultCode.ENTRY_HOST_LOST,
        ResultCode.TOKEN_REVOKED,
    ]


async def handover_carries_current_clock(
    world: world_module.World,
) -> None:
    """A hand-over carries the current clock of the stopping host.

    With the clock of an old heartbeat, a token whose entry was removed would
    look unused.
    """
    token = world.token()
    await complete(world, token)
    old = world.hosts["eh1"].heartbeat()
    world.hosts["eh1"].heartbeat = lambda: old  # type: ignore[method-assign]
    world.clock.advance(200.0)
    await stop_host(world, deliver_count=99)
    assert await call_other_host(world, token) is ResultCode.ENTRY_HOST_LOST
    last_message = peers_model.OutcomeHandover("eh9-1", (), True, 9000)
    unused = world.token()
    run_token = (
        world.issuer.decode(unused).unwrap()._replace(incarnation="eh9-1")
    )
    table = world.hosts["eh2"].outcomes
    for handover, expected in (
        (last_message, ResultCode.ENTRY_HOST_LOST),
        (last_message._replace(clock_ms=1), ResultCode.TOKEN_REVOKED),
    ):
        assert table.accept_handover(handover)
        assert table.handed_over_record(run_token).code == expected


async def incomplete_handover_has_unknown_outcome(
    world: world_module.World,
) -> None:
    """Without a complete hand-over, an unlisted token may have run."""
    used, unused = world.token(), world.token()
    await complete(world, used)
    await stop_host(world, deliver_count=2)
    assert await call_other_host(world, used) is ResultCode.OK
    assert await call_other_host(world, unused) is ResultCode.ENTRY_HOST_LOST


async def handover_after_entry_removal(world: world_module.World) -> None:
    """A token whose entry was removed is not reported as unused."""
    token = world.token()
    await complete(world, token)
    world.clock.advance(200.0)
    await stop_host(world, deliver_count=99)
    assert await call_other_host(world, token) is ResultCode.ENTRY_HOST_LOST


async def closed_table_starts_no_work(world: world_module.World) -> None:
    """A token that arrives after the hand-over has begun is not run."""
    token = world.token()
    host = world.hosts["eh1"]
    stopping = asyncio.create_task(host.executor.hand_over())
    await world.run_ready_tasks()
    late_call = world.call("eh1", "p", token)
    assert await result_code(late_call) is ResultCode.STOPPING
    assert await result_code(world.query_outcome("eh1", "p", token)) is (
        ResultCode.TOKEN_REVOKED
    )
    stopping.cancel()


async def expired_token_does_not_run(world: world_module.World) -> None:
    """An expired token is reported as unused only while that is certain."""
    token = world.token()
    world.clock.advance(121.0)
    call = world.call("eh1", "p", token)
    assert await result_code(call) is ResultCode.TOKEN_EXPIRED
    world.clock.advance(100.0)
    call = world.call("eh1", "p", token)
    assert await result_code(call) is ResultCode.TOKEN_EXPIRED_UNKNOWN


async def removed_entry_has_unknown_outcome(
    world: world_module.World,
) -> None:
    """A token that was run is never reported as expired and unused."""
    token = world.token()
    await complete(world, token)
    world.clock.advance(121.0)
    call = world.call("eh1", "p", token)
    assert await result_code(call) is ResultCode.OK
    world.clock.advance(100.0)
    call = world.call("eh1", "p", token)
    assert await result_code(call) is ResultCode.TOKEN_EXPIRED_UNKNOWN


async def token_is_bound_to_one_request(world: world_module.World) -> None:
    """A different request with a used token does not get its answer."""
    token = world.token()
    await complete(world, token)
    call = world.call("eh1", "other", token)
    assert await result_code(call) is ResultCode.TOKEN_INVALID


async def all_hosts_bind_token_to_one_request(
    world: world_module.World,
) -> None:
    """Other hosts also bind a token to its request, even after a stop."""
    token = world.token()
    await complete(world, token)
    for _ in range(2):
        other_code = await call_other_host(world, token, "other")
        assert other_code is ResultCode.TOKEN_INVALID
        assert await call_other_host(world, token) is ResultCode.OK
        await stop_host(world, deliver_count=99)


async def invalid_token_is_refused(world: world_module.World) -> None:
    """A token that was tampered with or is malformed is not run."""
    token = world.token()
    for invalid in (token[:-2] + "xx", "", "a.b"):
        call = world.call("eh1", "p", invalid)
        assert await result_code(call) is ResultCode.TOKEN_INVALID


SCENARIOS: list[Scenario] = [
    signed_home_region_applies,
    unknown_outcome_is_not_hidden,
    reset_is_not_retried,
    not_sent_is_retried,
    retry_budget_limits_retries,
    refused_token_can_run_later,
    repeated_request_joins_the_run,
    sent_work_outlives_its_caller,
    unsent_work_ends_with_its_caller,
    repeatable_work_is_cancelled,
    cancelled_run_has_unknown_outcome,
    client_exception_has_unknown_outcome,
    query_revokes_unused_token,
    lost_reply_has_unknown_outcome,
    other_host_returns_the_outcome,
    previous_incarnation_has_unknown_outcome,
    handover_is_complete,
    handover_carries_current_clock,
    incomplete_handover_has_unknown_outcome,
    handover_after_entry_removal,
    closed_table_starts_no_work,
    expired_token_does_not_run,
    removed_entry_has_unknown_outcome,
    token_is_bound_to_one_request,
    all_hosts_bind_token_to_one_request,
    invalid_token_is_refused,
]


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_scenario(scenario: Scenario) -> None:
    """Guard against breaking the rule in the scenario's doc comment."""

    async def run() -> None:
        world = world_module.World()
        await scenario(world)
        assert world.violations(once=frozenset(("p",))) == []

    asyncio.run(run())
