"""Let a server send a body of small chunks without end, within the doses."""

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import platform_world as world  # noqa: E402

SERVERS = 18
# Share of the servers that are in trouble and the part of their answers that
# they spoil, both within the doses of "garble" in the site file.
TROUBLED_SERVERS = 6
SPOILT_EACH = 20
CLIENTS_PER_HOST = 16
LENGTH_S = 40.0
PAUSE_S = 0.3
# The time budget of fee-payment in the site file, and a timeout below it.
DEADLINE_MS = 8000
TIMEOUT_MS = 5000
WORK_S = 0.8
CHUNKS = b"4\r\nabcd\r\n" * 8000
# More requests than this that one machine loses break the rule.
ALLOWED_LOST = 3


class EndlessBody:
    """Answer one of many requests with a body that never ends."""

    def __init__(self, *, server: world.Server) -> None:
        self.server = server
        self.count = 0

    async def __call__(
        self, request: world.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Send chunks until the caller closes, for each n-th request."""
        self.count += 1
        if self.count % SPOILT_EACH:
            return False
        record = self.server.record
        record.write(
            f"{self.server.instance_id} sends chunks without end"
            f" for {request.request_id}"
        )
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            b"X-Samphirelug-Request-Id: "
            + request.request_id.encode()
            + b"\r\n\r\n"
        )
        sent = 0
        with contextlib.suppress(OSError):
            while not writer.is_closing():
                writer.write(CHUNKS)
                await writer.drain()
                sent += len(CHUNKS)
        record.write(
            f"{self.server.instance_id} sent {sent} bytes"
            f" for {request.request_id} until the caller closed"
        )
        return True


async def send_requests(
    host: world.Host, number: int, record: world.Record
) -> list[world.Reply]:
    """Send requests one after the other over a kept connection."""
    client = world.Client(host=host, record=record)
    replies = []
    count = 0
    with contextlib.closing(client):
        loop = asyncio.get_running_loop()
        end_at_s = loop.time() + LENGTH_S
        while loop.time() < end_at_s and not host.killed_for_memory:
            count += 1
            replies.append(
                await client.send(
                    request_id=f"{host.name}-{number}-{count}",
                    method="GET",
                    path="/fees/1",
                    deadline_ms=DEADLINE_MS,
                    key=f"k{number}-{count % 7}",
                )
            )
            await asyncio.sleep(PAUSE_S)
    return replies


async def play(record: world.Record, in_trouble: bool) -> bool:
    """Return whether a machine lost more requests than the rule allows."""
    async with world.World(
        record=record, host_zones=["z-a", "z-b", "z-c"]
    ) as deployment:
        await deployment.configure(
            version=7,
            rules=[
                world.rule(
                    name="fees",
                    kind="safe",
                    prefix="/fees/",
                    timeout_ms=TIMEOUT_MS,
                )
            ],
        )
        zones = list(world.ZONES)
        for number in range(SERVERS):
            server = world.Server(
                instance_id=f"i-{number:08x}",
                zone=zones[number % len(zones)],
                work_s=WORK_S,
                record=record,
            )
            if in_trouble and number < TROUBLED_SERVERS:
                server.trouble = EndlessBody(server=server)
            await deployment.add_server(server)
        await deployment.start_hosts()
        all_replies = await asyncio.gather(
            *(
                send_requests(host, number, record)
                for host in deployment.hosts
                for number in range(CLIENTS_PER_HOST)
            )
        )
        broken = False
        for number, host in enumerate(deployment.hosts):
            first = number * CLIENTS_PER_HOST
            replies = [
                reply
                for each in all_replies[first : first + CLIENTS_PER_HOST]
                for reply in each
            ]
            lost = world.lost_on_kept_connections(replies, deployment.servers)
            broken = broken or len(lost) > ALLOWED_LOST
            record.write(
                f"{host.name}: peak of {host.peak_mb:.0f} MB, {len(replies)}"
                f" requests, {len(lost)} of them passed on from a kept"
                " connection to a sound server and closed without an answer:"
                f" {', '.join(lost)}"
            )
        return broken


if __name__ == "__main__":
    sys.exit(world.main(play, folder=FOLDER))
