"""Test that quota units account for all traffic on a link."""

import asyncio

import pytest
from returns.result import Result
from returns.result import Success

from samphirelug.components.admission import model
from samphirelug.components.backend import model as backend_model
from samphirelug.components.peers import model as peers_model
from samphirelug.components.quota import const
from samphirelug.components.quota import model as quota_model
from samphirelug import core
from samphirelug.helpers import timer
from samphirelug import result_codes
from standins import builders
from standins.simulation import admission as simulation
from standins.simulation import steering as fakes

REQUEST_KEY = "link:tallinn>tartu"
ANSWER_KEY = "link:tartu>tallinn"


def test_header_blocks_count_on_a_link() -> None:
    """Guard against small requests with large headers exceeding a limit."""

    async def scenario() -> None:
        harness = simulation.Harness(seats=("tartu",))
        initial = harness.ledger.free(REQUEST_KEY)
        for traffic in (None, backend_model.Traffic()):
            request = harness.request(home_region="tartu", body=b"x" * 100)
            outcome = await harness.admit(request)
            assert isinstance(outcome, Success)
            header_bytes = const.LINK_HEADER_BYTES
            assert (
                initial - harness.ledger.free(REQUEST_KEY)
                == header_bytes + 100
            )
            assert (
                initial - harness.ledger.free(ANSWER_KEY)
                == header_bytes + 65536
            )
            if traffic is not None:
                traffic.sent_bytes, traffic.received_bytes = 300, 500
            harness.admission.finish(
                outcome.unwrap(),
                ended=model.PermitEnd.COMPLETE,
                request=request,
                answer_bytes=400,
                traffic=traffic,
            )
            used = (
                initial - harness.ledger.free(REQUEST_KEY),
                initial - harness.ledger.free(ANSWER_KEY),
            )
            expected = (
                (header_bytes + 100, 400) if traffic is None else (300, 500)
            )
            assert used == expected
            usage = harness.admission.usage.used(
                REQUEST_KEY, harness.timer.monotonic()
            )
            assert sum(usage) == used[0]
            await harness.advance(1.1)
            assert (
                harness.ledger.free(REQUEST_KEY)
                == harness.ledger.free(ANSWER_KEY)
                == initial
            )

    asyncio.run(scenario())


class HarnessMesh(fakes.FakeMesh):
    """Pass messages between the harnesses of a test."""

    def __init__(
        self, name: str, harnesses: dict[str, simulation.Harness]
    ) -> None:
        self.name = name
        self.harnesses = harnesses

    def live_peers(self) -> tuple[peers_model.PeerView, ...]:
        """Return the other harnesses with their headroom."""
        return tuple(
            peers_model.PeerView(
                peers_model.Heartbeat(
                    host=builders.make_host(name),
                    state=core.EntryHostState.SERVING,
                    clock_ms=0,
                    catalogue_revision=1,
                    headroom=harness.admission.headroom(),
                    queued=(0, 0, 0),
                    wait_s=(0.0, 0.0, 0.0),
                    sightings=(),
                ),
                harness.timer.monotonic(),
                True,
            )
            for name, harness in self.harnesses.items()
            if name != self.name
        )

    async def request(
        self, host: str, message: peers_model.Message, *, timeout_s: float
    ) -> Result[peers_model.Message, result_codes.Refusal]:
        """Request units from the admission controller of another harness."""
        await self.harnesses[host].timer.sleep(0.04)
        assert timeout_s >= 0.04
        admission = self.harnesses[host].admission
        if isinstance(message, peers_model.UnitRequest):
            return Success(admission.grant_units(message, borrower=self.name))
        assert isinstance(message, peers_model.GrantRequest)
        return Success(admission.grant(message, borrower=self.name))

    def send(self, host: str, message: peers_model.Message) -> None:
        """Return a loan to another harness."""
        assert isinstance(message, peers_model.GrantReturn)
        ledger = self.harnesses[host].ledger
        ledger.settle(message.loan_id, message.bundle_number)


@pytest.mark.parametrize("borrows_bundle", [True, False])
def test_bundle_above_the_own_share_is_admitted(borrows_bundle: bool) -> None:
    """Guard against an answer of 16 MiB at 300 Mbit/s that waits forever.

    It needs more units than the host's own share, and thus a loan.
    """
    view = builders.make_view()
    view.works["case-export"]["max_answer_bytes"] = 16 * 1024 * 1024
    needed = 16 * 1024 * 1024 + const.LINK_HEADER_BYTES

    async def scenario() -> None:
        harnesses: dict[str, simulation.Harness] = {}
        clock = timer.ManualTimerService(start_s=100.0)
        # The holder has all units of the region tartu. The request arrives at
        # eh1, which borrows a bundle unless it is the holder.
        holder = "eh2" if borrows_bundle else "eh1"
        home = "tallinn" if borrows_bundle else "tartu"
        for name in ("eh1", "eh2", "eh3", "eh4", "eh5", "eh6"):
            harness = harnesses[name] = simulation.Harness(
                view=view,
                seats=("tartu",)
                if name == holder
                else ("tallinn",)
                if name == "eh1"
                else (),
                links=False,
                timer=clock,
                mesh=HarnessMesh(name, harnesses),
            )
            harness.admission.host = builders.make_host(name)
            share = dict.fromkeys(
                (REQUEST_KEY, ANSWER_KEY),
                harness.limits[ANSWER_KEY].limit // 6,
            )
            assert share[ANSWER_KEY] < needed
            harness.ledger.set_seat(
                group="link/tallinn+tartu",
                units=share,
                limits={key: harness.limits[key].limit for key in share},
                valid_until_s=1e9,
            )
        free = {
            name: harness.ledger.free(ANSWER_KEY)
            for name, harness in harnesses.items()
        }
        all_units = quota_model.UnitAmount("region:tallinn", 12)
        harnesses["eh1"].ledger.try_hold(
            quota_model.Bundle("tallinn", "", (all_units,))
        )
        request = harnesses["eh1"].request(core.Rank.EXPORT, home_region=home)
        task = harnesses["eh1"].submit(request)
        await harnesses["eh1"].advance(3.0)
        remaining = sum(
            harness.ledger.free(ANSWER_KEY) for harness in harnesses.values()
        )
        assert remaining <= harnesses["eh1"].limits[ANSWER_KEY].limit - needed
        harnesses["eh1"].finish(request, task.result().unwrap())
        await harnesses["eh1"].advance(6.0)
        assert free == {
            name: harness.ledger.free(ANSWER_KEY)
            for name, harness in harnesses.items()
        }

    asyncio.run(scenario())
