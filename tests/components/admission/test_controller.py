"""Test admission with the real ledger on a manual clock."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.admission import model
from samphirelug.components.peers import model as peers_model
from samphirelug.components.quota import model as quota_model
from samphirelug import core
from samphirelug import result_codes
from standins import builders
from standins.simulation import admission as harness
from standins.simulation import steering as fakes

Code = result_codes.ResultCode
URGENT, INTERACTIVE, EXPORT = core.Rank


def run(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(test)


def code_of(outcome: harness.Outcome | None) -> Code | None:
    return outcome.failure().code if isinstance(outcome, Failure) else None


def test_interactive_work_alone_uses_nine_tenths_of_the_region() -> None:
    """Guards against reserves that leave capacity idle."""

    async def test() -> None:
        await harness.Harness().fill(11)

    run(test())


def test_reserve_lets_urgent_work_in_during_a_flood_of_exports() -> None:
    """Guards against a flood that takes the last free unit."""

    async def test() -> None:
        rig = harness.Harness()
        flood = [rig.submit(rig.request(EXPORT)) for _ in range(50)]
        await harness.settle()
        assert sum(task.done() for task in flood) == 10
        await rig.fill(1, URGENT)
        for task in flood:
            task.cancel()

    run(test())


def test_released_unit_goes_to_the_most_urgent_earliest_deadline() -> None:
    """Guards against first-come order in the queue."""

    async def test() -> None:
        rig = harness.Harness()
        filled = await rig.fill(12, URGENT)
        late = rig.submit(rig.request(URGENT, deadline_s=9.0))
        lower = rig.submit(rig.request(EXPORT, deadline_s=1.0))
        soon = rig.submit(rig.request(URGENT, deadline_s=3.0))
        await harness.settle()
        rig.finish(*filled[0])
        await harness.settle()
        assert (soon.done(), late.done(), lower.done()) == (True, False, False)
        late.cancel()
        lower.cancel()

    run(test())


def test_cancelled_caller_leaves_the_queue_and_gives_back_a_permit() -> None:
    """Guards against units that leak when a caller hangs up."""

    async def test() -> None:
        rig = harness.Harness()
        filled = await rig.fill(12, URGENT)
        first, second = (
            rig.submit(rig.request(URGENT, deadline_s=5.0 + number))
            for number in range(2)
        )
        await harness.settle()
        first.cancel()
        await harness.settle()
        assert rig.admission.queued() == (1, 0, 0)
        # The permit is given and the task cancelled in the same step.
        rig.finish(*filled[0])
        second.cancel()
        await harness.settle()
        assert rig.ledger.free("region:tallinn") == 1
        assert rig.admission.queued() == (0, 0, 0)

    run(test())


def test_deadline_expires_promptly_in_the_queue() -> None:
    """Guards against callers that wait beyond their deadline."""

    async def test() -> None:
        rig = harness.Harness()
        await rig.fill(12, URGENT)
        task = rig.submit(rig.request(URGENT, deadline_s=0.3))
        await rig.advance(0.34)
        assert code_of(task.result()) is Code.DEADLINE_EXPIRED

    run(test())


def test_blocked_work_entry_does_not_block_others_of_its_rank() -> None:
    """Guards against head-of-line blocking by a work entry's limit."""

    async def test() -> None:
        rig = harness.Harness()
        rig.limits["work:case-status@tallinn"] = rig.limits[
            "work:case-status@tallinn"
        ]._replace(limit=1)
        rig.ledger.set_limits(rig.limits)
        rig.seat("region/tallinn")
        work = rig.catalogue.view.works["case-status"]
        other = work.copy()
        other["name"] = "case-lookup"
        rig.catalogue.view.works["case-lookup"] = other
        key = "work:case-lookup@tallinn"
        rig.limits[key] = rig.limits["work:case-export@tallinn"]._replace(
            key=key
        )
        rig.ledger.set_limits(rig.limits)
        rig.seat("region/tallinn")
        await rig.fill(1)
        blocked = rig.submit(rig.request(INTERACTIVE))
        passing = rig.submit(rig.request(INTERACTIVE, work="case-lookup"))
        await harness.settle()
        assert (blocked.done(), passing.done()) == (False, True)
        blocked.cancel()

    run(test())


