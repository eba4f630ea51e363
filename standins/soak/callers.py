"""Send requests as callers do, and keep what each of them got."""

import asyncio
import contextlib
import itertools
import random
from typing import NamedTuple

import orjson

from samphirelug.components.http import response_parser

REQUEST_ID = "x-samphirelug-request-id"
SEAL = "x-samphirelug-response-seal"
DEADLINE_MS = 2000
ANSWER_TIMEOUT_S = 3.0
PROMISES = (408, 421, 429, 503)


class Outcome(NamedTuple):
    """Hold what a caller got for one try."""

    request_id: str
    idempotent: bool
    # None if the connection ended without a whole answer.
    status: int | None
    sealed: bool
    body: bytes
    answered_id: str | None
    sent_at_s: float
    host: str


class Caller:
    """Send requests one after the other over a kept connection."""

    def __init__(
        self,
        *,
        name: str,
        lookups: list[tuple[str, int]],
        rng: random.Random,
        outcomes: list[Outcome],
    ) -> None:
        self.name = name
        self.lookups = lookups
        self.rng = rng
        self.outcomes = outcomes
        self.numbers = itertools.count()
        self.connection: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter, str] | None
        ) = None

    async def run(self, until_s: float) -> None:
        """Send requests until a time on the loop's clock."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.uniform(0.01, 0.08))
            if self.connection is None:
                self.connection = await self._connect()
            if self.connection is not None:
                await self._try(loop.time())
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
                    *self.rng.choice(self.lookups)
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
                opened = await asyncio.open_connection(host, int(port))
                return (*opened, address)
        return None

    async def _try(self, now: float) -> None:
        assert self.connection is not None
        reader, writer, host = self.connection
        request_id = f"{self.name}-{next(self.numbers)}"
        idempotent = self.rng.random() < 0.5
        method, path = ("GET", "status") if idempotent else ("POST", "filing")
        object_key = self.rng.randrange(9)
        parser = response_parser.ResponseParser(is_head=False)
        try:
            writer.write(
                f"{method} /{path}/1 HTTP/1.1\r\nHost: portal.example\r\n"
                f"{REQUEST_ID}: {request_id}\r\nContent-Length: 0\r\n"
                f"Cookie: X-Samphirelug-Affinity-Key={object_key}\r\n"
                f"X-Samphirelug-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode()
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
                idempotent=idempotent,
                status=response.status if response else None,
                sealed=bool(response and response.get(SEAL)),
                body=response.body if response else b"",
                answered_id=response.get(REQUEST_ID) if response else None,
                sent_at_s=now,
                host=host,
            )
        )
