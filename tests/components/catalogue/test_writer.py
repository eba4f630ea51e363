"""Test that changes take effect at most once and are reported correctly."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Mapping
import itertools
from typing import Any
from typing import TypeVar

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from returns.result import Failure
from returns.result import Result

from samphirelug.components.catalogue import codec
from samphirelug.components.catalogue import schema
from samphirelug.components.catalogue import writer as catalogue_writer
from samphirelug.components.store import model as store_model
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes
from standins import builders
from standins import store as store_standin

Value = TypeVar("Value")
Code = result_codes.ResultCode
Outcome = catalogue_writer.EntryOutcome
# What happens to one write; after "lose_store" the store is unreachable.
FAULTS = (
    "none",
    "lose_answer",
    "lose_request",
    "delay_request",
    "refuse",
    "lose_store",
)


class FaultyStore(store_standin.FakeObjectStore):
    """Apply the next planned fault to each write of one operator."""

    def __init__(
        self,
        *,
        store: store_standin.StoreCore,
        timer: timer_helper.TimerService,
        plan: list[str],
    ) -> None:
        super().__init__(core=store, timer=timer)
        self.plan = iter(plan)

    async def put(
        self, key: str, value: Mapping[str, Any], *, expected_revision: int
    ) -> Result[store_model.StoredObject, result_codes.Refusal]:
        """Write with the planned fault."""
        fault = next(self.plan, "none")
        if fault == "refuse":
            return Failure(
                result_codes.Refusal(Code.STORE_UNAVAILABLE, "refused")
            )
        if fault == "delay_request":
            # The client times out before the store receives the request.
            self.timer.call_at(
                when_s=self.timer.monotonic() + 0.25,
                callback=lambda: (
                    self.core.put(key, value, expected_revision) and None
                ),
            )
        elif fault != "lose_request":
            answer = await super().put(
                key, value, expected_revision=expected_revision
            )
            if fault == "none":
                return answer
        if fault == "lose_store":
            self.reachable = False
        return Failure(
            result_codes.Refusal(Code.STORE_OUTCOME_UNKNOWN, "lost")
        )


def make_writer(
    store: store_standin.StoreCore,
    timer: timer_helper.TimerService,
    name: str,
    plan: list[str] | None = None,
) -> catalogue_writer.CatalogueWriter:
    numbers = itertools.count()
    return catalogue_writer.CatalogueWriter(
        store=FaultyStore(store=store, timer=timer, plan=plan or []),
        timer=timer,
        new_change_id=lambda: f"{name}-{next(numbers)}",
    )


async def run_tasks(
    timer: timer_helper.ManualTimerService, *awaitables: Awaitable[Value]
) -> list[Value]:
    """Advance the clock until all awaitables are done; return results."""
    tasks = [asyncio.ensure_future(item) for item in awaitables]
    while not all(task.done() for task in tasks):
        for _ in range(8):
            await asyncio.sleep(0)
        timer.advance(0.05)
    return [task.result() for task in tasks]


def apply_change(
    store: store_standin.StoreCore,
    wanted: Mapping[str, schema.Entry | None],
    *,
    plan: list[str] | None = None,
    expected: Mapping[str, int] | None = None,
) -> catalogue_writer.ApplyReport:
    async def body() -> catalogue_writer.ApplyReport:
        timer = timer_helper.ManualTimerService()
        writer = make_writer(store, timer, "op", plan)
        return (
            await run_tasks(timer, writer.apply(wanted, expected=expected))
        )[0]

    return asyncio.run(body())


def make_work(cap: int) -> schema.Entry:
    """Return a version of a work entry that its cap identifies."""
    work = builders.make_work("w", work_class=core.WorkClass.STATUS)
    work["max_in_flight_per_region"] = cap
    return work


def small_catalogue() -> dict[str, schema.Entry | None]:
    """Return entries, those that refer to others before the others."""
    view = builders.make_view()
    entries: list[schema.Entry] = [
        *view.works.values(),
        *view.services.values(),
        *view.links.values(),
        *view.regions.values(),
    ]
    return {schema.entry_key(entry): entry for entry in entries}


def keys_with_outcome(
    report: catalogue_writer.ApplyReport, outcome: Outcome
) -> list[str]:
    return [item.key for item in report.entries if item.outcome is outcome]


PLANS = strategies.lists(strategies.sampled_from(FAULTS), max_size=4)


@settings(max_examples=300, deadline=None)
@given(PLANS, PLANS, strategies.integers(0, 20), strategies.booleans())
def test_at_most_one_of_two_concurrent_changes_takes_effect(
    first_plan: list[str],
    second_plan: list[str],
    delay_steps: int,
    deleting: bool,
) -> None:
    """Guard against writes that take effect twice or fail unnoticed.

    Both operators change the entry from the same revision, and some of their
    requests and answers are lost or late. Each report states the outcome of
    its own change.
    """
    store = store_standin.StoreCore()
    apply_change(store, {**small_catalogue(), "work/w": make_work(1)})
    start = store.revision
    expected = {"work/w": store.objects["catalogue/work/w"].revision}

    async def body() -> list[catalogue_writer.ApplyReport]:
        timer = timer_helper.ManualTimerService()
        store.faults.delay_s = 0.07

        async def apply_second() -> catalogue_writer.ApplyReport:
            await timer.sleep(delay_steps * 0.05)
            return await make_writer(store, timer, "b", second_plan).apply(
                {"work/w": None if deleting else make_work(3)},
                expected=expected,
            )

        reports = await run_tasks(
            timer,
            make_writer(store, timer, "a", first_plan).apply(
                {"work/w": make_work(2)}, expected=expected
            ),
            apply_second(),
        )
        timer.advance(5.0)
        return reports

    reports = asyncio.run(body())
    written = [
        str(item.value["change_id"])
        for item in store.history
        if item.revision > start
    ]
    assert len(written) <= 1
    for name, report in zip("ab", reports, strict=True):
        own_change = written == [f"{name}-0"]
        outcome = report.entries[0].outcome
        code = report.refusal.code if report.refusal else Code.OK
        if outcome is Outcome.APPLIED:
            assert code is Code.OK
            assert own_change
            assert report.revision == store.revision
        elif outcome is Outcome.NOT_APPLIED:
            assert code in (Code.CATALOGUE_CONFLICT, Code.STORE_UNAVAILABLE)
            assert not own_change
        else:
            assert code is Code.STORE_OUTCOME_UNKNOWN
    if not {"lose_store", "refuse"} & {*first_plan, *second_plan}:
        # If the store can be read, no outcome remains unknown.
        codes = sorted(
            report.refusal.code if report.refusal else Code.OK
            for report in reports
        )
        assert codes == [Code.OK, Code.CATALOGUE_CONFLICT]


def test_conflict_shows_both_versions() -> None:
    """Guard against a conflict that hides the other operator's change."""
    store = store_standin.StoreCore()
    apply_change(store, {**small_catalogue(), "work/w": make_work(1)})
    base = store.objects["catalogue/work/w"].revision
    apply_change(store, {"work/w": make_work(2)})
    report = apply_change(
        store, {"work/w": make_work(3)}, expected={"work/w": base}
    )
    assert report.refusal is not None
    assert report.refusal.code is Code.CATALOGUE_CONFLICT
    assert "max_in_flight_per_region: 2" in report.refusal.detail
    assert "max_in_flight_per_region: 3" in report.refusal.detail
    report = apply_change(store, {"work/w": None}, expected={"work/w": base})
    assert report.refusal is not None
    assert "(deleted)" in report.refusal.detail


