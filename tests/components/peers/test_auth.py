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
    """Hold both sides of a handshake on one manual clock."""

    def __init__(self, *, secret: str = "s" * 32) -> None:
        self.timer = timer.ManualTimerService()
        self.client = auth.JoinAuthenticator(
            secret=secret, cluster="c", host=CLIENT, timer=self.timer
        )
        self.server = auth.JoinAuthenticator(
            secret="s" * 32, cluster="c", host=SERVER, timer=self.timer
        )
        self.challenge = self.new_challenge(1)

    def new_challenge(self, seed: int) -> auth.OpenChallenge:
        """Return a challenge of the server."""
        return auth.OpenChallenge(timer=self.timer, rng=random.Random(seed))

    def sign(self, *, audience: str = "eh2", role: str = "client") -> str:
        """Return the client's token for the challenge."""
        return self.client.sign(
            audience=audience, nonce=self.challenge.nonce, role=role
        )

    def accepts(self, token: str) -> bool:
        """Tell whether the server accepts the token from the client."""
        return is_successful(
            self.server.check(
                token, challenge=self.challenge, claimed=CLIENT, role="client"
            )
        )


def test_a_token_is_accepted_once() -> None:
    """Guards against a replay on the same connection."""
    pair = Pair()
    token = pair.sign()
    assert pair.accepts(token)
    assert not pair.accepts(token)


def test_a_token_is_refused_for_another_challenge() -> None:
    """Guards against a replay on a later connection."""
    pair = Pair()
    token = pair.sign()
    pair.challenge = pair.new_challenge(2)
    assert not pair.accepts(token)


def test_a_challenge_expires() -> None:
    """Guards against tokens that are used long after they were asked for."""
    pair = Pair()
    token = pair.sign()
    pair.timer.advance(const.JOIN_VALID_S)
    assert pair.accepts(token)
    late = Pair()
    token = late.sign()
    late.timer.advance(const.JOIN_VALID_S + 0.001)
    assert not late.accepts(token)


def test_tokens_of_others_are_refused() -> None:
    """Guards against tokens for another peer, role, secret or host."""
    assert not Pair().accepts(Pair().sign(audience="eh3"))
    # A server that asks the client back must not get a client's token.
    assert not Pair().accepts(Pair().sign(role="server"))
    assert not Pair().accepts(Pair(secret="t" * 32).sign())
    other = Pair()
    other.client.host = CLIENT._replace(incarnation="eh1-2")
    assert not Pair().accepts(other.sign())
    other.client.host = CLIENT._replace(name="eh9")
    assert not Pair().accepts(other.sign())
    for token in ("", "x", "é.\0", Pair().sign()[:-1]):
        assert not Pair().accepts(token)


def test_nonces_are_not_drawn_from_the_shared_generator() -> None:
    """Guards against challenges that a peer could predict."""
    service = timer.ManualTimerService()
    nonces = {auth.OpenChallenge(timer=service).nonce for _ in range(100)}
    assert len(nonces) == 100
    assert {len(nonce) for nonce in nonces} == {2 * const.JOIN_NONCE_BYTES}
