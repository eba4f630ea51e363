"""Apply random faults, drawn from a seed, to a running deployment."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import signal

from standins.soak import keys
from standins.soak import world as soak_world

# Takes the deployment and the duration of the fault in seconds.
Fault = Callable[[soak_world.World, float], Awaitable[None]]
# Depth of an odd entry; the stand-in of the store cannot write 255 levels.
NESTING_DEPTH = 110


async def terminate(world: soak_world.World, duration_s: float) -> None:
    """Stop an entry host with SIGTERM and start it again."""
    host = world.rng.choice(world.hosts)
    host.send_signal(signal.SIGTERM)
    await host.wait()
    await asyncio.sleep(duration_s / 4)
    await host.start()


async def kill(world: soak_world.World, duration_s: float) -> None:
    """Kill an entry host with SIGKILL and start it again."""
    host = world.rng.choice(world.hosts)
    host.send_signal(signal.SIGKILL)
    await host.wait()
    await asyncio.sleep(duration_s / 4)
    await host.start()


async def pause(world: soak_world.World, duration_s: float) -> None:
    """Suspend an entry host's process for a while."""
    host = world.rng.choice(world.hosts)
    host.send_signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    host.send_signal(signal.SIGCONT)


async def reload(world: soak_world.World, duration_s: float) -> None:
    """Let all entry hosts reload their settings."""
    del duration_s
    for host in world.hosts:
        host.send_signal(signal.SIGHUP)


async def impair_store(world: soak_world.World, duration_s: float) -> None:
    """Make the store unavailable or slow, or let it lose answers."""
    world.store.fault = world.rng.choice(["down", "slow", "lost"])
    await asyncio.sleep(duration_s)
    world.store.fault = ""


async def compact_store_history(
    world: soak_world.World, duration_s: float
) -> None:
    """Let the store compact its history, which ends outdated watches."""
    del duration_s
    world.store.compact_history()


async def stall_path(world: soak_world.World, duration_s: float) -> None:
    """Hold back all bytes of a path in one or both directions."""
    path = world.rng.choice([*world.store_proxies, *world.proxies.values()])
    directions = world.rng.choice([("up",), ("down",), ("up", "down")])
    for direction in directions:
        path.flowing[direction].clear()
    await asyncio.sleep(duration_s)
    for direction in directions:
        path.flowing[direction].set()


async def delay_path(world: soak_world.World, duration_s: float) -> None:
    """Delay the bytes of a path."""
    path = world.rng.choice([*world.store_proxies, *world.proxies.values()])
    path.delay_s = world.rng.uniform(0.02, 0.3)
    await asyncio.sleep(duration_s)
    path.delay_s = 0.0


async def reset_connections(
    world: soak_world.World, duration_s: float
) -> None:
    """Reset the connections to two servers."""
    del duration_s
    for path in world.rng.sample(list(world.proxies.values()), 2):
        path.reset_connections()


async def crash_server(world: soak_world.World, duration_s: float) -> None:
    """Crash a server without notice; its entry is deleted later."""
    if len(world.servers) < 3:
        return
    instance_id = world.rng.choice(list(world.servers))
    world.servers.pop(instance_id).crash()
    await asyncio.sleep(duration_s)
    world.store.delete("servers", instance_id)
    await world.add_server()


async def replace_server(world: soak_world.World, duration_s: float) -> None:
    """Add a server, then drain the oldest one."""
    await world.add_server()
    await asyncio.sleep(duration_s / 4)
    world.drain_server()


async def fail_some_requests(
    world: soak_world.World, duration_s: float
) -> None:
    """Let a server refuse some requests, or run some without an answer."""
    handler = world.rng.choice(list(world.servers.values())).handler
    field = world.rng.choice(["refusal_rate", "lost_answer_rate"])
    setattr(handler, field, world.rng.uniform(0.1, 0.6))
    await asyncio.sleep(duration_s)
    setattr(handler, field, 0.0)


