"""Guard against tokens that were changed or made for another purpose."""

import pytest
from returns.result import Failure
from returns.result import Success

from samphirelug.helpers import signing

VALUE = ["a", 1, {"b": None}]


def test_value_comes_back() -> None:
    """Guard against a token that loses part of its value."""
    signer = signing.Signer(secret="s", purpose="run-token")
    token = signer.sign(VALUE)
    assert signer.verify(token) == Success(VALUE)
    assert set(token) <= set(
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
    )


@pytest.mark.parametrize(
    ("secret", "purpose"), [("s", "join-token"), ("t", "run-token")]
)
def test_other_signers_are_refused(secret: str, purpose: str) -> None:
    """Guard against a token of another purpose or cluster."""
    token = signing.Signer(secret=secret, purpose=purpose).sign(VALUE)
    signer = signing.Signer(secret="s", purpose="run-token")
    assert isinstance(signer.verify(token), Failure)


def test_each_changed_character_is_refused() -> None:
    """Guard against a signature that leaves part of the token out."""
    signer = signing.Signer(secret="s", purpose="run-token")
    token = signer.sign(VALUE)
    for place in range(len(token) - 1):
        changed = "A" if token[place] != "A" else "B"
        forged = token[:place] + changed + token[place + 1 :]
        assert isinstance(signer.verify(forged), Failure)
