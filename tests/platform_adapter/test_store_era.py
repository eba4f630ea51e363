"""Test how the era of the platform's store is read from its answers."""

import asyncio

import pytest
from returns.result import Failure

from samphirelug.components.metrics import forwarding as forwarding_metrics
from samphirelug.components.store import feed
from samphirelug.components.store import io_transport
from samphirelug.components.store import position
from samphirelug.helpers import timer as timer_helper
from samphirelug_platform import store
from samphirelug_platform import store_era

SERVERS = feed.ObjectKind.BACKEND_SERVERS
PAGE = b'{"items":[],"HasMore":false,"AsOf":17}'
FIRST_PAGE = (
    b'{"items":[{"Metadata":{"Name":"a","Revision":1},"Spec":{}}],'
    b'"HasMore":true,"AsOf":17}'
)


class EraTransport(io_transport.StoreTransport):
    """Answer calls with scripted bodies and eras."""

    def __init__(self, *answers: tuple[bytes, str | None]) -> None:
        self.answers = list(answers)
        self.paths: list[str] = []
        self.timeouts = io_transport.StoreTimeouts()

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> io_transport.Reply | io_transport.NoReply:
        """Return the next answer."""
        del timeout_s, body, headers
        self.paths.append(f"{method} {path}")
        answer, era = self.answers.pop(0)
        fields = {} if era is None else {"Store-Era": era}
        return io_transport.Reply(200, answer, fields)


def make_store(
    *answers: tuple[bytes, str | None],
) -> tuple[store.PlatformStore, EraTransport]:
    """Return a client whose calls are answered by the script."""
    transport = EraTransport(*answers)
    client = store.PlatformStore(
        transport=transport,
        metrics=forwarding_metrics.ForwardingMetrics(),
        timer=timer_helper.ManualTimerService(),
    )
    return client, transport


def list_positions(*eras: str | None) -> list[tuple[int, int]]:
    """Return the era and revision of each list."""
    client, _ = make_store(*((PAGE, era) for era in eras))
    positions = [
        asyncio.run(client.list(SERVERS)).unwrap().revision for _ in eras
    ]
    return [
        (position.era_of(each), position.revision_of(each))
        for each in positions
    ]


def test_store_without_eras_is_in_era_0() -> None:
    """Guard against positions that change where no store names an era."""
    assert list_positions(None, None) == [(0, 17), (0, 17)]


@pytest.mark.parametrize(
    ("eras", "expected"),
    [
        (("1", "2"), [1, 2]),
        (("1", "5"), [1, 5]),
        (("2", "1", "2"), [2, 1, 2]),
        (("2", None), [2, 2]),
        (("2", "x"), [2, 2]),
        (("2", "-1"), [2, 2]),
        (("2", "9" * 40), [2, 2]),
        (("2", "٣"), [2, 2]),
    ],
)
def test_era_of_an_answer(
    eras: tuple[str | None, ...], expected: list[int]
) -> None:
    """Guard against odd eras that change the order of answers."""
    assert [era for era, _ in list_positions(*eras)] == expected


def test_odd_eras_are_logged_at_a_bounded_rate(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against a log line for each answer."""
    reader = store_era.EraReader(timer=timer_helper.ManualTimerService())
    reader.read({"Store-Era": "3"})
    for _ in range(50):
        reader.read({"Store-Era": "2"})
        reader.read({})
        reader.read({"Store-Era": "?"})
    assert len(caplog.records) == store_era.LOG_LINES_PER_S


def test_list_with_pages_of_two_eras_is_given_up() -> None:
    """Guard against a list that shows parts of two states."""
    client, _ = make_store((FIRST_PAGE, "1"), (PAGE, "2"))
    assert isinstance(asyncio.run(client.list(SERVERS)), Failure)


def test_watch_asks_for_the_revision_alone() -> None:
    """Guard against a revision that the store does not have."""
    client, transport = make_store((b'{"events":[],"AsOf":19}', "2"))
    after = position.combine(era=2, revision=17)
    changes = asyncio.run(client.watch(SERVERS, after=after, timeout_s=1.0))
    result = changes.unwrap()
    assert result is not None
    assert result.revision == position.combine(era=2, revision=19)
    assert "Watch=17&" in transport.paths[0]


def test_conditional_removal_is_bound_to_its_era() -> None:
    """Guard against removing an object by a revision given out again."""
    client, transport = make_store((PAGE, "2"), (b"{}", "2"))
    asyncio.run(client.list(SERVERS))
    stale = position.combine(era=1, revision=7)
    removed = asyncio.run(client.delete(SERVERS, "a", revision=stale))
    assert isinstance(removed, Failure)
    assert len(transport.paths) == 1
    current = position.combine(era=2, revision=7)
    asyncio.run(client.delete(SERVERS, "a", revision=current)).unwrap()
    assert transport.paths[1].endswith("Revision=7")
