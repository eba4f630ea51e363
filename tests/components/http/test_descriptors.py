"""Test a listener that has no file descriptors left."""

import asyncio
from collections.abc import Iterator
import contextlib
import os
import resource
import socket

import pytest
from returns.result import Failure

from samphirelug.components.backend import model as backend_model
from samphirelug.components.forwarding import model as forwarding_model
from samphirelug.components.http import io_pipeline
from samphirelug.components.http import io_pool
from samphirelug.components.http import model
from samphirelug.components.http import request_parser
from samphirelug.helpers import timer as timer_helper
from standins import forwarding as build
from tests.components.http import handlers

DESCRIPTORS = 30
OBSERVED_S = 0.5
# Errors that a listener may report in this time.
MAX_ERRORS = 10


class ShortHandler(handlers.SequentialHandler):
    """Answer each request at once."""

    async def handle(
        self, message: request_parser.CallerMessage
    ) -> model.Response:
        """Return a short body."""
        del message
        return model.Response(200, "OK", (), b"done")


@pytest.fixture(name="few_descriptors")
def limit_descriptors() -> Iterator[None]:
    """Let the process open only a few more descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    used = len(os.listdir("/proc/self/fd"))
    resource.setrlimit(resource.RLIMIT_NOFILE, (used + DESCRIPTORS, hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.mark.usefixtures("few_descriptors")
def test_listener_without_descriptors_does_not_spin() -> None:
    """Guard against a host that only reports that it cannot accept."""

    async def main() -> tuple[int, bytes]:
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: errors.append(context)
        )
        listener = io_pipeline.CallerListener(
            handler=ShortHandler(),
            limits=lambda: build.LIMITS,
            timer=timer_helper.LoopTimerService(),
            memory=build.memory(),
            answer_memory=build.memory(),
            max_connections=build.MAX_CONNECTIONS,
        )
        listener.start_listening(host="127.0.0.1", port=0)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", listener.port
        )
        with contextlib.ExitStack() as stack:
            with contextlib.suppress(OSError):
                while True:
                    sock = stack.enter_context(socket.socket())
                    sock.connect(("127.0.0.1", listener.port))
            await asyncio.sleep(OBSERVED_S)
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            status_line = await asyncio.wait_for(reader.readline(), 5)
        writer.close()
        listener.stop()
        return len(errors), status_line

    error_count, status_line = asyncio.run(main())
    assert status_line == b"HTTP/1.1 200 OK\r\n"
    assert error_count <= MAX_ERRORS


@pytest.mark.usefixtures("few_descriptors")
def test_request_without_a_descriptor_for_it_is_not_sent() -> None:
    """Guard against a 500 that leaves open whether the request ran."""

    async def main() -> forwarding_model.AttemptResult:
        timer = timer_helper.LoopTimerService()
        sender = io_pool.PooledSender(
            timer=timer,
            names=build.NAMES,
            may_be_sent=lambda _: True,
            memory=build.memory(),
        )
        attempt = forwarding_model.Attempt(
            build.request(request_id="r1"),
            build.server("s0", address="127.0.0.1:9"),
            timer.monotonic() + 1.0,
            True,
        )
        with contextlib.ExitStack() as stack:
            with contextlib.suppress(OSError):
                while True:
                    stack.enter_context(socket.socket())
            return await sender.send(attempt)

    result = asyncio.run(main())
    assert isinstance(result, Failure)
    kind = result.failure().failure.kind
    assert kind is backend_model.FailureKind.NOT_SENT


def test_connections_beyond_the_limit_wait_until_others_end() -> None:
    """Guard against callers that take the descriptors for servers."""

    async def main() -> None:
        listener = io_pipeline.CallerListener(
            handler=ShortHandler(),
            limits=lambda: build.LIMITS,
            timer=timer_helper.LoopTimerService(),
            memory=build.memory(),
            answer_memory=build.memory(),
            max_connections=2,
        )
        listener.start_listening(host="127.0.0.1", port=0)
        connections = [
            await asyncio.open_connection("127.0.0.1", listener.port)
            for _ in range(3)
        ]
        for _, writer in connections:
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        answers = [
            asyncio.ensure_future(reader.readline())
            for reader, _ in connections
        ]
        done, waiting = await asyncio.wait(answers, timeout=OBSERVED_S)
        assert len(done) == 2
        assert len(listener.connections) == 2
        first = next(
            number for number, each in enumerate(answers) if each in done
        )
        connections[first][1].close()
        (last,) = waiting
        assert await asyncio.wait_for(last, 5) == b"HTTP/1.1 200 OK\r\n"
        for _, writer in connections:
            writer.close()
        listener.stop()

    asyncio.run(main())
