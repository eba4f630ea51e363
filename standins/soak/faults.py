"""Draw faults from a seed and apply them to a running world."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal

from standins.soak import world as soak_world

Fault = Callable[[soak_world.World, float], Awaitable[None]]


async def terminate(world: soak_world.World, hold_s: float) -> None:
    """Stop an entry host as planned and start it again."""
    host = world.rng.choice(world.hosts)
    host.send(signal.SIGTERM)
    await host.wait()
    await asyncio.sleep(hold_s / 4)
    await host.start()


async def kill(world: soak_world.World, hold_s: float) -> None:
    """Kill an entry host and start it again."""
    host = world.rng.choice(world.hosts)
    host.send(signal.SIGKILL)
    await host.wait()
    await asyncio.sleep(hold_s / 4)
    await host.start()


async def pause(world: soak_world.World, hold_s: float) -> None:
    """Let an entry host stand still."""
    host = world.rng.choice(world.hosts)
    host.send(signal.SIGSTOP)
    await asyncio.sleep(hold_s)
    host.send(signal.SIGCONT)


async def reload(world: soak_world.World, hold_s: float) -> None:
    """Tell all entry hosts that their settings changed."""
    del hold_s
    for host in world.hosts:
        host.send(signal.SIGHUP)


async def store_away(world: soak_world.World, hold_s: float) -> None:
    """Let the store be down or slow, or lose answers."""
    world.book.fault = world.rng.choice(["down", "slow", "lost"])
    await asyncio.sleep(hold_s)
    world.book.fault = ""


async def forget_history(world: soak_world.World, hold_s: float) -> None:
    """Let the store forget its history."""
    del hold_s
    world.book.forget_history()


async def silence(world: soak_world.World, hold_s: float) -> None:
    """Silence one or both directions of a path."""
    one = world.rng.choice([*world.store_proxies, *world.proxies.values()])
    directions = world.rng.choice([("up",), ("down",), ("up", "down")])
    for direction in directions:
        one.open[direction].clear()
    await asyncio.sleep(hold_s)
    for direction in directions:
        one.open[direction].set()


async def delay(world: soak_world.World, hold_s: float) -> None:
    """Delay a path."""
    one = world.rng.choice([*world.store_proxies, *world.proxies.values()])
    one.delay_s = world.rng.uniform(0.02, 0.3)
    await asyncio.sleep(hold_s)
    one.delay_s = 0.0


async def reset(world: soak_world.World, hold_s: float) -> None:
    """Reset the connections of some paths."""
    del hold_s
    for one in world.rng.sample(list(world.proxies.values()), 2):
        one.reset_all()


async def crash_server(world: soak_world.World, hold_s: float) -> None:
    """Let a server end without a word; its entry lapses later."""
    if len(world.servers) < 3:
        return
    instance_id = world.rng.choice(list(world.servers))
    world.servers.pop(instance_id).crash()
    await asyncio.sleep(hold_s)
    world.book.delete("servers", instance_id)
    await world.add_server()


async def drain_server(world: soak_world.World, hold_s: float) -> None:
    """Replace a server as planned."""
    await world.add_server()
    await asyncio.sleep(hold_s / 4)
    world.drain_server()


async def fail_partly(world: soak_world.World, hold_s: float) -> None:
    """Let a server refuse requests, or lose answers to what it ran."""
    handler = world.rng.choice(list(world.servers.values())).handler
    field = world.rng.choice(["refuse", "lose"])
    setattr(handler, field, world.rng.uniform(0.1, 0.6))
    await asyncio.sleep(hold_s)
    setattr(handler, field, 0.0)


async def send_stray_answers(world: soak_world.World, hold_s: float) -> None:
    """Let a server send answers to earlier requests before the own one."""
    handler = world.rng.choice(list(world.servers.values())).handler
    handler.stray = world.rng.uniform(0.1, 0.6)
    await asyncio.sleep(hold_s)
    handler.stray = 0.0


async def corrupt_store(world: soak_world.World, hold_s: float) -> None:
    """Store entries that cannot be read, and an old configuration."""
    garbage: list[object] = [
        "cut sho",
        {"Address": 7, "Info": None},
        {"Address": "127.0.0.1:1", "Info": {"Service": "desk"}},
        [],
    ]
    for number, spec in enumerate(garbage):
        world.book.put("servers", f"garbage-{number}", spec)
    world.book.put(
        "config", "main", world.rng.choice([{"Version": "1"}, "cut sho"])
    )
    await asyncio.sleep(hold_s)
    world.change_configuration()
    for number in range(len(garbage)):
        world.book.delete("servers", f"garbage-{number}")


async def configure(world: soak_world.World, hold_s: float) -> None:
    """Change the configuration."""
    del hold_s
    world.change_configuration()


FAULTS: tuple[Fault, ...] = (
    terminate,
    kill,
    pause,
    reload,
    store_away,
    forget_history,
    silence,
    delay,
    reset,
    crash_server,
    drain_server,
    fail_partly,
    send_stray_answers,
    corrupt_store,
    configure,
)
# What an operator does; requests must not be cut off by these alone.
PLANNED: tuple[Fault, ...] = (terminate, reload, drain_server, configure)


async def run(
    world: soak_world.World, *, seconds: float, kinds: tuple[Fault, ...]
) -> list[str]:
    """Apply faults in series and overlapping; return their names."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    applied: list[str] = []
    running: list[asyncio.Task[None]] = []
    while loop.time() < end_s:
        fault = world.rng.choice(kinds)
        applied.append(fault.__name__)
        hold_s = world.rng.uniform(0.5, 4.0)
        running.append(asyncio.ensure_future(_apply(fault, world, hold_s)))
        await asyncio.sleep(world.rng.uniform(0.2, 2.5))
    await asyncio.gather(*running)
    return applied


async def _apply(fault: Fault, world: soak_world.World, hold_s: float) -> None:
    # Two faults may meet at one host; a host that ended is started again.
    await fault(world, hold_s)
