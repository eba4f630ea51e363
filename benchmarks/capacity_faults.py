"""Simulate restarts, a lost zone and a cut between regions."""

from samphirelug.components.peers import const
from samphirelug.components.peers import model
from standins.simulation import peers as fleet

SETTLE_S = 10.0


def run(made: fleet.Fleet, seconds: float) -> None:
    """Step a fleet for some time."""
    end_s = made.now + seconds
    while made.now < end_s:
        made.step()


def worst_bytes(made: fleet.Fleet, seconds: float) -> float:
    """Return the relayed bytes a second of the host with the most."""
    made.reset_counters()
    run(made, seconds)
    return max(
        (host.sent_bytes + host.received_bytes) / seconds
        for host in made.hosts.values()
    )


def sighting_s(made: fleet.Fleet, server: str) -> float:
    """Return after how long a sighting reached every host; inf if never."""
    start = made.now
    made.observe(next(iter(made.hosts)), model.Sighting(server, "", True, 0))
    run(made, 3.0)
    got = [host.received_at.get(server) for host in made.hosts.values()]
    if None in got:
        return float("inf")
    return max(when - start for when in got if when is not None)


def lose_zone(size: int) -> tuple[float]:
    """Return a sighting's delay right after a zone's loss."""
    made = fleet.Fleet(size=size, hosts_per_zone=fleet.HOSTS_PER_ZONE)
    made.warm_up()
    run(made, 2.0)
    lost = {host.host.name for host in list(made.zones.values())[-1]}
    for name in lost:
        del made.hosts[name]
    for host in made.hosts.values():
        host.peers -= lost
    made.in_flight = [
        item for item in made.in_flight if item[1].peer not in lost
    ]
    del made.zones[list(made.zones)[-1]]
    made.update_relay_peers()
    return (sighting_s(made, "after-loss"),)


def cut_regions(size: int) -> tuple[float, float, float]:
    """Cut the regions in two halves and join them again.

    Returns worst traffic in the cut and after it, and the delay of a
    sighting after it.
    """
    made = fleet.Fleet(size=size, hosts_per_zone=fleet.HOSTS_PER_ZONE)
    made.warm_up()
    run(made, 2.0)
    names = sorted({host.host.zone.region for host in made.hosts.values()})
    side = {name: number % 2 for number, name in enumerate(names)}
    whole = {name: set(host.peers) for name, host in made.hosts.items()}
    for host in made.hosts.values():
        host.peers = {
            name
            for name in host.peers
            if side[made.hosts[name].host.zone.region]
            == side[host.host.zone.region]
        }
    made.in_flight = []
    made.update_relay_peers()
    for host in made.hosts.values():
        host.position = 5
    during = worst_bytes(made, SETTLE_S)
    for name, host in made.hosts.items():
        host.peers = whole[name]
    made.update_relay_peers()
    return during, worst_bytes(made, SETTLE_S), sighting_s(made, "after-cut")


def restart_host(size: int) -> tuple[float, float]:
    """Return bytes and seconds in which a restarted host has all zones."""
    made = fleet.Fleet(size=size, hosts_per_zone=fleet.HOSTS_PER_ZONE)
    made.warm_up()
    run(made, 2.0)
    name = next(n for n, host in made.hosts.items() if not host.watcher)
    old = made.hosts[name]
    fresh = fleet.SimulatedHost(host=old.host._replace(incarnation="2"))
    fresh.peers, zones = old.peers, len(made.zones)
    made.hosts[name] = fresh
    members = made.zones[fresh.host.zone.name]
    members[members.index(old)] = fresh
    for peer in fresh.peers:
        made.hosts[peer].relay.outboxes.pop(name)
    made.update_relay_peers()
    start = made.now
    while len(fresh.relay.zones) < zones and made.now < start + 60.0:
        run(made, const.RELAY_TICK_S)
    return float(fresh.received_bytes), made.now - start
