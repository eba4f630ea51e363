"""Send requests as callers do, and record the outcome of each."""

import asyncio
import contextlib
import itertools
import random
from typing import NamedTuple

import orjson

from samphirelug.components.http import response_parser
from standins.soak import keys

REQUEST_ID = "x-samphirelug-request-id"
RESPONSE_SEAL = "x-samphirelug-response-seal"
DEADLINE_MS = 2000
ANSWER_TIMEOUT_S = 3.0
# Statuses that guarantee that the request was not run.
NOT_RUN_STATUSES = (401, 408, 421, 429, 503)
MAX_UPLOAD_BYTES = 120_000


class Kind(NamedTuple):
    """Hold the properties of a route."""

    name: str
    idempotent: bool
    is_public: bool = False


KINDS = (
    Kind("status", True),
    Kind("page", True, True),
    Kind("filing", False),
    Kind("upload", False),
)


class Outcome(NamedTuple):
    """Hold the outcome of one request."""

    request_id: str
    kind: Kind
    # Key of a team that the caller sent.
    key: str | None
    # None if no complete answer came before the timeout or the end of the
    # connection.
    status: int | None
    sealed: bool
    body: bytes
    # Request ID in the answer.
    answered_id: str | None
    sent_at_s: float
    ended_at_s: float
    # Address of the entry host.
    host: str


class Caller:
    """Send requests one after the other over a persistent connection."""

    def __init__(
        self,
        *,
        name: str,
        lookup_addresses: list[tuple[str, int]],
        rng: random.Random,
        keys: keys.KeyBook,
        outcomes: list[Outcome],
    ) -> None:
        self.name = name
        self.lookup_addresses = lookup_addresses
        self.rng = rng
        self.keys = keys
        self.outcomes = outcomes
        self.request_numbers = itertools.count()
        self.connection: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter, str] | None
        ) = None

    async def run(self, until_s: float) -> None:
        """Send requests until the given time of the event loop's clock."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.uniform(0.01, 0.08))
            if self.connection is None:
                self.connection = await self._connect()
            if self.connection is not None:
                await self._send_request(loop.time())
        if self.connection is not None:
            self.connection[1].close()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, str] | None:
        with contextlib.suppress(
            OSError, TimeoutError, ValueError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    *self.rng.choice(self.lookup_addresses)
                )
                writer.write(
                    b"GET /-/resolve?Name=portal.example&Region=a&Zone=a1"
                    b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                answer = await reader.read()
                writer.close()
                body = orjson.loads(answer.partition(b"\r\n\r\n")[2])
                address = self.rng.choice(body["Addresses"])
                host, _, port = address.partition(":")
                streams = await asyncio.open_connection(host, int(port))
                return (*streams, address)
        return None

    async def _send_request(self, sent_at_s: float) -> None:
        assert self.connection is not None
        reader, writer, address = self.connection
        request_id = f"{self.name}-{next(self.request_numbers)}"
        kind = self.rng.choice(KINDS)
        key = self.keys.choose(self.rng)
        method = "GET" if kind.idempotent else "POST"
        size = (
            self.rng.randrange(MAX_UPLOAD_BYTES)
            if kind.name == "upload"
            else 0
        )
        affinity_key = self.rng.randrange(9)
        parser = response_parser.ResponseParser(is_head=False)
        try:
            writer.write(
                f"{method} /{kind.name}/1 HTTP/1.1\r\nHost: portal.example\r\n"
                f"{REQUEST_ID}: {request_id}\r\nContent-Length: {size}\r\n"
                f"{self._team_fields(key)}"
                f"Cookie: X-Samphirelug-Affinity-Key={affinity_key}\r\n"
                f"X-Samphirelug-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode()
                + bytes(size)
            )
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not parser.completed and not parser.error:
                    data = await reader.read(65536)
                    if not data:
                        break
                    parser.feed(data)
        except (OSError, TimeoutError):
            writer.close()
            self.connection = None
        response = parser.completed[0] if parser.completed else None
        if response is None or not response.keep_alive:
            writer.close()
            self.connection = None
        self.outcomes.append(
            Outcome(
                request_id=request_id,
                kind=kind,
                key=key,
                status=response.status if response else None,
                sealed=bool(response and response.get(RESPONSE_SEAL)),
                body=response.body if response else b"",
                answered_id=response.get(REQUEST_ID) if response else None,
                sent_at_s=sent_at_s,
                ended_at_s=asyncio.get_running_loop().time(),
                host=address,
            )
        )

    def _team_fields(self, key: str | None) -> str:
        """Return the field with the key, sometimes with a forged team."""
        lines = ""
        if key is not None:
            lines = f"X-Samphirelug-Credential: {key}\r\n"
        if self.rng.random() < 0.2:
            lines += f"X_Samphirelug_Credential: {key}\r\n"
            lines += "x-samphirelug-TENANT: forged\r\n"
            lines += "X_Samphirelug-Tenant: forged\r\n"
        return lines
