"""Guard against run tokens that expire too late or lose fields."""

from returns.result import Failure

from samphirelug.components.execution import tokens
from samphirelug.helpers import timer
from samphirelug.result_codes import ResultCode
from standins import builders


def test_token_names_the_incarnation_and_its_clock() -> None:
    """Guard against an expiry that is not on the clock of the token's host."""
    issuer = tokens.TokenIssuer(secret="s", timer=timer.ManualTimerService())
    host = builders.make_host()
    encoded_tokens = [
        issuer.issue(
            work="file-claim", host=host, home_region="tartu", clock_ms=5000
        )
        for _ in range(2)
    ]
    first, second = (
        issuer.decode(encoded_token).unwrap()
        for encoded_token in encoded_tokens
    )
    assert first.token_id != second.token_id
    assert first._replace(token_id="") == tokens.RunToken(
        "", "file-claim", host.name, host.incarnation, "tartu", 125_000
    )


def test_signed_value_that_is_not_a_token_is_refused() -> None:
    """Guard against accepting a signed value of another form."""
    issuer = tokens.TokenIssuer(secret="s", timer=timer.ManualTimerService())
    for value in ([], ["a"] * 6, {"token_id": "a"}, "a", None):
        decoded = issuer.decode(issuer.signer.sign(value))
        assert isinstance(decoded, Failure)
        assert decoded.failure().code is ResultCode.TOKEN_INVALID
