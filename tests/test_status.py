"""Test the status that an entry host reports to operators."""

import types
from typing import Any

import pytest

from samphirelug.components.quota import ledger
from samphirelug.components.quota import model
from samphirelug.helpers import timer
from samphirelug import status

GROUP = "region/r"
KEY = "region:r"


def make_report() -> tuple[
    status.StatusReport, ledger.QuotaLedger, timer.ManualTimerService
]:
    """Return a report on a real ledger that has 6 of 12 units."""
    clock = timer.ManualTimerService()
    seat_ledger = ledger.QuotaLedger(timer=clock)
    seat_ledger.set_limits({KEY: model.QuotaLimit(KEY, GROUP, 12, 0.0)})
    renew(seat_ledger, valid_until_s=10.0)
    host: Any = types.SimpleNamespace(
        ledger=seat_ledger,
        timer=clock,
        borrower=types.SimpleNamespace(borrowed={KEY: 2, "region:far": 1}),
    )
    return status.StatusReport(entry_host=host), seat_ledger, clock


def renew(seat_ledger: ledger.QuotaLedger, *, valid_until_s: float) -> None:
    """Extend the validity of the seat."""
    seat_ledger.set_seat(
        group=GROUP,
        units={KEY: 6},
        limits={KEY: 12},
        valid_until_s=valid_until_s,
    )


def test_quota_distinguishes_held_lent_and_borrowed_units() -> None:
    """Guard against lent or borrowed units that operators cannot see."""
    report, seat_ledger, _ = make_report()
    amounts = (model.UnitAmount(KEY, 2),)
    seat_ledger.try_hold(model.Bundle("r", "s", amounts))
    seat_ledger.lend(
        (model.UnitAmount(KEY, 1),),
        loan_id="l",
        bundle_number=0,
        until_s=2.0,
    )
    assert report.quota() == {
        KEY: {
            "limit": 12,
            "share": 6,
            "free": 3,
            "held": 2,
            "lent": 1,
            "borrowed": 2,
        },
        "region:far": {
            "limit": 0,
            "share": 0,
            "free": 0,
            "held": 0,
            "lent": 0,
            "borrowed": 1,
        },
    }


def test_expired_seat_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against an expiry that is not logged, or logged repeatedly."""
    report, seat_ledger, clock = make_report()
    for _ in range(15):
        report.check_seats()
        clock.advance(1.0)
    assert [record.levelname for record in caplog.records] == ["ERROR"]
    assert report.seats() == {GROUP: 0.0}
    renew(seat_ledger, valid_until_s=clock.now_s + 2.0)
    for _ in range(4):
        report.check_seats()
        clock.advance(1.0)
    assert len(caplog.records) == 2
    # A released seat has not expired.
    renew(seat_ledger, valid_until_s=clock.now_s + 9.0)
    report.check_seats()
    seat_ledger.drop_seat(GROUP)
    report.check_seats()
    assert len(caplog.records) == 2
