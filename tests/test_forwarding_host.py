"""Test how an entry host that forwards by routes combines its parts."""

import asyncio
import contextlib

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.fleet import decoder as fleet_decoder
from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.metrics import forwarding as forwarding_metrics
from samphirelug.components.routing import model as routing_model
from samphirelug.components.store import feed
from samphirelug.components.store import model as store_model
from samphirelug import core
from samphirelug import forwarding_host
from samphirelug import forwarding_settings
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from standins import forwarding as build

Kind = feed.ObjectKind
SETTINGS = forwarding_settings.ForwardingSettings(
    name="h0",
    zone=core.AvailabilityZone("a1", "a"),
    zones={"a1": "a"},
    callers=forwarding_settings.SocketAddress("127.0.0.1", 1),
    ready=forwarding_settings.SocketAddress("127.0.0.1", 2),
    directory=forwarding_settings.SocketAddress("127.0.0.1", 3),
    peers=forwarding_settings.SocketAddress("127.0.0.1", 4),
    metrics=forwarding_settings.SocketAddress("127.0.0.1", 5),
    store_url="http://127.0.0.1:6",
    retries=forwarding_settings.RetryLimits(0.2, 60, 10.0),
    stop_grace_s=6.0,
    lookup_keep_s=5.0,
    drain_s=2.5,
    resources=forwarding_settings.HostResources(1.0, 1000.0),
)


class Decoder(fleet_decoder.ObjectDecoder):
    """Return the same configuration and server for all objects."""

    def configuration(
        self, stored: store_model.StoredObject
    ) -> Result[routing_model.Configuration, result_codes.Refusal]:
        """Return a configuration with one route."""
        del stored
        return Success(build.configuration(build.route()))

    def server(
        self, stored: store_model.StoredObject, *, now: float
    ) -> Result[fleet_model.ServerInstance, result_codes.Refusal]:
        """Return a server with the name of the object."""
        del now
        return Success(build.server(stored.key))


class OpenFeed(feed.ObjectFeed):
    """List one object of each kind that is open, and never change."""

    def __init__(self, *kinds: Kind) -> None:
        self.open = set(kinds)
        self.fail_once: set[Kind] = set()

    async def list(
        self, kind: Kind, *, allow_stale: bool = False
    ) -> Result[store_model.Listing, result_codes.Refusal]:
        """Return one object, nothing, or fail."""
        del allow_stale
        if kind not in self.open:
            await asyncio.Event().wait()
        if kind in self.fail_once:
            self.fail_once.discard(kind)
            raise RuntimeError("unexpected")
        names = () if kind is Kind.EVACUATIONS else ("x",)
        return Success(
            store_model.Listing(
                1,
                tuple(store_model.StoredObject(name, 1, {}) for name in names),
            )
        )

    async def watch(
        self, kind: Kind, *, after: int, timeout_s: float
    ) -> Result[feed.Changes | None, result_codes.Refusal]:
        """Wait for ever."""
        del kind, after, timeout_s
        await asyncio.Event().wait()
        raise AssertionError

    async def put(
        self,
        kind: Kind,
        name: str,
        value: dict[str, object],
        *,
        probably_exists: bool = False,
    ) -> Result[int, result_codes.Refusal]:
        """Refuse the write."""
        del kind, name, value, probably_exists
        return Failure(
            result_codes.Refusal(result_codes.ResultCode.STORE_UNAVAILABLE, "")
        )

    async def delete(
        self, kind: Kind, name: str, *, revision: int | None = None
    ) -> Result[None, result_codes.Refusal]:
        """Accept the removal."""
        del kind, name, revision
        return Success(None)


def make_host(object_feed: feed.ObjectFeed) -> forwarding_host.ForwardingHost:
    """Return a host that is not started."""
    return forwarding_host.ForwardingHost(
        settings=SETTINGS,
        timer=timer_helper.LoopTimerService(),
        feed=object_feed,
        decoder=Decoder(),
        names=build.NAMES,
        metrics=forwarding_metrics.ForwardingMetrics(),
    )


async def follow(host: forwarding_host.ForwardingHost, seconds: float) -> None:
    """Let the host follow the store for a while."""
    tasks = [
        asyncio.ensure_future(host.run_forever(item.run, name=kind))
        for kind, item in host.store_followers.items()
    ]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


def test_host_is_not_ready_before_it_knows_servers_and_evacuations() -> None:
    """Guard against callers sent to a host that refuses all of them."""

    async def main() -> None:
        kinds: list[Kind] = []
        for kind in Kind:
            kinds.append(kind)
            host = make_host(OpenFeed(*kinds))
            await follow(host, 0.1)
            assert host.ready is (len(kinds) == len(Kind))
            named = host.addresses_for(region="a", zone="a1")
            assert bool(named) is host.ready

    asyncio.run(main())


def test_unexpected_error_does_not_end_the_following_of_the_store() -> None:
    """Guard against a host that serves on without learning of changes."""

    async def main() -> None:
        object_feed = OpenFeed(*Kind)
        object_feed.fail_once = {Kind.BACKEND_SERVERS}
        host = make_host(object_feed)
        await follow(host, forwarding_host.TASK_RESTART_DELAY_S + 0.3)
        assert host.registry.usable("desk")

    asyncio.run(main())


def test_server_that_announces_its_leaving_gets_no_new_requests() -> None:
    """Guard against answers that are read without an effect on placement."""

    async def main() -> None:
        host = make_host(OpenFeed(*Kind))
        await follow(host, 0.1)
        (server,) = host.registry.usable("desk")
        for listener in host.sender.on_leaving:
            listener(server)
        assert host.registry.usable("desk") == []
        assert not host.sender.may_be_sent(server)

    asyncio.run(main())


def test_changed_settings_take_effect_or_are_named() -> None:
    """Guard against an operator who believes that a change is in force."""

    async def main() -> None:
        host = make_host(OpenFeed(*Kind))
        changed = SETTINGS._replace(
            retries=forwarding_settings.RetryLimits(0.5, 9, 4.0),
            lookup_keep_s=1.0,
            stop_grace_s=3.0,
            drain_s=1.0,
            store_url="http://127.0.0.1:7",
            zones={},
        )
        applied, needs_restart = host.apply_settings(changed)
        assert set(applied) == forwarding_settings.RELOADABLE
        assert set(needs_restart) == {"store_url", "zones"}
        assert host.settings == SETTINGS._replace(
            retries=changed.retries,
            lookup_keep_s=1.0,
            stop_grace_s=3.0,
            drain_s=1.0,
        )
        assert (host.retries.ratio, host.retries.window_s) == (0.5, 4.0)
        assert host.coordinator.stale_after_s < 1.0
        assert host.apply_settings(host.settings) == ([], [])

    asyncio.run(main())
