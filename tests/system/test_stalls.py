"""Test which requests a stall of the machine excuses."""

import pytest

from samphirelug.helpers import timer
from standins import checks
from tests.system import stalls


class StalledTimerService(timer.ManualTimerService):
    """Run no callback while the time of a stall passes."""

    def stall(self, duration_s: float) -> None:
        """Let time pass without a callback."""
        self.now_s += duration_s


def record(duration_s: float) -> stalls.StallRecorder:
    """Return the records of 10 s with a stall that begins after 5 s."""
    clock = StalledTimerService()
    recorder = stalls.StallRecorder(timer_service=clock)
    recorder.start()
    for _ in range(100):
        clock.advance(0.05)
    clock.stall(duration_s)
    for _ in range(100):
        clock.advance(0.05)
    recorder.stop()
    return recorder


def test_busy_machine_excuses_no_request() -> None:
    """Guard against refusals that pass as those of a stalled machine."""
    recorder = record(0.4)
    assert recorder.stalls == []
    assert not recorder.affects(checks.Interval(0.0, 10.0))


@pytest.mark.parametrize(
    ("start_s", "end_s", "affected"),
    [
        (1.0, 4.9, False),
        (1.0, 5.2, True),
        (6.0, 7.0, True),
        (8.1, 8.2, True),
        (9.8, 9.9, False),
    ],
)
def test_stall_excuses_only_requests_near_it(
    start_s: float, end_s: float, affected: bool
) -> None:
    """Guard against a stall that excuses all refusals of a test."""
    recorder = record(3.0)
    (stall,) = recorder.stalls
    assert stall.start_s == pytest.approx(5.0, abs=0.1)
    assert stall.end_s == pytest.approx(8.0, abs=0.1)
    assert recorder.affects(checks.Interval(start_s, end_s)) is affected
