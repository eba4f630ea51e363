"""Test datagrams about tokens, malformed ones included."""

import cbor2
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from samphirelug.components.allowance import const
from samphirelug.components.allowance import io_datagrams
from samphirelug.components.allowance import model

SENDER = model.HostId("h1", "i1")
LARGEST = (1 << 64) - 1


def test_messages_are_read_as_written_and_fit_one_datagram() -> None:
    """Guard against datagrams that other hosts refuse or split."""
    want = model.Want(LARGEST, const.MAX_TOKENS, const.MAX_TOKENS, 9999.5)
    grant = model.Grant(LARGEST, 2 * const.MAX_TOKENS, 9999.5, True, 0.999)
    for message in (
        model.Ask(1 << 32, 1 << 32, [want] * const.MAX_ENTRIES),
        model.Answer(1 << 32, 1 << 32, [grant] * const.MAX_ENTRIES),
    ):
        data = io_datagrams.encode(SENDER, message)
        assert len(data) <= const.MAX_DATAGRAM_BYTES
        assert io_datagrams.decode(data) == (SENDER, message)


@settings(max_examples=60, deadline=None)
@given(
    data=strategies.binary(max_size=60)
    | strategies.recursive(
        strategies.integers() | strategies.text(max_size=3),
        lambda inner: strategies.lists(inner, max_size=7),
        max_leaves=9,
    ).map(lambda value: cbor2.dumps([1, 0, "h", "i", 1, value, value]))
)
def test_malformed_datagrams_raise_value_errors_only(data: bytes) -> None:
    """Guard against a datagram that ends the process."""
    try:
        io_datagrams.decode(data)
    except ValueError:
        return


def test_oversized_datagram_is_refused() -> None:
    """Guard against large datagrams that take the processor."""
    with pytest.raises(ValueError, match="too large"):
        io_datagrams.decode(b"\0" * (const.MAX_DATAGRAM_BYTES + 1))
