"""Guard against run tokens that last too long or lose their content."""

from returns.result import Failure

from samphirelug.components.execution import tokens
from samphirelug.helpers import timer
from samphirelug.result_codes import ResultCode
from standins import builders


def test_token_names_the_incarnation_and_its_clock() -> None:
    """Guard against an expiry that is not on the named host's clock."""
    issuer = tokens.TokenIssuer(secret="s", timer=timer.ManualTimerService())
    host = builders.make_host()
    texts = [
        issuer.issue(
            work="file-claim", host=host, home_region="tartu", clock_ms=5000
        )
        for _ in range(2)
    ]
    first, second = (issuer.decode(text).unwrap() for text in texts)
    assert first.token_id != second.token_id
    assert first._replace(token_id="") == tokens.RunToken(
        "", "file-claim", host.name, host.incarnation, "tartu", 125_000
    )


def test_signed_value_that_is_no_token() -> None:
    """Guard against a signed value of another shape."""
    issuer = tokens.TokenIssuer(secret="s", timer=timer.ManualTimerService())
    for value in ([], ["a"] * 6, {"token_id": "a"}, "a", None):
        read = issuer.decode(issuer.signer.sign(value))
        assert isinstance(read, Failure)
        assert read.failure().code is ResultCode.TOKEN_INVALID
