"""Guard against work that runs twice and false reports of "not run"."""

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
ADVANCES_S = (0.3, 1.5, 6.0, 70.0, 130.0)

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
                *(
                    "advance",
                    "cancel",
                    "ask",
                    "crash",
                    "stop",
                    "cancel_runs",
                ),
                *("call_other", "call_other", "stop"),
            )
        ),
        NUMBER,
        NUMBER,
    ),
    min_size=20,
    max_size=50,
)


class Schedule:
    """Apply one list of actions to a simulated world."""

    def __init__(self) -> None:
        self.world = world_module.World(names=NAMES)
        # Both tokens are for eh1, so that its crashes and stops affect them.
        self.tokens = {piece: self.world.token() for piece in PIECES}
        self.repeatable_count = 0
        self.background: set[asyncio.Task[Any]] = set()
        self.all_hosts: list[world_module.Host] = list(
            self.world.hosts.values()
        )

    async def apply(self, action: str, first: int, second: int) -> None:
        """Apply one action and run the tasks until they wait again."""
        world = self.world
        name = NAMES[first % 3]
        token_host = world.hosts["eh1"]
        # The latest attempt is drawn most often.
        latest = world.attempts[-1 - min(first, second) % 3 :][:1]
        piece = PIECES[second // 6]
        if action in ("dispatch", "repeatable"):
            repeatable = action == "repeatable"
            self.call("eh1", piece, first, repeatable=repeatable)
            await world.run_ready_tasks()
            token_host.admission.decide()
        elif action == "call":
            self.call(name, piece, first, repeatable=False)
        elif action == "admit":
            token_host.admission.decide()
        elif action == "refuse":
            token_host.admission.decide(BUSY)
        elif action == "reply" and latest:
            latest[0].reply(REPLIES[second % len(REPLIES)])
        elif action == "run" and latest:
            latest[0].run()
        elif action == "advance":
            world.clock.advance(ADVANCES_S[first % len(ADVANCES_S)])
        elif action == "cancel" and world.tasks:
            world.tasks[-1 - first % len(world.tasks)].cancel()
        elif action == "cancel_runs":
            for run in token_host.executor.runs.values():
                assert run.task is not None
                run.task.cancel()
        elif action in ("deliver", "lose") and world.messages:
            message = world.messages.pop(first % len(world.messages))
            self.spawn(message(action == "lose"))
        elif action == "ask":
            world.query_outcome(name, piece, self.tokens[piece])
        elif action == "crash":
            world.start_host("eh1")
            self.all_hosts.append(world.hosts["eh1"])
        elif action == "stop":
            self.spawn(token_host.executor.hand_over())
            await self.deliver(first)
        elif action == "call_other":
            self.call(NAMES[1 + first % 2], piece, 1, repeatable=False)
            await self.deliver(1)
        await world.run_ready_tasks()

    def call(
        self, name: str, piece: str, choice: int, *, repeatable: bool
    ) -> None:
        """Send a request to a host with a deadline chosen by a number."""
        timeout_s = (5.0, 30.0, 0.4)[choice % 3]
        if repeatable:
            self.repeatable_count += 1
            piece = f"repeatable{self.repeatable_count}"
            self.world.call(name, piece, None, timeout_s=timeout_s)
            return
        token = self.tokens[piece]
        self.world.call(name, piece, token, timeout_s=timeout_s)

    async def deliver(self, count: int) -> None:
        """Deliver the latest messages and leave the others in transit."""
        for _ in range(count):
            await self.world.run_ready_tasks()
            if self.world.messages:
                await self.world.messages.pop()(False)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Start a background task beside the schedule."""
        task = asyncio.create_task(coroutine)
        self.background.add(task)

    async def drain(self) -> None:
        """Refuse all requests that await admission; deliver all messages."""
        pending = True
        while pending:
            await self.world.run_ready_tasks()
            pending = bool(self.world.messages)
            for host in self.all_hosts:
                pending |= any(
                    not decision.done() for decision in host.admission.pending
                )
                host.admission.decide(BUSY)
            while self.world.messages:
                await self.world.messages.pop(0)(False)

    async def finish(self) -> None:
        """End all attempts, repeat the requests on every host and check."""
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
        for host in self.all_hosts:
            assert not host.admission.held, "a permit was not finished"
            assert host.health.outstanding == 0
            assert not host.executor.runs, "a run has not ended"
        for task in (*world.tasks, *self.background):
            if not task.cancelled():
                task.result()


# With derandomize, the examples follow from the source text of the test, so
# that even a new name or doc comment in it selects other examples.
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
