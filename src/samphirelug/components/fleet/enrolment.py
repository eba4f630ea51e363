"""Register this entry host in the store, and list the others."""

import logging

import pydantic
from returns.result import Failure

from samphirelug.components.fleet import const
from samphirelug.components.fleet import io_datagrams
from samphirelug.components.fleet import model
from samphirelug.components.store import feed as store_feed
from samphirelug.components.store import model as store_model
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
_HOST = pydantic.TypeAdapter(model.HostInstance)
RETRY_INTERVAL_S = 1.0


class Enrolment:
    """Keep the roster in step with the store's list of entry hosts."""

    def __init__(
        self,
        *,
        feed: store_feed.ObjectFeed,
        exchange: io_datagrams.NoticeExchange,
        timer: timer_helper.TimerService,
    ) -> None:
        self.feed = feed
        self.exchange = exchange
        self.roster = exchange.roster
        self.timer = timer

    async def run(self) -> None:
        """Register once, then list until cancelled."""
        while not await self._register():
            await self.timer.sleep(RETRY_INTERVAL_S)
        announced = False
        while True:
            if await self._list() and not announced:
                announced = True
                self.exchange.announce()
            await self.timer.sleep(const.LIST_INTERVAL_S)

    async def withdraw(self) -> None:
        """Remove the own entry."""
        await self.feed.delete(
            store_feed.ObjectKind.ENTRY_HOSTS, self.roster.own.name
        )

    async def _register(self) -> bool:
        own = self.roster.own
        written = await self.feed.put(
            store_feed.ObjectKind.ENTRY_HOSTS,
            own.name,
            {**own._asdict(), "zone": own.zone._asdict()},
        )
        return not isinstance(written, Failure)

    async def _list(self) -> bool:
        answer = await self.feed.list(
            store_feed.ObjectKind.ENTRY_HOSTS, allow_stale=True
        )
        if isinstance(answer, Failure):
            return False
        hosts = [_decode(stored) for stored in answer.unwrap().objects]
        self.roster.take_list(
            [host for host in hosts if host is not None],
            now=self.timer.monotonic(),
        )
        return True


def _decode(stored: store_model.StoredObject) -> model.HostInstance | None:
    try:
        return _HOST.validate_python(stored.value)
    except pydantic.ValidationError as error:
        _LOGGER.warning(
            "entry host object is malformed",
            extra={"object": stored.key, "detail": str(error)[:200]},
        )
        return None
