"""Compare complete sessions, byte for byte, with golden files."""

import asyncio
import json
import pathlib

from syrupy import assertion
import yaml

from standins import demo
from standins import fleet
from tests.system import recorder

HOSTS = [fleet.HostLocation("eh1", "tallinn-a", "tallinn")]
ANSWER = (
    b"HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\n"
    b"Connection: close\r\nX-Kept: yes\r\nContent-Length: 8\r\n\r\naccepted"
)
TRUNCATED_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this"
UNFRAMED_ANSWER = b"HTTP/1.1 200 OK\r\n\r\nno end can be told"
NOT_RUN = (
    b"HTTP/1.1 503 Busy\r\nSamphirelug-Work: not-run\r\n"
    b"Content-Length: 0\r\n\r\n"
)


def request_bytes(
    target: str, *fields: str, method: str = "GET", body: str = ""
) -> bytes:
    """Return a request as a caller sends it."""
    lines = [f"{method} {target} HTTP/1.1", "Host: entry", *fields]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


class Session:
    """Hold a running entry host, its backend server and the record."""

    def __init__(self, *, running: fleet.Fleet) -> None:
        self.running = running
        self.record: list[str] = []
        self.server = recorder.RecordingServer(session=self.record)

    async def start(self) -> None:
        """Start the processes with a catalogue of one backend server."""
        port = fleet.free_ports(1)[0]
        self.running.server_ports["tallinn-a-1"] = port
        await self.server.start(port)
        await self.running.start_host("eh1", wait=False)
        path = pathlib.Path(self.running.directory.name, "one.yaml")
        path.write_text(
            yaml.safe_dump_all(demo.demo_catalogue({"tallinn-a-1": port}))
        )
        code, _, err = await self.running.command(
            "catalogue",
            "apply",
            str(path),
            "--store-url",
            self.running.store_url,
        )
        assert code == 0, err
        await self.running.wait_host_ready("eh1")

    async def send(self, rank: int, request: bytes, *answers: bytes) -> bytes:
        """Send a request; the server returns the answers in their order."""
        self.server.answers.extend(answers)
        port = self.running.ports["eh1"].callers[rank]
        return await recorder.exchange(self.record, port, request)


async def send_all(session: Session) -> None:
    """Send the requests of the session that the golden file holds."""
    lookup = await session.send(0, request_bytes("/v1/lookup/file-claim"))
    token = f"Samphirelug-Run-Token: {json.loads(lookup)['run_token']}"
    claim = request_bytes(
        "/v1/run/file-claim/claims/7?draft=0",
        token,
        "X-Request-Id: claim-7",
        "Connection: keep-alive, X-Hop",
        "X-Hop: stays here",
        "X-Kept: a",
        method="POST",
        body="deposit",
    )
    # The server refuses the first request and runs the second. After that, the
    # entry host returns the recorded outcome.
    await session.send(0, claim, NOT_RUN, ANSWER)
    await session.send(0, claim)
    await session.send(0, request_bytes("/v1/outcome", token))
    await session.send(
        0, request_bytes("/v1/run/file-claim/x", method="POST", body="x")
    )
    lookup = await session.send(0, request_bytes("/v1/lookup/file-claim"))
    token = f"Samphirelug-Run-Token: {json.loads(lookup)['run_token']}"
    truncated = request_bytes(
        "/v1/run/file-claim/x",
        token,
        "X-Request-Id: cut",
        method="POST",
        body="x",
    )
    await session.send(0, truncated, TRUNCATED_ANSWER)
    await session.send(0, truncated)
    status = request_bytes("/v1/run/case-status/x", "X-Request-Id: status")
    await session.send(1, status, UNFRAMED_ANSWER, ANSWER)
    await session.send(0, status)
    await session.send(
        1,
        request_bytes(
            "/v1/run/case-status/x", "Samphirelug-Deadline-Ms: soon"
        ),
    )
    await session.send(
        1, request_bytes("/v1/lookup/none", "X-Request-Id: none")
    )
    await session.send(1, request_bytes("/elsewhere", "X-Request-Id: path"))
    await session.send(
        1,
        request_bytes(
            "/v1/run/case-status/x",
            "X-Request-Id: large",
            method="POST",
            body="x" * 65537,
        )[:200],
    )


def test_whole_session(snapshot: assertion.SnapshotAssertion) -> None:
    """Guard against unintended changes of messages on the wire."""

    async def run() -> str:
        async with fleet.Fleet(hosts=HOSTS) as running:
            session = Session(running=running)
            await session.start()
            await send_all(session)
            return "\n".join(session.record)

    assert asyncio.run(run()) == snapshot


def test_masks_hide_only_what_differs() -> None:
    """Guard against a golden file that hides a changed message."""
    unmasked = "X-Request-Id: claim-7\nContent-Length: 8\nRetry-After: 1"
    assert recorder.mask(unmasked) == unmasked
