"""Send requests with bodies and an offer to change the protocol."""

import asyncio
import contextlib
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import world as standins  # noqa: E402

HOSTS = 2
# Fields that HTTP clients send with their first request on a connection
# without TLS to offer HTTP/2. A server that doesn't take the offer answers
# with HTTP/1.1, as if the fields weren't there.
OFFER = (
    "Connection: Upgrade, HTTP2-Settings\r\n"
    "Upgrade: h2c\r\n"
    "HTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA\r\n"
)
FORM = b'{"claim":"deposit","amount":"640.00","defendant":"A. Tamm"}'
# A body that is itself a message, as in a saved copy of a request.
COPY = (
    b"DELETE /filing/17 HTTP/1.1\r\n"
    b"Host: portal.example\r\n"
    b"X-Samphirelug-Request-Id: copied-in-a-body\r\n"
    b"X-Samphirelug-Deadline-Ms: 4000\r\n"
    b"\r\n"
)
REPEATS = 5


class RecordingWorker(standins.Worker):
    """Note the method, target and body of each request that it runs."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.seen = []

    async def answer(self, message):
        """Note a request and answer it."""
        method, target, _ = message.first.split(" ")
        self.seen.append(
            (message.get(standins.REQUEST_ID), method, target, message.body)
        )
        return await super().answer(message)


def chunked(body):
    """Return a body in two chunks."""
    parts = (body[:20], body[20:], b"")
    return b"".join(
        f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in parts
    )


def render(request_id, body, *, offer, in_chunks):
    """Return the bytes of a POST request."""
    framing = (
        "Transfer-Encoding: chunked"
        if in_chunks
        else f"Content-Length: {len(body)}"
    )
    return (
        "POST /filing/17 HTTP/1.1\r\nHost: portal.example\r\n"
        f"X-Samphirelug-Request-Id: {request_id}\r\n"
        f"X-Samphirelug-Deadline-Ms: 4000\r\n"
        f"{offer}{framing}\r\n\r\n"
    ).encode() + (chunked(body) if in_chunks else body)


async def send(host, record, request_id, data):
    """Send one request on a new connection; return all that comes back."""
    reader, writer = await asyncio.open_connection(host.ip, host.front)
    writer.write(data)
    received = b""
    with contextlib.suppress(TimeoutError, OSError):
        async with asyncio.timeout(2.0):
            while data := await reader.read(65536):
                received += data
    writer.close()
    lines = [
        line.split(b"\r\n")[0].decode("latin-1")
        for line in received.split(b"HTTP/1.1 ")[1:]
    ]
    record.write(f"client: {request_id} gets {lines}")
    return lines


async def main():
    """Run the case and return the exit code."""
    record = standins.Record(HERE / "record.txt")
    offer = OFFER if os.environ.get("TROUBLE", "1") != "0" else ""
    world = standins.World(record)
    sent = {}
    tasks = []
    try:
        await world.start(hosts=HOSTS, workers=4, worker_type=RecordingWorker)
        for host in world.hosts:
            for number in range(REPEATS):
                for name, body, in_chunks in (
                    ("form", FORM, False),
                    ("form-in-chunks", FORM, True),
                    ("copy", COPY, False),
                ):
                    request_id = f"{host.name}-{name}-{number}"
                    sent[request_id] = body
                    data = render(
                        request_id, body, offer=offer, in_chunks=in_chunks
                    )
                    tasks.append(send(host, record, request_id, data))
        answers = dict(zip(sent, await asyncio.gather(*tasks), strict=True))
    except standins.CannotRunError as error:
        record.write(f"cannot run: {error}")
        return 2
    finally:
        world.stop()
    return judge(world, sent, answers)


def judge(world, sent, answers):
    """Return 1 if UNASKED is broken, and record what was seen."""
    changed = []
    unsent = []
    for worker in world.workers:
        for request_id, method, target, body in worker.seen:
            if request_id not in sent:
                unsent.append((request_id, method, target))
            elif (method, target, body) != (
                "POST",
                "/filing/17",
                sent[request_id],
            ):
                changed.append(request_id)
                world.record.write(
                    f"worker {worker.name} ran {request_id} with a body of"
                    f" {len(body)} bytes, sent were {len(sent[request_id])}"
                )
    for request_id, method, target in unsent:
        world.record.write(
            f"a worker ran {method} {target} with the id {request_id}, which"
            " no client sent as a request"
        )
    served = sum(lines[:1] == ["200 OK"] for lines in answers.values())
    extra = sum(len(lines) > 1 for lines in answers.values())
    world.record.write(
        f"{len(sent)} requests, {served} answered 200; run with another body:"
        f" {len(changed)}; runs that no client asked for: {len(unsent)};"
        f" connections with a further answer: {extra}"
    )
    if not served:
        world.record.write("cannot run: no request was served")
        return 2
    broken = bool(changed or unsent)
    world.record.write("UNASKED is broken" if broken else "UNASKED holds")
    return 1 if broken else 0


if __name__ == "__main__":
    standins.run(main)