def test_file_is_applied_in_the_order_of_references() -> None:
    """Guard against an entry that is written before those it refers to."""
    store = store_standin.StoreCore()
    wanted = small_catalogue()
    report = apply_change(store, wanted)
    assert report.refusal is None
    assert set(keys_with_outcome(report, Outcome.APPLIED)) == wanted.keys()
    entries: dict[str, schema.Entry] = {}
    for stored in store.history:
        item = codec.decode_object(stored).unwrap()
        assert item.entry is not None
        entries[item.key] = item.entry
        assert schema.problems(entries) == ()
    again = apply_change(store, wanted)
    assert set(keys_with_outcome(again, Outcome.UNCHANGED)) == wanted.keys()
    assert store.revision == len(wanted)
    # Deletions are made in reverse order.
    report = apply_change(store, dict.fromkeys(wanted))
    assert report.refusal is None
    for stored in list(store.history)[len(wanted) :]:
        entries.pop(codec.decode_object(stored).unwrap().key)
        assert schema.problems(entries) == ()


def test_server_moves_between_services_in_one_file() -> None:
    """Guard against an order by kind alone.

    It could add the server to one service before it removes it from the
    other, so that the server would be in both.
    """
    store = store_standin.StoreCore()
    entries = small_catalogue()
    fees = builders.make_service("fees", zones=["tartu-a"], per_zone=2)
    for index, server in enumerate(fees["servers"]):
        server["address"] = f"127.0.0.2:{9000 + index}"
    apply_change(store, {**entries, "backend-service/fees": fees})
    filing = entries["backend-service/filing"]
    assert filing is not None
    assert filing["kind"] == "backend-service"
    moved = fees["servers"][0]
    report = apply_change(
        store,
        {
            "backend-service/filing": {
                **filing,
                "servers": [*filing["servers"], moved],
            },
            "backend-service/fees": {**fees, "servers": fees["servers"][1:]},
        },
    )
    assert report.refusal is None
    assert keys_with_outcome(report, Outcome.APPLIED) == [
        "backend-service/fees",
        "backend-service/filing",
    ]


