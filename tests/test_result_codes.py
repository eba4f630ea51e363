"""Test that result codes are consistent."""

from samphirelug import result_codes


def test_effect_matches_number_range() -> None:
    """Guard against a code whose effect contradicts its number range."""
    for code in result_codes.ResultCode:
        if 1000 <= code < 2000:
            assert code.effect is result_codes.Effect.NOT_RUN
        if 2000 <= code < 3000:
            assert code.effect is result_codes.Effect.OUTCOME_UNKNOWN
