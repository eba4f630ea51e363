"""Test entries of earlier starts of servers that appear after later ones.

The store may carry out a write seconds late, or come back from an older copy.
"""

from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from samphirelug.components.fleet import model as fleet_model
from samphirelug.components.fleet import registry as fleet_registry
from samphirelug.components.fleet import unconfirmed_starts
from samphirelug.components.store import feed
from samphirelug.components.store import model as store_model
from samphirelug.components.store import view as store_view
from tests.components.fleet import test_older_copy

CONFIRMED_AFTER_S = unconfirmed_starts.CONFIRMED_AFTER_S
# Interval at which a server reports to the store.
REPORT_INTERVAL_S = 1.5
COLD_UNTIL_S = 50.0


def start(number: int, /, **value: Any) -> store_model.StoredObject:
    """Return the server's entry after one of its starts."""
    return test_older_copy.entry("s0", started_unix_ms=number, **value)


def present() -> store_model.StoredObject:
    """Return the entry of the present start, which is cold."""
    return start(20, cold_until_s=COLD_UNTIL_S, report_number=1)


class Host(test_older_copy.Host):
    """Hold what a host knows of one server."""

    def __init__(self, *entries: store_model.StoredObject) -> None:
        super().__init__()
        test_older_copy.show(self.servers, test_older_copy.BEFORE)
        for entry in entries:
            self.change(entry)

    def change(self, event: store_view.Event) -> None:
        """Apply the next change of the store."""
        test_older_copy.change(self.servers, event)

    def list_again(self, *entries: store_model.StoredObject) -> None:
        """Apply a list of the store, which begins a new era."""
        test_older_copy.show(self.servers, test_older_copy.AFTER, *entries)

    @property
    def known(self) -> fleet_model.ServerInstance:
        """Return the server as it is in use."""
        return self.registry.servers["s0"]


@pytest.mark.parametrize("was_seen", [False, True])
@pytest.mark.parametrize("is_listed", [False, True])
def test_earlier_start_does_not_replace_the_present_one(
    was_seen: bool, is_listed: bool
) -> None:
    """Guard against full load on a cold server, and forgotten loads."""
    former = start(10, report_number=6)
    host = Host(*([former] if was_seen else []), present())
    removed: list[fleet_model.ServerInstance] = []
    host.registry.on_removed.append(removed.append)
    if is_listed:
        host.list_again(former)
    else:
        host.change(former)
    host.timer.advance(REPORT_INTERVAL_S)
    assert host.known.started_unix_ms == 20
    assert host.known.cold_until_s == COLD_UNTIL_S
    assert not removed
    host.change(start(20, report_number=2))
    host.timer.advance(2 * CONFIRMED_AFTER_S)
    assert host.known.started_unix_ms == 20
    assert host.usable() == {"s0"}


@pytest.mark.parametrize("is_draining", [False, True])
def test_earlier_start_does_not_undo_the_leaving_of_the_present_one(
    is_draining: bool,
) -> None:
    """Guard against requests to a server that is about to end."""
    host = Host(start(10), start(20, draining=is_draining, report_number=3))
    if not is_draining:
        host.registry.mark_leaving(host.known.incarnation, source="answer")
    host.change(start(10, report_number=6))
    assert not host.usable()
    host.change(feed.Removal("s0"))
    host.timer.advance(2 * CONFIRMED_AFTER_S)
    assert not host.registry.servers


@pytest.mark.parametrize("was_seen", [False, True])
def test_start_after_a_clock_went_back_is_used_if_its_entry_stands(
    was_seen: bool,
) -> None:
    """Guard against a server that runs and is never used again."""
    earlier = start(10, slots=5)
    host = Host(*([earlier] if was_seen else []), start(20))
    host.change(earlier)
    host.timer.advance(CONFIRMED_AFTER_S - 0.1)
    assert host.known.started_unix_ms == 20
    host.timer.advance(0.6)
    assert host.known.started_unix_ms == 10
    assert host.known.slots == 5
    # A late report of the start before it does not replace it either.
    host.change(start(20, report_number=9))
    assert host.known.started_unix_ms == 10


