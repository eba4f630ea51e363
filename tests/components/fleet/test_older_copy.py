"""Test what hosts keep when the store comes back from an older copy."""

import asyncio
from typing import Any

import pytest
from returns.result import Result
from returns.result import Success

from samphirelug.components.fleet import consumers
from samphirelug.components.fleet import decoder as fleet_decoder
from samphirelug.components.fleet import host_entries
from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.components.routing import model as routing_model
from samphirelug.components.store import feed
from samphirelug.components.store import model as store_model
from samphirelug.components.store import position
from samphirelug.components.store import view as store_view
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from standins import forwarding as build
from tests.components.fleet import test_enrolment

# Revisions of the store before it went away and after it has come back.
BEFORE = position.combine(era=1, revision=119)
AFTER = position.combine(era=2, revision=113)


class Decoder(fleet_decoder.ObjectDecoder):
    """Return servers whose fields stand in the objects as they are."""

    def configuration(
        self, stored: store_model.StoredObject
    ) -> Result[routing_model.Configuration, result_codes.Refusal]:
        """Raise an error, since there is no configuration."""
        raise NotImplementedError

    def server(
        self, stored: store_model.StoredObject, *, now: float
    ) -> Result[fleet_model.ServerInstance, result_codes.Refusal]:
        """Return the server."""
        del now
        return Success(build.server(stored.key, **stored.value))


def entry(key: str, /, **value: Any) -> store_model.StoredObject:
    """Return a stored object."""
    return store_model.StoredObject(key, 1, value)


class Host:
    """Hold the views of one host and what they are applied to."""

    def __init__(self) -> None:
        self.timer = timer_helper.ManualTimerService()
        # Whether the store is known to show nothing newer.
        self.is_current = True
        self.registry = fleet_registry.ServerRegistry()
        self.roster = fleet_roster.HostRoster(
            own=test_enrolment.make_host("h0")
        )
        self.servers = store_view.ObjectView(
            kind=feed.ObjectKind.BACKEND_SERVERS,
            consumer=consumers.ServerConsumer(
                registry=self.registry,
                decoder=Decoder(),
                timer=self.timer,
                is_current=lambda: self.is_current,
            ),
        )
        self.evacuations = store_view.ObjectView(
            kind=feed.ObjectKind.EVACUATIONS,
            consumer=consumers.EvacuationConsumer(
                registry=self.registry, timer=self.timer
            ),
        )
        self.hosts = store_view.ObjectView(
            kind=feed.ObjectKind.ENTRY_HOSTS,
            consumer=host_entries.HostConsumer(
                roster=self.roster, timer=self.timer
            ),
        )

    def usable(self) -> set[str]:
        """Return the ids of the servers that get requests."""
        return {server.instance_id for server in self.registry.usable("desk")}


def show(
    view: store_view.ObjectView,
    revision: int,
    *objects: store_model.StoredObject,
) -> None:
    """Let a view show a list of the store."""
    assert view.replace_all(
        store_model.Listing(revision, objects), grace_s=0.0
    )


def change(view: store_view.ObjectView, event: store_view.Event) -> None:
    """Apply the next change of the store."""
    assert view.apply(
        (event,),
        after=view.revision,
        revision=view.revision + 1,
        grace_s=0.0,
    )


def test_server_that_the_copy_lacks_stays_until_it_is_written_again() -> None:
    """Guard against refusals for servers that run."""
    host = Host()
    show(host.servers, BEFORE, entry("s0"), entry("new"), entry("lost"))
    show(host.servers, AFTER, entry("s0"))
    assert host.usable() == {"s0", "new", "lost"}
    change(host.servers, entry("new"))
    host.timer.advance(store_view.ERA_GRACE_S + 0.1)
    assert host.usable() == {"s0", "new"}