def test_deletion_of_a_referenced_entry_is_refused() -> None:
    """Guard against work whose backend service has been deleted."""
    store = store_standin.StoreCore()
    apply_change(store, small_catalogue())
    before = store.revision
    for key in ("backend-service/filing", "region/tallinn"):
        report = apply_change(store, {key: None})
        assert report.refusal is not None
        assert report.refusal.code is Code.CATALOGUE_INVALID
    report = apply_change(store, {"work/none": None})
    assert report.refusal is not None
    assert report.refusal.code is Code.OBJECT_NOT_FOUND
    assert store.revision == before


def test_interrupted_change_reports_what_took_effect() -> None:
    """Guard against a report that does not show which entries are written."""
    store = store_standin.StoreCore()
    wanted = small_catalogue()
    report = apply_change(store, wanted, plan=["none", "none", "lose_store"])
    assert report.refusal is not None
    assert report.refusal.code is Code.STORE_OUTCOME_UNKNOWN
    assert len(keys_with_outcome(report, Outcome.APPLIED)) == 2
    assert len(keys_with_outcome(report, Outcome.UNKNOWN)) == 1
    assert (
        len(keys_with_outcome(report, Outcome.NOT_APPLIED)) == len(wanted) - 3
    )
    # Applying the same file again completes the change.
    assert apply_change(store, wanted).refusal is None
    assert store.revision == len(wanted)


def test_concurrent_deletion_is_reported() -> None:
    """Guard against a reference broken by another operator unnoticed.

    Each write is conditional on its own entry only, so both succeed.
    """
    store = store_standin.StoreCore()
    entries = small_catalogue()
    apply_change(
        store,
        {key: entry for key, entry in entries.items() if "work/" not in key},
    )

    async def body() -> list[catalogue_writer.ApplyReport]:
        timer = timer_helper.ManualTimerService()
        store.faults.delay_s = 0.07
        return await run_tasks(
            timer,
            make_writer(store, timer, "a").apply({"work/w": make_work(1)}),
            make_writer(store, timer, "b").apply(
                {"backend-service/filing": None}
            ),
        )

    reports = asyncio.run(body())
    assert all(report.refusal is None for report in reports)
    assert any(
        "no backend service" in str(report.warnings) for report in reports
    )
