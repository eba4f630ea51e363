"""Inject faults in a seeded order, one or two at a time."""

import asyncio

from tests.history import hosts as hosts_module
from tests.history import world as world_module
from tests.history.world import World

# Longest time from one start of faults to the next.
MAX_FAULT_INTERVAL_S = 20.0


def _choose_host(world: World) -> hosts_module.HostProcess:
    """Return a random host, one that runs if there is any."""
    processes = [(each, each.gate) for each in world.hosts.values()]
    running = [each for each, gate in processes if not gate.dead | gate.paused]
    return world.rng.choice(running or list(world.hosts.values()))


async def kill(world: World) -> None:
    """Kill a host and restart it after 0.5 to 65 s."""
    process = _choose_host(world)
    world.end_process(process, planned=False)
    await asyncio.sleep(world.rng.choice((0.5, 3.0, 15.0, 65.0)))
    world.start_host(process.host.name)


async def stop(world: World) -> None:
    """Stop a host as planned and restart it after 20 to 30 s."""
    process = _choose_host(world)
    process.gate.post(process.stop_requested.set)
    await asyncio.sleep(world.rng.uniform(20.0, 30.0))
    world.start_host(process.host.name)


async def pause(world: World) -> None:
    """Pause a host, in some cases for longer than its seat lease."""
    process = _choose_host(world)
    process.gate.paused = True
    duration_s = world.rng.choice((0.7, 2.5, 6.0, 12.0, 65.0))
    await world.record_span("paused", process.host.incarnation, duration_s)
    process.gate.resume()


async def partition(world: World) -> None:
    """Disconnect one region from one or both of the others."""
    region, *others = world.rng.sample(world_module.REGIONS, 3)
    others = others[: world.rng.randint(1, 2)]
    pairs = {frozenset((region, other)) for other in others}
    world.partitions |= pairs
    await world.record_span("fault", "", world.rng.choice((1.5, 6.0, 30.0)))
    world.partitions -= pairs


async def lose_messages(world: World) -> None:
    """Lose a fifth of the messages between entry hosts."""
    world.loss_rate = 0.2
    await world.record_span("fault", "", 12.0)
    world.loss_rate = 0.0


async def store_down(world: World) -> None:
    """Stop the store, in some cases for longer than the seat lease."""
    world.core.faults.down = True
    await world.record_span("fault", "", world.rng.choice((3.0, 12.0, 40.0)))
    world.core.faults.down = False


async def store_slow(world: World) -> None:
    """Delay the store's answers, in some cases past the clients' timeout."""
    world.core.faults.delay_s = world.rng.choice((0.4, 1.5, 2.5))
    await world.record_span("fault", "", 15.0)
    world.core.faults.delay_s = 0.0


async def store_lossy(world: World) -> None:
    """Lose writes or their answers, serve stale reads and delay writes."""
    faults, rng = world.core.faults, world.rng
    faults.lose_answers, faults.lose_requests = rng.choice(((4, 0), (1, 2)))
    faults.stale_by = rng.choice((0, 3))
    world.late_writes = True
    await world.record_span("fault", "", 15.0)
    world.late_writes = False
    faults.lose_answers = faults.lose_requests = faults.stale_by = 0


async def set_limits(world: World) -> None:
    """Change limits three times, by two concurrent operators each."""
    for _ in range(3):
        await asyncio.gather(world.set_limits(), world.set_limits())
        await asyncio.sleep(world.rng.uniform(1.0, 7.0))


async def drain(world: World) -> None:
    """Drain a server, stop it and start it again.

    Its answers to probes report that it is leaving. In some cases it also
    refuses requests, or the platform's host list says that it is leaving.
    """
    rng = world.rng
    server = rng.choice(list(world.servers.values()))
    server.leaving = True
    server.refuses = rng.random() < 0.3
    if rng.random() < 0.5:
        _write_host_lists(world)
    await asyncio.sleep(rng.choice((6.0, 12.0)))
    server.shut_down()
    await asyncio.sleep(rng.choice((0.3, 5.0)))
    server.start_up()
    _write_host_lists(world)


def _write_host_lists(world: World) -> None:
    """Write the platform's host list of each region."""
    for region in world_module.REGIONS:
        stored = world.core.objects.get(f"hosts/{region}-a")
        listed = [
            {
                "name": server.name,
                "role": "backend-server",
                "state": "leaving" if server.leaving else "live",
            }
            for server in world.servers.values()
            if server.region == region
        ]
        revision = stored.revision if stored else 0
        world.core.put(f"hosts/{region}-a", {"hosts": listed}, revision)


async def crash(world: World) -> None:
    """Crash a server and start it again."""
    server = world.rng.choice(list(world.servers.values()))
    server.shut_down()
    await asyncio.sleep(world.rng.choice((0.5, 6.0)))
    server.start_up()


async def failures(world: World) -> None:
    """Raise the rates of refused, late and reset requests to 30 % each."""
    for server in world.servers.values():
        server.failure_rate = 0.3
    await asyncio.sleep(10.0)
    for server in world.servers.values():
        server.failure_rate = world_module.FAILURE_RATE


async def lose_region(world: World) -> None:
    """Kill the hosts and servers of a region and start them again."""
    region = world.rng.choice(world_module.REGIONS)
    servers = [
        server for server in world.servers.values() if server.region == region
    ]
    names = [
        name for name in world.hosts if world.hosts[name].region == region
    ]
    for name in names:
        if not world.hosts[name].gate.dead:
            world.end_process(world.hosts[name], planned=False)
    for server in servers:
        server.shut_down()
    await asyncio.sleep(world.rng.choice((4.0, 30.0)))
    for server in servers:
        server.start_up()
    for name in names:
        world.start_host(name)


async def flood(world: World) -> None:
    """Raise the rate of exports eightfold, then that of urgent requests."""
    for work in ("case-export", "file-claim"):
        world.request_rates[work] *= 8.0
        await asyncio.sleep(4.0)
        world.request_rates[work] /= 8.0


FAULTS: tuple[world_module.Injector, ...] = (
    *(kill, stop, pause, partition, lose_messages, lose_region, flood),
    *(store_down, store_slow, store_lossy, set_limits, drain, crash, failures),
)


async def schedule(world: World) -> None:
    """Start one or two faults at a time until the run ends."""
    rng = world.schedule_rng
    await asyncio.sleep(4.0)
    while True:
        for fault in rng.sample(FAULTS, rng.choice((1, 2, 2))):
            world.fault_log.append(f"{world.now():.1f} {fault.__name__}")
            hosts_module.spawn(fault(world))
        await asyncio.sleep(rng.uniform(0.6, 1.0) * MAX_FAULT_INTERVAL_S)
