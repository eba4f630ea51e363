"""Test the borrower of a loan; test_seat_keeper tests both sides."""

import asyncio
from collections.abc import Callable

from returns.result import Result
from returns.result import Success

from samphirelug.components.admission import model as admission_model
from samphirelug.components.peers import model as peers_model
from samphirelug.components.quota import ledger as quota_ledger
from samphirelug.components.quota import limits
from samphirelug.components.quota import loans
from samphirelug.components.quota import model
from samphirelug import result_codes
from standins.simulation import quota as simulation

COMPLETE = admission_model.PermitEnd.COMPLETE
ORPHANED = admission_model.PermitEnd.ORPHANED


class ScriptedMesh(simulation.FakeMesh):
    """Grant two bundles for every GrantRequest, after a delay."""

    def __init__(self, host: simulation.Host) -> None:
        super().__init__(host)
        self.keys = ["region:tallinn"]
        self.delay_s = 0.0
        self.sent: list[tuple[float, peers_model.Message]] = []

    async def request(
        self, host: str, message: peers_model.Message, *, timeout_s: float
    ) -> Result[peers_model.Message, result_codes.Refusal]:
        assert host == "eh2"
        assert timeout_s < 2.0
        assert isinstance(message, peers_model.GrantRequest)
        await self.host.timer.sleep(self.delay_s)
        units = tuple(model.UnitAmount(key, 20) for key in self.keys)
        bundle = model.Bundle("tallinn", "s", units)
        return Success(peers_model.Grant("l", (bundle, bundle), 2.0))

    def send(self, host: str, message: peers_model.Message) -> None:
        assert host == "eh2"
        self.sent.append((self.host.timer.monotonic() - 1000.0, message))


async def run_ready_tasks() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


def borrow(
    check: Callable[[simulation.Host, ScriptedMesh, loans.Borrower], None],
    *,
    delay_s: float = 0.0,
    keys: tuple[str, ...] = ("region:tallinn",),
) -> list[tuple[float, peers_model.Message]]:
    """Borrow two bundles, run a check and return the messages sent."""

    async def run() -> list[tuple[float, peers_model.Message]]:
        sim = simulation.QuotaSimulation(seed=0, settings=simulation.SETTINGS)
        host = sim.start("eh1", "tartu-a")
        lender = sim.start("eh2", "tallinn-a")
        lender.ledger = quota_ledger.QuotaLedger(timer=lender.timer)
        quota_limits = limits.quota_limits(sim.view)
        lender.ledger.set_limits(quota_limits)
        lender.ledger.set_seat(
            group="region/tallinn",
            units={"region:tallinn": 5},
            limits={"region:tallinn": 7},
            valid_until_s=2000.0,
        )
        mesh = ScriptedMesh(host)
        mesh.delay_s = delay_s
        mesh.keys = list(keys)
        borrower = loans.Borrower(
            ledger=host.ledger,
            mesh=mesh,
            timer=host.timer,
            host=host.identity,
        )
        for _ in range(2):
            borrower.request_bundles(
                work="status",
                region="tallinn",
                home_region="tallinn",
                body_bytes=20,
                count=2,
            )
        await run_ready_tasks()
        host.timer.advance(delay_s)
        await run_ready_tasks()
        check(host, mesh, borrower)
        host.timer.advance(60.0)
        host.kill()
        lender.kill()
        return mesh.sent

    return asyncio.run(run())


def acquire(
    borrower: loans.Borrower, *, body_bytes: int = 20, home: str = "tallinn"
) -> admission_model.Permit | None:
    return borrower.try_acquire(
        work="status",
        region="tallinn",
        home_region=home,
        body_bytes=body_bytes,
    )


def returned(number: int) -> peers_model.GrantReturn:
    return peers_model.GrantReturn("l", number)


def test_bundle_is_reused_until_the_loan_ends() -> None:
    """Guard against a borrower that uses a bundle after the lender's end.

    The loan ends earlier here: the lender times it from its answer.
    """

    def check(
        host: simulation.Host, mesh: ScriptedMesh, borrower: loans.Borrower
    ) -> None:
        permit = acquire(borrower)
        assert permit is not None
        host.timer.advance(0.9)
        borrower.end(permit, ended=COMPLETE, deadline_at_s=1e9)
        borrower.end(permit, ended=COMPLETE, deadline_at_s=1e9)
        permit = acquire(borrower)
        assert permit is not None
        # The idle bundle was returned. The loan ends at 0.9 s + 1.08 s.
        assert mesh.sent == [(0.9 + 0.1, returned(2))]
        assert acquire(borrower) is None
        host.timer.advance(0.19)
        borrower.end(permit, ended=COMPLETE, deadline_at_s=1e9)
        assert acquire(borrower) is None

    sent = borrow(check, delay_s=0.9)
    assert [message for _, message in sent] == [returned(2), returned(1)]


def test_paused_borrower_gets_no_permit_after_the_loan() -> None:
    """Guard against a permit of an ended loan whose timer has not run yet.

    The timer that returns the bundle runs late in a paused process.
    """

    def check(
        host: simulation.Host,
        mesh: ScriptedMesh,  # noqa: ARG001
        borrower: loans.Borrower,
    ) -> None:
        host.timer.now_s += 1.98
        assert acquire(borrower) is None

    borrow(check)


def test_bundle_with_a_release_delay_serves_one_request() -> None:
    """Guard against reusing a bundle whose link bytes are still in use."""

    def check(
        host: simulation.Host, mesh: ScriptedMesh, borrower: loans.Borrower
    ) -> None:
        assert acquire(borrower, body_bytes=21) is None
        assert acquire(borrower, home="tartu") is None
        permit = acquire(borrower)
        assert permit is not None
        borrower.end(permit, ended=COMPLETE, deadline_at_s=1e9)
        assert mesh.sent == [(0.0, returned(1))]
        assert host.timer.monotonic() == 1000.0

    borrow(check, keys=("region:tallinn", "link:tartu>tallinn"))


def test_bundle_of_orphaned_request_is_returned_after_deadline() -> None:
    """Guard against returning units while a server may process the request.

    It may do so until the deadline plus a margin.
    """

    def check(
        host: simulation.Host,
        mesh: ScriptedMesh,  # noqa: ARG001
        borrower: loans.Borrower,
    ) -> None:
        for permit in (acquire(borrower), acquire(borrower)):
            assert permit is not None
            borrower.end(
                permit,
                ended=ORPHANED,
                deadline_at_s=host.timer.monotonic() + 9.0,
            )

    sent = borrow(check)
    assert sent == [(9.5, returned(1)), (9.5, returned(2))]
