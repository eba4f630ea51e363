"""Follow the objects of a kind through outages of the store."""

import abc
import asyncio
from collections.abc import Sequence
import logging
import random

from returns.result import Failure
from returns.result import Result

from samphirelug.components.store import availability as store_availability
from samphirelug.components.store import feed as store_feed
from samphirelug.components.store import model
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

_LOGGER = logging.getLogger(__name__)
WATCH_TIMEOUT_S = 25.0
# Wait of the watch that finds out whether the store is back.
PROBE_WATCH_S = 0.05
# The store is back in use well within the time in which a host that was cut
# off from it has to know again which servers have left.
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 0.3
# Gathers changes that come in quick succession into one call. With 250
# servers that register, each host would otherwise call for each of them.
PAUSE_AFTER_CHANGE_S = 0.4

WatchResult = Result[store_feed.Changes | None, result_codes.Refusal]


class ObjectConsumer(abc.ABC):
    """Take over what is learned of the objects of a kind.

    Objects that vanish with a grace above 0 may still come back, since the
    store was away.
    """

    @abc.abstractmethod
    def replace_all(
        self, objects: Sequence[model.StoredObject], *, grace_s: float
    ) -> None:
        """Take over a complete list."""

    @abc.abstractmethod
    def upsert(self, stored: model.StoredObject) -> None:
        """Take over a new or changed object."""

    @abc.abstractmethod
    def remove(self, name: str, *, grace_s: float) -> None:
        """Note that an object is gone."""


class ObjectFollower:
    """List once, then watch; list again when history is gone."""

    def __init__(
        self,
        *,
        kind: store_feed.ObjectKind,
        feed: store_feed.ObjectFeed,
        consumer: ObjectConsumer,
        availability: store_availability.StoreAvailability,
        timer: timer_helper.TimerService,
        rng: random.Random,
        pause_s: float = PAUSE_AFTER_CHANGE_S,
    ) -> None:
        self.kind = kind
        self.feed = feed
        self.consumer = consumer
        self.availability = availability
        self.timer = timer
        self.rng = rng
        self.pause_s = pause_s
        self.revision = 0
        self.backoff_s = BACKOFF_FIRST_S

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not await self._list():
                continue
            while await self._watch():
                pass

    async def _list(self) -> bool:
        answer = await self.feed.list(self.kind)
        if isinstance(answer, Failure):
            await self._fail(answer.failure().detail)
            return False
        self._succeed()
        listing = answer.unwrap()
        if listing.revision < self.revision:
            _LOGGER.warning(
                "ignored an older list",
                extra={
                    "kind": self.kind,
                    "revision": listing.revision,
                    "known_revision": self.revision,
                },
            )
            await self._back_off()
            return False
        self.revision = listing.revision
        self.consumer.replace_all(
            listing.objects, grace_s=self.availability.grace_s()
        )
        return True

    async def _watch(self) -> bool:
        """Take over the next changes; false means to list again."""
        answer = await self._watch_through_outages()
        if answer is None:
            return True
        if isinstance(answer, Failure):
            await self._fail(answer.failure().detail)
            return True
        self._succeed()
        changes = answer.unwrap()
        if changes is None or changes.revision < self.revision:
            _LOGGER.info(
                "the store's history is gone, listing again",
                extra={"kind": self.kind, "revision": self.revision},
            )
            return False
        self.revision = changes.revision
        for event in changes.events:
            if isinstance(event, store_feed.Removal):
                self.consumer.remove(
                    event.name, grace_s=self.availability.grace_s()
                )
            else:
                self.consumer.upsert(event)
        if changes.events:
            await self.timer.sleep(self.pause_s)
        return True

    async def _watch_through_outages(self) -> WatchResult | None:
        """Return the watch's result, None if an outage has ended.

        A connection that outlived an outage may be silent for good.
        """
        outages = self.availability.outages
        # A long watch at a store that is back would not show that it is.
        away = self.availability.lost_at_s is not None
        watching = asyncio.ensure_future(
            self.feed.watch(
                self.kind,
                after=self.revision,
                timeout_s=PROBE_WATCH_S if away else WATCH_TIMEOUT_S,
            )
        )
        try:
            while not watching.done():
                regained = asyncio.ensure_future(
                    self.availability.regained.wait()
                )
                try:
                    await asyncio.wait(
                        (watching, regained),
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                finally:
                    regained.cancel()
                if self.availability.outages != outages:
                    break
            return watching.result() if watching.done() else None
        finally:
            watching.cancel()

    async def _fail(self, detail: str) -> None:
        self.availability.note_failure(self, detail=detail)
        if self.availability.is_prober(self):
            await self._back_off()
        elif self.availability.lost_at_s is not None:
            await self.availability.regained.wait()

    async def _back_off(self) -> None:
        await self.timer.sleep(self.backoff_s * self.rng.uniform(0.5, 1.0))
        self.backoff_s = min(BACKOFF_MAX_S, 2 * self.backoff_s)

    def _succeed(self) -> None:
        self.backoff_s = BACKOFF_FIRST_S
        self.availability.note_success()
