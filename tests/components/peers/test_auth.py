"""Test join tokens."""

import random

from returns.pipeline import is_successful

from samphirelug.components.peers import auth
from samphirelug.components.peers import const
from samphirelug.helpers import timer
from standins import builders

CLIENT = builders.make_host("eh1")
SERVER = builders.make_host("eh2")


class Pair:
    """Set up both sides of a handshake on one manual clock."""

    def __init__(self, *, secret: str = "s" * 32) -> None:
        self.timer = timer.ManualTimerService()
        self.client = auth.JoinAuthenticator(
            secret=secret, cluster="c", host=CLIENT, timer=self.timer
        )
        self.server = auth.JoinAuthenticator(
            secret="s" * 32, cluster="c", host=SERVER, timer=self.timer
        )
        self.challenge = self.new_challenge(1)

    def new_challenge(self, seed: int) -> auth.IssuedChallenge:
        """Return a challenge issued by the server."""
        return auth.IssuedChallenge(timer=self.timer, rng=random.Random(seed))

    def sign(self, *, audience: str = "eh2", role: str = "client") -> str:
        """Return the client's join token for the challenge."""
        return self.client.sign(
            audience=audience, nonce=self.challenge.nonce, role=role
        )

    def accepts(self, token: str) -> bool:
        """Return whether the server accepts the token from the client."""
        return is_successful(
            self.server.check(
                token, challenge=self.challenge, claimed=CLIENT, role="client"
            )
        )


def test_a_token_is_accepted_once() -> None:
    """Guard against replay of a join token on the same connection."""
    pair = Pair()
    token = pair.sign()
    assert pair.accepts(token)
    assert not pair.accepts(token)


def test_a_token_is_refused_for_another_challenge() -> None:
    """Guard against replay of a join token on a later connection."""
    pair = Pair()
    token = pair.sign()
    pair.challenge = pair.new_challenge(2)
    assert not pair.accepts(token)


def test_a_challenge_expires() -> None:
    """Guard against join tokens used after their challenge expired."""
    pair = Pair()
    token = pair.sign()
    pair.timer.advance(const.JOIN_TIMEOUT_S)
    assert pair.accepts(token)
    expired = Pair()
    token = expired.sign()
    expired.timer.advance(const.JOIN_TIMEOUT_S + 0.001)
    assert not expired.accepts(token)


def test_tokens_for_another_context_are_refused() -> None:
    """Guard against tokens of another audience, role, secret or host."""
    assert not Pair().accepts(Pair().sign(audience="eh3"))
    # A client's token must not be valid for the reverse direction.
    assert not Pair().accepts(Pair().sign(role="server"))
    assert not Pair().accepts(Pair(secret="t" * 32).sign())
    other_host = Pair()
    other_host.client.host = CLIENT._replace(incarnation="eh1-2")
    assert not Pair().accepts(other_host.sign())
    other_host.client.host = CLIENT._replace(name="eh9")
    assert not Pair().accepts(other_host.sign())
    for token in ("", "x", "é.\0", Pair().sign()[:-1]):
        assert not Pair().accepts(token)


def test_nonces_are_distinct_and_of_full_length() -> None:
    """Guard against repeated or short nonces, which a peer could predict."""
    service = timer.ManualTimerService()
    nonces = {auth.IssuedChallenge(timer=service).nonce for _ in range(100)}
    assert len(nonces) == 100
    assert {len(nonce) for nonce in nonces} == {2 * const.JOIN_NONCE_BYTES}
