"""Guard against traffic on a link that no quota unit stands for."""

import asyncio

from returns.result import Success

from samphirelug.components.admission import model
from samphirelug.components.backend import model as backend_model
from samphirelug.components.quota import const
from tests.components.admission import harness

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
