"""Test reading the load that servers report."""

import pytest

from samphirelug.components.http import load_report
from samphirelug.components.placement import load


@pytest.mark.parametrize(
    ("value", "report"),
    [
        ("3,0,8", load.LoadReport(3, 0, 8)),
        (" 3, 0 ,8", load.LoadReport(3, 0, 8)),
        ("3,1,8,250", load.LoadReport(3, 1, 8, 2.5)),
        ("3,1,8,100,7.5", load.LoadReport(3, 1, 8, 1.0)),
    ],
)
def test_report_with_further_figures_is_not_lost(
    value: str, report: load.LoadReport
) -> None:
    """Guard against losing the whole report for a figure that was added."""
    assert load_report.parse(value) == report


@pytest.mark.parametrize("speed", ["", "0", "-5", "fast", "1_0", "9" * 9])
def test_malformed_speed_leaves_the_counts(speed: str) -> None:
    """Guard against a wrong speed hiding how full a server is."""
    assert load_report.parse(f"3,1,8,{speed}") == load.LoadReport(3, 1, 8)


@pytest.mark.parametrize(
    "value", [None, "", "3", "3,0", "3,0,0", "-1,0,8", "a,b,c", "1,1,9999999"]
)
def test_malformed_report_is_ignored(value: str | None) -> None:
    """Guard against a report that makes a server look full or empty."""
    assert load_report.parse(value) is None
