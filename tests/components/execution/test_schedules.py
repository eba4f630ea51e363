"""Guard against work that runs twice and against false "not run"."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from samphirelug.components.backend.model import FailureKind
from samphirelug import result_codes
from tests.components.execution import world as world_module

NAMES = ("eh1", "eh2", "eh3")
PIECES = ("p0", "p1")
BUSY = result_codes.Refusal(result_codes.ResultCode.OVERLOADED, "busy", 1.0)
REPLIES = (None, *FailureKind)
STEPS_S = (0.3, 1.5, 6.0, 70.0, 130.0)

NUMBER = strategies.integers(0, 7)
# Names that appear more than once are drawn more often.
ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            (
                *("dispatch", "dispatch", "repeatable"),
                *("reply", "reply", "reply", "run"),
                *("call", "call", "admit", "admit", "refuse"),
                *("deliver", "deliver", "deliver", "lose"),
                *("advance", "cancel", "ask", "crash", "stop", "abort"),
                *("elsewhere", "elsewhere", "stop"),
            )
        ),
        NUMBER,
        NUMBER,
    ),
    min_size=20,
    max_size=50,
)


class Schedule:
    """Apply one list of actions to a world."""

    def __init__(self) -> None:
        self.world = world_module.World(names=NAMES)
        # Both pieces name eh1, so that its crash and stop matter.
        self.tokens = {piece: self.world.token() for piece in PIECES}
        self.calls = 0
        self.background: set[asyncio.Task[Any]] = set()
        self.started: list[world_module.Host] = list(self.world.hosts.values())

    async def apply(self, action: str, first: int, second: int) -> None:
        """Apply one action and let the tasks go on."""
        world = self.world
        name = NAMES[first % 3]
        named = world.hosts["eh1"]
        # The latest attempt is drawn most often.
        attempt = world.attempts[-1 - min(first, second) % 3 :][:1]
        piece = PIECES[second // 6]
        if action in ("dispatch", "repeatable"):
            repeatable = action == "repeatable"
            self.call("eh1", piece, first, repeatable=repeatable)
            await world.settle()
            named.admission.decide()
        elif action == "call":
            self.call(name, piece, first, repeatable=False)
        elif action == "admit":
            named.admission.decide()
        elif action == "refuse":
            named.admission.decide(BUSY)
        elif action == "reply" and attempt:
            attempt[0].reply(REPLIES[second % len(REPLIES)])
        elif action == "run" and attempt:
            attempt[0].run()
        elif action == "advance":
            world.clock.advance(STEPS_S[first % len(STEPS_S)])
        elif action == "cancel" and world.tasks:
            world.tasks[-1 - first % len(world.tasks)].cancel()
        elif action == "abort":
            for run in named.executor.runs.values():
                assert run.task is not None
                run.task.cancel()
        elif action in ("deliver", "lose") and world.messages:
            message = world.messages.pop(first % len(world.messages))
            self.spawn(message(action == "lose"))
        elif action == "ask":
            world.ask(name, piece, self.tokens[piece])
        elif action == "crash":
            world.start_host("eh1")
            self.started.append(world.hosts["eh1"])
        elif action == "stop":
            self.spawn(named.executor.hand_over())
            await self.deliver(first)
        elif action == "elsewhere":
            self.call(NAMES[1 + first % 2], piece, 1, repeatable=False)
            await self.deliver(1)
        await world.settle()

    def call(
        self, name: str, piece: str, number: int, *, repeatable: bool
    ) -> None:
        """Call a host with a deadline that the number chooses."""
        limit_s = (5.0, 30.0, 0.4)[number % 3]
        if repeatable:
            self.calls += 1
            name_of_call = f"repeatable{self.calls}"
            self.world.call(name, name_of_call, None, limit_s=limit_s)
            return
        token = self.tokens[piece]
        self.world.call(name, piece, token, limit_s=limit_s)

    async def deliver(self, count: int) -> None:
        """Deliver the latest messages; the others stay under way."""
        for _ in range(count):
            await self.world.settle()
            if self.world.messages:
                await self.world.messages.pop()(False)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run something beside the schedule."""
        task = asyncio.create_task(work)
        self.background.add(task)

    async def drain(self) -> None:
        """Refuse what waits for admission and deliver all messages."""
        waiting = True
        while waiting:
            await self.world.settle()
            waiting = bool(self.world.messages)
            for host in self.started:
                waiting |= any(
                    not one.done() for one in host.admission.waiting
                )
                host.admission.decide(BUSY)
            while self.world.messages:
                await self.world.messages.pop(0)(False)

    async def finish(self) -> None:
        """Let all attempts end and ask every host again."""
        world = self.world
        await self.drain()
        for attempt in world.attempts:
            attempt.run()
        world.clock.advance(31.0)
        await self.drain()
        for name in NAMES:
            for piece in PIECES:
                world.call(name, piece, self.tokens[piece])
                await self.drain()
        world.clock.advance(31.0)
        await self.drain()
        for host in self.started:
            assert not host.admission.held, "a permit was not finished"
            assert host.health.outstanding == 0
            assert not host.executor.runs, "a run has no end"
        for task in (*world.tasks, *self.background):
            if not task.cancelled():
                task.result()


@settings(max_examples=300, deadline=None, derandomize=True)
@given(ACTIONS)
def test_at_most_once(actions: list[tuple[str, int, int]]) -> None:
    """Guard against double runs by any order of calls and faults."""

    async def scenario() -> list[str]:
        schedule = Schedule()
        for action, first, second in actions:
            await schedule.apply(action, first, second)
        await schedule.finish()
        return schedule.world.violations(once=frozenset(PIECES))

    assert asyncio.run(scenario()) == []
