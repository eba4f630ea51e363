"""Sign and verify join tokens.

A join token answers one challenge. The side that issued the challenge accepts
one answer, within JOIN_TIMEOUT_S on its own monotonic clock, so the wall
clocks of the hosts need not agree.
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
    """Describe the joining host, the audience and the answered challenge."""

    cluster: _Text
    host: _Text
    incarnation: _Text
    # Name of the host that sent the challenge.
    audience: _Text
    nonce: _Text
    # Role of the joining host, "client" or "server". A token for one role is
    # invalid for the other.
    role: _Text


_JOIN_TOKEN_ADAPTER = pydantic.TypeAdapter(JoinToken)


class IssuedChallenge:
    """Store a challenge issued by this side; it can be checked once."""

    def __init__(
        self,
        *,
        timer: timer_helper.TimerService,
        rng: random.Random | None = None,
    ) -> None:
        # Nonces must be unpredictable; only tests pass a seeded generator.
        self.nonce = (
            secrets.token_hex(const.JOIN_NONCE_BYTES)
            if rng is None
            else f"{rng.getrandbits(8 * const.JOIN_NONCE_BYTES):032x}"
        )
        self.expires_at_s = timer.monotonic() + const.JOIN_TIMEOUT_S
        self.used = False


class JoinAuthenticator:
    """Sign join tokens for this host and verify those of peers."""

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
        """Return a token that answers a challenge issued by the audience."""
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
        challenge: IssuedChallenge,
        claimed: core.EntryHost,
        role: str,
    ) -> Result[JoinToken, result_codes.Refusal]:
        """Return the token if it is a valid answer to the challenge.

        Fails with PEER_UNAUTHENTICATED. The challenge counts as used
        whatever the result.
        """
        used, challenge.used = challenge.used, True
        if used:
            return _refuse("challenge has already been answered")
        if self.timer.monotonic() > challenge.expires_at_s:
            return _refuse("challenge has expired")
        try:
            received = _JOIN_TOKEN_ADAPTER.validate_python(
                self.serializer.loads(token)
            )
        except itsdangerous.BadData:
            return _refuse("invalid join token signature")
        except pydantic.ValidationError:
            return _refuse("join token does not match the schema")
        expected = JoinToken(
            cluster=self.cluster,
            host=claimed.name,
            incarnation=claimed.incarnation,
            audience=self.host.name,
            nonce=challenge.nonce,
            role=role,
        )
        for field, value in zip(JoinToken._fields, received, strict=True):
            if value != getattr(expected, field):
                return _refuse(f"join token has an unexpected {field}")
        return Success(received)


def _refuse(detail: str) -> Result[JoinToken, result_codes.Refusal]:
    return Failure(
        result_codes.Refusal(
            result_codes.ResultCode.PEER_UNAUTHENTICATED, detail
        )
    )