async def send_stray_answers(
    world: soak_world.World, duration_s: float
) -> None:
    """Let a server send its previous answer again before some answers."""
    handler = world.rng.choice(list(world.servers.values())).handler
    handler.stray_answer_rate = world.rng.uniform(0.1, 0.6)
    await asyncio.sleep(duration_s)
    handler.stray_answer_rate = 0.0


async def repeat_refusals(world: soak_world.World, duration_s: float) -> None:
    """Let a server send an earlier refusal again before some answers."""
    handler = world.rng.choice(list(world.servers.values())).handler
    handler.refusal_rate = 0.2
    handler.repeated_refusal_rate = world.rng.uniform(0.1, 0.6)
    await asyncio.sleep(duration_s)
    handler.refusal_rate = handler.repeated_refusal_rate = 0.0


async def ask_for_pauses(world: soak_world.World, duration_s: float) -> None:
    """Let a server refuse some requests with a Retry-After time."""
    handler = world.rng.choice(list(world.servers.values())).handler
    handler.refusal_rate = 0.2
    handler.retry_after_s = world.rng.uniform(0.2, 2.0)
    await asyncio.sleep(duration_s)
    handler.refusal_rate = handler.retry_after_s = 0.0


async def corrupt_store(world: soak_world.World, duration_s: float) -> None:
    """Store malformed entries and an old or malformed configuration."""
    nested: object = 1
    for _ in range(NESTING_DEPTH):
        nested = {"a": [nested]}
    malformed: list[object] = [
        "cut sho",
        {"Address": 7, "Info": None},
        {"Address": "127.0.0.1:1", "Info": {"Service": "desk"}},
        [],
        None,
        nested,
        {"Address": "127.0.0.1:99999", "Info": 1e300},
    ]
    for number, spec in enumerate(malformed):
        world.store.put("servers", f"garbage-{number}", spec)
    world.store.put(
        "config", "main", world.rng.choice([{"Version": "1"}, "cut sho"])
    )
    if world.keys is not None:
        world.keys.record(usable=False)
    await asyncio.sleep(duration_s)
    world.change_configuration()
    for number in range(len(malformed)):
        world.store.delete("servers", f"garbage-{number}")


async def configure(world: soak_world.World, duration_s: float) -> None:
    """Write a new version of the configuration."""
    del duration_s
    world.change_configuration()


async def change_keys(
    world: soak_world.World, key_book: keys.KeyBook, rng: random.Random
) -> None:
    """Add and remove keys until cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(0.3, 1.0))
        key_book.change()
        world.change_configuration()


FAULTS: tuple[Fault, ...] = (
    terminate,
    kill,
    pause,
    reload,
    impair_store,
    compact_store_history,
    stall_path,
    delay_path,
    reset_connections,
    crash_server,
    replace_server,
    fail_some_requests,
    send_stray_answers,
    repeat_refusals,
    ask_for_pauses,
    corrupt_store,
    configure,
)
# Planned operations; these alone must not cut off any request.
PLANNED: tuple[Fault, ...] = (terminate, reload, replace_server, configure)


async def run(
    world: soak_world.World, *, seconds: float, kinds: tuple[Fault, ...]
) -> list[str]:
    """Start faults at random times, also overlapping; return their names."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    applied: list[str] = []
    running: list[asyncio.Task[None]] = []
    while loop.time() < end_s:
        fault = world.rng.choice(kinds)
        applied.append(fault.__name__)
        duration_s = world.rng.uniform(0.5, 4.0)
        running.append(asyncio.ensure_future(_apply(fault, world, duration_s)))
        await asyncio.sleep(world.rng.uniform(0.2, 2.5))
    await asyncio.gather(*running)
    return applied


async def _apply(
    fault: Fault, world: soak_world.World, duration_s: float
) -> None:
    # Several faults may hit the same host at once; HostProcess.start
    # ignores a host that another fault has already restarted.
    await fault(world, duration_s)
