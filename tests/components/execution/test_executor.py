"""Guard against false claims about work that may run only once."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from returns.result import Success

from samphirelug.components.admission.model import PermitEnd
from samphirelug.components.backend.model import FailureKind
from samphirelug.components.execution import const
from samphirelug.components.execution import model
from samphirelug.components.peers import model as peer_model
from samphirelug import result_codes
from samphirelug.result_codes import ResultCode
from tests.components.execution import world as world_module

BUSY = result_codes.Refusal(ResultCode.OVERLOADED, "busy", 1.0)
Play = Callable[[world_module.World], Awaitable[None]]


async def code(call: Awaitable[model.Outcome]) -> ResultCode:
    """Return the code of an outcome; OK for an answer."""
    outcome = await asyncio.wait_for(call, 1.0)
    if isinstance(outcome, Success):
        return ResultCode.OK
    return outcome.failure().code


async def dispatch(
    world: world_module.World, token: str | None, piece: str = "p"
) -> asyncio.Task[model.Outcome]:
    """Call at the first host until the server has the request."""
    call = world.call("eh1", piece, token)
    await world.settle()
    world.hosts["eh1"].admission.decide()
    await world.settle()
    return call


async def complete(
    world: world_module.World, token: str, piece: str = "p"
) -> None:
    """Run a piece of work to its answer."""
    call = await dispatch(world, token, piece)
    world.attempts[-1].reply(None)
    assert await code(call) is ResultCode.OK


async def at_other_host(
    world: world_module.World,
    token: str,
    piece: str = "p",
    *,
    lost: bool = False,
) -> ResultCode:
    """Call at a host that the token does not name."""
    call = world.call("eh2", piece, token)
    await world.settle()
    while world.messages:
        await world.messages.pop(0)(lost)
    world.clock.advance(const.OUTCOME_QUERY_TIMEOUT_S)
    return await code(call)


async def stop(world: world_module.World, *, delivered: int) -> None:
    """Stop the first host; only some of its messages arrive."""
    stopping = asyncio.create_task(world.hosts["eh1"].executor.hand_over())
    await world.settle()
    while world.messages:
        message = world.messages.pop(0)
        if delivered > 0:
            await message(False)
            delivered -= 1
        else:
            world.clock.advance(const.HANDOVER_TIMEOUT_S)
        await world.settle()
    await stopping
    world.start_host("eh1")


async def signed_home_region_counts(world: world_module.World) -> None:
    """A caller cannot avoid the shift cap by naming another home."""
    await complete(world, world.token())
    await dispatch(world, None)
    assert world.hosts["eh1"].admission.homes == ["tallinn", "parnu"]


async def unknown_is_not_hidden(world: world_module.World) -> None:
    """A later refusal may not turn "may have run" into "not run"."""
    call = await dispatch(world, None)
    world.attempts[0].run()
    world.attempts[0].reply(FailureKind.RESET)
    await world.settle()
    world.hosts["eh1"].admission.decide(BUSY)
    assert await code(call) is ResultCode.BACKEND_RESET


async def reset_is_not_repeated(world: world_module.World) -> None:
    """A filing that may have run is not sent again."""
    token = world.token()
    call = await dispatch(world, token)
    world.attempts[0].run()
    world.attempts[0].reply(FailureKind.RESET)
    assert await code(call) is ResultCode.BACKEND_RESET
    assert await code(world.call("eh1", "p", token)) is (
        ResultCode.BACKEND_RESET
    )
    host = world.hosts["eh1"]
    assert host.admission.ended == [PermitEnd.ORPHANED]
    assert host.health.failures == [FailureKind.RESET]
    assert not host.executor.is_unused(token)


async def not_sent_is_retried(world: world_module.World) -> None:
    """A filing that was not sent goes to another server."""
    call = await dispatch(world, world.token())
    world.attempts[0].reply(FailureKind.NOT_SENT)
    await world.settle()
    admission = world.hosts["eh1"].admission
    tried = world.attempts[0].request.server.name
    assert admission.excluded[1] == {tried}
    admission.decide()
    await world.settle()
    world.attempts[1].reply(None)
    assert await code(call) is ResultCode.OK
    assert admission.ended == [PermitEnd.COMPLETE] * 2


async def budget_bounds_retries(world: world_module.World) -> None:
    """A dead service gets few retries."""
    codes = []
    for _ in range(20):
        call = await dispatch(world, None)
        while not call.done():
            world.attempts[-1].reply(FailureKind.NOT_SENT)
            await world.settle()
            world.clock.advance(0.021)
            await world.settle()
            world.hosts["eh1"].admission.decide()
            await world.settle()
        codes.append(await code(call))
    assert codes[-1] is ResultCode.RETRY_BUDGET_EMPTY
    assert len(world.attempts) <= 20 + 20 * const.RETRY_RATIO + 4


async def refused_token_may_run_later(world: world_module.World) -> None:
    """A refusal that says not run leaves the token usable."""
    token = world.token()
    call = world.call("eh1", "p", token)
    await world.settle()
    assert not world.hosts["eh1"].executor.is_unused(token)
    world.hosts["eh1"].admission.decide(BUSY)
    assert await code(call) is ResultCode.OVERLOADED
    assert world.hosts["eh1"].executor.is_unused(token)
    await complete(world, token)


async def repeat_shares_the_run(world: world_module.World) -> None:
    """A repeat while the work runs gets its answer."""
    token = world.token()
    call = await dispatch(world, token)
    repeat = world.call("eh1", "p", token)
    impatient = world.call("eh1", "p", token, limit_s=0.1)
    await world.settle()
    world.clock.advance(0.1 + const.WAIT_MARGIN_S)
    assert await code(impatient) is ResultCode.ATTEMPT_RUNNING
    world.attempts[0].reply(None)
    assert await code(call) is await code(repeat) is ResultCode.OK
    assert len(world.attempts) == 1


async def work_outlives_its_caller(world: world_module.World) -> None:
    """A caller that leaves does not make a sent filing vanish."""
    token = world.token()
    call = await dispatch(world, token)
    call.cancel()
    await world.settle()
    assert len(world.hosts["eh1"].executor.runs) == 1
    world.attempts[0].reply(None)
    await world.hosts["eh1"].executor.wait_for_runs()
    assert await code(world.call("eh1", "p", token)) is ResultCode.OK


async def unsent_work_ends_with_its_caller(world: world_module.World) -> None:
    """A caller that leaves the queue frees its place and its token."""
    token = world.token()
    call = world.call("eh1", "p", token)
    await world.settle()
    call.cancel()
    await world.settle()
    assert not world.hosts["eh1"].executor.runs
    assert world.hosts["eh1"].admission.waiting[0].cancelled()
    await complete(world, token)


async def repeatable_work_is_cancelled(world: world_module.World) -> None:
    """A caller that leaves cancels repeatable work."""
    call = await dispatch(world, None)
    call.cancel()
    await world.settle()
    assert world.attempts[0].result.cancelled()
    assert world.hosts["eh1"].admission.ended == [PermitEnd.ORPHANED]
    # Not None, which stands for an answer, and a fast one.
    assert world.hosts["eh1"].health.failures == [FailureKind.CANCELLED]


async def loop_end_is_unknown(world: world_module.World) -> None:
    """A run that is cancelled after sending is not "not run"."""
    call = await dispatch(world, world.token())
    world.attempts[0].run()
    for run in world.hosts["eh1"].executor.runs.values():
        assert run.task is not None
        run.task.cancel()
    assert await code(call) is ResultCode.CALLER_GONE_RUNNING


async def fault_is_unknown(world: world_module.World) -> None:
    """An exception of the client leaves the outcome unknown."""
    token = world.token()
    call = await dispatch(world, token)
    world.attempts[0].run()
    world.attempts[0].result.set_exception(RuntimeError("fault"))
    assert await code(call) is ResultCode.ENTRY_HOST_LOST
    assert world.hosts["eh1"].admission.ended == [PermitEnd.ORPHANED]


async def query_revokes(world: world_module.World) -> None:
    """A token that was reported as not run never runs."""
    token = world.token()
    assert await at_other_host(world, token) is ResultCode.TOKEN_REVOKED
    late = world.call("eh1", "p", token)
    assert await code(late) is ResultCode.TOKEN_REVOKED
    assert world.attempts == []


async def lost_query_is_unknown(world: world_module.World) -> None:
    """A named host that cannot be asked leaves the outcome unknown."""
    token = world.token()
    lost = await at_other_host(world, token, lost=True)
    assert lost is ResultCode.ENTRY_HOST_LOST


async def other_host_tells_the_outcome(world: world_module.World) -> None:
    """A repeat at another host gets the first answer."""
    token = world.token()
    call = await dispatch(world, token)
    assert await at_other_host(world, token) is ResultCode.ATTEMPT_RUNNING
    world.attempts[0].reply(None)
    assert await code(call) is ResultCode.OK
    assert await at_other_host(world, token) is ResultCode.OK


async def dead_incarnation_is_unknown(world: world_module.World) -> None:
    """The next incarnation does not run the tokens of the dead one."""
    token = world.token()
    await dispatch(world, token)
    world.start_host("eh1")
    call = world.call("eh1", "p", token)
    assert await code(call) is ResultCode.ENTRY_HOST_LOST
    assert await at_other_host(world, token) is ResultCode.ENTRY_HOST_LOST


async def handover_is_complete(world: world_module.World) -> None:
    """After a planned stop peers know what ran and what did not."""
    used, running, unused = (world.token() for _ in range(3))
    await complete(world, used)
    await dispatch(world, running, "q")
    await stop(world, delivered=99)
    asked = [
        await at_other_host(world, used),
        await at_other_host(world, running, "q"),
        await at_other_host(world, unused, "r"),
    ]
    assert asked == [
        ResultCode.OK,
        ResultCode.ENTRY_HOST_LOST,
        ResultCode.TOKEN_REVOKED,
    ]


async def handover_carries_its_clock(world: world_module.World) -> None:
    """An old heartbeat makes a forgotten token look unused."""
    token = world.token()
    await complete(world, token)
    beat = world.hosts["eh1"].heartbeat()
    world.hosts["eh1"].heartbeat = lambda: beat  # type: ignore[method-assign]
    world.clock.advance(200.0)
    await stop(world, delivered=99)
    assert await at_other_host(world, token) is ResultCode.ENTRY_HOST_LOST
    mark = peer_model.OutcomeHandover("eh9-1", (), True, 9000)
    unused = world.token()
    content = (
        world.issuer.decode(unused).unwrap()._replace(incarnation="eh9-1")
    )
    book = world.hosts["eh2"].book
    for handover, code_then in (
        (mark, ResultCode.ENTRY_HOST_LOST),
        (mark._replace(clock_ms=1), ResultCode.TOKEN_REVOKED),
    ):
        assert book.accept_handover(handover)
        assert book.handed_over_record(content).code == code_then


async def handover_without_mark(world: world_module.World) -> None:
    """Without the closing mark an unlisted token may have run."""
    used, unused = world.token(), world.token()
    await complete(world, used)
    await stop(world, delivered=2)
    assert await at_other_host(world, used) is ResultCode.OK
    assert await at_other_host(world, unused) is ResultCode.ENTRY_HOST_LOST


async def handover_of_forgotten_token(world: world_module.World) -> None:
    """A token that ran and was forgotten is not in a complete set."""
    token = world.token()
    await complete(world, token)
    world.clock.advance(200.0)
    await stop(world, delivered=99)
    assert await at_other_host(world, token) is ResultCode.ENTRY_HOST_LOST


async def closed_book_starts_nothing(world: world_module.World) -> None:
    """A token that arrives after the hand-over does not run."""
    token = world.token()
    host = world.hosts["eh1"]
    stopping = asyncio.create_task(host.executor.hand_over())
    await world.settle()
    late = world.call("eh1", "p", token)
    assert await code(late) is ResultCode.STOPPING
    assert await code(world.ask("eh1", "p", token)) is (
        ResultCode.TOKEN_REVOKED
    )
    stopping.cancel()


async def expired_token_does_not_run(world: world_module.World) -> None:
    """An expired token is refused, and "unused" only while known."""
    token = world.token()
    world.clock.advance(121.0)
    call = world.call("eh1", "p", token)
    assert await code(call) is ResultCode.TOKEN_EXPIRED
    world.clock.advance(100.0)
    call = world.call("eh1", "p", token)
    assert await code(call) is ResultCode.TOKEN_EXPIRED_UNKNOWN


async def forgotten_token_is_unknown(world: world_module.World) -> None:
    """A token that ran is never reported as expired unused."""
    token = world.token()
    await complete(world, token)
    world.clock.advance(121.0)
    call = world.call("eh1", "p", token)
    assert await code(call) is ResultCode.OK
    world.clock.advance(100.0)
    call = world.call("eh1", "p", token)
    assert await code(call) is ResultCode.TOKEN_EXPIRED_UNKNOWN


async def token_stands_for_one_request(world: world_module.World) -> None:
    """A different request under a used token gets no foreign answer."""
    token = world.token()
    await complete(world, token)
    call = world.call("eh1", "other", token)
    assert await code(call) is ResultCode.TOKEN_INVALID


async def token_stands_for_one_request_everywhere(
    world: world_module.World,
) -> None:
    """Another host gives no foreign answer, also after a planned stop."""
    token = world.token()
    await complete(world, token)
    for _ in range(2):
        other = await at_other_host(world, token, "other")
        assert other is ResultCode.TOKEN_INVALID
        assert await at_other_host(world, token) is ResultCode.OK
        await stop(world, delivered=99)


async def forged_token_is_refused(world: world_module.World) -> None:
    """A token that was changed or is for other work does not run."""
    token = world.token()
    for bad in (token[:-2] + "xx", "", "a.b"):
        call = world.call("eh1", "p", bad)
        assert await code(call) is ResultCode.TOKEN_INVALID


PLAYS: list[Play] = [
    signed_home_region_counts,
    unknown_is_not_hidden,
    reset_is_not_repeated,
    not_sent_is_retried,
    budget_bounds_retries,
    refused_token_may_run_later,
    repeat_shares_the_run,
    work_outlives_its_caller,
    unsent_work_ends_with_its_caller,
    repeatable_work_is_cancelled,
    loop_end_is_unknown,
    fault_is_unknown,
    query_revokes,
    lost_query_is_unknown,
    other_host_tells_the_outcome,
    dead_incarnation_is_unknown,
    handover_is_complete,
    handover_carries_its_clock,
    handover_without_mark,
    handover_of_forgotten_token,
    closed_book_starts_nothing,
    expired_token_does_not_run,
    forgotten_token_is_unknown,
    token_stands_for_one_request,
    token_stands_for_one_request_everywhere,
    forged_token_is_refused,
]


@pytest.mark.parametrize("play", PLAYS)
def test_play(play: Play) -> None:
    """Guard against the failure that the play's doc comment names."""

    async def scenario() -> None:
        world = world_module.World()
        await play(world)
        assert world.violations(once=frozenset(("p",))) == []

    asyncio.run(scenario())
