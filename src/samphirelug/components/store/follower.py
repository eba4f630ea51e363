"""List and watch the objects of a kind, across outages of the store."""

import asyncio
from collections.abc import Callable
import logging
import random

from returns.result import Failure
from returns.result import Result

from samphirelug.components.store import availability as store_availability
from samphirelug.components.store import feed as store_feed
from samphirelug.components.store import position
from samphirelug.components.store import view as store_view
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

_LOGGER = logging.getLogger(__name__)
# Shorter than the time for which the store keeps its history, so that the next
# watch can continue without a list.
WATCH_TIMEOUT_S = 15.0
# Timeout of the watches that check whether the store is available again.
PROBE_WATCH_TIMEOUT_S = 0.05
# Delays between calls while the store does not answer. They are short, since
# after an outage a host soon has to know which servers have left.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.3
# Pause after received changes, so that changes in quick succession arrive in
# one call. Otherwise, when 250 servers register, each host would make a call
# for each of them.
PAUSE_AFTER_CHANGE_S = 0.3

WatchResult = Result[store_feed.Changes | None, result_codes.Refusal]


class ObjectFollower:
    """Keep a consumer up to date: list the objects, then watch them.

    Lists again when the store cannot continue from the last revision.
    """

    def __init__(
        self,
        *,
        feed: store_feed.ObjectFeed,
        view: store_view.ObjectView,
        availability: store_availability.StoreAvailability,
        timer: timer_helper.TimerService,
        rng: random.Random,
        pause_after_change_s: float = PAUSE_AFTER_CHANGE_S,
        max_backoff_s: Callable[[], float] = lambda: MAX_BACKOFF_S,
        confirm_interval_s: Callable[[], float] = lambda: WATCH_TIMEOUT_S,
    ) -> None:
        self.kind = view.kind
        self.feed = feed
        self.view = view
        self.availability = availability
        self.timer = timer
        self.rng = rng
        self.pause_after_change_s = pause_after_change_s
        # Limit of the delay between calls that the store does not answer.
        self.max_backoff_s = max_backoff_s
        # Interval at which the store must confirm that nothing has changed.
        # A watch that waits longer does not show whether the store would
        # answer.
        self.confirm_interval_s = confirm_interval_s
        self.backoff_s = INITIAL_BACKOFF_S
        # Whether the last call got no answer. It may have been the answer to
        # this call alone that was lost, together with changes.
        self.failed = False

    @property
    def revision(self) -> int:
        """Return the revision of the view, 0 if it shows nothing."""
        return self.view.revision

    async def run(self) -> None:
        """List and watch until cancelled.

        A view that shows a revision already is only watched, as long as the
        store can continue from there.
        """
        needs_list = not self.revision
        while True:
            if needs_list and not await self._list():
                continue
            needs_list = True
            while await self._watch():
                pass

    async def _list(self) -> bool:
        sent_at_s = self.timer.monotonic()
        answer = await self.feed.list(self.kind)
        if isinstance(answer, Failure):
            await self._handle_failure(answer.failure().detail)
            return False
        self._handle_success()
        listing = answer.unwrap()
        known_revision = self.revision
        if not self.view.replace_all(
            listing, grace_s=self.availability.grace_remaining_s()
        ):
            _LOGGER.warning(
                "ignoring a list older than the known revision",
                extra={
                    "kind": self.kind,
                    **position.log_fields(listing.revision),
                    "known_era": position.era_of(known_revision),
                    "known_revision": position.revision_of(known_revision),
                },
            )
            await self._back_off()
            return False
        self.availability.record_confirmed(sent_at_s)
        return True

    async def _watch(self) -> bool:
        """Apply the next changes; return False if a new list is needed."""
        after = self.revision
        sent_at_s = self.timer.monotonic()
        timeout_s = self._watch_timeout_s(sent_at_s)
        answer = await self._watch_until_outage_ends(after, timeout_s)
        if answer is None:
            return True
        if isinstance(answer, Failure):
            await self._handle_failure(answer.failure().detail)
            return True
        self._handle_success()
        changes = answer.unwrap()
        if changes is not None and (
            position.era_of(changes.revision) < position.era_of(after)
        ):
            # It comes from before the store was replaced by an older copy.
            await self.timer.sleep(self.max_backoff_s())
            return True
        if (
            changes is None
            or changes.revision < after
            or not position.in_same_era(changes.revision, after)
        ):
            _LOGGER.info(
                "store cannot continue from the known revision, listing again",
                extra={
                    "kind": self.kind,
                    **position.log_fields(self.revision),
                },
            )
            return False
        self.view.apply(
            changes.events,
            after=after,
            revision=changes.revision,
            grace_s=self.availability.grace_remaining_s(),
        )
        if changes.events:
            self.availability.record_confirmed(sent_at_s)
            await self.timer.sleep(self.pause_after_change_s)
        else:
            # The store has waited for the whole timeout.
            self.availability.record_confirmed(
                min(sent_at_s + timeout_s, self.timer.monotonic())
            )
        return True

    def _watch_timeout_s(self, now: float) -> float:
        """Return how long the next watch waits.

        During an outage a long watch without changes would delay the
        discovery that the store is available again, and after a lost answer
        that the next one is lost too.
        """
        if self.failed or self.availability.lost_at_s is not None:
            return PROBE_WATCH_TIMEOUT_S
        interval_s = self.confirm_interval_s()
        due_at_s = self.availability.confirmed_at_s + interval_s
        return min(interval_s, max(PROBE_WATCH_TIMEOUT_S, due_at_s - now))

    async def _watch_until_outage_ends(
        self, after: int, timeout_s: float
    ) -> WatchResult | None:
        """Return the result of a watch, or None if an outage ended meanwhile.

        A store that is silent may never answer what it got meanwhile, however
        late the outage was noticed, so the watch is abandoned.
        """
        # The event of an outage that begins later, or of the current one.
        regained = self.availability.regained
        watch_task = asyncio.ensure_future(
            self.feed.watch(self.kind, after=after, timeout_s=timeout_s)
        )
        regained_task = asyncio.ensure_future(regained.wait())
        try:
            await asyncio.wait(
                (watch_task, regained_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
            return watch_task.result() if watch_task.done() else None
        finally:
            watch_task.cancel()
            regained_task.cancel()

    async def _handle_failure(self, detail: str) -> None:
        self.failed = True
        self.availability.record_failure(self, detail=detail)
        if self.availability.is_prober(self):
            await self._back_off()
        elif self.availability.lost_at_s is not None:
            await self.availability.regained.wait()

    async def _back_off(self) -> None:
        await self.timer.sleep(self.backoff_s * self.rng.uniform(0.5, 1.0))
        self.backoff_s = min(self.max_backoff_s(), 2 * self.backoff_s)

    def _handle_success(self) -> None:
        self.backoff_s = INITIAL_BACKOFF_S
        self.failed = False
        self.availability.record_success()
