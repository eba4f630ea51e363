"""Provide a clock, delays and scheduled callbacks."""

import abc
import asyncio
from collections.abc import Callable
import heapq
import itertools
import time


class Subscription(abc.ABC):
    """Represent a scheduled callback that can be cancelled."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Stop the callback; a second call has no effect."""


class TimerService(abc.ABC):
    """Provide the time and schedule callbacks."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds on a clock that also counts suspended time."""

    @abc.abstractmethod
    def subscribe(
        self, *, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call back every interval_s seconds until cancelled."""

    @abc.abstractmethod
    def call_at(
        self, *, when_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call back once when monotonic() has reached when_s."""

    @abc.abstractmethod
    async def sleep(self, delay_s: float) -> None:
        """Return after delay_s seconds."""


class LoopSubscription(Subscription):
    """Represent a callback that is scheduled on the event loop."""

    def __init__(
        self, *, callback: Callable[[], None], interval_s: float | None
    ) -> None:
        self.callback = callback
        self.interval_s = interval_s
        self.handle: asyncio.TimerHandle | None = None

    def run(self) -> None:
        """Schedule the next call if periodic, then call back."""
        if self.interval_s is not None:
            loop = asyncio.get_running_loop()
            self.handle = loop.call_later(self.interval_s, self.run)
        self.callback()

    def cancel(self) -> None:
        """Stop the callback; a second call has no effect."""
        self.interval_s = None
        if self.handle is not None:
            self.handle.cancel()


class LoopTimerService(TimerService):
    """Provide the system clock and callbacks on the running event loop."""

    def monotonic(self) -> float:
        """Return seconds on a clock that also counts suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def subscribe(
        self, *, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call back every interval_s seconds until cancelled."""
        subscription = LoopSubscription(
            callback=callback, interval_s=interval_s
        )
        loop = asyncio.get_running_loop()
        subscription.handle = loop.call_later(interval_s, subscription.run)
        return subscription

    def call_at(
        self, *, when_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call back once when monotonic() has reached when_s."""
        subscription = LoopSubscription(callback=callback, interval_s=None)
        loop = asyncio.get_running_loop()
        delay_s = max(0.0, when_s - self.monotonic())
        subscription.handle = loop.call_later(delay_s, subscription.run)
        return subscription

    async def sleep(self, delay_s: float) -> None:
        """Return after delay_s seconds."""
        await asyncio.sleep(delay_s)


class ManualSubscription(Subscription):
    """Represent a callback that is scheduled on a manual clock."""

    def __init__(self) -> None:
        self.active = True

    def cancel(self) -> None:
        """Stop the callback; a second call has no effect."""
        self.active = False


class ManualTimerService(TimerService):
    """Provide a clock that only advance() moves, for reproducible runs."""

    def __init__(self, *, start_s: float = 0.0) -> None:
        self.now_s = start_s
        # Numbers that order callbacks that are due at the same time.
        self.sequence = itertools.count()
        self.pending: list[
            tuple[float, int, Callable[[], None], ManualSubscription]
        ] = []

    def monotonic(self) -> float:
        """Return the current time of the manual clock."""
        return self.now_s

    def subscribe(
        self, *, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call back every interval_s seconds until cancelled."""
        subscription = ManualSubscription()

        def run() -> None:
            if not subscription.active:
                return
            self._push(self.now_s + interval_s, run, subscription)
            callback()

        self._push(self.now_s + interval_s, run, subscription)
        return subscription

    def call_at(
        self, *, when_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Call back once when the clock has reached when_s."""
        subscription = ManualSubscription()
        self._push(when_s, callback, subscription)
        return subscription

    async def sleep(self, delay_s: float) -> None:
        """Return when advance() has moved the clock by delay_s."""
        done = asyncio.get_running_loop().create_future()
        self.call_at(
            when_s=self.now_s + delay_s,
            callback=lambda: None if done.done() else done.set_result(None),
        )
        await done

    def advance(self, delta_s: float) -> None:
        """Advance the clock and run the callbacks that are due, in order."""
        end_s = self.now_s + delta_s
        while self.pending and self.pending[0][0] <= end_s:
            when_s, _, callback, subscription = heapq.heappop(self.pending)
            self.now_s = max(self.now_s, when_s)
            if subscription.active:
                callback()
        self.now_s = end_s

    def _push(
        self,
        when_s: float,
        callback: Callable[[], None],
        subscription: ManualSubscription,
    ) -> None:
        heapq.heappush(
            self.pending, (when_s, next(self.sequence), callback, subscription)
        )
