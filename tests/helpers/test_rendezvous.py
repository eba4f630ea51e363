"""Test the order of names by weighted hash."""

import pytest
import xxhash

from samphirelug.helpers import rendezvous

LARGEST_HASH = (1 << 64) - 1


@pytest.mark.parametrize("digest", [0, LARGEST_HASH - 1024, LARGEST_HASH])
def test_request_whose_hash_is_extreme_is_placed(
    monkeypatch: pytest.MonkeyPatch, digest: int
) -> None:
    """Guard against a division by zero that ends one request with 500."""
    monkeypatch.setattr(xxhash, "xxh64_intdigest", lambda _: digest)
    order = rendezvous.order_by_weight(key="k", weights={"a": 1.0, "b": 2.0})
    assert order == ["b", "a"]