def test_full_home_region_queues_rather_than_spills() -> None:
    """Guards against shifting traffic that would soon find room at home."""

    async def test() -> None:
        rig = harness.Harness(seats=("tallinn", "tartu"))
        filled = await rig.fill(12, URGENT)
        task = rig.submit(rig.request(URGENT))
        await rig.advance(0.1)
        rig.finish(*filled[0])
        await harness.settle()
        assert task.result().unwrap().bundle.region == "tallinn"
        waiting = rig.submit(rig.request(URGENT))
        await rig.advance(0.6)
        assert waiting.result().unwrap().bundle.region == "tartu"

    run(test())


def test_shift_cap_holds_when_every_home_server_is_dead() -> None:
    """Guards against a dead region's load passing the cap elsewhere."""

    async def test() -> None:
        rig = harness.Harness(seats=("tallinn", "tartu"))
        rig.kill("tallinn")
        shifted = [
            rig.submit(rig.request(EXPORT, deadline_s=2.0)) for _ in range(30)
        ]
        await harness.settle()
        # A tenth of the cap stays for each of the two higher ranks.
        admitted = [
            task
            for task in shifted
            if task.done() and isinstance(task.result(), Success)
        ]
        assert len(admitted) == 8
        await rig.fill(2, URGENT)
        await rig.advance(2.1)
        codes = [code_of(task.result()) for task in shifted]
        assert codes.count(Code.SHIFT_CAP) == 22

    run(test())


@pytest.mark.parametrize(
    ("prepare", "expected"),
    [
        ("no_servers", Code.NO_BACKEND_SERVER),
        ("no_seat", Code.NO_SHARE),
        ("full", Code.REGION_LIMIT),
        ("late", Code.DEADLINE_EXPIRED),
        ("unreachable", Code.DEADLINE_UNREACHABLE),
    ],
)
def test_refusal_names_the_cause(prepare: str, expected: Code) -> None:
    """Guards against refusals that send the operator the wrong way."""

    async def test() -> None:
        seats = () if prepare == "no_seat" else ("tallinn",)
        rig = harness.Harness(seats=seats, links=False)
        request = rig.request(URGENT)
        if prepare == "no_servers":
            for region in ("tallinn", "tartu", "parnu"):
                rig.kill(region)
        if prepare == "late":
            request = request._replace(deadline_at_s=rig.timer.now_s)
        queued = []
        if prepare in ("full", "unreachable"):
            await rig.fill(12, URGENT)
            count = 256 if prepare == "full" else 60
            queued = [
                rig.submit(rig.request(URGENT, deadline_s=30.0))
                for _ in range(count)
            ]
            await harness.settle()
        if prepare == "unreachable":
            request = rig.request(URGENT, deadline_s=0.1)
        task = rig.submit(request)
        await rig.advance(0.8)
        outcome = task.result()
        assert code_of(outcome) is expected
        if queued:
            assert outcome.failure().retry_after_s > 0.1
        for other in queued:
            other.cancel()

    run(test())


def test_bundle_of_a_leaving_server_is_given_back_unused() -> None:
    """Guards against work for leaving servers by loan, and a busy loop."""

    async def test() -> None:
        rig = harness.Harness(seats=())
        server = next(iter(rig.catalogue.view.servers))
        rig.health.apply_sighting(peers_model.Sighting(server, "", True, 0))
        bundle = quota_model.Bundle("tallinn", server, ())
        permit = model.Permit(1, bundle, model.PermitSource.LOAN)
        rig.loans.permits.append(permit)
        task = rig.submit(rig.request())
        await harness.settle()
        assert not task.done()
        assert rig.loans.ended
        assert rig.loans.wanted
        task.cancel()

    run(test())


def test_lender_keeps_the_reserve_of_more_urgent_ranks() -> None:
    """Guards against lending the units kept for urgent work."""

    async def test() -> None:
        rig = harness.Harness()
        ask = peers_model.GrantRequest(
            "case-export", "tallinn", 64, "tartu", "tartu", 0
        )
        grant = rig.admission.grant(ask, borrower="eh2")
        # Of 12 units 2 are reserved; shift units leave 8, half is lent.
        assert len(grant.bundles) == 4
        await rig.fill(7)
        assert not rig.admission.grant(ask, borrower="eh2").bundles

    run(test())


