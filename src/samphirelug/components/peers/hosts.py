"""Follow the platform's list of live and leaving hosts.

The store has one list object per availability zone.
"""

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

_LOGGER = logging.getLogger(__name__)
_HOSTS_PREFIX = "hosts/"


class ListedHost(TypedDict):
    """Describe a host as stored in the host list."""

    name: str
    role: Literal["entry-host", "backend-server"]
    state: Literal["live", "leaving"]
    peer_url: NotRequired[str]


class ZoneHosts(TypedDict):
    """Define the stored list of one availability zone."""

    hosts: list[ListedHost]


class ListedServer(NamedTuple):
    """Report a backend server's state in the host list."""

    server: str
    leaving: bool
    # Revision of the list object that the state was read from.
    revision: int
    # Revision at which this host first read the current state. The list
    # lags, so a later revision that still says "live" does not override a
    # leaving state that was observed elsewhere in the meantime.
    changed_revision: int


_ADAPTER = pydantic.TypeAdapter(ZoneHosts)


class HostListState:
    """Merge list objects by revision, without input or output."""

    def __init__(self) -> None:
        self.zones: dict[str, list[ListedHost]] = {}
        self.revisions: dict[str, int] = {}
        self.servers: dict[str, ListedServer] = {}
        # Reason why the latest value was rejected, by object key.
        self.rejected: dict[str, str] = {}

    def apply(self, stored: store_model.StoredObject) -> bool:
        """Apply an object; return False if it is old, invalid or no list."""
        if not stored.key.startswith(_HOSTS_PREFIX):
            return False
        zone = stored.key.removeprefix(_HOSTS_PREFIX)
        if stored.revision <= self.revisions.get(zone, 0):
            return False
        try:
            value = _ADAPTER.validate_python(stored.value)
        except pydantic.ValidationError as error:
            reason = str(error.errors(include_url=False)[0]["msg"])
            if self.rejected.get(stored.key) != reason:
                _LOGGER.warning(
                    "ignoring invalid host list %s: %s", stored.key, reason
                )
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
        """Return the live entry hosts.

        The list does not contain incarnations, so they are empty.
        """
        return tuple(
            core.EntryHost(
                name=listed["name"],
                incarnation="",
                # A zone without a known region counts as its own region, so
                # that two such zones are never in the same one.
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
        previous = self.servers.get(listed["name"])
        changed_revision = revision
        if previous is not None and previous.leaving is leaving:
            changed_revision = previous.changed_revision
        self.servers[listed["name"]] = ListedServer(
            listed["name"], leaving, revision, changed_revision
        )


class HostList:
    """Read the host list from the store and report changes.

    The watchers of a zone watch the list of all zones. Other hosts read it
    at the start and then poll it at long intervals: all zones while there
    are few hosts, otherwise their own zone only, since the list of a full
    fleet has hundreds of kilobytes.
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
        on_servers: Callable[[tuple[ListedServer, ...]], None],
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
        # Store revision from which to watch; None before all zones were read.
        # An empty store has revision 0.
        self.watched_revision: int | None = None

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            await self.timer.sleep(await self.step())

    async def step(self) -> float:
        """Read or watch once; return the delay before the next call in s."""
        if self.watched_revision is None:
            return await self._list()
        if self.is_watcher():
            return await self._watch(self.watched_revision)
        if self._fits_full_mesh():
            return await self._list()
        # Reading one zone does not advance watched_revision: a later watch has
        # to continue from the last read of all zones.
        result = await self.store.get(_HOSTS_PREFIX + self.host.zone.name)
        match result:
            case Success(store_model.StoredObject() as stored):
                self._apply((stored,))
                return self._poll_delay_s()
            case Failure(result_codes.Refusal() as refusal):
                return self._retry_delay_s(refusal)
        return const.HOST_LIST_RETRY_S

    def publish(self) -> None:
        """Report the entry hosts again after a change of the catalogue."""
        self.on_entry_hosts(self.state.entry_hosts(self.region_of))

    async def _list(self) -> float:
        match await self.store.list(_HOSTS_PREFIX):
            case Success(store_model.Listing() as listing):
                self._apply(listing.objects)
                self.watched_revision = max(
                    self.watched_revision or 0, listing.revision
                )
                if self.is_watcher():
                    return 0.0
                return self._poll_delay_s()
            case Failure(result_codes.Refusal() as refusal):
                return self._retry_delay_s(refusal)
        return const.HOST_LIST_RETRY_S

    async def _watch(self, after: int) -> float:
        match await self.store.watch(
            _HOSTS_PREFIX,
            after=after,
            timeout_s=const.HOST_LIST_WATCH_S,
        ):
            case Success(store_model.Listing() as listing):
                self._apply(listing.objects)
                self.watched_revision = max(after, listing.revision)
                return 0.0
            case Failure(result_codes.Refusal() as refusal):
                return self._retry_delay_s(refusal)
        return const.HOST_LIST_RETRY_S

    def _apply(self, objects: tuple[store_model.StoredObject, ...]) -> None:
        changed = [self.state.apply(stored) for stored in objects]
        if not any(changed):
            return
        self.publish()
        self.on_servers(tuple(self.state.servers.values()))

    def _fits_full_mesh(self) -> bool:
        count = sum(
            listed["role"] == "entry-host"
            for hosts in self.state.zones.values()
            for listed in hosts
        )
        return count <= const.FULL_MESH_MAX_HOSTS

    def _poll_delay_s(self) -> float:
        return const.HOST_LIST_POLL_S * (0.5 + self.rng.random())

    def _retry_delay_s(self, refusal: result_codes.Refusal) -> float:
        _LOGGER.info("could not read the host list: %s", refusal.detail)
        wait_s = max(const.HOST_LIST_RETRY_S, refusal.retry_after_s)
        return wait_s * (0.5 + self.rng.random())
