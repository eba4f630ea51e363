"""Test that all entry hosts together spare servers in their cold start."""

import pytest
from returns.result import Success

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.placement import placer as placement_placer
from standins import forwarding as build

ROUTE = build.route()
# The rate of a deployment, whose cold servers bear this many requests in a
# second: 1.5 times the rate and 5 more.
SERVICE = build.service()._replace(cold_requests_per_s=2.7, cold_start_s=3.0)
MAX_REQUESTS_IN_A_SECOND = 1.5 * 2.7 + 5
HOSTS = 10
ZONE = "b1"
STEP_S = 0.01
# A request occupies a cold server for this long.
REQUEST_S = 1.0


class ColdFleet:
    """Run placers of several hosts, each of which always has a request."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.host_count: int | None = HOSTS
        # Numbers of the hosts that learn nothing and know that.
        self.isolated: frozenset[int] = frozenset()
        self.registries = [
            fleet_registry.ServerRegistry() for _ in range(HOSTS)
        ]
        self.placers = [self.make_placer(number) for number in range(HOSTS)]
        self.sent_at_s: list[float] = []
        self.running: list[
            tuple[float, placement_placer.Placer, fleet_model.ServerInstance]
        ] = []

    def make_placer(self, number: int) -> placement_placer.Placer:
        """Return the placer of a host that has just started."""
        return placement_placer.Placer(
            registry=self.registries[number],
            host=f"h{number}",
            host_count=lambda: self.host_count,
            is_isolated=lambda: number in self.isolated,
        )

    def put_server(
        self, *, cold_for_s: float = 0.0, started_unix_ms: int = 1
    ) -> None:
        """Tell the hosts about the server and the rest of its cold start."""
        server = build.server(
            "s0",
            zone=ZONE,
            region="b",
            slots=6,
            cold_until_s=self.now + cold_for_s if cold_for_s else 0.0,
            started_unix_ms=started_unix_ms,
        )
        for registry in self.informed_registries():
            registry.put(server, source="test")

    def informed_registries(self) -> list[fleet_registry.ServerRegistry]:
        """Return what the hosts know that are not isolated."""
        return [
            registry
            for number, registry in enumerate(self.registries)
            if number not in self.isolated
        ]

    def set_evacuated(self, *zones: str) -> None:
        """Tell the hosts which zones are evacuated."""
        for registry in self.informed_registries():
            registry.set_evacuated(
                frozenset(zones), now=self.now, source="test"
            )

    def run(self, seconds: float) -> None:
        """Let each host send whatever its placer accepts."""
        end_s = self.now + seconds
        while self.now < end_s:
            self.end_requests()
            for server_placer in self.placers:
                choice = server_placer.choose(
                    route=ROUTE,
                    service=SERVICE,
                    object_key="x",
                    tried=(),
                    now=self.now,
                )
                if not isinstance(choice, Success):
                    continue
                server = choice.unwrap().server
                server_placer.record_sent(
                    server, service=SERVICE, now=self.now
                )
                self.sent_at_s.append(self.now)
                self.running.append(
                    (self.now + REQUEST_S, server_placer, server)
                )
            self.now += STEP_S

    def end_requests(self) -> None:
        """End the requests whose time at the server has passed."""
        for ended in [item for item in self.running if item[0] <= self.now]:
            self.running.remove(ended)
            ended[1].record_ended(ended[2])

    def max_in_a_second(self, *, since_s: float) -> int:
        """Return the most requests within one second, from a time on."""
        times = [time_s for time_s in self.sent_at_s if time_s >= since_s]
        return max(
            sum(start_s <= time_s < start_s + 1.0 for time_s in times)
            for start_s in times
        )


@pytest.fixture(name="fleet")
def make_fleet() -> ColdFleet:
    """Return hosts that know a warm server."""
    fleet = ColdFleet()
    fleet.put_server()
    return fleet


def test_zone_taken_back_is_not_flooded_before_it_reports_cold(
    fleet: ColdFleet,
) -> None:
    """Guard against full load on servers that turned cold unnoticed."""
    fleet.set_evacuated(ZONE)
    fleet.run(3.0)
    restored_at_s = fleet.now
    fleet.set_evacuated()
    fleet.run(0.4)
    fleet.put_server(cold_for_s=2.6)
    fleet.run(2.6)
    assert (
        fleet.max_in_a_second(since_s=restored_at_s)
        <= MAX_REQUESTS_IN_A_SECOND
    )


def test_zone_taken_back_warm_gets_its_load_after_the_cold_start(
    fleet: ColdFleet,
) -> None:
    """Guard against sparing a warm zone for longer than a cold start."""
    fleet.set_evacuated(ZONE)
    fleet.run(1.0)
    fleet.set_evacuated()
    fleet.run(SERVICE.cold_start_s)
    warm_from_s = fleet.now
    fleet.run(1.0)
    assert (
        fleet.max_in_a_second(since_s=warm_from_s)
        > 2 * MAX_REQUESTS_IN_A_SECOND
    )


def test_hosts_that_do_not_know_each_other_yet_spare_a_cold_server(
    fleet: ColdFleet,
) -> None:
    """Guard against hosts that each use the whole rate after a restart."""
    fleet.host_count = None
    fleet.put_server(cold_for_s=3.0)
    started_at_s = fleet.now
    fleet.run(0.5)
    fleet.host_count = HOSTS
    fleet.run(2.4)
    assert (
        0
        < fleet.max_in_a_second(since_s=started_at_s)
        <= MAX_REQUESTS_IN_A_SECOND
    )


@pytest.mark.parametrize(
    "evacuated",
    [
        pytest.param((), id="warm-meanwhile"),
        pytest.param((ZONE,), id="evacuated-meanwhile"),
    ],
)
def test_hosts_held_up_together_do_not_send_together(
    fleet: ColdFleet, evacuated: tuple[str, ...]
) -> None:
    """Guard against turns that wait on all hosts and are used at once."""
    fleet.put_server(cold_for_s=3.0)
    fleet.run(3.0)
    fleet.set_evacuated(*evacuated)
    fleet.now += 30.0
    fleet.end_requests()
    fleet.put_server(cold_for_s=3.0)
    fleet.set_evacuated()
    cold_from_s = fleet.now
    fleet.run(3.0)
    assert (
        fleet.max_in_a_second(since_s=cold_from_s) <= MAX_REQUESTS_IN_A_SECOND
    )


@pytest.mark.parametrize("isolated", [{0}, {2, 7}])
def test_isolated_hosts_do_not_flood_a_server_that_turned_cold(
    fleet: ColdFleet, isolated: set[int]
) -> None:
    """Guard against full load from hosts that missed an evacuation."""
    fleet.isolated = frozenset(isolated)
    fleet.set_evacuated(ZONE)
    fleet.run(3.0)
    cold_from_s = fleet.now
    fleet.run(0.7)
    fleet.set_evacuated()
    fleet.run(2.0)
    assert (
        fleet.max_in_a_second(since_s=cold_from_s) <= MAX_REQUESTS_IN_A_SECOND
    )


def test_late_report_of_an_earlier_start_does_not_end_a_cold_start(
    fleet: ColdFleet,
) -> None:
    """Guard against full load on a server that has just started again.

    The store may carry out the last report before its crash late.
    """
    fleet.put_server(cold_for_s=3.0, started_unix_ms=2)
    cold_from_s = fleet.now
    fleet.run(0.3)
    fleet.put_server(started_unix_ms=1)
    fleet.run(1.2)
    fleet.put_server(cold_for_s=1.5, started_unix_ms=2)
    fleet.run(1.5)
    assert (
        0
        < fleet.max_in_a_second(since_s=cold_from_s)
        <= MAX_REQUESTS_IN_A_SECOND
    )
