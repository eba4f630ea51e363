"""Follow the objects of a kind through outages of the store."""

import abc
from collections.abc import Sequence
import logging
import random

from returns.result import Failure

from samphirelug.components.store import feed as store_feed
from samphirelug.components.store import model
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
WATCH_TIMEOUT_S = 25.0
# An entry that vanished while the store was away is back this long after
# its return, if its owner lives.
OUTAGE_GRACE_S = 2.0
# An absence that is shorter than this lets no entry lapse.
MIN_OUTAGE_S = 1.0
BACKOFF_FIRST_S = 0.1
# Half the shortest time in which a change has to be in force.
BACKOFF_MAX_S = 1.0
# Gathers changes that come in quick succession into one call.
PAUSE_AFTER_CHANGE_S = 0.05


class ObjectConsumer(abc.ABC):
    """Take over what is learned of the objects of a kind."""

    @abc.abstractmethod
    def replace_all(
        self, objects: Sequence[model.StoredObject], *, after_outage: bool
    ) -> None:
        """Take over a complete list."""

    @abc.abstractmethod
    def change(self, stored: model.StoredObject) -> None:
        """Take over a new or changed object."""

    @abc.abstractmethod
    def remove(self, name: str, *, after_outage: bool) -> None:
        """Note that an object is gone."""


class ObjectFollower:
    """List once, then watch; list again when history is gone."""

    def __init__(
        self,
        *,
        kind: store_feed.ObjectKind,
        feed: store_feed.ObjectFeed,
        consumer: ObjectConsumer,
        timer: timer_helper.TimerService,
        rng: random.Random,
    ) -> None:
        self.kind = kind
        self.feed = feed
        self.consumer = consumer
        self.timer = timer
        self.rng = rng
        self.revision = 0
        self.has_list = False
        self.failing_since_s: float | None = None
        self.outage_ended_at_s = float("-inf")
        self.backoff_s = BACKOFF_FIRST_S

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not await self._list():
                await self._back_off()
                continue
            while await self._watch():
                pass

    @property
    def after_outage(self) -> bool:
        """Return whether vanished entries may still come back."""
        since_s = self.timer.monotonic() - self.outage_ended_at_s
        return since_s < OUTAGE_GRACE_S

    async def _list(self) -> bool:
        answer = await self.feed.list(self.kind)
        if isinstance(answer, Failure):
            self._note_failure(answer.failure().detail)
            return False
        self._note_success()
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
            return False
        self.revision = listing.revision
        self.has_list = True
        self.consumer.replace_all(
            listing.objects, after_outage=self.after_outage
        )
        return True

    async def _watch(self) -> bool:
        """Take over the next changes; false means to list again."""
        answer = await self.feed.watch(
            self.kind, after=self.revision, timeout_s=WATCH_TIMEOUT_S
        )
        if isinstance(answer, Failure):
            self._note_failure(answer.failure().detail)
            await self._back_off()
            return True
        self._note_success()
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
                    event.name, after_outage=self.after_outage
                )
            else:
                self.consumer.change(event)
        if changes.events:
            await self.timer.sleep(PAUSE_AFTER_CHANGE_S)
        return True

    async def _back_off(self) -> None:
        await self.timer.sleep(self.backoff_s * self.rng.uniform(0.5, 1.0))
        self.backoff_s = min(BACKOFF_MAX_S, 2 * self.backoff_s)

    def _note_failure(self, detail: str) -> None:
        if self.failing_since_s is not None:
            return
        self.failing_since_s = self.timer.monotonic()
        _LOGGER.warning(
            "store lost",
            extra={
                "kind": self.kind,
                "revision": self.revision,
                "detail": detail,
            },
        )

    def _note_success(self) -> None:
        self.backoff_s = BACKOFF_FIRST_S
        if self.failing_since_s is None:
            return
        now = self.timer.monotonic()
        _LOGGER.info(
            "store regained",
            extra={
                "kind": self.kind,
                "revision": self.revision,
                "away_s": round(now - self.failing_since_s, 3),
            },
        )
        if now - self.failing_since_s >= MIN_OUTAGE_S:
            self.outage_ended_at_s = now
        self.failing_since_s = None
