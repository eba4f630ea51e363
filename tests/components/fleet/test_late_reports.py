"""Test status reports of servers that the store carries out late.

A write without an answer may be done seconds later, behind newer ones.
"""

import hypothesis
from hypothesis import strategies
import pytest

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import registry as fleet_registry
from standins import forwarding as build

READY = build.server("s0", report_number=7)
DRAINING = READY._replace(draining=True, report_number=8)


def make_registry(
    *servers: fleet_model.ServerInstance,
) -> fleet_registry.ServerRegistry:
    """Return a registry that has seen some reports."""
    registry = fleet_registry.ServerRegistry()
    for server in servers:
        registry.put(server, source="test")
    return registry


@pytest.mark.parametrize("in_answer", [False, True])
@pytest.mark.parametrize("is_listed", [False, True])
def test_late_report_does_not_undo_the_leaving_of_a_server(
    in_answer: bool, is_listed: bool
) -> None:
    """Guard against requests to a server that is about to end."""
    registry = make_registry(READY, DRAINING)
    if in_answer:
        registry.mark_leaving(READY.incarnation, source="answer")
    if is_listed:
        registry.replace_all([READY], now=0.0, grace_s=0.0, source="test")
    else:
        registry.put(READY, source="test")
    assert not registry.usable("desk")
    assert not registry.may_be_sent(READY)
    registry.put(DRAINING._replace(report_number=9), source="test")
    assert not registry.usable("desk")


def test_newer_report_ends_the_leaving_of_a_server() -> None:
    """Guard against a server that is lost because it changed its mind."""
    newer = READY._replace(report_number=9)
    registry = make_registry(READY, DRAINING, newer)
    assert registry.usable("desk") == [newer]


def test_late_report_does_not_bring_back_a_removed_server() -> None:
    """Guard against an entry that is created again after its removal."""
    registry = make_registry(READY, DRAINING)
    registry.remove("s0", now=0.0, grace_s=0.0, source="test")
    registry.put(READY, source="test")
    assert not registry.usable("desk")
    restarted = READY._replace(started_unix_ms=2, report_number=1)
    registry.put(restarted, source="test")
    assert registry.usable("desk") == [restarted]


def test_late_report_does_not_end_a_cold_start() -> None:
    """Guard against too many requests to a server that became cold again."""
    cold = READY._replace(cold_until_s=50.0, report_number=8)
    registry = make_registry(READY, cold, READY)
    assert registry.usable("desk") == [cold]


def test_late_report_shows_that_a_server_is_not_missing() -> None:
    """Guard against a server that is lost after an outage of the store.

    Later reports of the same state change nothing, so that nobody hears them.
    """
    known = READY._replace(report_number=8)
    registry = make_registry(known)
    registry.remove("s0", now=0.0, grace_s=2.0, source="test")
    registry.put(READY, source="test")
    registry.expire_missing(now=3.0)
    assert registry.usable("desk") == [known]


def test_number_that_starts_anew_is_not_late() -> None:
    """Guard against a restarted server that stays without requests."""
    restarted = READY._replace(started_unix_ms=2, report_number=1)
    registry = make_registry(DRAINING, restarted)
    assert registry.usable("desk") == [restarted]
    # Without times of start, a restart cannot be told from a late report.
    unknown = READY._replace(started_unix_ms=0, report_number=1)
    registry = make_registry(DRAINING._replace(started_unix_ms=0), unknown)
    assert registry.usable("desk") == [unknown]


def test_number_alone_is_no_change(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against a log line for each server in each list."""
    registry = make_registry(READY)
    generation = registry.generation
    caplog.set_level("INFO")
    registry.put(READY._replace(report_number=20), source="test")
    assert not caplog.records
    assert registry.generation == generation
    registry.put(DRAINING, source="test")
    assert registry.usable("desk") == [READY]


def test_memory_of_removed_servers_is_bounded() -> None:
    """Guard against memory that grows with each restart in the fleet."""
    registry = fleet_registry.ServerRegistry()
    for started_unix_ms in range(1, fleet_registry.MAX_LEAVING + 5):
        registry.put(
            DRAINING._replace(started_unix_ms=started_unix_ms), source="test"
        )
        registry.remove("s0", now=0.0, grace_s=0.0, source="test")
    assert len(registry.last_reports) == fleet_registry.MAX_LEAVING


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(
    states=strategies.lists(strategies.booleans(), min_size=2, max_size=8),
    data=strategies.data(),
)
def test_newest_report_holds_in_any_order(
    states: list[bool], data: strategies.DataObject
) -> None:
    """Guard against an order of reports that undoes what was known."""
    reports = [
        READY._replace(draining=draining, report_number=number)
        for number, draining in enumerate(states, start=1)
    ]
    registry = fleet_registry.ServerRegistry()
    newest = 0
    for report in data.draw(strategies.permutations(reports)):
        registry.put(report, source="test")
        newest = max(newest, report.report_number)
        assert bool(registry.usable("desk")) is not states[newest - 1]