class LenderMesh(fakes.FakeMesh):
    """Reach one lender, which may be made unreachable."""

    def __init__(self, lender: harness.Harness) -> None:
        super().__init__(timer=lender.timer)
        self.lender = lender
        self.reachable = True

    def live_peers(self) -> tuple[peers_model.PeerView, ...]:
        """Return the lender with its headroom."""
        beat = peers_model.Heartbeat(
            host=builders.make_host("eh2"),
            state=core.EntryHostState.SERVING,
            clock_ms=0,
            catalogue_revision=1,
            headroom=self.lender.admission.headroom(),
            queued=(0, 0, 0),
            wait_s=(0.0, 0.0, 0.0),
            sightings=(),
        )
        now = self.timer.monotonic()
        return (peers_model.PeerView(beat, now, True),)

    async def request(
        self, host: str, message: peers_model.Message, *, timeout_s: float
    ) -> Result[peers_model.Message, result_codes.Refusal]:
        """Ask the lender's admission."""
        if not self.reachable or not isinstance(
            message, peers_model.GrantRequest
        ):
            return await super().request(host, message, timeout_s=timeout_s)
        return Success(self.lender.admission.grant(message, borrower="eh1"))


@pytest.mark.parametrize("reachable", [True, False])
def test_host_without_units_borrows_or_refuses(reachable: bool) -> None:
    """Guards against lent units that are not used, or waited for vainly."""

    async def test() -> None:
        lender = harness.Harness()
        mesh = LenderMesh(lender)
        mesh.reachable = reachable
        rig = harness.Harness(seats=(), timer=lender.timer, mesh=mesh)
        requests = [rig.request(URGENT) for _ in range(8)]
        tasks = [rig.submit(request) for request in requests]
        await rig.advance(0.5)
        assert all(task.done() for task in tasks)
        if not reachable:
            codes = {code_of(task.result()) for task in tasks}
            assert codes == {Code.NO_SHARE}
            return
        # The lender and the borrower together never pass the limit.
        assert lender.ledger.free("region:tallinn") == 12 - 8
        for request, task in zip(requests, tasks, strict=True):
            rig.finish(request, task.result().unwrap())
        await harness.settle()
        again = rig.submit(rig.request(URGENT))
        await harness.settle()
        assert isinstance(again.result(), Success)

    run(test())


def test_finish_twice_frees_units_once() -> None:
    """Guards against units that come back twice."""

    async def test() -> None:
        rig = harness.Harness()
        [(request, permit)] = await rig.fill(1)
        rig.finish(request, permit)
        rig.finish(request, permit)
        assert rig.ledger.free("region:tallinn") == 12

    run(test())


@settings(max_examples=40, deadline=None)
@given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["submit", "cancel", "finish", "wait"]),
            strategies.integers(0, 200),
        ),
        max_size=60,
    )
)
def test_every_schedule_ends_with_all_units_free(
    steps: list[tuple[str, int]],
) -> None:
    """Guards against leaks and against requests left queued for good."""

    async def test() -> None:
        rig = harness.Harness(seats=("tallinn", "tartu"))
        tasks: list[asyncio.Task[harness.Outcome]] = []
        requests: dict[asyncio.Task[harness.Outcome], core.CallerRequest] = {}
        finished: set[asyncio.Task[harness.Outcome]] = set()

        def finish(task: asyncio.Task[harness.Outcome]) -> None:
            if task in finished or not task.done() or task.cancelled():
                return
            finished.add(task)
            outcome = task.result()
            if isinstance(outcome, Success):
                rig.finish(requests[task], outcome.unwrap())

        for kind, number in steps:
            if kind == "submit":
                for _ in range(1 + number % 9):
                    request = rig.request(core.Rank(number % 3))
                    task = rig.submit(request)
                    requests[task] = request
                    tasks.append(task)
            elif kind == "wait":
                await rig.advance(number / 100)
            elif tasks:
                task = tasks[number % len(tasks)]
                if kind == "cancel":
                    task.cancel()
                else:
                    finish(task)
            await asyncio.sleep(0)
            assert rig.ledger.free("region:tallinn") >= 0
        for _ in range(12):
            await rig.advance(1.0, step_s=0.5)
            for task in tasks:
                finish(task)
        await rig.advance(12.0, step_s=0.5)
        assert all(task.done() for task in tasks)
        assert rig.admission.queued() == (0, 0, 0)
        assert rig.ledger.keys_in_use() == ()

    run(test())
