"""Test admission with the real quota ledger and a manual clock."""

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
from standins.simulation import admission as simulation
from standins.simulation import steering as fakes

Code = result_codes.ResultCode
URGENT, INTERACTIVE, EXPORT = core.Rank


def run(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(test)


def refusal_code(outcome: simulation.Outcome | None) -> Code | None:
    return outcome.failure().code if isinstance(outcome, Failure) else None


def test_interactive_work_alone_uses_nine_tenths_of_the_region() -> None:
    """Guard against idle units that are reserved for less urgent ranks."""

    async def test() -> None:
        await simulation.Harness().fill(11)

    run(test())


def test_reserve_admits_urgent_work_during_overload_by_exports() -> None:
    """Guard against less urgent work that takes the last free units."""

    async def test() -> None:
        harness = simulation.Harness()
        exports = [harness.submit(harness.request(EXPORT)) for _ in range(50)]
        await simulation.run_ready_tasks()
        assert sum(task.done() for task in exports) == 10
        await harness.fill(1, URGENT)
        for task in exports:
            task.cancel()

    run(test())


def test_released_unit_goes_to_the_most_urgent_earliest_deadline() -> None:
    """Guard against first-come-first-served order in the queue."""

    async def test() -> None:
        harness = simulation.Harness()
        admitted = await harness.fill(12, URGENT)
        later = harness.submit(harness.request(URGENT, deadline_s=9.0))
        less_urgent = harness.submit(harness.request(EXPORT, deadline_s=1.0))
        sooner = harness.submit(harness.request(URGENT, deadline_s=3.0))
        await simulation.run_ready_tasks()
        harness.finish(*admitted[0])
        await simulation.run_ready_tasks()
        assert (sooner.done(), later.done(), less_urgent.done()) == (
            True,
            False,
            False,
        )
        later.cancel()
        less_urgent.cancel()

    run(test())


def test_cancelled_caller_leaves_the_queue_and_gives_back_a_permit() -> None:
    """Guard against leaked units when a caller closes its connection."""

    async def test() -> None:
        harness = simulation.Harness()
        admitted = await harness.fill(12, URGENT)
        first, second = (
            harness.submit(harness.request(URGENT, deadline_s=5.0 + number))
            for number in range(2)
        )
        await simulation.run_ready_tasks()
        first.cancel()
        await simulation.run_ready_tasks()
        assert harness.admission.queued() == (1, 0, 0)
        # The permit is granted and the task cancelled in the same event loop
        # step.
        harness.finish(*admitted[0])
        second.cancel()
        await simulation.run_ready_tasks()
        assert harness.ledger.free("region:tallinn") == 1
        assert harness.admission.queued() == (0, 0, 0)

    run(test())


def test_deadline_expires_promptly_in_the_queue() -> None:
    """Guard against requests that stay queued beyond their deadline."""

    async def test() -> None:
        harness = simulation.Harness()
        await harness.fill(12, URGENT)
        task = harness.submit(harness.request(URGENT, deadline_s=0.3))
        await harness.advance(0.34)
        assert refusal_code(task.result()) is Code.DEADLINE_EXPIRED

    run(test())


def test_blocked_work_entry_does_not_block_others_of_its_rank() -> None:
    """Guard against head-of-line blocking by a work entry's limit."""

    async def test() -> None:
        harness = simulation.Harness()
        harness.limits["work:case-status@tallinn"] = harness.limits[
            "work:case-status@tallinn"
        ]._replace(limit=1)
        harness.ledger.set_limits(harness.limits)
        harness.allocate_seat("region/tallinn")
        work = harness.catalogue.view.works["case-status"]
        other = work.copy()
        other["name"] = "case-lookup"
        harness.catalogue.view.works["case-lookup"] = other
        key = "work:case-lookup@tallinn"
        harness.limits[key] = harness.limits[
            "work:case-export@tallinn"
        ]._replace(key=key)
        harness.ledger.set_limits(harness.limits)
        harness.allocate_seat("region/tallinn")
        await harness.fill(1)
        over_limit = harness.submit(harness.request(INTERACTIVE))
        other_request = harness.submit(
            harness.request(INTERACTIVE, work="case-lookup")
        )
        await simulation.run_ready_tasks()
        assert (over_limit.done(), other_request.done()) == (False, True)
        over_limit.cancel()

    run(test())


def test_full_home_region_queues_rather_than_spills() -> None:
    """Guard against shifting requests that could soon be served at home."""

    async def test() -> None:
        harness = simulation.Harness(seats=("tallinn", "tartu"))
        admitted = await harness.fill(12, URGENT)
        task = harness.submit(harness.request(URGENT))
        await harness.advance(0.1)
        harness.finish(*admitted[0])
        await simulation.run_ready_tasks()
        assert task.result().unwrap().bundle.region == "tallinn"
        queued = harness.submit(harness.request(URGENT))
        await harness.advance(0.6)
        assert queued.result().unwrap().bundle.region == "tartu"

    run(test())


def test_shift_cap_holds_when_every_home_server_has_failed() -> None:
    """Guard against exceeding the shift cap with a failed region's load."""

    async def test() -> None:
        harness = simulation.Harness(seats=("tallinn", "tartu"))
        harness.fail_region("tallinn")
        tasks = [
            harness.submit(harness.request(EXPORT, deadline_s=2.0))
            for _ in range(30)
        ]
        await simulation.run_ready_tasks()
        # A tenth of the cap is reserved for each of the more urgent ranks.
        admitted = [
            task
            for task in tasks
            if task.done() and isinstance(task.result(), Success)
        ]
        assert len(admitted) == 8
        await harness.fill(2, URGENT)
        await harness.advance(2.1)
        codes = [refusal_code(task.result()) for task in tasks]
        assert codes.count(Code.SHIFT_CAP) == 22

    run(test())


@pytest.mark.parametrize(
    ("condition", "expected"),
    [
        ("no_servers", Code.NO_BACKEND_SERVER),
        ("no_seat", Code.NO_SHARE),
        ("full", Code.REGION_LIMIT),
        ("late", Code.DEADLINE_EXPIRED),
        ("unreachable", Code.DEADLINE_UNREACHABLE),
    ],
)
def test_refusal_names_the_cause(condition: str, expected: Code) -> None:
    """Guard against refusals that mislead the operator about the cause."""

    async def test() -> None:
        seats = () if condition == "no_seat" else ("tallinn",)
        harness = simulation.Harness(seats=seats, links=False)
        request = harness.request(URGENT)
        if condition == "no_servers":
            for region in ("tallinn", "tartu", "parnu"):
                harness.fail_region(region)
        if condition == "late":
            request = request._replace(deadline_at_s=harness.timer.now_s)
        queued = []
        if condition in ("full", "unreachable"):
            await harness.fill(12, URGENT)
            count = 256 if condition == "full" else 60
            queued = [
                harness.submit(harness.request(URGENT, deadline_s=30.0))
                for _ in range(count)
            ]
            await simulation.run_ready_tasks()
        if condition == "unreachable":
            request = harness.request(URGENT, deadline_s=0.1)
        task = harness.submit(request)
        await harness.advance(0.8)
        outcome = task.result()
        assert refusal_code(outcome) is expected
        if queued:
            assert outcome.failure().retry_after_s > 0.1
        for other in queued:
            other.cancel()

    run(test())


def test_bundle_of_a_leaving_server_is_given_back_unused() -> None:
    """Guard against use of leaving servers by loan, and an endless loop."""

    async def test() -> None:
        harness = simulation.Harness(seats=())
        server = next(iter(harness.catalogue.view.servers))
        harness.health.apply_sighting(
            peers_model.Sighting(server, "", True, 0)
        )
        bundle = quota_model.Bundle("tallinn", server, ())
        permit = model.Permit(1, bundle, model.PermitSource.LOAN)
        harness.fake_borrower.permits.append(permit)
        task = harness.submit(harness.request())
        await simulation.run_ready_tasks()
        assert not task.done()
        assert harness.fake_borrower.ended_permits
        assert harness.fake_borrower.requested_bundles
        task.cancel()

    run(test())


def test_lender_keeps_the_reserve_of_more_urgent_ranks() -> None:
    """Guard against lending units that are reserved for urgent work."""

    async def test() -> None:
        harness = simulation.Harness()
        grant_request = peers_model.GrantRequest(
            "case-export", "tallinn", 64, "tartu", "tartu", 0
        )
        grant = harness.admission.grant(grant_request, borrower="eh2")
        # 2 of 12 region units are reserved. The shift cap leaves 8 units, of
        # which half are lent.
        assert len(grant.bundles) == 4
        await harness.fill(7)
        assert not harness.admission.grant(
            grant_request, borrower="eh2"
        ).bundles

    run(test())


class LenderMesh(fakes.FakeMesh):
    """Connect to one lender, which a test can make unreachable."""

    def __init__(self, lender: simulation.Harness) -> None:
        super().__init__(timer=lender.timer)
        self.lender = lender
        self.reachable = True

    def live_peers(self) -> tuple[peers_model.PeerView, ...]:
        """Return the lender with its current headroom."""
        heartbeat = peers_model.Heartbeat(
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
        return (peers_model.PeerView(heartbeat, now, True),)

    async def request(
        self, host: str, message: peers_model.Message, *, timeout_s: float
    ) -> Result[peers_model.Message, result_codes.Refusal]:
        """Pass a request for bundles to the lender's admission."""
        if not self.reachable or not isinstance(
            message, peers_model.GrantRequest
        ):
            return await super().request(host, message, timeout_s=timeout_s)
        return Success(self.lender.admission.grant(message, borrower="eh1"))


@pytest.mark.parametrize("reachable", [True, False])
def test_host_without_units_borrows_or_refuses(reachable: bool) -> None:
    """Guard against unused loans, and endless waits for a loan."""

    async def test() -> None:
        lender = simulation.Harness()
        mesh = LenderMesh(lender)
        mesh.reachable = reachable
        harness = simulation.Harness(seats=(), timer=lender.timer, mesh=mesh)
        requests = [harness.request(URGENT) for _ in range(8)]
        tasks = [harness.submit(request) for request in requests]
        await harness.advance(0.5)
        assert all(task.done() for task in tasks)
        if not reachable:
            codes = {refusal_code(task.result()) for task in tasks}
            assert codes == {Code.NO_SHARE}
            return
        # The lender and the borrower together never exceed the limit.
        assert lender.ledger.free("region:tallinn") == 12 - 8
        for request, task in zip(requests, tasks, strict=True):
            harness.finish(request, task.result().unwrap())
        await simulation.run_ready_tasks()
        retry = harness.submit(harness.request(URGENT))
        await simulation.run_ready_tasks()
        assert isinstance(retry.result(), Success)

    run(test())


def test_finish_twice_frees_units_once() -> None:
    """Guard against releasing the same units twice."""

    async def test() -> None:
        harness = simulation.Harness()
        [(request, permit)] = await harness.fill(1)
        harness.finish(request, permit)
        harness.finish(request, permit)
        assert harness.ledger.free("region:tallinn") == 12

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
    """Guard against leaked units and requests that stay queued."""

    async def test() -> None:
        harness = simulation.Harness(seats=("tallinn", "tartu"))
        tasks: list[asyncio.Task[simulation.Outcome]] = []
        requests: dict[
            asyncio.Task[simulation.Outcome], core.CallerRequest
        ] = {}
        finished: set[asyncio.Task[simulation.Outcome]] = set()

        def finish(task: asyncio.Task[simulation.Outcome]) -> None:
            if task in finished or not task.done() or task.cancelled():
                return
            finished.add(task)
            outcome = task.result()
            if isinstance(outcome, Success):
                harness.finish(requests[task], outcome.unwrap())

        for kind, number in steps:
            if kind == "submit":
                for _ in range(1 + number % 9):
                    request = harness.request(core.Rank(number % 3))
                    task = harness.submit(request)
                    requests[task] = request
                    tasks.append(task)
            elif kind == "wait":
                await harness.advance(number / 100)
            elif tasks:
                task = tasks[number % len(tasks)]
                if kind == "cancel":
                    task.cancel()
                else:
                    finish(task)
            await asyncio.sleep(0)
            assert harness.ledger.free("region:tallinn") >= 0
        for _ in range(12):
            await harness.advance(1.0, step_s=0.5)
            for task in tasks:
                finish(task)
        await harness.advance(12.0, step_s=0.5)
        assert all(task.done() for task in tasks)
        assert harness.admission.queued() == (0, 0, 0)
        assert harness.ledger.keys_in_use() == ()

    run(test())
