"""Test the signals that make a server usable or unusable."""

from samphirelug.components.backend import model as backend_model
from samphirelug.components.peers import model as peers_model
from samphirelug.components.steering import health as steering_health
from samphirelug.helpers import timer as timer_helper

Kind = backend_model.FailureKind


def make_health() -> tuple[
    timer_helper.ManualTimerService, steering_health.ServerHealth
]:
    timer = timer_helper.ManualTimerService(start_s=100.0)
    return timer, steering_health.ServerHealth(timer=timer)


def make_report(
    incarnation: str, *, leaving: bool = False
) -> backend_model.HealthReport:
    return backend_model.HealthReport("s", leaving, 0.5, incarnation)


def test_each_signal_marks_a_server_as_leaving_and_is_published_once() -> None:
    """Guard against ignored signals, and sightings repeated endlessly."""
    for signal in range(4):
        _, health = make_health()
        published: list[peers_model.Sighting] = []
        health.on_sighting.append(published.append)
        for _ in range(2):
            if signal == 0:
                health.apply_host_list(revision=5, live=(), leaving=("s",))
            elif signal == 1:
                health.apply_report(make_report("a", leaving=True))
            elif signal == 2:
                health.attempt_ended("s", latency_s=0.1, failure=Kind.LEAVING)
            else:
                health.apply_sighting(peers_model.Sighting("s", "a", True, 0))
        assert health.is_leaving("s")
        assert [sighting.leaving for sighting in published] == [True]
        assert health.sightings() == tuple(published)


def test_only_the_next_incarnation_clears_an_own_observation() -> None:
    """Guard against an old report or list that clears a leaving signal."""
    _, health = make_health()
    health.apply_report(make_report("a"))
    health.attempt_ended("s", latency_s=0.1, failure=Kind.LEAVING)
    health.apply_report(make_report("a"))
    health.apply_host_list(revision=9, live=("s",), leaving=())
    assert health.is_leaving("s")
    health.apply_report(make_report("b"))
    assert not health.is_leaving("s")
    # Late signals about the previous incarnation have no effect.
    health.apply_sighting(peers_model.Sighting("s", "a", True, 0))
    health.apply_sighting(peers_model.Sighting("s", "", True, 0))
    health.apply_report(make_report("a", leaving=True))
    assert not health.is_leaving("s")


def test_later_list_revision_clears_what_the_list_reported() -> None:
    """Guard against a server that stays leaving after the list clears it."""
    _, health = make_health()
    health.apply_host_list(revision=5, live=(), leaving=("s",))
    health.apply_host_list(revision=5, live=("s",), leaving=())
    assert health.is_leaving("s")
    health.apply_host_list(revision=6, live=("s",), leaving=())
    assert not health.is_leaving("s")


def test_clearing_reaches_a_peer_by_its_sighting() -> None:
    """Guard against peers that repeat each other's outdated sightings."""
    _, first = make_health()
    _, second = make_health()
    first.on_sighting.append(second.apply_sighting)
    second.on_sighting.append(first.apply_sighting)
    first.apply_report(make_report("a", leaving=True))
    assert second.is_leaving("s")
    second.apply_report(make_report("b"))
    assert not first.is_leaving("s")
    assert not second.is_leaving("s")


def test_failing_server_is_probed_and_ramped_before_use() -> None:
    """Guard against traffic to a server that refuses connections."""
    timer, health = make_health()
    for _ in range(3):
        health.attempt_ended("s", latency_s=0.0, failure=Kind.NOT_SENT)
    health.apply_report(make_report("a"))
    assert not health.is_usable("s")
    timer.advance(0.6)
    assert health.servers_due_for_probe() == ("s",)
    health.apply_report(make_report("a"))
    assert health.is_usable("s")
    timer.advance(5.0)
    assert health.ramp_fraction("s", ramp_s=10.0) == 0.5
    # One more failure takes it out of use again, with a longer backoff.
    health.attempt_ended("s", latency_s=0.0, failure=Kind.RESET)
    timer.advance(0.6)
    health.apply_report(make_report("a"))
    assert not health.is_usable("s")


def test_cancelled_attempt_does_not_count_as_success() -> None:
    """Guard against cancelled requests that hide a slow server."""
    _, health = make_health()
    health.attempt_ended("s", latency_s=5.0, failure=Kind.TIMEOUT)
    health.attempt_ended("s", latency_s=5.0, failure=Kind.TIMEOUT)
    health.attempt_ended("s", latency_s=0.001, failure=Kind.CANCELLED)
    assert health.state("s").latency_s == 5.0
    assert health.state("s").failures == 2
