"""Test reading and watching of the platform's host list."""

import asyncio
from collections.abc import Mapping
import random
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.peers import const
from samphirelug.components.peers import hosts
from samphirelug.components.store import model
from samphirelug.components.store import object_store
from samphirelug import core
from samphirelug.helpers import timer
from samphirelug import result_codes
from standins import builders

CODE = result_codes.ResultCode


class Store(object_store.ObjectStore):
    """Store objects in memory and record the calls."""

    def __init__(self) -> None:
        self.objects: dict[str, model.StoredObject] = {}
        self.revision = 0
        self.calls: list[str] = []
        self.refusal: result_codes.Refusal | None = None

    def write(self, zone: str, *listed: tuple[str, str, str]) -> None:
        """Write a zone's list; each host has a name, role and state."""
        self.revision += 1
        key = f"hosts/{zone}"
        entries = [
            {"name": n, "role": r, "state": s, "peer_url": f"ws://{n}/"}
            for n, r, s in listed
        ]
        self.objects[key] = model.StoredObject(
            key, self.revision, {"hosts": entries}
        )

    def _answer(
        self, call: str, objects: list[model.StoredObject]
    ) -> Result[model.Listing, result_codes.Refusal]:
        self.calls.append(call)
        if self.refusal is not None:
            return Failure(self.refusal)
        return Success(model.Listing(self.revision, tuple(objects)))

    async def get(
        self, key: str
    ) -> Result[model.StoredObject, result_codes.Refusal]:
        """Return an object."""
        self.calls.append(f"get {key}")
        if self.refusal is not None:
            return Failure(self.refusal)
        return Success(self.objects[key])

    async def list(
        self, prefix: str
    ) -> Result[model.Listing, result_codes.Refusal]:
        """Return all objects."""
        return self._answer(f"list {prefix}", list(self.objects.values()))

    async def put(
        self, key: str, value: Mapping[str, Any], *, expected_revision: int
    ) -> Result[model.StoredObject, result_codes.Refusal]:
        """Raise, since only the platform writes the list."""
        raise NotImplementedError(key, value, expected_revision)

    async def watch(
        self, prefix: str, *, after: int, timeout_s: float
    ) -> Result[model.Listing, result_codes.Refusal]:
        """Return the objects changed after a revision, without waiting."""
        assert timeout_s == const.HOST_LIST_WATCH_S
        return self._answer(
            f"watch {prefix} {after}",
            [o for o in self.objects.values() if o.revision > after],
        )


class Follower:
    """Run a host list on a fake store and record what it reports."""

    def __init__(self, *, watcher: bool) -> None:
        self.store = Store()
        self.watcher = watcher
        self.entry_hosts: tuple[core.EntryHost, ...] = ()
        self.servers: dict[str, hosts.ListedServer] = {}
        self.list = hosts.HostList(
            store=self.store,
            timer=timer.ManualTimerService(),
            rng=random.Random(1),
            host=builders.make_host("eh1", zone="tartu-a"),
            is_watcher=lambda: self.watcher,
            region_of={"tartu-a": "tartu"}.get,
            on_entry_hosts=self._set_entry_hosts,
            on_servers=self._set_servers,
        )

    def _set_entry_hosts(self, reported: tuple[core.EntryHost, ...]) -> None:
        self.entry_hosts = reported

    def _set_servers(self, reported: tuple[hosts.ListedServer, ...]) -> None:
        self.servers = {state.server: state for state in reported}

    def step(self) -> float:
        """Run one step of the host list."""
        return asyncio.run(self.list.step())


def test_a_watcher_lists_once_and_then_watches() -> None:
    """Guard against missing changes between the list and the watch."""
    follower = Follower(watcher=True)
    follower.store.write("tartu-a", ("eh1", "entry-host", "live"))
    assert follower.step() == 0.0
    follower.store.write(
        "x-a",
        ("eh2", "entry-host", "live"),
        ("eh3", "entry-host", "leaving"),
        ("s1", "backend-server", "leaving"),
    )
    assert follower.step() == 0.0
    follower.step()
    assert follower.store.calls == [
        "list hosts/",
        "watch hosts/ 1",
        "watch hosts/ 2",
    ]
    assert [(h.name, h.zone.region) for h in follower.entry_hosts] == [
        ("eh1", "tartu"),
        ("eh2", "x-a"),
    ]
    assert follower.servers == {"s1": hosts.ListedServer("s1", True, 2, 2)}


def test_other_hosts_poll_slowly_and_only_their_zone_at_scale() -> None:
    """Guard against too many and too large store reads at 6,700 hosts."""
    follower = Follower(watcher=False)
    follower.store.write("tartu-a", ("eh1", "entry-host", "live"))
    waits = [follower.step() for _ in range(20)]
    assert set(follower.store.calls) == {"list hosts/"}
    poll_s = const.HOST_LIST_POLL_S
    assert min(waits) >= 0.5 * poll_s
    assert max(waits) <= 1.5 * poll_s
    # Hosts that start at the same time must not poll at the same times.
    assert len(set(waits)) == 20
    many = [(f"h{n}", "entry-host", "live") for n in range(20)]
    follower.store.write("x-a", *many)
    follower.step()
    follower.store.calls.clear()
    follower.step()
    assert follower.store.calls == ["get hosts/tartu-a"]


def test_outages_and_invalid_objects_keep_the_last_list() -> None:
    """Guard against dropping all hosts after a fault of the platform."""
    follower = Follower(watcher=True)
    follower.store.write("tartu-a", ("eh2", "entry-host", "live"))
    follower.step()
    follower.store.refusal = result_codes.Refusal(
        CODE.STORE_UNAVAILABLE, "down", 8.0
    )
    assert 4.0 <= follower.step() <= 12.0
    follower.store.refusal = None
    follower.store.write("tartu-a", ("eh2", "unknown-role", "live"))
    follower.step()
    assert [h.name for h in follower.entry_hosts] == ["eh2"]
    assert list(follower.list.state.rejected) == ["hosts/tartu-a"]


def test_an_older_object_changes_nothing() -> None:
    """Guard against stale reads that mark a leaving server live again."""
    state = hosts.HostListState()

    def apply_state(name: str, revision: int, value: str) -> bool:
        listed = {"name": name, "role": "backend-server", "state": value}
        return state.apply(
            model.StoredObject("hosts/z", revision, {"hosts": [listed]})
        )

    assert apply_state("s1", 5, "leaving")
    assert not apply_state("s1", 4, "live")
    assert apply_state("s1", 6, "leaving")
    assert state.servers["s1"] == hosts.ListedServer("s1", True, 6, 5)
    assert apply_state("s1", 7, "live")
    assert state.servers["s1"] == hosts.ListedServer("s1", False, 7, 7)


def test_a_watcher_of_an_empty_store_watches() -> None:
    """Guard against a watcher that polls because its first list is empty.

    It learned up to 90 s late of the first hosts and of leaving servers.
    """
    follower = Follower(watcher=True)
    assert follower.step() == 0.0
    follower.store.write("tartu-a", ("s1", "backend-server", "leaving"))
    assert follower.step() == 0.0
    assert follower.store.calls == ["list hosts/", "watch hosts/ 0"]
    assert follower.servers["s1"].leaving
