"""Test the registration of an entry host and its list of the others."""

import asyncio
import contextlib

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.fleet import enrolment
from samphirelug.components.fleet import io_datagrams
from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.components.store import feed
from samphirelug.components.store import model
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

    def __init__(self, *, writable: bool) -> None:
        self.writable = writable
        self.calls: list[str] = []

    async def list(
        self, kind: feed.ObjectKind, *, allow_stale: bool = False
    ) -> Result[model.Listing, result_codes.Refusal]:
        """Return both hosts."""
        del kind
        self.calls.append("stale list" if allow_stale else "list")
        hosts = tuple(
            model.StoredObject(
                host.name, 1, {**host._asdict(), "zone": host.zone._asdict()}
            )
            for host in (make_host("h0"), make_host("h1"))
        )
        return Success(model.Listing(1, hosts))

    async def watch(
        self, kind: feed.ObjectKind, *, after: int, timeout_s: float
    ) -> Result[feed.Changes | None, result_codes.Refusal]:
        """Raise an error, since hosts are not watched."""
        raise NotImplementedError

    async def put(
        self, kind: feed.ObjectKind, name: str, value: dict[str, object]
    ) -> Result[int, result_codes.Refusal]:
        """Accept or refuse the registration."""
        del kind, name, value
        self.calls.append("put")
        return Success(1) if self.writable else UNAVAILABLE

    async def delete(
        self, kind: feed.ObjectKind, name: str
    ) -> Result[None, result_codes.Refusal]:
        """Accept the removal."""
        del kind, name
        return Success(None)


class InstantTimer(timer_helper.ManualTimerService):
    """Sleep without delay, but yield to the event loop."""

    async def sleep(self, delay_s: float) -> None:
        """Return after yielding to the event loop."""
        del delay_s
        await asyncio.sleep(0)


class SilentProtocol(io_datagrams.NoticeProtocol):
    """Count announced starts instead of sending them."""

    started = 0

    def announce_start(self) -> None:
        """Count the start."""
        self.started += 1


async def enrol(host_feed: HostFeed) -> SilentProtocol:
    """Run the enrolment for a while."""
    timer = InstantTimer()
    protocol = SilentProtocol(
        roster=fleet_roster.HostRoster(own=make_host("h0")), timer=timer
    )
    task = asyncio.ensure_future(
        enrolment.Enrolment(
            feed=host_feed, protocol=protocol, timer=timer
        ).run()
    )
    for _ in range(PASSES):
        await asyncio.sleep(0)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    return protocol


def test_hosts_are_counted_while_the_store_refuses_the_registration() -> None:
    """Guard against a host that cannot register and never knows the others."""
    protocol = asyncio.run(enrol(HostFeed(writable=False)))
    assert protocol.roster.count == 2
    assert protocol.started == 0


def test_first_list_after_the_registration_is_not_stale() -> None:
    """Guard against a first list without the hosts that start together."""
    host_feed = HostFeed(writable=True)
    protocol = asyncio.run(enrol(host_feed))
    assert host_feed.calls[:3] == ["put", "list", "stale list"]
    assert protocol.started == 1


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

    protocol = asyncio.run(enrol(MalformedFeed(writable=True)))
    assert set(protocol.roster.records) == {"h1"}
