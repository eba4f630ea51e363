"""Run an event loop on virtual time, and processes that pause and die."""

import asyncio
from collections.abc import Callable
import selectors
from typing import Any

from samphirelug.helpers import timer as timer_helper

# Covers the rounding between a process's clock and the loop's, so that no
# callback runs before its time on the process's own clock.
ROUNDING_S = 1e-6
# Far more callbacks than a run needs at one instant.
MAX_IDLE_ROUNDS = 100_000


class _Selector(selectors.SelectSelector):
    """Move virtual time where a real selector would wait."""

    now_s = 0.0
    rounds = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "the run waits for nothing"
        self.rounds = 0 if timeout > 0.0 else self.rounds + 1
        assert self.rounds < MAX_IDLE_ROUNDS, f"stuck at {self.now_s}"
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run callbacks in the order of virtual time only."""

    def __init__(self) -> None:
        self.virtual = _Selector()
        super().__init__(self.virtual)

    def time(self) -> float:
        return self.virtual.now_s


class Gate:
    """Let outside events reach a process only while it runs."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.paused = self.dead = False
        self.backlog: list[tuple[bool, Callable[[], None]]] = []

    def post(
        self, callback: Callable[[], None], *, timer: bool = False
    ) -> None:
        if self.paused and not self.dead:
            self.backlog.append((timer, callback))
        elif not self.dead:
            callback()

    def resume(self) -> None:
        """Run what has come due; an event loop reads its sockets first."""
        self.paused = False
        backlog, self.backlog = self.backlog, []
        for timer, callback in sorted(backlog, key=lambda item: item[0]):
            self.post(callback, timer=timer)


class _Subscription(timer_helper.Subscription):
    active = True

    def cancel(self) -> None:
        self.active = False


class ProcessTimer(timer_helper.TimerService):
    """Give a process a clock of its own rate and origin."""

    def __init__(self, gate: Gate, rate: float, origin_s: float) -> None:
        self.gate, self.rate, self.origin_s = gate, rate, origin_s

    def monotonic(self) -> float:
        return self.origin_s + self.gate.loop.time() * self.rate

    def subscribe(
        self, *, interval_s: float, callback: Callable[[], None]
    ) -> timer_helper.Subscription:
        subscription = _Subscription()

        def run() -> None:
            self._at(self.monotonic() + interval_s, run, subscription)
            callback()

        self._at(self.monotonic() + interval_s, run, subscription)
        return subscription

    def call_at(
        self, *, when_s: float, callback: Callable[[], None]
    ) -> timer_helper.Subscription:
        subscription = _Subscription()
        self._at(when_s, callback, subscription)
        return subscription

    async def sleep(self, delay_s: float) -> None:
        done = self.gate.loop.create_future()
        self.call_at(
            when_s=self.monotonic() + delay_s,
            callback=lambda: None if done.done() else done.set_result(None),
        )
        await done

    def _at(
        self,
        when_s: float,
        callback: Callable[[], None],
        subscription: _Subscription,
    ) -> None:
        def run() -> None:
            if subscription.active:
                callback()

        self.gate.loop.call_at(
            (when_s - self.origin_s) / self.rate + ROUNDING_S,
            lambda: self.gate.post(run, timer=True),
        )
