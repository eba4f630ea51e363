"""Test the detection of a host that learns nothing."""

import pytest

from samphirelug.components.fleet import const
from samphirelug.components.fleet import isolation
from samphirelug.components.fleet import model
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.components.store import availability as store_availability
from samphirelug import core
from samphirelug.helpers import timer as timer_helper

SILENCE_S = const.ASK_AFTER_S + 0.1


class Host:
    """Hold a host that monitors two others."""

    def __init__(self) -> None:
        self.timer = timer_helper.ManualTimerService()
        self.timer.now_s = 100.0
        self.availability = store_availability.StoreAvailability(
            timer=self.timer
        )
        zone = core.AvailabilityZone("a1", "a")
        hosts = [
            model.HostInstance(name, "i1", zone, f"{name}:1", f"{name}:2")
            for name in ("h0", "h1", "h2")
        ]
        self.roster = fleet_roster.HostRoster(own=hosts[0])
        self.roster.update_from_list(hosts, now=self.timer.now_s)
        self.detector = isolation.IsolationDetector(
            availability=self.availability,
            roster=self.roster,
            timer=self.timer,
        )
        self.hear("h1", "h2")

    def lose_store(self) -> None:
        """Record a call to the store without an answer."""
        self.availability.record_failure(self, detail="down")

    def hear(self, *names: str) -> None:
        """Receive beats of other hosts."""
        for name in names:
            self.roster.receive(
                fleet_roster.Notice(const.BEAT, name, "i1"),
                now=self.timer.now_s,
            )

    def run(self, seconds: float, *heard: str) -> None:
        """Let time pass while beats of some hosts arrive."""
        end_s = self.timer.now_s + seconds
        while self.timer.now_s < end_s:
            self.timer.now_s += const.BEAT_INTERVAL_S
            self.hear(*heard)
            self.roster.tick(now=self.timer.now_s)


def test_outage_of_the_store_alone_isolates_no_host() -> None:
    """Guard against limits on all hosts during an outage of the store."""
    host = Host()
    host.lose_store()
    host.run(20.0, "h1", "h2")
    assert not host.detector.is_isolated()


def test_failure_of_another_host_alone_isolates_no_host() -> None:
    """Guard against limits on the monitors of a failed host."""
    host = Host()
    host.run(20.0, "h1")
    assert not host.detector.is_isolated()
    host.lose_store()
    assert not host.detector.is_isolated()


@pytest.mark.parametrize("heard", [(), ("h1",)])
def test_host_behind_a_partition_is_isolated_until_it_ends(
    heard: tuple[str, ...],
) -> None:
    """Guard against full load from hosts that only hear each other."""
    host = Host()
    host.run(3.0, *heard)
    host.lose_store()
    assert host.detector.is_isolated()
    host.run(10.0, *heard)
    assert host.detector.is_isolated()
    host.run(1.0, "h1", "h2")
    assert not host.detector.is_isolated()


def test_suspended_host_does_not_take_others_for_silent() -> None:
    """Guard against taking its own suspension for a partition."""
    host = Host()
    host.run(1.0, "h1", "h2")
    host.lose_store()
    host.timer.now_s += 30.0
    host.roster.tick(now=host.timer.now_s)
    assert not host.detector.is_isolated()
