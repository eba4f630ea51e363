"""Test what leads to a server being used or not."""

from samphirelug.components.backend import model as backend_model
from samphirelug.components.peers import model as peers_model
from samphirelug.components.steering import health as steering_health
from samphirelug.helpers import timer as timer_helper

Kind = backend_model.FailureKind


def make() -> tuple[
    timer_helper.ManualTimerService, steering_health.ServerHealth
]:
    timer = timer_helper.ManualTimerService(start_s=100.0)
    return timer, steering_health.ServerHealth(timer=timer)


def report(
    incarnation: str, *, leaving: bool = False
) -> backend_model.HealthReport:
    return backend_model.HealthReport("s", leaving, 0.5, incarnation)


def test_each_signal_marks_a_server_as_leaving_and_is_told_once() -> None:
    """Guards against a signal that is not heeded or repeated for ever."""
    for signal in range(4):
        _, health = make()
        told: list[peers_model.Sighting] = []
        health.on_sighting.append(told.append)
        for _ in range(2):
            if signal == 0:
                health.apply_host_list(revision=5, live=(), leaving=("s",))
            elif signal == 1:
                health.apply_report(report("a", leaving=True))
            elif signal == 2:
                health.ended("s", latency_s=0.1, failure=Kind.LEAVING)
            else:
                health.apply_sighting(peers_model.Sighting("s", "a", True, 0))
        assert health.is_leaving("s")
        assert [sighting.leaving for sighting in told] == [True]
        assert health.sightings() == tuple(told)


def test_only_the_next_incarnation_clears_an_own_observation() -> None:
    """Guards against a lagging report or list that revives a server."""
    _, health = make()
    health.apply_report(report("a"))
    health.ended("s", latency_s=0.1, failure=Kind.LEAVING)
    health.apply_report(report("a"))
    health.apply_host_list(revision=9, live=("s",), leaving=())
    assert health.is_leaving("s")
    health.apply_report(report("b"))
    assert not health.is_leaving("s")
    # Late signals about the start that has gone change nothing.
    health.apply_sighting(peers_model.Sighting("s", "a", True, 0))
    health.apply_sighting(peers_model.Sighting("s", "", True, 0))
    health.apply_report(report("a", leaving=True))
    assert not health.is_leaving("s")


def test_later_list_revision_clears_what_the_list_reported() -> None:
    """Guards against a server that a list marked and never gives back."""
    _, health = make()
    health.apply_host_list(revision=5, live=(), leaving=("s",))
    health.apply_host_list(revision=5, live=("s",), leaving=())
    assert health.is_leaving("s")
    health.apply_host_list(revision=6, live=("s",), leaving=())
    assert not health.is_leaving("s")


def test_clearing_reaches_a_peer_by_its_sighting() -> None:
    """Guards against peers that keep each other's old sightings alive."""
    _, first = make()
    _, second = make()
    first.on_sighting.append(second.apply_sighting)
    second.on_sighting.append(first.apply_sighting)
    first.apply_report(report("a", leaving=True))
    assert second.is_leaving("s")
    second.apply_report(report("b"))
    assert not first.is_leaving("s")
    assert not second.is_leaving("s")


def test_failing_server_is_probed_and_ramped_before_use() -> None:
    """Guards against traffic to a server that refuses connections."""
    timer, health = make()
    for _ in range(3):
        health.ended("s", latency_s=0.0, failure=Kind.NOT_SENT)
    health.apply_report(report("a"))
    assert not health.is_usable("s")
    timer.advance(0.6)
    assert health.needs_probe() == ("s",)
    health.apply_report(report("a"))
    assert health.is_usable("s")
    timer.advance(5.0)
    assert health.ramp("s", ramp_s=10.0) == 0.5
    # One more failure sends it back, for longer.
    health.ended("s", latency_s=0.0, failure=Kind.RESET)
    timer.advance(0.6)
    health.apply_report(report("a"))
    assert not health.is_usable("s")


def test_cancelled_attempt_is_no_fast_success() -> None:
    """Guards against callers that leave and make a bad server look good."""
    _, health = make()
    health.ended("s", latency_s=5.0, failure=Kind.TIMEOUT)
    health.ended("s", latency_s=5.0, failure=Kind.TIMEOUT)
    health.ended("s", latency_s=0.001, failure=Kind.CANCELLED)
    assert health.state("s").latency_s == 5.0
    assert health.state("s").failures == 2
