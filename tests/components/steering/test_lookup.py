"""Test which entry hosts a look-up names."""

from samphirelug.components.peers import model as peers_model
from samphirelug.components.steering import lookup
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from standins import builders
from standins.simulation import admission as harness

from standins.simulation import steering as fakes


def beat(name: str, zone: str, **changes: object) -> peers_model.Heartbeat:
    made = peers_model.Heartbeat(
        host=builders.make_host(name, zone=zone),
        state=core.EntryHostState.SERVING,
        clock_ms=1000,
        catalogue_revision=10,
        headroom=(),
        queued=(0, 0, 0),
        wait_s=(0.0, 0.0, 0.0),
        sightings=(),
    )
    return made._replace(**changes)  # type: ignore[arg-type]


class Rig:
    """Wire a look-up planner with peers that a test sets."""

    def __init__(self, *peers: peers_model.Heartbeat) -> None:
        self.timer = timer_helper.ManualTimerService(start_s=100.0)
        self.mesh = fakes.FakeMesh(timer=self.timer)
        self.mesh.heartbeats = list(peers)
        self.issuer = fakes.FakeIssuer()
        self.own = beat("eh1", "tallinn-a")
        self.planner = lookup.LookupPlanner(
            catalogue=harness.Catalogue(builders.make_view()),
            mesh=self.mesh,
            issuer=self.issuer,
            own_heartbeat=lambda: self.own,
            timer=self.timer,
        )

    def names(self, work: str, place: str) -> list[str]:
        answer = self.planner.answer(work=work, place=place).unwrap()
        return [host.name for host in answer.entry_hosts]


def test_nearest_serving_hosts_come_first() -> None:
    """Guards against far, leaving or lagging hosts in answers."""
    rig = Rig(
        beat("eh2", "tartu-a"),
        beat("eh3", "tartu-b"),
        beat("eh4", "tartu-b", state=core.EntryHostState.LEAVING),
        beat("eh5", "tartu-a", catalogue_revision=3),
    )
    assert "eh5" in rig.names("case-status", "tartu-b")
    rig.timer.advance(5.0)
    assert rig.names("case-status", "tartu-b") == ["eh3", "eh2", "eh1"]


def test_answer_is_reused_but_its_run_token_is_not() -> None:
    """Guards against one token for two pieces of work."""
    rig = Rig()
    first = rig.planner.answer(work="file-claim", place="tallinn").unwrap()
    second = rig.planner.answer(work="file-claim", place="tallinn").unwrap()
    assert first.run_token != second.run_token
    assert rig.planner.builds == 1
    rig.timer.advance(0.3)
    assert rig.names("case-status", "tallinn") == ["eh1"]
    assert (
        rig.planner.answer(work="case-status", place="tallinn")
        .unwrap()
        .run_token
        is None
    )


def test_answers_of_one_period_share_one_heartbeat_and_its_end() -> None:
    """Guards against a heartbeat made for each place, and stale answers."""
    rig = Rig(beat("eh2", "tartu-a"))
    made = []

    def own_heartbeat() -> peers_model.Heartbeat:
        made.append(rig.own)
        return rig.own

    rig.planner.own_heartbeat = own_heartbeat
    rig.names("case-status", "tallinn-a")
    rig.timer.advance(0.2)
    assert "eh2" in rig.names("case-status", "tartu-a")
    assert len(made) == 1
    rig.mesh.heartbeats = []
    rig.timer.advance(0.1)
    assert rig.names("case-status", "tartu-a") == ["eh1"]


def test_rank_that_waits_everywhere_is_refused_at_the_look_up() -> None:
    """Guards against callers sent to queues that refuse them."""
    rig = Rig(beat("eh2", "tartu-a", wait_s=(0.0, 0.0, 6.0)))
    rig.own = rig.own._replace(wait_s=(0.0, 0.0, 3.0))
    refusal = rig.planner.answer(work="case-export", place="tartu").failure()
    assert refusal.code is result_codes.ResultCode.OVERLOADED
    assert refusal.retry_after_s == 3.0
    assert rig.names("case-status", "tartu")[0] == "eh2"


def test_work_whose_service_has_free_slots_is_not_refused() -> None:
    """Guards against a flood of one work entry refusing its whole rank."""
    room = peers_model.RegionHeadroom("tallinn", "filing", 1, 12)
    rig = Rig()
    rig.own = rig.own._replace(wait_s=(9.0, 9.0, 9.0), headroom=(room,))
    assert rig.names("file-claim", "tallinn") == ["eh1"]
    # The one free slot is reserved for more urgent work.
    refused = rig.planner.answer(work="case-export", place="tallinn")
    assert refused.failure().code is result_codes.ResultCode.OVERLOADED


def test_headroom_divides_callers_between_equally_near_hosts() -> None:
    """Guards against naming one host first to all callers."""
    room = peers_model.RegionHeadroom("tallinn", "filing", 9, 12)
    rig = Rig(beat("eh2", "tallinn-a", headroom=(room,)))
    firsts = []
    for _ in range(300):
        firsts.append(rig.names("case-status", "tallinn-a")[0])
        rig.timer.advance(0.26)
    assert 5 <= firsts.count("eh1") <= 70
