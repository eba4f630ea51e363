"""Inject faults in a seeded order, alone and two at a time."""

import asyncio

from tests.history import hosts as hosts_module
from tests.history import world as world_module
from tests.history.world import World

EVERY_S = 20.0


def _some_host(world: World) -> hosts_module.HostProcess:
    gates = [(host, host.gate) for host in world.hosts.values()]
    running = [host for host, gate in gates if not gate.dead | gate.paused]
    return world.rng.choice(running or list(world.hosts.values()))


async def kill(world: World) -> None:
    """Kill a host and start it again, soon or late."""
    process = _some_host(world)
    world.ended(process, planned=False)
    await asyncio.sleep(world.rng.choice((0.5, 3.0, 15.0, 65.0)))
    world.start_host(process.host.name)


async def stop(world: World) -> None:
    """Restart a host by a planned stop."""
    process = _some_host(world)
    process.gate.post(process.stop_requested.set)
    await asyncio.sleep(world.rng.uniform(20.0, 30.0))
    world.start_host(process.host.name)


async def pause(world: World) -> None:
    """Pause a process, also for longer than its lease."""
    process = _some_host(world)
    process.gate.paused = True
    duration_s = world.rng.choice((0.7, 2.5, 6.0, 12.0, 65.0))
    await world.span("paused", process.host.incarnation, duration_s)
    process.gate.resume()


async def cut(world: World) -> None:
    """Cut two regions from each other, or one from all others."""
    region, *others = world.rng.sample(world_module.REGIONS, 3)
    others = others[: world.rng.randint(1, 2)]
    pairs = {frozenset((region, other)) for other in others}
    world.cuts |= pairs
    await world.span("fault", "", world.rng.choice((1.5, 6.0, 30.0)))
    world.cuts -= pairs


async def lose_messages(world: World) -> None:
    """Lose some messages between entry hosts."""
    world.loss = 0.2
    await world.span("fault", "", 12.0)
    world.loss = 0.0


async def store_down(world: World) -> None:
    """Stop the store, at times for longer than the lease."""
    world.core.faults.down = True
    await world.span("fault", "", world.rng.choice((3.0, 12.0, 40.0)))
    world.core.faults.down = False


async def store_slow(world: World) -> None:
    """Delay the store's answers, at times past the clients' time-out."""
    world.core.faults.delay_s = world.rng.choice((0.4, 1.5, 2.5))
    await world.span("fault", "", 15.0)
    world.core.faults.delay_s = 0.0


async def store_loses(world: World) -> None:
    """Lose answers and requests, answer from the past, write late."""
    faults, rng = world.core.faults, world.rng
    faults.lose_answers, faults.lose_requests = rng.choice(((4, 0), (1, 2)))
    faults.stale_by = rng.choice((0, 3))
    world.late_writes = True
    await world.span("fault", "", 15.0)
    world.late_writes = False
    faults.lose_answers = faults.lose_requests = faults.stale_by = 0


async def operators(world: World) -> None:
    """Change limits, two operators at a time."""
    for _ in range(3):
        await asyncio.gather(world.change(), world.change())
        await asyncio.sleep(world.rng.uniform(1.0, 7.0))


async def drain(world: World) -> None:
    """Drain a server that says so in one way or several."""
    rng = world.rng
    server = rng.choice(list(world.servers.values()))
    server.leaving = True
    server.refuses = rng.random() < 0.3
    if rng.random() < 0.5:
        _list_servers(world)
    await asyncio.sleep(rng.choice((6.0, 12.0)))
    server.go_down()
    await asyncio.sleep(rng.choice((0.3, 5.0)))
    server.come_up()
    _list_servers(world)


def _list_servers(world: World) -> None:
    """Write the platform's host list."""
    for region in world_module.REGIONS:
        old = world.core.objects.get(f"hosts/{region}-a")
        listed = [
            {
                "name": server.name,
                "role": "backend-server",
                "state": "leaving" if server.leaving else "live",
            }
            for server in world.servers.values()
            if server.region == region
        ]
        revision = old.revision if old else 0
        world.core.put(f"hosts/{region}-a", {"hosts": listed}, revision)


async def crash(world: World) -> None:
    """Let a server crash and come back."""
    server = world.rng.choice(list(world.servers.values()))
    server.go_down()
    await asyncio.sleep(world.rng.choice((0.5, 6.0)))
    server.come_up()


async def trouble(world: World) -> None:
    """Let all servers refuse, reset and answer late."""
    for server in world.servers.values():
        server.trouble = 0.3
    await asyncio.sleep(10.0)
    for server in world.servers.values():
        server.trouble = world_module.TROUBLE


async def dead_region(world: World) -> None:
    """Let a region die as a whole and come back."""
    region = world.rng.choice(world_module.REGIONS)
    servers = [
        each for each in world.servers.values() if each.region == region
    ]
    names = [
        each for each in world.hosts if world.hosts[each].region == region
    ]
    for name in names:
        if not world.hosts[name].gate.dead:
            world.ended(world.hosts[name], planned=False)
    for server in servers:
        server.go_down()
    await asyncio.sleep(world.rng.choice((4.0, 30.0)))
    for server in servers:
        server.come_up()
    for name in names:
        world.start_host(name)


async def flood(world: World) -> None:
    """Flood all regions with exports, then with urgent work."""
    for work in ("case-export", "file-claim"):
        world.rates[work] *= 8.0
        await asyncio.sleep(4.0)
        world.rates[work] /= 8.0


FAULTS: tuple[world_module.Inject, ...] = (
    *(kill, stop, pause, cut, lose_messages, dead_region, flood),
    *(store_down, store_slow, store_loses, operators, drain, crash, trouble),
)


async def schedule(world: World) -> None:
    """Inject one or two faults at a time until the run ends."""
    rng = world.schedule_rng
    await asyncio.sleep(4.0)
    while True:
        for fault in rng.sample(FAULTS, rng.choice((1, 2, 2))):
            world.log.append(f"{world.now():.1f} {fault.__name__}")
            hosts_module.spawn(fault(world))
        await asyncio.sleep(rng.uniform(0.6, 1.0) * EVERY_S)
