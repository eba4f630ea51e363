"""Register this entry host in the store and read the other entry hosts."""

import logging

import pydantic
from returns.result import Failure

from samphirelug.components.fleet import const
from samphirelug.components.fleet import io_datagrams
from samphirelug.components.fleet import model
from samphirelug.components.store import feed as store_feed
from samphirelug.components.store import model as store_model
from samphirelug.helpers import addresses
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
_HOST_ADAPTER = pydantic.TypeAdapter(model.HostInstance)
# Interval between attempts to register and to read the first list.
RETRY_INTERVAL_S = 1.0


class Enrolment:
    """Keep the roster and the store's list of entry hosts up to date."""

    def __init__(
        self,
        *,
        feed: store_feed.ObjectFeed,
        protocol: io_datagrams.NoticeProtocol,
        timer: timer_helper.TimerService,
    ) -> None:
        self.feed = feed
        self.protocol = protocol
        self.roster = protocol.roster
        self.timer = timer

    async def run(self) -> None:
        """Register and refresh the roster until cancelled.

        The roster is also refreshed while the registration fails, since this
        host must know how many others there are. The start is announced once
        it is registered, knows the addresses of the others and can serve.
        """
        registered = announced = False
        while True:
            registered = registered or await self._register()
            # The first list must not be stale: it may lack hosts that have
            # just started too, and this host's shares would be too large.
            listed = await self._refresh_roster(allow_stale=announced)
            if (
                registered
                and listed
                and not announced
                and self.roster.is_ready()
            ):
                announced = True
                self.protocol.announce_start()
            await self.timer.sleep(
                const.LIST_INTERVAL_S if announced else RETRY_INTERVAL_S
            )

    async def deregister(self) -> None:
        """Remove this host from the store's list."""
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

    async def _refresh_roster(self, *, allow_stale: bool) -> bool:
        answer = await self.feed.list(
            store_feed.ObjectKind.ENTRY_HOSTS, allow_stale=allow_stale
        )
        if isinstance(answer, Failure):
            return False
        hosts = [_decode(stored) for stored in answer.unwrap().objects]
        self.roster.update_from_list(
            [host for host in hosts if host is not None],
            now=self.timer.monotonic(),
        )
        return True


def _decode(stored: store_model.StoredObject) -> model.HostInstance | None:
    try:
        host = _HOST_ADAPTER.validate_python(stored.value)
        if host.name != stored.key:
            raise ValueError("the name differs from that of the object")
        for address in (host.caller_address, host.peer_address):
            addresses.split(address)
        return host
    except ValueError as error:
        _LOGGER.warning(
            "ignoring malformed entry host object from the store",
            extra={"object": stored.key, "detail": str(error)[:200]},
        )
        return None
