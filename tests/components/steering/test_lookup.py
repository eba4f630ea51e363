"""Test which entry hosts a look-up names."""

from samphirelug.components.peers import model as peers_model
from samphirelug.components.steering import lookup
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from standins import builders
from standins.simulation import admission as simulation

from standins.simulation import steering as fakes


def make_heartbeat(
    name: str, zone: str, **changes: object
) -> peers_model.Heartbeat:
    built = peers_model.Heartbeat(
        host=builders.make_host(name, zone=zone),
        state=core.EntryHostState.SERVING,
        clock_ms=1000,
        catalogue_revision=10,
        headroom=(),
        queued=(0, 0, 0),
        wait_s=(0.0, 0.0, 0.0),
        sightings=(),
    )
    return built._replace(**changes)  # type: ignore[arg-type]


class LookupHarness:
    """Connect a look-up planner to peers that a test sets."""

    def __init__(self, *peers: peers_model.Heartbeat) -> None:
        self.timer = timer_helper.ManualTimerService(start_s=100.0)
        self.mesh = fakes.FakeMesh(timer=self.timer)
        self.mesh.heartbeats = list(peers)
        self.issuer = fakes.FakeIssuer()
        self.own = make_heartbeat("eh1", "tallinn-a")
        self.planner = lookup.LookupPlanner(
            catalogue=simulation.FakeCatalogue(builders.make_view()),
            mesh=self.mesh,
            issuer=self.issuer,
            own_heartbeat=lambda: self.own,
            timer=self.timer,
        )

    def names(self, work: str, place: str) -> list[str]:
        answer = self.planner.answer(work=work, place=place).unwrap()
        return [host.name for host in answer.entry_hosts]


def test_nearest_serving_hosts_come_first() -> None:
    """Guard against distant, leaving or lagging hosts in answers."""
    harness = LookupHarness(
        make_heartbeat("eh2", "tartu-a"),
        make_heartbeat("eh3", "tartu-b"),
        make_heartbeat("eh4", "tartu-b", state=core.EntryHostState.LEAVING),
        make_heartbeat("eh5", "tartu-a", catalogue_revision=3),
    )
    assert "eh5" in harness.names("case-status", "tartu-b")
    harness.timer.advance(5.0)
    assert harness.names("case-status", "tartu-b") == ["eh3", "eh2", "eh1"]


def test_answer_is_reused_but_its_run_token_is_not() -> None:
    """Guard against one run token for two requests."""
    harness = LookupHarness()
    first = harness.planner.answer(work="file-claim", place="tallinn").unwrap()
    second = harness.planner.answer(
        work="file-claim", place="tallinn"
    ).unwrap()
    assert first.run_token != second.run_token
    assert harness.planner.answers_built == 1
    harness.timer.advance(0.3)
    assert harness.names("case-status", "tallinn") == ["eh1"]
    assert (
        harness.planner.answer(work="case-status", place="tallinn")
        .unwrap()
        .run_token
        is None
    )


def test_answers_of_one_period_share_one_heartbeat_and_its_end() -> None:
    """Guard against a heartbeat built for each place, and stale answers."""
    harness = LookupHarness(make_heartbeat("eh2", "tartu-a"))
    built = []

    def own_heartbeat() -> peers_model.Heartbeat:
        built.append(harness.own)
        return harness.own

    harness.planner.own_heartbeat = own_heartbeat
    harness.names("case-status", "tallinn-a")
    harness.timer.advance(0.2)
    assert "eh2" in harness.names("case-status", "tartu-a")
    assert len(built) == 1
    harness.mesh.heartbeats = []
    harness.timer.advance(0.1)
    assert harness.names("case-status", "tartu-a") == ["eh1"]


def test_rank_that_waits_everywhere_is_refused_at_the_look_up() -> None:
    """Guard against directing callers to queues that refuse them."""
    harness = LookupHarness(
        make_heartbeat("eh2", "tartu-a", wait_s=(0.0, 0.0, 6.0))
    )
    harness.own = harness.own._replace(wait_s=(0.0, 0.0, 3.0))
    refusal = harness.planner.answer(
        work="case-export", place="tartu"
    ).failure()
    assert refusal.code is result_codes.ResultCode.OVERLOADED
    assert refusal.retry_after_s == 3.0
    assert harness.names("case-status", "tartu")[0] == "eh2"


def test_work_whose_service_has_free_slots_is_not_refused() -> None:
    """Guard against refusing a whole rank for overload by one work entry."""
    headroom = peers_model.RegionHeadroom("tallinn", "filing", 1, 12)
    harness = LookupHarness()
    harness.own = harness.own._replace(
        wait_s=(9.0, 9.0, 9.0), headroom=(headroom,)
    )
    assert harness.names("file-claim", "tallinn") == ["eh1"]
    # The only free slot is reserved for more urgent work.
    refused = harness.planner.answer(work="case-export", place="tallinn")
    assert refused.failure().code is result_codes.ResultCode.OVERLOADED


def test_headroom_divides_callers_between_equally_near_hosts() -> None:
    """Guard against listing the same host first for all callers."""
    headroom = peers_model.RegionHeadroom("tallinn", "filing", 9, 12)
    harness = LookupHarness(
        make_heartbeat("eh2", "tallinn-a", headroom=(headroom,))
    )
    first_hosts = []
    for _ in range(300):
        first_hosts.append(harness.names("case-status", "tallinn-a")[0])
        harness.timer.advance(0.26)
    assert 5 <= first_hosts.count("eh1") <= 70
