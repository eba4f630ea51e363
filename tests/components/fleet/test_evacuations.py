"""Test that entry hosts tell each other which zones are evacuated."""

import pytest

from samphirelug.components.fleet import const
from samphirelug.components.fleet import consumers
from samphirelug.components.fleet import evacuations
from samphirelug.components.fleet import io_datagrams
from samphirelug.components.fleet import model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.components.store import feed
from samphirelug.components.store import model as store_model
from samphirelug.components.store import view
from samphirelug import core
from samphirelug.helpers import timer as timer_helper

HOSTS = 8
ZONE = "b1"


class Host:
    """Hold what one entry host knows."""

    def __init__(
        self, name: str, *, timer: timer_helper.ManualTimerService
    ) -> None:
        self.registry = fleet_registry.ServerRegistry()
        self.consumer = consumers.EvacuationConsumer(
            registry=self.registry, timer=timer
        )
        self.view = view.ObjectView(
            kind=feed.ObjectKind.EVACUATIONS, consumer=self.consumer
        )
        self.roster = fleet_roster.HostRoster(
            own=model.HostInstance(
                name, "i1", core.AvailabilityZone("a1", "a"), "x:1", "x:2"
            )
        )
        self.roster.evacuations = evacuations.EvacuationExchange(
            view=self.view, registry=self.registry
        )

    def read_store(self, revision: int, *zones: str) -> None:
        """Apply a list of the store."""
        self.view.replace_all(
            store_model.Listing(
                revision,
                tuple(
                    store_model.StoredObject(zone, revision, {})
                    for zone in zones
                ),
            ),
            grace_s=0.0,
        )


class Fleet:
    """Deliver notices between hosts, as datagrams and without delay."""

    def __init__(self) -> None:
        self.timer = timer_helper.ManualTimerService()
        self.hosts = {
            name: Host(name, timer=self.timer)
            for name in (f"h{number}" for number in range(HOSTS))
        }
        instances = [host.roster.own for host in self.hosts.values()]
        for host in self.hosts.values():
            host.roster.update_from_list(instances, now=0.0)
            host.read_store(10)

    def run(self, seconds: float) -> None:
        """Let all hosts send what is due."""
        for _ in range(round(seconds / const.BEAT_INTERVAL_S)):
            self.timer.now_s += const.BEAT_INTERVAL_S
            for host in self.hosts.values():
                self.deliver(host.roster.tick(now=self.timer.now_s))

    def deliver(self, outgoing: list[fleet_roster.OutgoingNotice]) -> None:
        """Deliver notices and the notices sent in response."""
        for sent, recipients in outgoing:
            notice = io_datagrams.decode(io_datagrams.encode(sent))
            for recipient in recipients:
                roster = self.hosts[recipient.name].roster
                self.deliver(roster.receive(notice, now=self.timer.now_s))

    def read_store(
        self, revision: int, *zones: str, without: tuple[str, ...]
    ) -> None:
        """Let all hosts that reach the store read it."""
        for name, host in self.hosts.items():
            if name not in without:
                host.read_store(revision, *zones)

    def evacuated(self) -> list[frozenset[str]]:
        """Return what each host knows."""
        return [host.registry.evacuated_zones for host in self.hosts.values()]


@pytest.mark.parametrize(
    "cut_off", [("h0",), ("h1", "h4", "h6"), ("h2", "h3", "h4", "h5")]
)
def test_hosts_cut_off_from_the_store_learn_of_an_evacuation(
    cut_off: tuple[str, ...],
) -> None:
    """Guard against full load on a zone's servers when they return cold."""
    fleet = Fleet()
    fleet.read_store(11, ZONE, without=cut_off)
    fleet.run(3.0)
    assert fleet.evacuated() == HOSTS * [frozenset({ZONE})]
    fleet.read_store(12, without=cut_off)
    fleet.run(3.0)
    assert fleet.evacuated() == HOSTS * [frozenset()]
    for host in fleet.hosts.values():
        assert ZONE in host.registry.restored_at_s


def test_older_evacuations_are_not_adopted() -> None:
    """Guard against returning to a state that the store has left."""
    fleet = Fleet()
    behind = ("h1", "h2")
    fleet.read_store(12, ZONE, without=behind)
    newer, older = fleet.hosts["h0"], fleet.hosts["h1"]
    notice = older.roster.start_notice().notice
    newer.roster.receive(notice, now=0.0)
    assert newer.registry.evacuated_zones == {ZONE}
    assert newer.view.revision == 12


def test_host_that_has_not_read_the_store_tells_nothing() -> None:
    """Guard against a starting host that ends evacuations on others."""
    fleet = Fleet()
    starting = fleet.hosts["h1"]
    starting.view.revision = 0
    assert starting.roster.start_notice().notice.evacuations is None


def test_malformed_evacuations_are_ignored() -> None:
    """Guard against an unhandled error on datagrams of other programs."""
    notice = fleet_roster.Notice(
        const.BEAT, "h1", "i1", model.Evacuations(7, frozenset({"a", "b"}))
    )
    assert io_datagrams.decode(io_datagrams.encode(notice)) == notice
    for fields in (
        b"\x84\x00\x61a\x61b\x01",
        b"\x85\x00\x61a\x61b\x61c\x80",
        b"\x85\x00\x61a\x61b\x01\x81\x01",
        b"\x86\x00\x61a\x61b\x01\x80\x01",
    ):
        with pytest.raises(ValueError, match=r"."):
            io_datagrams.decode(fields)
