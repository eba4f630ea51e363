"""Follow the platform's list of live and leaving hosts."""

from collections.abc import Callable
import logging
import random
from typing import Literal
from typing import NamedTuple
from typing import NotRequired

import pydantic
from returns.result import Failure
from returns.result import Success
from typing_extensions import TypedDict

from samphirelug.components.peers import const
from samphirelug.components.store import model as store_model
from samphirelug.components.store import object_store
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

_LOG = logging.getLogger(__name__)
_PREFIX = "hosts/"


class ListedHost(TypedDict):
    """Describe one host as the platform's list has it."""

    name: str
    role: Literal["entry-host", "backend-server"]
    state: Literal["live", "leaving"]
    peer_url: NotRequired[str]


class ZoneHosts(TypedDict):
    """Hold the list of one availability zone."""

    hosts: list[ListedHost]


class ServerState(NamedTuple):
    """Report a backend server's state in the host list."""

    server: str
    leaving: bool
    # Revision of the list object that the state was read from.
    revision: int
    # Revision at which this host first saw the state. The list lags, so a
    # later revision that repeats "live" says nothing about a server that
    # was seen leaving in another way meanwhile.
    changed_revision: int


_ADAPTER = pydantic.TypeAdapter(ZoneHosts)


class HostListState:
    """Merge list objects in the order of their revisions; pure."""

    def __init__(self) -> None:
        self.zones: dict[str, list[ListedHost]] = {}
        self.revisions: dict[str, int] = {}
        self.servers: dict[str, ServerState] = {}
        # Object key to the reason for which its last value was not used.
        self.rejected: dict[str, str] = {}

    def apply(self, stored: store_model.StoredObject) -> bool:
        """Apply one object; False if it is old, invalid or not a zone's."""
        if not stored.key.startswith(_PREFIX):
            return False
        zone = stored.key.removeprefix(_PREFIX)
        if stored.revision <= self.revisions.get(zone, 0):
            return False
        try:
            value = _ADAPTER.validate_python(stored.value)
        except pydantic.ValidationError as error:
            reason = str(error.errors(include_url=False)[0]["msg"])
            if self.rejected.get(stored.key) != reason:
                _LOG.warning("Host list %s not used: %s", stored.key, reason)
            self.rejected[stored.key] = reason
            return False
        self.rejected.pop(stored.key, None)
        self.revisions[zone] = stored.revision
        self.zones[zone] = value["hosts"]
        for listed in value["hosts"]:
            if listed["role"] == "backend-server":
                self._set_server(listed, stored.revision)
        return True

    def entry_hosts(
        self, region_of: Callable[[str], str | None]
    ) -> tuple[core.EntryHost, ...]:
        """Return the live entry hosts, with incarnations unknown."""
        return tuple(
            core.EntryHost(
                name=listed["name"],
                incarnation="",
                # Zones whose region is unknown never count as one region.
                zone=core.AvailabilityZone(zone, region_of(zone) or zone),
                caller_urls=("", "", ""),
                peer_url=listed.get("peer_url", ""),
            )
            for zone, hosts in self.zones.items()
            for listed in hosts
            if listed["role"] == "entry-host" and listed["state"] == "live"
        )

    def _set_server(self, listed: ListedHost, revision: int) -> None:
        leaving = listed["state"] == "leaving"
        old = self.servers.get(listed["name"])
        changed = revision
        if old is not None and old.leaving is leaving:
            changed = old.changed_revision
        self.servers[listed["name"]] = ServerState(
            listed["name"], leaving, revision, changed
        )


class HostList:
    """Read the host list from the store and report its changes.

    The zone's watchers watch the whole list. Other hosts read it once at the
    start and then poll slowly: the whole list while it is small, else their
    own zone, since the whole list has hundreds of kilobytes at full size.
    """

    def __init__(
        self,
        *,
        store: object_store.ObjectStore,
        timer: timer_helper.TimerService,
        rng: random.Random,
        host: core.EntryHost,
        is_watcher: Callable[[], bool],
        region_of: Callable[[str], str | None],
        on_entry_hosts: Callable[[tuple[core.EntryHost, ...]], None],
        on_servers: Callable[[tuple[ServerState, ...]], None],
    ) -> None:
        self.store = store
        self.timer = timer
        self.rng = rng
        self.host = host
        self.is_watcher = is_watcher
        self.region_of = region_of
        self.on_entry_hosts = on_entry_hosts
        self.on_servers = on_servers
        self.state = HostListState()
        # Store revision that a watch continues from; 0 before a full list.
        self.watched_revision = 0

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            await self.timer.sleep(await self.step())

    async def step(self) -> float:
        """Make one read or watch; return seconds to wait before the next."""
        if not self.watched_revision:
            return await self._list()
        if self.is_watcher():
            return await self._watch()
        if self._is_small():
            return await self._list()
        # A later watch has to start from a full list again.
        result = await self.store.get(_PREFIX + self.host.zone.name)
        match result:
            case Success(store_model.StoredObject() as stored):
                self._apply((stored,))
                return self._until_poll()
            case Failure(result_codes.Refusal() as refusal):
                return self._until_retry(refusal)
        return const.HOST_LIST_RETRY_S

    def publish(self) -> None:
        """Report the entry hosts again, for a changed catalogue."""
        self.on_entry_hosts(self.state.entry_hosts(self.region_of))

    async def _list(self) -> float:
        match await self.store.list(_PREFIX):
            case Success(store_model.Listing() as listing):
                self._apply(listing.objects)
                self.watched_revision = max(
                    self.watched_revision, listing.revision
                )
                if self.is_watcher() and self.watched_revision:
                    return 0.0
                return self._until_poll()
            case Failure(result_codes.Refusal() as refusal):
                return self._until_retry(refusal)
        return const.HOST_LIST_RETRY_S

    async def _watch(self) -> float:
        match await self.store.watch(
            _PREFIX,
            after=self.watched_revision,
            timeout_s=const.HOST_LIST_WATCH_S,
        ):
            case Success(store_model.Listing() as listing):
                self._apply(listing.objects)
                self.watched_revision = max(
                    self.watched_revision, listing.revision
                )
                return 0.0
            case Failure(result_codes.Refusal() as refusal):
                return self._until_retry(refusal)
        return const.HOST_LIST_RETRY_S

    def _apply(self, objects: tuple[store_model.StoredObject, ...]) -> None:
        changed = [self.state.apply(stored) for stored in objects]
        if not any(changed):
            return
        self.publish()
        self.on_servers(tuple(self.state.servers.values()))

    def _is_small(self) -> bool:
        count = sum(
            listed["role"] == "entry-host"
            for hosts in self.state.zones.values()
            for listed in hosts
        )
        return count <= const.FULL_MESH_MAX_HOSTS

    def _until_poll(self) -> float:
        return const.HOST_LIST_POLL_S * (0.5 + self.rng.random())

    def _until_retry(self, refusal: result_codes.Refusal) -> float:
        _LOG.info("Host list not read: %s", refusal.detail)
        wait_s = max(const.HOST_LIST_RETRY_S, refusal.retry_after_s)
        return wait_s * (0.5 + self.rng.random())
