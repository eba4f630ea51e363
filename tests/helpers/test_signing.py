"""Test signing and verifying tokens."""

import pytest
from returns.result import Failure
from returns.result import Success

from samphirelug.helpers import signing

VALUE = ["a", 1, {"b": None}]


def test_verified_value_equals_signed_value() -> None:
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
def test_tokens_of_other_signers_are_rejected(
    secret: str, purpose: str
) -> None:
    """Guard against accepting a token of another purpose or cluster."""
    token = signing.Signer(secret=secret, purpose=purpose).sign(VALUE)
    signer = signing.Signer(secret="s", purpose="run-token")
    assert isinstance(signer.verify(token), Failure)


def test_each_changed_character_is_rejected() -> None:
    """Guard against a signature that does not cover the whole token."""
    signer = signing.Signer(secret="s", purpose="run-token")
    token = signer.sign(VALUE)
    # The last character has bits that base64 does not use.
    for index in range(len(token) - 1):
        changed = "A" if token[index] != "A" else "B"
        forged = token[:index] + changed + token[index + 1 :]
        assert isinstance(signer.verify(forged), Failure)
