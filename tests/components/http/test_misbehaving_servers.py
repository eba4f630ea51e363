"""Test answers that a misbehaving or leaving server sends on a connection."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping

import pytest

from samphirelug.components.backend import model as backend_model
from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.forwarding import model
from samphirelug.components.http import io_pool
from tests.components.http import test_io_pool as pool

Kind = backend_model.FailureKind
REFUSAL_WITHOUT_ID = (
    b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
    b"Keep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n"
)


def refusal(request_id: str, extra_headers: str = "") -> bytes:
    """Return the answer of a server that did not run the request."""
    return (
        f"HTTP/1.1 503 Full\r\nX-Request-Id: {request_id}\r\n"
        f"X-Not-Executed: 1\r\nKeep-Alive: timeout=10\r\n{extra_headers}"
        "Content-Length: 0\r\n\r\n"
    ).encode()


def answers(*per_request: bytes) -> pool.Serve:
    """Return a script that sends these bytes in turn, then closes."""
    remaining = list(per_request)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: int
    ) -> None:
        while remaining:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(remaining.pop(0))
            await writer.drain()

    return serve


def run_attempts(
    serve: pool.Serve, *attempts: Mapping[str, object]
) -> tuple[list[model.AttemptResult], pool.ScriptedServer]:
    """Send attempts one after the other and return their results."""
    results: list[model.AttemptResult] = []

    async def scenario(
        sender: io_pool.PooledSender,
        attempt: Callable[..., model.Attempt],
        server: pool.ScriptedServer,
    ) -> None:
        del server
        for fields in attempts:
            request_id = str(fields.get("request_id", "r1"))
            made = attempt(
                request_id, idempotent=bool(fields.get("idempotent", True))
            )
            results.append(
                await sender.send(
                    made._replace(is_repeat=bool(fields.get("is_repeat")))
                )
            )

    return results, pool.run(serve, scenario)


@pytest.mark.parametrize(
    "earlier_refusal",
    [
        REFUSAL_WITHOUT_ID,
        b"HTTP/1.1 421 Wrong\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 429 Many\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_refusal_without_id_on_a_reused_connection_is_not_believed(
    earlier_refusal: bytes,
) -> None:
    """Guard against "not run" for a request that the server is running.

    A faulty server writes an earlier refusal once more where the answer to
    the next request is expected.
    """
    results, _ = run_attempts(
        answers(pool.answer("r1"), earlier_refusal),
        {"request_id": "r1"},
        {"request_id": "r2", "idempotent": False},
    )
    assert pool.failure_kind(results[0]) is None
    kind = pool.failure_kind(results[1])
    assert kind is Kind.INCOMPLETE
    assert not kind.certainly_not_run


def test_refusal_of_an_earlier_request_is_skipped() -> None:
    """Guard against the refusal of one request that is taken for another's."""
    results, server = run_attempts(
        answers(
            refusal("r1"), refusal("r1") + pool.answer("r2", b"own answer")
        ),
        {"request_id": "r1"},
        {"request_id": "r2", "idempotent": False},
    )
    assert pool.failure_kind(results[0]) is Kind.REFUSED
    assert results[1].unwrap().answer.body == b"own answer"
    assert server.connections == 1


def test_refusal_without_id_on_a_new_connection_is_believed() -> None:
    """Guard against 502 for requests that a full server has turned away."""
    results, _ = run_attempts(
        answers(REFUSAL_WITHOUT_ID), {"idempotent": False}
    )
    assert pool.failure_kind(results[0]) is Kind.REFUSED


def test_repeat_of_a_request_does_not_use_a_connection_that_carried_it() -> (
    None
):
    """Guard against a late copy of the first answer taken for the second's.

    Another request was sent on the connection in between, so that the
    connection's last request is not the repeated one.
    """
    results, server = run_attempts(
        answers(
            refusal("r1"),
            pool.answer("r2"),
            pool.answer("r1", b"from a new connection"),
        ),
        {"request_id": "r1"},
        {"request_id": "r2"},
        {"request_id": "r1", "is_repeat": True},
    )
    assert results[2].unwrap().answer.body == b"from a new connection"
    assert server.connections == 2


@pytest.mark.parametrize("cut_at", range(4, 90, 6))
def test_answer_that_ends_within_its_head_is_not_a_success(
    cut_at: int,
) -> None:
    """Guard against a 200 with an empty body that looks complete."""
    whole = pool.answer(body=b"0123456789")
    head_size = whole.index(b"\r\n\r\n") + 4
    assert cut_at < head_size
    results, _ = run_attempts(answers(whole[:cut_at]), {})
    assert pool.failure_kind(results[0]) in (Kind.RESET, Kind.INCOMPLETE)


@pytest.mark.parametrize("reused", [False, True])
def test_answer_that_ends_within_its_body_is_not_a_success(
    reused: bool,
) -> None:
    """Guard against a short body that is passed on as complete."""
    first = (pool.answer("r0"),) if reused else ()
    for broken in (
        pool.answer(body=b"0123456789")[:-4],
        pool.answer()
        .replace(b"Content-Length: 2", b"Transfer-Encoding: chunked")
        .replace(b"ok", b"2\r\nok\r\n"),
        pool.answer()
        .replace(b"Content-Length: 2", b"Transfer-Encoding: chunked")
        .replace(b"ok", b"a\r\nok"),
    ):
        results, _ = run_attempts(
            answers(*first, broken),
            *({"request_id": "r0"} for _ in first),
            {},
        )
        assert pool.failure_kind(results[-1]) in (Kind.RESET, Kind.INCOMPLETE)


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
@pytest.mark.parametrize("is_refusal", [False, True])
def test_status_outside_the_protocol_is_no_answer(
    status: bytes, is_refusal: bool
) -> None:
    """Guard against a caller that gets such a status as its answer.

    Neither may it hide that the answer has come, nor what comes behind it be
    taken for the answer.
    """
    answer = refusal("r1") if is_refusal else pool.answer("r1")
    invalid = answer.replace(answer[9:12], status, 1)
    results, server = run_attempts(
        answers(invalid + pool.answer("r1"), pool.answer("r2")),
        {},
        {"request_id": "r2"},
    )
    assert pool.failure_kind(results[0]) is Kind.INCOMPLETE
    assert server.connections == 2


