"""Simulate a lost zone, a network partition and the restart of a host."""

from samphirelug.components.peers import const
from samphirelug.components.peers import model
from standins.simulation import peers as fleet

MEASUREMENT_S = 10.0


def advance(simulated_fleet: fleet.Fleet, seconds: float) -> None:
    """Simulate the fleet for some seconds."""
    end_s = simulated_fleet.now + seconds
    while simulated_fleet.now < end_s:
        simulated_fleet.step()


def peak_bytes_per_s(simulated_fleet: fleet.Fleet, seconds: float) -> float:
    """Return the highest relay traffic of any host in bytes per second."""
    simulated_fleet.reset_counters()
    advance(simulated_fleet, seconds)
    return max(
        (host.sent_bytes + host.received_bytes) / seconds
        for host in simulated_fleet.hosts.values()
    )


def sighting_delay_s(simulated_fleet: fleet.Fleet, server: str) -> float:
    """Return the seconds until a sighting reached all hosts.

    Returns inf if it did not reach all of them within 3 s.
    """
    start = simulated_fleet.now
    simulated_fleet.observe(
        next(iter(simulated_fleet.hosts)), model.Sighting(server, "", True, 0)
    )
    advance(simulated_fleet, 3.0)
    times = [
        host.received_at.get(server) for host in simulated_fleet.hosts.values()
    ]
    if None in times:
        return float("inf")
    return max(when - start for when in times if when is not None)


def lose_zone(size: int) -> tuple[float]:
    """Return the delay of a sighting right after the loss of a zone."""
    simulated_fleet = fleet.Fleet(
        size=size, hosts_per_zone=fleet.HOSTS_PER_ZONE
    )
    simulated_fleet.warm_up()
    advance(simulated_fleet, 2.0)
    lost = {
        host.host.name for host in list(simulated_fleet.zones.values())[-1]
    }
    for name in lost:
        del simulated_fleet.hosts[name]
    for host in simulated_fleet.hosts.values():
        host.peers -= lost
    simulated_fleet.in_flight = [
        item for item in simulated_fleet.in_flight if item[1].peer not in lost
    ]
    del simulated_fleet.zones[list(simulated_fleet.zones)[-1]]
    simulated_fleet.update_relay_peers()
    return (sighting_delay_s(simulated_fleet, "after-loss"),)


def partition_regions(size: int) -> tuple[float, float, float]:
    """Partition the regions into two halves and join them again.

    Returns the peak traffic in bytes per second during and after the
    partition, and the delay of a sighting after it in seconds.
    """
    simulated_fleet = fleet.Fleet(
        size=size, hosts_per_zone=fleet.HOSTS_PER_ZONE
    )
    simulated_fleet.warm_up()
    advance(simulated_fleet, 2.0)
    names = sorted(
        {host.host.zone.region for host in simulated_fleet.hosts.values()}
    )
    half = {name: number % 2 for number, name in enumerate(names)}
    all_peers = {
        name: set(host.peers) for name, host in simulated_fleet.hosts.items()
    }
    for host in simulated_fleet.hosts.values():
        host.peers = {
            name
            for name in host.peers
            if half[simulated_fleet.hosts[name].host.zone.region]
            == half[host.host.zone.region]
        }
    simulated_fleet.in_flight = []
    simulated_fleet.update_relay_peers()
    for host in simulated_fleet.hosts.values():
        host.position = 5
    during = peak_bytes_per_s(simulated_fleet, MEASUREMENT_S)
    for name, host in simulated_fleet.hosts.items():
        host.peers = all_peers[name]
    simulated_fleet.update_relay_peers()
    return (
        during,
        peak_bytes_per_s(simulated_fleet, MEASUREMENT_S),
        sighting_delay_s(simulated_fleet, "after-cut"),
    )


def restart_host(size: int) -> tuple[float, float]:
    """Return bytes and seconds until a restarted host knows all zones."""
    simulated_fleet = fleet.Fleet(
        size=size, hosts_per_zone=fleet.HOSTS_PER_ZONE
    )
    simulated_fleet.warm_up()
    advance(simulated_fleet, 2.0)
    name = next(
        host_name
        for host_name, host in simulated_fleet.hosts.items()
        if not host.watcher
    )
    previous = simulated_fleet.hosts[name]
    restarted = fleet.SimulatedHost(
        host=previous.host._replace(incarnation="2")
    )
    restarted.peers, zones = previous.peers, len(simulated_fleet.zones)
    simulated_fleet.hosts[name] = restarted
    members = simulated_fleet.zones[restarted.host.zone.name]
    members[members.index(previous)] = restarted
    for peer in restarted.peers:
        simulated_fleet.hosts[peer].relay.outboxes.pop(name)
    simulated_fleet.update_relay_peers()
    start = simulated_fleet.now
    while (
        len(restarted.relay.zones) < zones
        and simulated_fleet.now < start + 60.0
    ):
        advance(simulated_fleet, const.RELAY_TICK_S)
    return float(restarted.received_bytes), simulated_fleet.now - start
