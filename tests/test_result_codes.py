"""Test that result codes are complete and consistent."""

from samphirelug import result_codes


def test_effect_follows_from_number() -> None:
    """Guards against a code that claims the wrong effect."""
    for code in result_codes.ResultCode:
        if 1000 <= code < 2000:
            assert code.effect is result_codes.Effect.NOT_RUN
        if 2000 <= code < 3000:
            assert code.effect is result_codes.Effect.OUTCOME_UNKNOWN
