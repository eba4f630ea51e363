"""Record the bytes that an entry host exchanges, for golden files."""

import asyncio
import re

READ_TIMEOUT_S = 10.0
# Text that differs between runs, and its replacement.
MASKS = [
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS:PORT"),
    (
        re.compile(r"Samphirelug-Deadline-Ms: \d+"),
        "Samphirelug-Deadline-Ms: N",
    ),
    (re.compile(r'"run_token":"[^"]+"'), '"run_token":"TOKEN"'),
    (
        re.compile(r"Samphirelug-Run-Token: \S+"),
        "Samphirelug-Run-Token: TOKEN",
    ),
    (re.compile(r'"request_id":"[0-9a-f]{32}"'), '"request_id":"ID"'),
    (re.compile(r"X-Request-Id: [0-9a-f]{32}"), "X-Request-Id: ID"),
]


def mask(text: str) -> str:
    """Replace the text that differs between runs."""
    for pattern, replacement in MASKS:
        text = pattern.sub(replacement, text)
    return text


def record_message(session: list[str], title: str, data: bytes) -> None:
    """Add a message to the record of a session."""
    text = mask(data.decode("latin-1")).replace("\r\n", "\n")
    session.append(f"--- {title}\n{text}")


class RecordingServer:
    """Answer health probes, and all other requests with prepared bytes."""

    def __init__(self, *, session: list[str]) -> None:
        self.session = session
        self.answers: list[bytes] = []
        self.server: asyncio.Server | None = None

    async def start(self, port: int) -> None:
        """Listen on a port."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        body = await reader.readexactly(int(length[1])) if length else b""
        if head.startswith(b"GET /health "):
            content = b'{"state":"live","load":0,"incarnation":"one"}'
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
                % (len(content), content)
            )
        else:
            record_message(
                self.session, "entry host to backend server", head + body
            )
            answer = self.answers.pop(0)
            record_message(
                self.session, "backend server to entry host", answer
            )
            writer.write(answer)
        await writer.drain()
        writer.close()


async def exchange(session: list[str], port: int, request: bytes) -> bytes:
    """Send a caller's request, record the messages and return the body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    record_message(session, "caller to entry host", request)
    writer.write(request)
    async with asyncio.timeout(READ_TIMEOUT_S):
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        body = await reader.readexactly(int(length[1])) if length else b""
    writer.close()
    record_message(session, "entry host to caller", head + body)
    return body
