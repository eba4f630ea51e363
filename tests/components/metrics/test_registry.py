"""Test the metrics registry."""

from samphirelug.components.backend import model as backend_model
from samphirelug.components.metrics import registry
from samphirelug import core
from samphirelug import result_codes


def test_all_refusal_and_retry_reasons_start_at_zero() -> None:
    """Guard against an alert that cannot detect the first refusal."""
    text = registry.Metrics().render().decode()
    for code in result_codes.ResultCode:
        # Codes from 3000 on concern commands and peers.
        for_callers = 1000 <= code < 3000
        for rank in core.Rank:
            line = (
                f'samphirelug_refusals_total{{rank="{rank.label}",'
                f'reason="{code.name.lower()}"}} 0\n'
            )
            assert (line in text) is for_callers, code
    for kind in backend_model.FailureKind:
        line = f'samphirelug_retries_total{{reason="{kind.value}"}} 0\n'
        assert line in text


def test_refusals_by_reason_are_summed_over_ranks() -> None:
    """Guard against a status that omits the refusals of a rank."""
    metrics = registry.Metrics()
    code = result_codes.ResultCode.SHIFT_CAP
    for rank in (*core.Rank, None):
        metrics.count_refusal(code, rank)
    assert metrics.refusals_by_reason() == {"shift_cap": 4}
