"""Test that the ledger never grants more units than it has."""

import time

from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies as st
import pytest
from returns.result import Failure
from returns.result import Success

from samphirelug.components.quota import ledger as quota_ledger
from samphirelug.components.quota import model
from samphirelug.helpers import timer as timer_helper

GROUP = "region/r"
KEYS = ("region:r", "shift:r")
RELEASE_DELAY_S = {"region:r": 0.0, "shift:r": 5.0}


def make_limits(limit: int) -> dict[str, model.QuotaLimit]:
    return {
        key: model.QuotaLimit(key, GROUP, limit, RELEASE_DELAY_S[key])
        for key in KEYS
    }


def make_bundle(*amounts: int) -> model.Bundle:
    units = zip(KEYS, amounts, strict=False)
    return model.Bundle(
        "r", "s", tuple(model.UnitAmount(*unit) for unit in units)
    )


def make_ledger(
    *, units: int = 4, valid_until_s: float = 900.0
) -> tuple[quota_ledger.QuotaLedger, timer_helper.ManualTimerService]:
    timer = timer_helper.ManualTimerService()
    ledger = quota_ledger.QuotaLedger(timer=timer)
    ledger.set_limits(make_limits(8))
    ledger.set_seat(
        group=GROUP,
        units=dict.fromkeys(KEYS, units),
        limits=dict.fromkeys(KEYS, 8),
        valid_until_s=valid_until_s,
    )
    return ledger, timer


def test_no_units_are_granted_under_an_expired_seat() -> None:
    """Guard against using units that other hosts may use after the expiry."""
    ledger, timer = make_ledger(valid_until_s=10.0)
    assert isinstance(ledger.try_hold(make_bundle(1)), Success)
    timer.advance(10.0)
    assert ledger.try_hold(make_bundle(1)) == Failure("region:r")
    assert ledger.usable("region:r") == 0
    assert ledger.units_in_use("region:r") == 1


def test_loan_beyond_the_end_of_the_seat_is_refused() -> None:
    """Guard against a borrower that dispatches after the seat has expired."""
    ledger, timer = make_ledger(valid_until_s=10.0)
    timer.advance(9.0)
    lent = ledger.lend(
        make_bundle(1), loan_id="l", bundle_number=1, until_s=11.0
    )
    assert not lent


def test_borrowed_units_are_unusable_after_their_loan() -> None:
    """Guard against dispatches after a loan, when the lender reuses the units.

    The lender reuses them one longest hold after the end of the loan.
    """
    ledger, timer = make_ledger()
    units = (model.UnitAmount("region:r", 2),)
    ledger.borrow(units, loan_id="l", until_s=2.0)
    assert not ledger.lend(
        (model.UnitAmount("region:r", 5),),
        loan_id="m",
        bundle_number=0,
        until_s=1.0,
    )
    for until_s, lent in ((2.1, False), (2.0, False), (1.9, True)):
        assert lent is ledger.lend(
            make_bundle(5), loan_id="n", bundle_number=1, until_s=until_s
        )
    held = ledger.try_hold(make_bundle(1)).unwrap()
    assert ledger.try_hold(make_bundle(1)) == Failure("region:r")
    # As after a pause: the first call after the loan's end precedes timers.
    timer.now_s = 2.0
    ledger.settle("n", 1)
    assert ledger.usable("region:r") == 4
    assert isinstance(ledger.try_hold(make_bundle(3)), Success)
    assert ledger.return_borrowed("l")
    ledger.borrow(units, loan_id="o", until_s=4.0)
    assert isinstance(ledger.try_hold(make_bundle(1)), Success)
    assert not ledger.return_borrowed("o")
    ledger.release(held)
    assert ledger.return_borrowed("o")
    assert ledger.usable("region:r") == 4


def test_unsettled_loan_is_released_after_the_longest_hold() -> None:
    """Guard against reusing lent units while a borrower's request may run.

    It may run until its deadline plus a margin.
    """
    ledger, timer = make_ledger()
    assert ledger.lend(
        make_bundle(4, 4), loan_id="l", bundle_number=1, until_s=2.0
    )
    timer.advance(2.0 + 30.805 + 4.9)
    assert ledger.free("region:r") == 0
    timer.advance(0.2)
    assert ledger.free("region:r") == 4
    ledger.settle("l", 1)
    assert ledger.units_in_use("region:r") == 0


def test_settling_is_idempotent_and_starts_the_release_delay() -> None:
    """Guard against a GrantReturn message that frees units twice."""
    ledger, timer = make_ledger()
    for number in (1, 2):
        assert ledger.lend(
            make_bundle(1, 1), loan_id="l", bundle_number=number, until_s=2.0
        )
    ledger.settle("l", 1)
    ledger.settle("l", 1)
    assert ledger.units_in_use("region:r") == 1
    assert ledger.units_in_use("shift:r") == 2
    timer.advance(5.0)
    assert ledger.units_in_use("shift:r") == 1


def test_bundle_numbers_start_at_one() -> None:
    """Guard against a borrower that settles the wrong bundle."""
    ledger, _ = make_ledger()
    with pytest.raises(ValueError, match="bundle number"):
        ledger.lend(make_bundle(1), loan_id="l", bundle_number=0, until_s=2.0)


