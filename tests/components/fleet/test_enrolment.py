"""Test the registration of an entry host and its list of the others."""

import asyncio
import contextlib

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.fleet import const
from samphirelug.components.fleet import enrolment
from samphirelug.components.fleet import host_entries
from samphirelug.components.fleet import io_datagrams
from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.components.store import feed
from samphirelug.components.store import model
from samphirelug.components.store import view
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

UNAVAILABLE: Failure[result_codes.Refusal] = Failure(
    result_codes.Refusal(result_codes.ResultCode.STORE_UNAVAILABLE, "down")
)
# Passes of the event loop, enough for several lists.
PASSES = 50


def make_host(name: str) -> fleet_model.HostInstance:
    """Return an entry host."""
    return fleet_model.HostInstance(
        name,
        "i1",
        core.AvailabilityZone("a1", "a"),
        "127.0.0.1:1",
        "127.0.0.1:2",
    )


class HostFeed(feed.ObjectFeed):
    """List two hosts and accept or refuse writes."""

    def __init__(self, *, writable: bool = True) -> None:
        self.writable = writable
        self.hosts = ["h0", "h1"]
        self.calls: list[str] = []
        # Removals that get no answer.
        self.unanswered_removals = 0

    def listing(self) -> model.Listing:
        """Return the entries of the hosts."""
        return model.Listing(
            1,
            tuple(
                model.StoredObject(
                    name, 1, host_entries.encode(make_host(name))
                )
                for name in self.hosts
            ),
        )

    async def list(
        self, kind: feed.ObjectKind, *, allow_stale: bool = False
    ) -> Result[model.Listing, result_codes.Refusal]:
        """Return the hosts."""
        del kind
        self.calls.append("stale list" if allow_stale else "list")
        return Success(self.listing())

    async def watch(
        self, kind: feed.ObjectKind, *, after: int, timeout_s: float
    ) -> Result[feed.Changes | None, result_codes.Refusal]:
        """Raise an error, since hosts are not watched."""
        raise NotImplementedError

    async def put(
        self,
        kind: feed.ObjectKind,
        name: str,
        value: dict[str, object],
        *,
        probably_exists: bool = False,
    ) -> Result[int, result_codes.Refusal]:
        """Accept or refuse the registration."""
        del kind, name, value
        self.calls.append("replace" if probably_exists else "create")
        return Success(2) if self.writable else UNAVAILABLE

    async def delete(
        self, kind: feed.ObjectKind, name: str, *, revision: int | None = None
    ) -> Result[None, result_codes.Refusal]:
        """Accept the removal."""
        del kind
        self.calls.append(f"delete {name} {revision}")
        if self.unanswered_removals:
            self.unanswered_removals -= 1
            return UNAVAILABLE
        return Success(None)


class InstantTimer(timer_helper.ManualTimerService):
    """Sleep without delay, but yield to the event loop."""

    async def sleep(self, delay_s: float) -> None:
        """Return after yielding to the event loop."""
        del delay_s
        await asyncio.sleep(0)


class SilentProtocol(io_datagrams.NoticeProtocol):
    """Count announced starts and send no notice."""

    started = 0

    def announce_start(self) -> None:
        """Count the start."""
        self.started += 1

    def check_hosts(self) -> None:
        """Ask no host."""


class Setup:
    """Hold an enrolment and what it works on."""

    def __init__(self, host_feed: HostFeed) -> None:
        self.feed = host_feed
        self.timer = InstantTimer()
        self.roster = fleet_roster.HostRoster(own=make_host("h0"))
        self.protocol = SilentProtocol(roster=self.roster, timer=self.timer)
        self.view = view.ObjectView(
            kind=feed.ObjectKind.ENTRY_HOSTS,
            consumer=host_entries.HostConsumer(
                roster=self.roster, timer=self.timer
            ),
        )
        self.enrolment = enrolment.Enrolment(
            feed=host_feed,
            protocol=self.protocol,
            view=self.view,
            timer=self.timer,
            first_start=False,
        )

    async def run(self) -> None:
        """Run the enrolment for a while."""
        task = asyncio.ensure_future(self.enrolment.run())
        for _ in range(PASSES):
            await asyncio.sleep(0)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


def test_entries_that_may_be_old_do_not_count_as_the_number_of_hosts() -> None:
    """Guard against shares that are too large after a restart of many hosts.

    An old list may lack hosts that have just started too.
    """
    setup = Setup(HostFeed())
    asyncio.run(setup.run())
    assert set(setup.roster.records) == {"h1"}
    assert setup.roster.count is None
    assert setup.protocol.started == 0
    setup.view.replace_all(setup.feed.listing(), grace_s=0.0)
    assert setup.roster.count == 2
    asyncio.run(setup.run())
    assert setup.protocol.started == 1


def test_hosts_are_counted_while_the_store_refuses_the_registration() -> None:
    """Guard against a host that cannot register and never knows the others."""
    setup = Setup(HostFeed(writable=False))
    setup.view.replace_all(setup.feed.listing(), grace_s=0.0)
    asyncio.run(setup.run())
    assert setup.roster.count == 2
    assert setup.protocol.started == 0


def test_start_takes_one_cheap_list_and_one_write() -> None:
    """Guard against calls for each host that grow with the fleet."""
    setup = Setup(HostFeed())
    setup.view.replace_all(setup.feed.listing(), grace_s=0.0)
    asyncio.run(setup.run())
    assert setup.feed.calls == ["stale list", "replace"]


