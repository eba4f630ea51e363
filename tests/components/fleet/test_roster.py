"""Test which entry hosts are taken to be running."""

from samphirelug.components.fleet import const
from samphirelug.components.fleet import io_datagrams
from samphirelug.components.fleet import model
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug import core


def host(name: str) -> model.HostInstance:
    """Return an entry host."""
    return model.HostInstance(
        name, "i1", core.AvailabilityZone("a1", "a"), f"{name}:1", f"{name}:2"
    )


class Fleet:
    """Run rosters with perfect delivery and a common clock."""

    def __init__(self, size: int) -> None:
        self.now = 0.0
        hosts = [host(f"h{number}") for number in range(size)]
        self.rosters = {
            one.name: fleet_roster.HostRoster(own=one) for one in hosts
        }
        for roster in self.rosters.values():
            roster.take_list(hosts, now=0.0)
        self.down: set[str] = set()
        self.sent = 0

    def deliver(self, instructions: list[fleet_roster.Instruction]) -> None:
        """Carry notices and the answers to them."""
        for notice, to in instructions:
            for target in to:
                self.sent += 1
                if target.name in self.down:
                    continue
                answers = self.rosters[target.name].receive(
                    notice, now=self.now
                )
                self.deliver(answers)

    def run(self, seconds: float) -> None:
        """Let all running hosts tick."""
        for _ in range(round(seconds / const.BEAT_INTERVAL_S)):
            self.now += const.BEAT_INTERVAL_S
            for name, roster in self.rosters.items():
                if name not in self.down:
                    self.deliver(roster.tick(now=self.now))

    def known_to(self, name: str) -> set[str]:
        """Return the hosts that a host takes to be serving."""
        return {one.name for one in self.rosters[name].serving()}


def test_all_hosts_learn_of_a_host_that_stopped_silently() -> None:
    """Guard against look-up answers that name dead hosts."""
    fleet = Fleet(10)
    fleet.run(5)
    fleet.down.add("h3")
    fleet.run(4.5)
    for name in fleet.rosters.keys() - fleet.down:
        assert "h3" not in fleet.known_to(name)
        assert len(fleet.known_to(name)) == 8


def test_half_of_the_hosts_may_stop_at_once() -> None:
    """Guard against losing a host together with those that watch it."""
    fleet = Fleet(10)
    fleet.run(5)
    fleet.down.update({"h0", "h1", "h2", "h3", "h4"})
    fleet.run(12)
    for name in fleet.rosters.keys() - fleet.down:
        assert fleet.known_to(name).isdisjoint(fleet.down)


def test_host_that_returns_is_named_again() -> None:
    """Guard against a host that stays out for good after a short cut."""
    fleet = Fleet(10)
    fleet.run(5)
    fleet.down.add("h3")
    fleet.run(6)
    fleet.down.clear()
    fleet.run(3)
    for name in fleet.rosters:
        assert len(fleet.known_to(name)) == 9


def test_leaving_host_is_left_out_at_once() -> None:
    """Guard against callers sent to a host that is stopping."""
    fleet = Fleet(4)
    fleet.deliver([fleet.rosters["h1"].leave()])
    assert "h1" not in fleet.known_to("h0")


def test_process_that_stood_still_blames_no_other_host() -> None:
    """Guard against a suspended host taking all others for absent."""
    fleet = Fleet(6)
    fleet.run(5)
    fleet.now += 30.0
    fleet.deliver(fleet.rosters["h0"].tick(now=fleet.now))
    assert len(fleet.known_to("h0")) == 5


def test_messages_grow_with_the_fleet_not_its_square() -> None:
    """Guard against beats between all pairs of hosts."""
    fleet = Fleet(40)
    fleet.run(15)
    per_host_s = fleet.sent / 40 / 15
    assert per_host_s < 2 * const.MONITORS / const.BEAT_INTERVAL_S


def test_malformed_datagrams_are_ignored() -> None:
    """Guard against stray bytes ending the process."""
    notice = fleet_roster.Notice(const.ABSENT, "h1", "i1")
    assert io_datagrams.decode(io_datagrams.encode(notice)) == notice
    for data in (
        b"",
        b"\xff",
        b"\x01",
        b"\x83\x18\x63aaab",
        b"\x83\x00\x01\x02",
    ):
        assert io_datagrams.decode(data) is None