def test_lowered_limit_scales_units_before_the_next_renewal() -> None:
    """Guard against exceeding a lowered limit during a store outage."""
    ledger, _ = make_ledger()
    holds = [ledger.try_hold(make_bundle(1)).unwrap() for _ in range(4)]
    ledger.set_limits(make_limits(3))
    assert ledger.usable("region:r") == 4 * 3 // 8
    ledger.release(holds[0])
    ledger.release(holds[1])
    ledger.release(holds[2])
    assert ledger.try_hold(make_bundle(1)) == Failure("region:r")
    ledger.release(holds[3])
    assert isinstance(ledger.try_hold(make_bundle(1)), Success)


def test_freed_units_trigger_the_callbacks() -> None:
    """Guard against queued requests that starve although units are free."""
    ledger, timer = make_ledger()
    calls: list[float] = []
    ledger.on_free.append(lambda: calls.append(timer.monotonic()))
    hold = ledger.try_hold(make_bundle(1, 1)).unwrap()
    ledger.release(hold)
    timer.advance(6.0)
    assert calls == [0.0, 5.0]


class LedgerMachine(RuleBasedStateMachine):
    """Compare the ledger with a model that lists every use and its end."""

    @initialize()
    def start(self) -> None:
        self.ledger, self.timer = make_ledger(units=5, valid_until_s=100.0)
        self.usable = 5
        self.valid_until_s = 100.0
        # Units by hold id; units and end of each loan; units that become
        # free at a time.
        self.holds: dict[int, list[int]] = {}
        self.loans: dict[int, tuple[list[int], float]] = {}
        self.releases: list[tuple[float, str, int]] = []
        self.next_number = 1

    def in_use(self, key: str) -> int:
        now = self.timer.monotonic()
        index = KEYS.index(key)
        return (
            sum(units[index] for units in self.holds.values())
            + sum(
                units[index]
                for units, end_s in self.loans.values()
                if end_s + 5.0 > now
            )
            + sum(
                amount
                for when_s, other, amount in self.releases
                if other == key and when_s > now
            )
        )

    def fits(self, amounts: list[int], at_s: float) -> bool:
        return at_s < self.valid_until_s and all(
            amount == 0 or self.in_use(key) + amount <= self.usable
            for key, amount in zip(KEYS, amounts, strict=True)
        )

    def schedule_release(self, units: list[int], when_s: float) -> None:
        for key, amount in zip(KEYS, units, strict=True):
            self.releases.append((when_s + RELEASE_DELAY_S[key], key, amount))

    @rule(amounts=st.lists(st.integers(1, 3), min_size=2, max_size=2))
    def hold(self, amounts: list[int]) -> None:
        fits = self.fits(amounts, self.timer.monotonic())
        result = self.ledger.try_hold(make_bundle(*amounts))
        assert isinstance(result, Success) == fits
        if isinstance(result, Success):
            self.holds[result.unwrap()] = amounts

    @rule(rng=st.randoms(use_true_random=False), delay_s=st.integers(0, 9))
    def release(self, rng: object, delay_s: int) -> None:
        if not self.holds:
            return
        hold_id = rng.choice(sorted(self.holds))  # type: ignore[attr-defined]
        when_s = self.timer.monotonic() + delay_s
        self.ledger.release_at(hold_id, when_s)
        self.ledger.release_at(hold_id, when_s)
        self.schedule_release(self.holds.pop(hold_id), when_s)

    @rule(amounts=st.lists(st.integers(1, 3), min_size=2, max_size=2))
    def lend(self, amounts: list[int]) -> None:
        until_s = self.timer.monotonic() + 2.0
        fits = self.fits(amounts, until_s)
        lent = self.ledger.lend(
            make_bundle(*amounts),
            loan_id="l",
            bundle_number=self.next_number,
            until_s=until_s,
        )
        assert lent == fits
        if lent:
            self.loans[self.next_number] = (amounts, until_s + 30.5)
            self.next_number += 1

    @rule(number=st.integers(1, 6))
    def settle(self, number: int) -> None:
        self.ledger.settle("l", number)
        units, end_s = self.loans.pop(number, ([0, 0], 0.0))
        if end_s + 5.0 > self.timer.monotonic():
            self.schedule_release(units, self.timer.monotonic())

    @rule(limit=st.integers(1, 12))
    def change_limit(self, limit: int) -> None:
        self.ledger.set_limits(make_limits(limit))
        self.usable = 5 * min(limit, 8) // 8

    @rule(delta_s=st.integers(1, 40))
    def advance(self, delta_s: int) -> None:
        self.timer.advance(float(delta_s))

    @rule()
    def renew(self) -> None:
        self.valid_until_s = self.timer.monotonic() + 100.0
        self.ledger.set_limits(make_limits(8))
        self.ledger.set_seat(
            group=GROUP,
            units=dict.fromkeys(KEYS, 5),
            limits=dict.fromkeys(KEYS, 8),
            valid_until_s=self.valid_until_s,
        )
        self.usable = 5

    @invariant()
    def units_in_use_match(self) -> None:
        for key in KEYS:
            assert self.ledger.units_in_use(key) == self.in_use(key)


TestLedgerMachine = LedgerMachine.TestCase


def test_hold_and_release_are_fast() -> None:
    """Guard against a slow ledger, which delays all requests of the loop."""
    ledger, _ = make_ledger()
    bundle = make_bundle(1)
    best_s = min(_mean_duration_s(ledger, bundle) for _ in range(5))
    assert best_s < 50e-6


def _mean_duration_s(
    ledger: quota_ledger.QuotaLedger, bundle: model.Bundle
) -> float:
    start_s = time.perf_counter()
    for _ in range(2000):
        ledger.release(ledger.try_hold(bundle).unwrap())
    return (time.perf_counter() - start_s) / 2000
