"""Test the rate limit on log records of refusals."""

import logging

import pytest

from samphirelug import core
from samphirelug.helpers import logging as logging_helper
from samphirelug.helpers import timer
from samphirelug import result_codes


def test_repeated_refusals_are_logged_once_a_second(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against overload that writes a log line for each refusal."""
    clock = timer.ManualTimerService()
    log = logging_helper.RefusalLog(timer_service=clock)
    caplog.set_level(logging.INFO)
    refusal = result_codes.Refusal(
        result_codes.ResultCode.OVERLOADED, "queue is full", 1.0
    )
    for number in range(4096):
        log.write(
            refusal,
            rank=core.Rank.EXPORT,
            work="w" * 1000,
            request_id=str(number),
        )
        clock.advance(1 / 1024)
    assert len(caplog.records) == 4
    fields = vars(caplog.records[-1])
    assert fields["suppressed"] == 1023
    assert fields["code"] == 1101
    assert len(fields["work"]) == 63


@pytest.mark.parametrize("number", [1, 2])
def test_log_level_of_a_command_ends_with_its_test(number: int) -> None:
    """Guard against later tests that format and keep each log record."""
    del number
    assert logging.getLogger().level == logging.WARNING
    assert logging.getLogger("tornado.access").level == logging.NOTSET
    logging_helper.configure(level="INFO", entry_host="eh-tallinn")