@pytest.mark.parametrize("is_written_again", [False, True])
def test_removed_server_that_the_copy_shows_is_held_back(
    is_written_again: bool,
) -> None:
    """Guard against requests to a server that has ended."""
    host = Host()
    show(host.servers, BEFORE, entry("s0"), entry("gone"))
    change(host.servers, feed.Removal("gone"))
    show(host.servers, AFTER, entry("s0"), entry("gone"))
    host.timer.advance(store_view.ERA_HOLD_S - 0.1)
    assert host.usable() == {"s0"}
    if is_written_again:
        change(host.servers, entry("gone", report_number=40))
        assert host.usable() == {"s0", "gone"}
    else:
        # Its entry expires, as nobody refreshes it.
        change(host.servers, feed.Removal("gone"))
        host.timer.advance(1.0)
        assert host.usable() == {"s0"}


def test_held_server_is_usable_if_its_entry_stays() -> None:
    """Guard against a server that runs and is never used again."""
    host = Host()
    show(host.servers, BEFORE, entry("s0"), entry("back"))
    change(host.servers, feed.Removal("back"))
    show(host.servers, AFTER, entry("s0"), entry("back"))
    assert host.usable() == {"s0"}
    host.timer.advance(store_view.ERA_HOLD_S + 0.1)
    assert host.usable() == {"s0", "back"}


def test_leaving_server_that_the_copy_shows_as_ready_stays_unused() -> None:
    """Guard against requests to a server that is about to end."""
    host = Host()
    show(host.servers, BEFORE, entry("s0", report_number=7), entry("s1"))
    change(host.servers, entry("s0", report_number=8, draining=True))
    show(host.servers, AFTER, entry("s0", report_number=7), entry("s1"))
    host.timer.advance(store_view.ERA_HOLD_S + 0.1)
    assert host.usable() == {"s1"}


@pytest.mark.parametrize("is_written_again", [False, True])
def test_evacuation_that_the_copy_lacks_holds(is_written_again: bool) -> None:
    """Guard against requests to a zone that is being emptied."""
    host = Host()
    show(host.evacuations, BEFORE, entry("a1"), entry("b1"))
    show(host.evacuations, AFTER, entry("b1"))
    assert host.registry.evacuated_zones == {"a1", "b1"}
    if is_written_again:
        change(host.evacuations, entry("a1"))
    host.timer.advance(store_view.ERA_GRACE_S + 0.1)
    expected = {"a1", "b1"} if is_written_again else {"b1"}
    assert host.registry.evacuated_zones == expected


def test_evacuation_that_the_operators_end_does_not_hold() -> None:
    """Guard against a zone that is kept empty after its return."""
    host = Host()
    show(host.evacuations, BEFORE, entry("a1"))
    show(host.evacuations, AFTER, entry("a1"))
    change(host.evacuations, feed.Removal("a1"))
    assert not host.registry.evacuated_zones


def host_entry(name: str) -> store_model.StoredObject:
    """Return the entry of a host."""
    return entry(name, **host_entries.encode(test_enrolment.make_host(name)))


def test_host_that_the_copy_lacks_stays_until_it_has_registered() -> None:
    """Guard against look-up answers that name only a part of the hosts."""
    host = Host()
    names = ("h1", "h2")
    show(host.hosts, BEFORE, *map(host_entry, names))
    show(host.hosts, AFTER)
    assert {each.name for each in host.roster.serving()} == {"h1", "h2"}
    change(host.hosts, host_entry("h1"))
    host.timer.advance(store_view.ERA_HOLD_S + 0.1)
    assert {each.name for each in host.roster.serving()} == {"h1"}


@pytest.mark.parametrize("incarnation", ["", "earlier"])
def test_host_registers_again_if_the_copy_lacks_its_entry(
    incarnation: str,
) -> None:
    """Guard against a host that nobody finds after the drill."""
    setup = test_enrolment.Setup(test_enrolment.HostFeed())
    show(setup.view, BEFORE, host_entry("h0"))
    asyncio.run(setup.run())
    setup.feed.calls.clear()
    earlier = host_entries.encode(
        test_enrolment.make_host("h0")._replace(incarnation=incarnation)
    )
    show(setup.view, AFTER, *([entry("h0", **earlier)] if incarnation else []))
    asyncio.run(setup.run())
    assert "replace" in setup.feed.calls
