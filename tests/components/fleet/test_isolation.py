"""Test the detection of a host that learns nothing."""

import pytest

from samphirelug.components.fleet import const
from samphirelug.components.fleet import isolation
from samphirelug.components.fleet import model
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.components.store import availability as store_availability
from samphirelug import core
from samphirelug.helpers import timer as timer_helper

SILENCE_S = const.CUT_OFF_AFTER_S + 0.1


class Host:
    """Hold a host that knows one other."""

    def __init__(self) -> None:
        self.timer = timer_helper.ManualTimerService()
        self.availability = store_availability.StoreAvailability(
            timer=self.timer
        )
        zone = core.AvailabilityZone("a1", "a")
        self.roster = fleet_roster.HostRoster(
            own=model.HostInstance("h0", "i1", zone, "x:1", "x:2")
        )
        self.other = model.HostInstance("h1", "i1", zone, "y:1", "y:2")
        self.detector = isolation.IsolationDetector(
            availability=self.availability,
            roster=self.roster,
            timer=self.timer,
        )

    def list_hosts(self, *hosts: model.HostInstance) -> None:
        """Read the list of hosts."""
        self.roster.update_from_list(hosts, now=self.timer.now_s)

    def hear(self) -> None:
        """Receive a beat of the other host."""
        self.roster.receive(
            fleet_roster.Notice(const.BEAT, "h1", "i1"), now=self.timer.now_s
        )


@pytest.mark.parametrize(
    ("store_lost", "silent", "isolated"),
    [
        (False, True, False),
        (True, False, False),
        (True, True, True),
    ],
)
def test_only_a_host_without_store_and_other_hosts_is_isolated(
    store_lost: bool, silent: bool, isolated: bool
) -> None:
    """Guard against limits on all hosts during an outage of the store."""
    host = Host()
    host.list_hosts(host.roster.own, host.other)
    if store_lost:
        host.availability.record_failure(host, detail="down")
    host.timer.now_s += SILENCE_S
    if not silent:
        host.hear()
    assert host.detector.is_isolated() is isolated
    host.hear()
    assert not host.detector.is_isolated()


def test_only_host_is_never_isolated() -> None:
    """Guard against limits on a host that has no others to hear from."""
    host = Host()
    host.list_hosts(host.roster.own)
    host.availability.record_failure(host, detail="down")
    host.timer.now_s += SILENCE_S
    assert not host.detector.is_isolated()


def test_suspended_host_does_not_take_others_for_silent() -> None:
    """Guard against taking its own suspension for a partition."""
    host = Host()
    host.list_hosts(host.roster.own, host.other)
    host.roster.tick(now=host.timer.now_s)
    host.availability.record_failure(host, detail="down")
    host.timer.now_s += 30.0
    host.roster.tick(now=host.timer.now_s)
    assert not host.detector.is_isolated()
