"""Test the planning of seat tables and their stored form."""

from fractions import Fraction
import json

from hypothesis import given
from hypothesis import strategies as st
import pytest
from returns.result import Failure
from returns.result import Success

from samphirelug.components.quota import model
from samphirelug.components.quota import seats

GROUP = "region/r"
HOSTS = ("a", "b", "c", "d")


def plan(
    table: model.SeatTable,
    host: str,
    *,
    limit: int,
    units_in_use: int = 0,
    hosts: frozenset[str] = frozenset(HOSTS),
    leaving: bool = False,
) -> model.SeatTable:
    limits = {"k": limit}
    return seats.plan_seat(
        table=table,
        host=host,
        incarnation=host,
        address=host,
        renewal=1,
        fair_shares=seats.fair_share(limits=limits, host=host, hosts=hosts),
        limits=limits,
        units_in_use={"k": units_in_use},
        expired=frozenset(),
        leaving=leaving,
    ).table


PLAN_ARGUMENTS = st.tuples(
    st.sampled_from(HOSTS),
    st.integers(1, 9),
    st.integers(0, 9),
    st.integers(0, 3),
    st.booleans(),
)


@given(steps=st.lists(PLAN_ARGUMENTS, max_size=30))
def test_weights_never_exceed_one(
    steps: list[tuple[str, int, int, int, bool]],
) -> None:
    """Guard against exceeding the highest of the limits that hosts know."""
    table = model.SeatTable(GROUP, {})
    for host, limit, units_in_use, other_count, leaving in steps:
        before = table.seats.get(host)
        table = plan(
            table,
            host,
            limit=limit,
            units_in_use=units_in_use,
            hosts=frozenset((host, *HOSTS[:other_count])),
            leaving=leaving,
        )
        weights = [
            Fraction(seat.units["k"], seat.limits["k"])
            for seat in table.seats.values()
            if "k" in seat.units
        ]
        assert sum(weights) <= 1
        # Units in use are never given back.
        units_before = before.units.get("k", 0) if before else 0
        after = table.seats.get(host)
        units_after = after.units.get("k", 0) if after else 0
        assert units_after >= min(units_in_use, units_before)
        value = json.loads(json.dumps(seats.encode_table(table)))
        assert seats.decode_table(GROUP, value) == Success(table)


@given(limit=st.integers(1, 50), count=st.integers(1, 12))
def test_fair_shares_add_up_to_the_limit(limit: int, count: int) -> None:
    """Guard against units that are lost in rounding and can never be used."""
    hosts = frozenset(f"eh{number}" for number in range(count))
    shares = [
        seats.fair_share(limits={"k": limit}, host=host, hosts=hosts)["k"]
        for host in hosts
    ]
    assert sum(shares) == limit
    assert max(shares) - min(shares) <= 1


SEAT = {
    "incarnation": "a",
    "address": "a",
    "renewal": 1,
    "limits": 0,
    "units": [1],
}


@pytest.mark.parametrize(
    "changes",
    [
        {"limits": 1},
        {"units": [1, 1]},
        {"units": [3]},
        {"units": [-1]},
        {"units": ["1"]},
        {"renewal": None},
    ],
)
def test_invalid_table_is_refused(changes: dict[str, object]) -> None:
    """Guard against allocating units twice because of a damaged table."""
    value = {
        "keys": ["k"],
        "limits": [[2]],
        "seats": {"a": {**SEAT, **changes}},
    }
    assert isinstance(seats.decode_table(GROUP, value), Failure)
    value["seats"] = {"a": SEAT}
    assert isinstance(seats.decode_table(GROUP, value), Success)


def test_excess_is_large_above_a_quarter_of_the_share() -> None:
    """Guard against a write by every host of a large group per new host."""

    def is_large(units: int, share: int) -> bool:
        seat = model.Seat("a", "a", "a", 1, {"k": units}, {"k": 100})
        return seats.compare_with_fair_shares(
            seat, fair_shares={"k": share}, limits={"k": 100}
        ).large_excess

    assert is_large(1, 0)
    assert is_large(5, 3)
    assert not is_large(9, 8)


def test_seat_expires_when_its_renewal_stops_changing() -> None:
    """Guard against a seat that expires while its holder renews it.

    Only the time since the last change counts, on the local clock.
    """
    tracker = seats.SeatTracker()
    seat = model.Seat("a", "a", "a", 1, {}, {})
    tracker.observe(model.SeatTable(GROUP, {"a": seat}), now=0.0)
    tracker.observe(model.SeatTable(GROUP, {"a": seat}), now=9.0)
    assert tracker.expired(now=9.9, wait_s=10.0) == frozenset()
    assert tracker.expired(now=10.0, wait_s=10.0) == {"a"}
    renewed = seat._replace(renewal=2)
    tracker.observe(model.SeatTable(GROUP, {"a": renewed}), now=10.0)
    assert tracker.expired(now=19.9, wait_s=10.0) == frozenset()
