"""Issue, verify and decode run tokens."""

import secrets
from typing import NamedTuple

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug import const
from samphirelug import core
from samphirelug.helpers import signing
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes


class RunToken(NamedTuple):
    """Allow one incarnation of an entry host to run work once."""

    token_id: str
    work: str
    host: str
    incarnation: str
    home_region: str
    # In ms since the start of this incarnation, on its own clock.
    expires_ms: int


_ADAPTER = pydantic.TypeAdapter(RunToken)


class TokenIssuer:
    """Issue run tokens and decode those of all entry hosts."""

    def __init__(
        self, *, secret: str, timer: timer_helper.TimerService
    ) -> None:
        self.signer = signing.Signer(secret=secret, purpose="run-token")
        self.timer = timer

    def issue(
        self,
        *,
        work: str,
        host: core.EntryHost,
        home_region: str,
        clock_ms: int,
    ) -> str:
        """Return a signed token for a host.

        The host's last known clock, in ms since its start, sets the expiry.
        """
        token = RunToken(
            token_id=secrets.token_urlsafe(12),
            work=work,
            host=host.name,
            incarnation=host.incarnation,
            home_region=home_region,
            expires_ms=clock_ms + int(const.TOKEN_TTL_S * 1000),
        )
        return self.signer.sign(tuple(token))

    def decode(self, token: str) -> Result[RunToken, result_codes.Refusal]:
        """Verify and decode a token; fails with TOKEN_INVALID."""
        verified = self.signer.verify(token)
        if isinstance(verified, Failure):
            return _invalid(verified.failure())
        try:
            return Success(_ADAPTER.validate_python(verified.unwrap()))
        except pydantic.ValidationError:
            return _invalid("the run token has unexpected fields")


def _invalid(detail: str) -> Result[RunToken, result_codes.Refusal]:
    return Failure(
        result_codes.Refusal(result_codes.ResultCode.TOKEN_INVALID, detail)
    )
