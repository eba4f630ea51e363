"""Register this entry host in the store and find the other entry hosts."""

import logging

from returns.result import Failure

from samphirelug.components.fleet import const
from samphirelug.components.fleet import host_entries
from samphirelug.components.fleet import io_datagrams
from samphirelug.components.store import feed as store_feed
from samphirelug.components.store import position
from samphirelug.components.store import view as store_view
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
# Delay between attempts to register and to find the other hosts; it doubles
# up to the interval between checks.
RETRY_DELAY_S = 0.25
# Delay before a host looks for the others when the whole system starts for
# the first time: they register within it.
FIRST_START_DELAY_S = 2.5


class Enrolment:
    """Keep this host's entry in the store, and find hosts to follow."""

    def __init__(
        self,
        *,
        feed: store_feed.ObjectFeed,
        protocol: io_datagrams.NoticeProtocol,
        view: store_view.ObjectView,
        timer: timer_helper.TimerService,
        first_start: bool,
    ) -> None:
        self.feed = feed
        self.protocol = protocol
        self.roster = protocol.roster
        # The entries of all hosts.
        self.view = view
        self.timer = timer
        self.first_start = first_start
        # Position of the last write of this host's entry; 0 before it is
        # registered.
        self.entry_position = 0
        self.entry_exists = False
        # Whether this host has removed its entry, since it stops.
        self.deregistered = False
        # Whether other hosts are known, or that there are none.
        self.searched = False

    async def run(self) -> None:
        """Register, find the other hosts and announce the start."""
        if self.first_start and not self.searched:
            await self._register()
            await self.timer.sleep(FIRST_START_DELAY_S)
        announced = False
        delay_s = RETRY_DELAY_S
        while True:
            # The entries may be outdated: they serve to find hosts to follow,
            # and the current ones come from these.
            self.searched = self.searched or await self._search()
            if not self.entry_position or self._is_entry_missing():
                await self._register()
            if (
                not announced
                and self.entry_position
                and self.roster.listed
                and self.roster.is_ready()
            ):
                announced = True
                self.protocol.announce_start()
            await self.timer.sleep(delay_s)
            delay_s = min(const.CHECK_INTERVAL_S, 2 * delay_s)

    async def deregister(self) -> None:
        """Remove this host's entry for good; try until the store answers."""
        self.deregistered = True
        while isinstance(
            await self.feed.delete(
                store_feed.ObjectKind.ENTRY_HOSTS, self.roster.own.name
            ),
            Failure,
        ):
            await self.timer.sleep(RETRY_DELAY_S)

    async def remove_stopped_hosts(self) -> None:
        """Remove the entries of hosts that stopped and left them behind.

        One that was only out of touch registers again when it is back.
        """
        for host in self.roster.stopped(now=self.timer.monotonic()):
            stored = self.view.objects.get(host.name)
            if (
                stored is None
                or host_entries.incarnation(stored) != host.incarnation
            ):
                continue
            removed = await self.feed.delete(
                store_feed.ObjectKind.ENTRY_HOSTS,
                host.name,
                revision=position.combine(
                    era=position.era_of(self.view.revision),
                    revision=stored.revision,
                ),
            )
            _LOGGER.info(
                "removing the entry of a stopped host",
                extra={
                    "host": host.name,
                    "revision": stored.revision,
                    "answered": not isinstance(removed, Failure),
                },
            )

    def _is_entry_missing(self) -> bool:
        """Return whether the store no longer holds what this host wrote.

        It may have come back from a copy that has no entry of the host, or
        one of an earlier start.
        """
        own = self.roster.own
        stored = self.view.objects.get(own.name)
        return self.view.revision > self.entry_position and (
            stored is None
            or host_entries.incarnation(stored) != own.incarnation
        )

    async def _register(self) -> None:
        if self.deregistered:
            return
        own = self.roster.own
        written = await self.feed.put(
            store_feed.ObjectKind.ENTRY_HOSTS,
            own.name,
            host_entries.encode(own),
            probably_exists=self.entry_exists,
        )
        if not isinstance(written, Failure):
            self.entry_position = written.unwrap()
            self.entry_exists = True

    async def _search(self) -> bool:
        answer = await self.feed.list(
            store_feed.ObjectKind.ENTRY_HOSTS, allow_stale=True
        )
        if isinstance(answer, Failure):
            return False
        hosts = host_entries.decode_all(answer.unwrap().objects)
        self.entry_exists = any(
            host.name == self.roster.own.name for host in hosts
        )
        self.roster.add_known(hosts, now=self.timer.monotonic())
        self.protocol.check_hosts()
        return True
