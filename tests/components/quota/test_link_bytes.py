"""Guard against traffic on a link that no quota unit stands for."""

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
from standins.simulation import admission as harness
from standins.simulation import steering as fakes

OUT = "link:tallinn>tartu"
BACK = "link:tartu>tallinn"


def test_header_blocks_count_on_a_link() -> None:
    """A flood of small requests with large headers would pass the limit."""

    async def scenario() -> None:
        rig = harness.Harness(seats=("tartu",))
        whole = rig.ledger.free(OUT)
        for traffic in (None, backend_model.Traffic()):
            request = rig.request(home="tartu", body=b"x" * 100)
            outcome = await rig.admit(request)
            assert isinstance(outcome, Success)
            reserved = const.LINK_HEADER_BYTES
            assert whole - rig.ledger.free(OUT) == reserved + 100
            assert whole - rig.ledger.free(BACK) == reserved + 65536
            if traffic is not None:
                traffic.sent_bytes, traffic.received_bytes = 300, 500
            rig.admission.finish(
                outcome.unwrap(),
                ended=model.PermitEnd.COMPLETE,
                request=request,
                answer_bytes=400,
                traffic=traffic,
            )
            used = (
                whole - rig.ledger.free(OUT),
                whole - rig.ledger.free(BACK),
            )
            expected = (reserved + 100, 400) if traffic is None else (300, 500)
            assert used == expected
            usage = rig.admission.usage.used(OUT, rig.timer.monotonic())
            assert sum(usage) == used[0]
            await rig.advance(1.1)
            assert rig.ledger.free(OUT) == rig.ledger.free(BACK) == whole

    asyncio.run(scenario())


class Mesh(fakes.FakeMesh):
    """Pass messages between the rigs of a test."""

    def __init__(self, name: str, rigs: dict[str, harness.Harness]) -> None:
        self.name = name
        self.rigs = rigs

    def live_peers(self) -> tuple[peers_model.PeerView, ...]:
        """Return the other rigs with their headroom."""
        return tuple(
            peers_model.PeerView(
                peers_model.Heartbeat(
                    host=builders.make_host(name),
                    state=core.EntryHostState.SERVING,
                    clock_ms=0,
                    catalogue_revision=1,
                    headroom=rig.admission.headroom(),
                    queued=(0, 0, 0),
                    wait_s=(0.0, 0.0, 0.0),
                    sightings=(),
                ),
                rig.timer.monotonic(),
                True,
            )
            for name, rig in self.rigs.items()
            if name != self.name
        )

    async def request(
        self, host: str, message: peers_model.Message, *, timeout_s: float
    ) -> Result[peers_model.Message, result_codes.Refusal]:
        """Ask the admission of another rig."""
        await self.rigs[host].timer.sleep(0.04)
        assert timeout_s >= 0.04
        admission = self.rigs[host].admission
        if isinstance(message, peers_model.UnitRequest):
            return Success(admission.grant_units(message, borrower=self.name))
        assert isinstance(message, peers_model.GrantRequest)
        return Success(admission.grant(message, borrower=self.name))

    def send(self, host: str, message: peers_model.Message) -> None:
        """Return a loan to another rig."""
        assert isinstance(message, peers_model.GrantReturn)
        ledger = self.rigs[host].ledger
        ledger.settle(message.loan_id, message.bundle_number)


@pytest.mark.parametrize("borrows_bundle", [True, False])
def test_bundle_above_the_own_share_is_admitted(borrows_bundle: bool) -> None:
    """An answer of 16 MiB at 300 Mbit/s waits for ever without a loan."""
    view = builders.make_view()
    view.works["case-export"]["max_answer_bytes"] = 16 * 1024 * 1024
    needed = 16 * 1024 * 1024 + const.LINK_HEADER_BYTES

    async def scenario() -> None:
        rigs: dict[str, harness.Harness] = {}
        clock = timer.ManualTimerService(start_s=100.0)
        # The first host has no units of the region, or all of them.
        holder = "eh2" if borrows_bundle else "eh1"
        home = "tallinn" if borrows_bundle else "tartu"
        for name in ("eh1", "eh2", "eh3", "eh4", "eh5", "eh6"):
            rig = rigs[name] = harness.Harness(
                view=view,
                seats=("tartu",)
                if name == holder
                else ("tallinn",)
                if name == "eh1"
                else (),
                links=False,
                timer=clock,
                mesh=Mesh(name, rigs),
            )
            rig.admission.host = builders.make_host(name)
            share = dict.fromkeys((OUT, BACK), rig.limits[BACK].limit // 6)
            assert share[BACK] < needed
            rig.ledger.set_seat(
                group="link/tallinn+tartu",
                units=share,
                limits={key: rig.limits[key].limit for key in share},
                valid_until_s=1e9,
            )
        free = {name: rig.ledger.free(BACK) for name, rig in rigs.items()}
        full = quota_model.UnitAmount("region:tallinn", 12)
        rigs["eh1"].ledger.try_hold(quota_model.Bundle("tallinn", "", (full,)))
        request = rigs["eh1"].request(core.Rank.EXPORT, home=home)
        task = rigs["eh1"].submit(request)
        await rigs["eh1"].advance(3.0)
        left = sum(rig.ledger.free(BACK) for rig in rigs.values())
        assert left <= rigs["eh1"].limits[BACK].limit - needed
        rigs["eh1"].finish(request, task.result().unwrap())
        await rigs["eh1"].advance(6.0)
        assert free == {
            name: rig.ledger.free(BACK) for name, rig in rigs.items()
        }

    asyncio.run(scenario())