def test_host_whose_entry_was_removed_registers_again() -> None:
    """Guard against a host that was out of touch and stays unknown."""
    setup = Setup(HostFeed())
    asyncio.run(setup.run())
    setup.feed.calls.clear()
    setup.view.replace_all(
        model.Listing(9, setup.feed.listing().objects[1:]), grace_s=0.0
    )
    asyncio.run(setup.run())
    assert "replace" in setup.feed.calls


def test_host_that_stops_does_not_register_again() -> None:
    """Guard against look-up answers that name a host that has stopped.

    Seen in a hunt (ishikari-fold, deploy/days/herd-restart.toml --vary --seed
    352823799908): a stopping host saw its entry missing and wrote it again.
    """
    setup = Setup(HostFeed())
    asyncio.run(setup.run())
    asyncio.run(setup.enrolment.deregister())
    setup.feed.calls.clear()
    setup.view.replace_all(
        model.Listing(9, setup.feed.listing().objects[1:]), grace_s=0.0
    )
    asyncio.run(setup.run())
    assert setup.feed.calls == []


def test_entries_of_lost_hosts_are_removed() -> None:
    """Guard against a list that grows with each replaced host."""
    setup = Setup(HostFeed())
    setup.view.replace_all(setup.feed.listing(), grace_s=0.0)
    record = setup.roster.records["h1"]
    record.absent = True
    asyncio.run(setup.enrolment.remove_stopped_hosts())
    setup.timer.now_s += const.LOST_AFTER_S + 1
    assert setup.feed.calls == []
    asyncio.run(setup.enrolment.remove_stopped_hosts())
    assert setup.feed.calls == ["delete h1 1"]


def receive_leaving(setup: Setup, *, host: str) -> None:
    """Let a host announce that it stops."""
    setup.roster.receive(
        fleet_roster.Notice(const.LEAVING, host, "i1"),
        now=setup.timer.now_s,
    )


def test_entry_that_a_stopped_host_could_not_remove_is_removed() -> None:
    """Guard against a host that is in use again after a restart of all."""
    setup = Setup(HostFeed())
    setup.view.replace_all(setup.feed.listing(), grace_s=0.0)
    receive_leaving(setup, host="h1")
    asyncio.run(setup.enrolment.remove_stopped_hosts())
    assert setup.feed.calls == []
    setup.timer.now_s += const.LEFT_AFTER_S + 0.1
    setup.feed.unanswered_removals = 1
    for _ in range(2):
        asyncio.run(setup.enrolment.remove_stopped_hosts())
    assert setup.feed.calls == ["delete h1 1"] * 2


def test_entry_of_a_host_that_has_started_again_stays() -> None:
    """Guard against removing a host that is just starting."""
    setup = Setup(HostFeed())
    setup.view.replace_all(setup.feed.listing(), grace_s=0.0)
    receive_leaving(setup, host="h1")
    setup.timer.now_s += const.LEFT_AFTER_S + 0.1
    value = make_host("h1")._replace(incarnation="i2")
    setup.view.apply(
        (model.StoredObject("h1", 5, host_entries.encode(value)),),
        after=1,
        revision=5,
        grace_s=0.0,
    )
    asyncio.run(setup.enrolment.remove_stopped_hosts())
    assert setup.feed.calls == []


def test_stopping_host_removes_its_entry_when_the_store_is_back() -> None:
    """Guard against an entry that stays since one call got no answer."""
    setup = Setup(HostFeed())
    setup.feed.unanswered_removals = 3
    asyncio.run(setup.enrolment.deregister())
    assert setup.feed.calls == ["delete h0 None"] * 4


def test_registration_that_arrives_late_does_not_bring_a_host_back() -> None:
    """Guard against a host that left and whose last write came later."""
    setup = Setup(HostFeed())
    setup.view.replace_all(setup.feed.listing(), grace_s=0.0)
    receive_leaving(setup, host="h1")
    setup.view.apply((feed.Removal("h1"),), after=1, revision=3, grace_s=0.0)
    late = model.StoredObject("h1", 4, host_entries.encode(make_host("h1")))
    setup.view.apply((late,), after=3, revision=4, grace_s=0.0)
    assert setup.roster.serving() == []
    setup.timer.now_s += const.LEFT_AFTER_S + 0.1
    asyncio.run(setup.enrolment.remove_stopped_hosts())
    assert setup.feed.calls == ["delete h1 4"]


def test_malformed_host_objects_are_ignored() -> None:
    """Guard against one entry that keeps notices from all other hosts."""

    class MalformedFeed(HostFeed):
        """List objects of another writer besides the hosts."""

        async def list(
            self, kind: feed.ObjectKind, *, allow_stale: bool = False
        ) -> Result[model.Listing, result_codes.Refusal]:
            """Return the hosts and malformed objects."""
            answer = await super().list(kind, allow_stale=allow_stale)
            listing = answer.unwrap()
            value = listing.objects[1].value
            malformed = tuple(
                model.StoredObject(name, 1, {**value, "name": name, **fields})
                for name, fields in (
                    ("x1", {"peer_address": "nowhere"}),
                    ("x2", {"peer_address": "127.0.0.1:99999"}),
                    ("x3", {"caller_address": "a.example:80"}),
                    ("x4", {"name": "h1"}),
                    ("x5", {"zone": None}),
                )
            )
            return Success(
                listing._replace(objects=listing.objects + malformed)
            )

    setup = Setup(MalformedFeed())
    asyncio.run(setup.run())
    assert set(setup.roster.records) == {"h1"}