@pytest.mark.parametrize(
    "broken_off", [b"HTTP/1.1 200 O", b"HTTP/1.1 200 OK\r\nX-Seal: s"]
)
def test_copy_broken_off_in_its_head_hides_no_failure(
    broken_off: bytes,
) -> None:
    """Guard against a caller that gets 200 for a request that has failed."""
    failure = pool.answer("r2").replace(b"200 OK", b"500 Error", 1)
    results, server = run_attempts(
        answers(pool.answer("r1"), broken_off + failure),
        {},
        {"request_id": "r2"},
    )
    assert pool.failure_kind(results[1]) is Kind.INCOMPLETE
    assert server.connections == 1


@pytest.mark.parametrize("reused", [False, True])
def test_change_of_protocol_is_no_answer(reused: bool) -> None:
    """Guard against an unexpected error for an upgrade nobody asked for."""
    switching = (
        b"HTTP/1.1 101 Switching\r\nX-Request-Id: r1\r\nX-Seal: s\r\n"
        b"Connection: upgrade\r\nUpgrade: h2c\r\n\r\n"
    )
    first = (pool.answer("r0"),) if reused else ()
    results, _ = run_attempts(
        answers(*first, switching + pool.answer("r1")),
        *({"request_id": "r0"} for _ in first),
        {},
    )
    assert pool.failure_kind(results[-1]) is Kind.INCOMPLETE


LEAVING = "X-Leaving: 1\r\n"


@pytest.mark.parametrize(
    ("data", "is_leaving"),
    [
        (pool.answer("r1", extra_headers=LEAVING), True),
        (refusal("r1", LEAVING), True),
        (
            pool.answer("r1", extra_headers=LEAVING).replace(
                b"200 OK", b"404 Not Found"
            ),
            True,
        ),
        (pool.answer("r0", extra_headers=LEAVING) + pool.answer("r1"), True),
        (pool.answer("r0", extra_headers=LEAVING), True),
        (pool.answer("r1", extra_headers="X-Leaving: 0\r\n"), False),
        (
            b"HTTP/1.1 421 Wrong\r\nX-Request-Id: r1\r\nX-Leaving: 1\r\n"
            b"Content-Length: 0\r\n\r\n",
            False,
        ),
    ],
)
def test_leaving_is_read_from_any_answer(
    data: bytes, is_leaving: bool
) -> None:
    """Guard against new requests to a server that has said it is leaving.

    Status 421 comes from another server at the same address.
    """
    leaving: list[fleet_model.ServerInstance] = []

    async def scenario(
        sender: io_pool.PooledSender,
        attempt: Callable[..., model.Attempt],
        server: pool.ScriptedServer,
    ) -> None:
        del server
        sender.on_leaving.append(leaving.append)
        await sender.send(attempt())
        assert not (is_leaving and any(sender.idle_connections.values()))

    pool.run(answers(data), scenario)
    assert [server.instance_id for server in leaving] == (
        ["s0"] if is_leaving else []
    )


@pytest.mark.parametrize(
    ("fields", "expected_s"),
    [
        ("Retry-After: 1.5\r\n", 1.5),
        ("Retry-After: 2\r\nRetry-After: 0.5\r\n", 2.0),
        ("Retry-After: 1, 3\r\n", 3.0),
        ("Retry-After: soon, 3\r\n", 3.0),
        ("", 0.0),
        ("Retry-After: -4\r\n", 0.0),
        ("Retry-After: soon\r\n", 0.0),
        ("Retry-After: nan\r\n", 0.0),
        ("Retry-After: inf\r\n", 0.0),
        ("Retry-After: 1e9\r\n", 0.0),
        ("Retry-After: 999999999999\r\n", 60.0),
        ("Retry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\n", 0.0),
    ],
)
def test_retry_after_of_a_server_is_bounded(
    fields: str, expected_s: float
) -> None:
    """Guard against a server lost by an absurd value, or asked too soon."""
    results, _ = run_attempts(answers(refusal("r1", fields)), {})
    failed = results[0].failure()
    assert failed.failure.kind is Kind.REFUSED
    assert failed.failure.retry_after_s == expected_s


def test_nothing_is_sent_if_the_server_leaves_while_connecting() -> None:
    """Guard against a request that waited for a connection and comes late."""
    heads: list[bytes] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: int
    ) -> None:
        del writer
        heads.append(await reader.read(10))

    async def scenario(
        sender: io_pool.PooledSender,
        attempt: Callable[..., model.Attempt],
        server: pool.ScriptedServer,
    ) -> None:
        del server
        sender.may_be_sent = lambda _: False
        result = await sender.send(attempt())
        assert pool.failure_kind(result) is Kind.NOT_SENT
        await asyncio.sleep(0.05)

    pool.run(serve, scenario)
    assert heads == [b""]
