"""Provide an event loop on virtual time and simulate processes on it."""

import asyncio
from collections.abc import Callable
import selectors
from typing import Any

from samphirelug.helpers import timer as timer_helper

# Added to the loop time of a callback. Without it, the rounding between a
# process's clock and the loop's clock could run a callback before its time on
# the process's clock.
ROUNDING_MARGIN_S = 1e-6
# Iterations of the event loop at one instant of virtual time, far more than a
# run needs. More of them mean that virtual time no longer advances.
MAX_ITERATIONS = 100_000


class _VirtualSelector(selectors.SelectSelector):
    """Advance virtual time where a real selector would wait."""

    now_s = 0.0
    iterations = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "deadlock: no callback is scheduled"
        self.iterations = 0 if timeout > 0.0 else self.iterations + 1
        assert self.iterations < MAX_ITERATIONS, (
            f"virtual time does not advance beyond {self.now_s} s"
        )
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run callbacks in the order of virtual time, without real waiting."""

    def __init__(self) -> None:
        self.virtual_selector = _VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        return self.virtual_selector.now_s


class Gate:
    """Deliver events to a simulated process only while it runs.

    Events of a paused process are queued, those of a dead one dropped.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.paused = self.dead = False
        self.backlog: list[tuple[bool, Callable[[], None]]] = []

    def post(
        self, callback: Callable[[], None], *, timer: bool = False
    ) -> None:
        """Run the callback of an event, or queue or drop it."""
        if self.paused and not self.dead:
            self.backlog.append((timer, callback))
        elif not self.dead:
            callback()

    def resume(self) -> None:
        """Run the queued callbacks, I/O before timers as event loops do."""
        self.paused = False
        backlog, self.backlog = self.backlog, []
        for timer, callback in sorted(backlog, key=lambda item: item[0]):
            self.post(callback, timer=timer)


class _Subscription(timer_helper.Subscription):
    active = True

    def cancel(self) -> None:
        self.active = False


class ProcessTimer(timer_helper.TimerService):
    """Provide a process with timers on a clock of its own rate and origin."""

    def __init__(self, gate: Gate, rate: float, origin_s: float) -> None:
        self.gate, self.rate, self.origin_s = gate, rate, origin_s

    def monotonic(self) -> float:
        return self.origin_s + self.gate.loop.time() * self.rate

    def subscribe(
        self, *, interval_s: float, callback: Callable[[], None]
    ) -> timer_helper.Subscription:
        subscription = _Subscription()

        def run() -> None:
            self._schedule(self.monotonic() + interval_s, run, subscription)
            callback()

        self._schedule(self.monotonic() + interval_s, run, subscription)
        return subscription

    def call_at(
        self, *, when_s: float, callback: Callable[[], None]
    ) -> timer_helper.Subscription:
        subscription = _Subscription()
        self._schedule(when_s, callback, subscription)
        return subscription

    async def sleep(self, delay_s: float) -> None:
        future = self.gate.loop.create_future()
        self.call_at(
            when_s=self.monotonic() + delay_s,
            callback=lambda: (
                None if future.done() else future.set_result(None)
            ),
        )
        await future

    def _schedule(
        self,
        when_s: float,
        callback: Callable[[], None],
        subscription: _Subscription,
    ) -> None:
        def run() -> None:
            if subscription.active:
                callback()

        self.gate.loop.call_at(
            (when_s - self.origin_s) / self.rate + ROUNDING_MARGIN_S,
            lambda: self.gate.post(run, timer=True),
        )