def test_entry_is_not_taken_to_stand_during_an_outage() -> None:
    """Guard against an earlier start while the present one can't report."""
    host = Host(present())
    host.change(start(10))
    host.timer.advance(CONFIRMED_AFTER_S - 1.0)
    host.is_current = False
    host.timer.advance(3 * CONFIRMED_AFTER_S)
    host.is_current = True
    host.timer.advance(CONFIRMED_AFTER_S - 1.0)
    assert host.known.started_unix_ms == 20
    host.timer.advance(1.5)
    assert host.known.started_unix_ms == 10


def test_start_that_may_be_the_present_one_is_spared_at_once() -> None:
    """Guard against full load on a server whose clock has gone back."""
    host = Host(start(20))
    host.change(start(10, cold_until_s=COLD_UNTIL_S, report_number=1))
    assert host.usable() == {"s0"}
    assert host.known.cold_until_s == COLD_UNTIL_S
    host.change(start(10, draining=True, report_number=2))
    assert not host.usable()
    # The start that was known reports, so that it is the present one.
    host.change(start(20, report_number=4))
    assert host.usable() == {"s0"}
    assert host.known.cold_until_s == 0.0


def test_late_leaving_of_a_start_that_ended_takes_nothing_out_of_use() -> None:
    """Guard against refusals because an earlier start has left."""
    host = Host(start(10), start(20))
    host.change(start(10, draining=True, report_number=8))
    assert host.usable() == {"s0"}


def test_entry_without_a_time_of_start_is_used_at_once() -> None:
    """Guard against a server that can't be told from its earlier starts."""
    host = Host(start(20), start(0, slots=5))
    assert host.known.slots == 5
    host.change(start(20))
    assert host.known.started_unix_ms == 20


def test_newest_of_two_unconfirmed_reports_is_used() -> None:
    """Guard against late reports in the wrong order."""
    host = Host(start(20))
    host.change(start(10, slots=5, report_number=4))
    host.change(start(10, slots=2, report_number=3))
    host.timer.advance(CONFIRMED_AFTER_S + 0.5)
    assert host.known.slots == 5


def test_held_back_report_is_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guard against a log line for each report while an entry stands."""
    host = Host(start(20))
    caplog.set_level("INFO")
    for number in range(1, 5):
        host.change(start(10, report_number=number))
    assert len(caplog.records) == 1


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(data=strategies.data())
def test_no_order_of_late_reports_undoes_a_start(
    data: strategies.DataObject,
) -> None:
    """Guard against orders of starts and late reports that nobody listed."""
    host = Host()
    newest = 0
    for _ in range(data.draw(strategies.integers(1, 12))):
        if newest < 2 or data.draw(strategies.booleans()):
            # All reports of a start may come late.
            newest += data.draw(strategies.integers(1, 2))
        else:
            late = data.draw(strategies.integers(1, newest - 1))
            host.change(start(late))
            host.timer.advance(REPORT_INTERVAL_S)
            assert host.known.started_unix_ms == newest
        host.change(start(newest))
        assert host.known.started_unix_ms == newest


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(
    starts=strategies.lists(
        strategies.integers(1, 5), min_size=1, max_size=10
    ),
    pauses_s=strategies.lists(
        strategies.sampled_from((0.0, 1.5, 7.0)), min_size=10, max_size=10
    ),
)
def test_start_whose_entry_stands_is_the_known_one(
    starts: list[int], pauses_s: list[float]
) -> None:
    """Guard against clocks that go back and forth for good."""
    host = Host()
    for number, pause_s in zip(starts, pauses_s, strict=False):
        host.change(start(number))
        host.timer.advance(pause_s)
    host.timer.advance(CONFIRMED_AFTER_S + 0.5)
    assert host.known.started_unix_ms == starts[-1]
    assert not host.registry.unconfirmed.by_id
    assert len(host.registry.removed) <= fleet_registry.MAX_LEAVING
