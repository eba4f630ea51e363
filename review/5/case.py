"""Let three of six hosts lose power at once, one of them for good."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import platform_world as world  # noqa: E402

HOST_ZONES = ["z-a", "z-a", "z-b", "z-b", "z-c", "z-c"]
# Hosts that lose power at the same moment, half of all. The first one is
# removed for good, the others start again.
LOST_HOST = 2
RESTARTED_HOSTS = (0, 5)
# Hosts that run all the while, and answer look-ups.
ASKED_HOSTS = (1, 3, 4)
SETTLE_S = 4.0
POWER_OFF_S = 2.0
# StableWindow and 3 s: from then on no answer may name the lost host.
LATE_AFTER_S = 3.0 + 3.0
LENGTH_S = 30.0
PAUSE_S = 0.5
# More answers than this that name the lost host break the rule.
ALLOWED_ANSWERS = 3


async def look_up(host: world.Host, *, zone: str) -> list[str]:
    """Ask a host's directory where the callers of a zone may connect."""
    reader, writer = await asyncio.open_connection(
        host.ip, host.ports["Directory"]
    )
    target = (
        f"/-/resolve?Name={world.HOSTNAME}"
        f"&Region={world.ZONES[zone]}&Zone={zone}"
    )
    writer.write(world.render(f"GET {target} HTTP/1.1", {"Host": host.ip}))
    answer = await world.read_message(reader)
    writer.close()
    if answer is None or answer.start[1] != "200":
        return []
    addresses: list[str] = json.loads(answer.body)["Addresses"]
    return addresses


async def restart_later(
    deployment: world.World, hosts: list[world.Host]
) -> None:
    """Start hosts again when their power is back."""
    await asyncio.sleep(POWER_OFF_S)
    for host in hosts:
        deployment.start(host)
        deployment.record.write(f"platform: {host.name} starts again")


async def play(record: world.Record, in_trouble: bool) -> bool:
    """Return whether answers name the lost host for too long."""
    loop = asyncio.get_running_loop()
    async with world.World(record=record, host_zones=HOST_ZONES) as deployment:
        await deployment.configure(
            version=7,
            rules=[
                world.rule(
                    name="status",
                    kind="safe",
                    prefix="/status/",
                    timeout_ms=1200,
                )
            ],
        )
        await deployment.start_hosts()
        await asyncio.sleep(SETTLE_S)
        hosts = deployment.hosts
        lost = hosts[LOST_HOST]
        lost_address = f"{lost.ip}:{lost.ports['Front']}"
        off_at_s = loop.time()
        restart = None
        if in_trouble:
            restarted = [hosts[index] for index in RESTARTED_HOSTS]
            for host in (lost, *restarted):
                assert host.process is not None
                host.process.kill()
                host.process.wait()
                record.write(f"platform: {host.name} loses power")
            restart = asyncio.ensure_future(
                restart_later(deployment, restarted)
            )
        # Addresses of the machines that run all the while.
        running = {
            f"{host.ip}:{host.ports['Front']}"
            for host in (hosts[index] for index in ASKED_HOSTS)
        }
        answers = wrong = 0
        while loop.time() - off_at_s < LENGTH_S:
            for index in ASKED_HOSTS:
                asked_at_s = loop.time()
                addresses = await look_up(hosts[index], zone=lost.zone)
                if asked_at_s - off_at_s <= LATE_AFTER_S:
                    continue
                answers += 1
                names_lost = (
                    lost_address in addresses
                    and not running.isdisjoint(addresses)
                )
                wrong += in_trouble and names_lost
                record.write(
                    f"client: {hosts[index].name} names"
                    f" {len(addresses)} hosts for {lost.zone},"
                    f" {'with' if names_lost else 'without'} {lost.name}"
                )
            await asyncio.sleep(PAUSE_S)
        if restart is not None:
            await restart
        record.write(
            f"{answers} answers later than {LATE_AFTER_S} s after the loss,"
            f" {wrong} of them name {lost.name}, which is off"
        )
        return wrong > ALLOWED_ANSWERS


if __name__ == "__main__":
    sys.exit(world.main(play, folder=FOLDER))
