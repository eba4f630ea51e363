"""Sign and check join tokens.

A token answers one challenge: the side that sent the challenge accepts it
once, within JOIN_VALID_S on its own clock. No wall clock takes part.
"""

import random
import secrets
from typing import Annotated
from typing import NamedTuple

import itsdangerous
import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.peers import const
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

_Text = Annotated[str, pydantic.Field(min_length=1, max_length=256)]


class JoinToken(NamedTuple):
    """Name who joins, whom the token is meant for and what it answers."""

    cluster: _Text
    host: _Text
    incarnation: _Text
    # Name of the host that sent the challenge.
    audience: _Text
    nonce: _Text
    # "client" or "server"; a token is never valid in the other direction.
    role: _Text


_ADAPTER = pydantic.TypeAdapter(JoinToken)


class OpenChallenge:
    """Hold one challenge that this side sent; good for one check."""

    def __init__(
        self,
        *,
        timer: timer_helper.TimerService,
        rng: random.Random | None = None,
    ) -> None:
        # Nonces must be unpredictable; a seeded generator is for tests.
        self.nonce = (
            secrets.token_hex(const.JOIN_NONCE_BYTES)
            if rng is None
            else f"{rng.getrandbits(8 * const.JOIN_NONCE_BYTES):032x}"
        )
        self.valid_until_s = timer.monotonic() + const.JOIN_VALID_S
        self.used = False


class JoinAuthenticator:
    """Sign tokens for this host and check those of peers."""

    def __init__(
        self,
        *,
        secret: str,
        cluster: str,
        host: core.EntryHost,
        timer: timer_helper.TimerService,
    ) -> None:
        self.cluster = cluster
        self.host = host
        self.timer = timer
        self.serializer = itsdangerous.URLSafeSerializer(
            secret, salt="samphirelug.peers.join"
        )

    def sign(self, *, audience: str, nonce: str, role: str) -> str:
        """Return a token that answers the audience's challenge."""
        token = JoinToken(
            cluster=self.cluster,
            host=self.host.name,
            incarnation=self.host.incarnation,
            audience=audience,
            nonce=nonce,
            role=role,
        )
        return str(self.serializer.dumps(list(token)))

    def check(
        self,
        token: str,
        *,
        challenge: OpenChallenge,
        claimed: core.EntryHost,
        role: str,
    ) -> Result[JoinToken, result_codes.Refusal]:
        """Return the token if it answers this challenge.

        Fails with PEER_UNAUTHENTICATED. Whatever the result, the challenge
        is used up.
        """
        used, challenge.used = challenge.used, True
        if used:
            return _refuse("challenge already used")
        if self.timer.monotonic() > challenge.valid_until_s:
            return _refuse("challenge expired")
        try:
            read = _ADAPTER.validate_python(self.serializer.loads(token))
        except itsdangerous.BadData:
            return _refuse("bad signature")
        except pydantic.ValidationError:
            return _refuse("not a join token")
        expected = JoinToken(
            cluster=self.cluster,
            host=claimed.name,
            incarnation=claimed.incarnation,
            audience=self.host.name,
            nonce=challenge.nonce,
            role=role,
        )
        for field, value in zip(JoinToken._fields, read, strict=True):
            if value != getattr(expected, field):
                return _refuse(f"token is for another {field}")
        return Success(read)


def _refuse(detail: str) -> Result[JoinToken, result_codes.Refusal]:
    return Failure(
        result_codes.Refusal(
            result_codes.ResultCode.PEER_UNAUTHENTICATED, detail
        )
    )
