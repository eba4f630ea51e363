"""Check the planning of seat tables and their form in the store."""

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
    floor: int = 0,
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
        units_in_use={"k": floor},
        expired=frozenset(),
        leaving=leaving,
    ).table


STEPS = st.tuples(
    st.sampled_from(HOSTS),
    st.integers(1, 9),
    st.integers(0, 9),
    st.integers(0, 3),
    st.booleans(),
)


@given(steps=st.lists(STEPS, max_size=30))
def test_weights_never_exceed_one(
    steps: list[tuple[str, int, int, int, bool]],
) -> None:
    """Hosts that plan under different limits must not exceed the highest."""
    table = model.SeatTable(GROUP, {})
    for host, limit, floor, others, leaving in steps:
        before = table.seats.get(host)
        table = plan(
            table,
            host,
            limit=limit,
            floor=floor,
            hosts=frozenset((host, *HOSTS[:others])),
            leaving=leaving,
        )
        weights = [
            Fraction(seat.units["k"], seat.limits["k"])
            for seat in table.seats.values()
            if "k" in seat.units
        ]
        assert sum(weights) <= 1
        # Units in use are never given up.
        had = before.units.get("k", 0) if before else 0
        after = table.seats.get(host)
        has = after.units.get("k", 0) if after else 0
        assert has >= min(floor, had)
        value = json.loads(json.dumps(seats.encode_table(table)))
        assert seats.decode_table(GROUP, value) == Success(table)


@given(limit=st.integers(1, 50), count=st.integers(1, 12))
def test_fair_shares_add_up_to_the_limit(limit: int, count: int) -> None:
    """A rounding loss would put units out of use for ever."""
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
    """Planning on a damaged table could give units out twice."""
    value = {
        "keys": ["k"],
        "limits": [[2]],
        "seats": {"a": {**SEAT, **changes}},
    }
    assert isinstance(seats.decode_table(GROUP, value), Failure)
    value["seats"] = {"a": SEAT}
    assert isinstance(seats.decode_table(GROUP, value), Success)


def test_only_a_large_excess_is_given_back_early() -> None:
    """Each host of a large group would write for each newcomer."""

    def large(units: int, share: int) -> bool:
        seat = model.Seat("a", "a", "a", 1, {"k": units}, {"k": 100})
        return seats.weigh(
            seat, fair_shares={"k": share}, limits={"k": 100}
        ).large_excess

    assert large(1, 0)
    assert large(5, 3)
    assert not large(9, 8)


def test_seat_expires_when_its_counter_stands_still() -> None:
    """Only time on the own clock since the last change counts."""
    tracker = seats.SeatTracker()
    seat = model.Seat("a", "a", "a", 1, {}, {})
    tracker.observe(model.SeatTable(GROUP, {"a": seat}), now=0.0)
    tracker.observe(model.SeatTable(GROUP, {"a": seat}), now=9.0)
    assert tracker.expired(now=9.9, wait_s=10.0) == frozenset()
    assert tracker.expired(now=10.0, wait_s=10.0) == {"a"}
    renewed = seat._replace(renewal=2)
    tracker.observe(model.SeatTable(GROUP, {"a": renewed}), now=10.0)
    assert tracker.expired(now=19.9, wait_s=10.0) == frozenset()
