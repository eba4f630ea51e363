"""Test the HTTP client of the store against the stand-in store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket

import pytest
from returns.result import Failure
from returns.result import Success

from samphirelug.components.store import budget
from samphirelug.components.store import io_http_store
from samphirelug.components.store import io_transport
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from standins import store as store_standin

TIMEOUTS = io_transport.StoreTimeouts(connect_s=0.3, request_s=0.3, list_s=0.3)


def make_client(port: int) -> io_http_store.HttpObjectStore:
    """Return a client with short timeouts."""
    return io_http_store.HttpObjectStore(
        base_url=f"http://127.0.0.1:{port}",
        budget=budget.CallBudget(timer=timer_helper.LoopTimerService()),
        timeouts=TIMEOUTS,
    )


def run_with_store(
    scenario: Callable[
        [store_standin.StoreCore, io_http_store.HttpObjectStore],
        Awaitable[None],
    ],
) -> None:
    """Run a scenario against a stand-in store without objects."""

    async def run() -> None:
        core = store_standin.StoreCore()
        client = make_client(store_standin.listen(core, port=0))
        await scenario(core, client)
        client.close()

    asyncio.run(run())


def refusal_code(result: object) -> result_codes.ResultCode:
    """Return the code of a failed call."""
    assert isinstance(result, Failure)
    code = result.failure().code
    assert isinstance(code, result_codes.ResultCode)
    return code


def test_write_requires_the_expected_revision() -> None:
    """Guard against a write that ignores the expected revision."""

    async def scenario(
        core: store_standin.StoreCore, client: io_http_store.HttpObjectStore
    ) -> None:
        first = (
            await client.put("a/b", {"n": 1}, expected_revision=0)
        ).unwrap()
        assert first.revision == 1
        conflict = await client.put("a/b", {"n": 2}, expected_revision=0)
        assert refusal_code(conflict) is result_codes.ResultCode.STORE_CONFLICT
        assert (await client.get("a/b")) == Success(first)
        missing = await client.get("a/c")
        assert (
            refusal_code(missing) is result_codes.ResultCode.OBJECT_NOT_FOUND
        )
        listing = (await client.list("a/")).unwrap()
        assert listing == (1, (first,))
        assert core.calls == {"put": 2, "get": 2, "list": 1}

    run_with_store(scenario)


def test_watch_returns_changes_or_times_out() -> None:
    """Guard against a watch that misses a change or never returns."""

    async def scenario(
        core: store_standin.StoreCore, client: io_http_store.HttpObjectStore
    ) -> None:
        waiting = asyncio.create_task(
            client.watch("a/", after=0, timeout_s=5.0)
        )
        await asyncio.sleep(0.1)
        assert core.waiting == 1
        core.put("other", {}, 0)
        core.put("a/b", {"n": 1}, 0)
        listing = (await waiting).unwrap()
        assert [item.key for item in listing.objects] == ["a/b"]
        empty = (await client.watch("a/", after=2, timeout_s=0.1)).unwrap()
        assert empty == (2, ())

    run_with_store(scenario)


@pytest.mark.parametrize(
    ("faults", "read", "write", "written"),
    [
        ({"down": True}, "STORE_UNAVAILABLE", "STORE_OUTCOME_UNKNOWN", 0),
        ({"delay_s": 0.6}, "STORE_UNAVAILABLE", "STORE_OUTCOME_UNKNOWN", 1),
        ({"lose_answers": 1}, "OBJECT_NOT_FOUND", "STORE_OUTCOME_UNKNOWN", 1),
        ({"lose_requests": 1}, "OBJECT_NOT_FOUND", "STORE_OUTCOME_UNKNOWN", 0),
    ],
)
def test_faults_are_mapped_to_result_codes(
    faults: store_standin.FaultSettings, read: str, write: str, written: int
) -> None:
    """Guard against a write reported as failed that may have taken effect."""

    async def scenario(
        core: store_standin.StoreCore, client: io_http_store.HttpObjectStore
    ) -> None:
        core.faults.update(faults)
        assert refusal_code(await client.get("a")).name == read
        result = await client.put("a", {}, expected_revision=0)
        assert refusal_code(result).name == write
        assert core.revision == written

    run_with_store(scenario)


def test_refused_connection_means_store_unavailable() -> None:
    """Guard against an unknown outcome of a write that was never sent."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]

    async def scenario() -> None:
        client = make_client(port)
        for result in (
            await client.get("a"),
            await client.put("a", {}, expected_revision=0),
            await client.watch("a", after=0, timeout_s=0.1),
        ):
            code = refusal_code(result)
            assert code is result_codes.ResultCode.STORE_UNAVAILABLE
        client.close()

    asyncio.run(scenario())
