"""Test when notices about entry hosts are sent."""

import asyncio
from typing import Any

from samphirelug.components.fleet import const
from samphirelug.components.fleet import io_datagrams
from samphirelug.components.fleet import model
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug import core
from samphirelug.helpers import timer as timer_helper


def make_host(name: str, port: int) -> model.HostInstance:
    """Return an entry host."""
    return model.HostInstance(
        name,
        "i1",
        core.AvailabilityZone("a1", "a"),
        "127.0.0.1:1",
        f"127.0.0.1:{port}",
    )


class RecordingTransport(asyncio.DatagramTransport):
    """Record the kinds of notices by the port of their receiver."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[tuple[str, int]] = []

    def sendto(
        self,
        data: bytes | bytearray | memoryview,
        addr: Any = None,
    ) -> None:
        """Record a notice."""
        self.sent.append((io_datagrams.decode(bytes(data)).kind, addr[1]))

    def count(self, kind: str, *, port: int) -> int:
        """Return how many notices of a kind a host got."""
        return self.sent.count((kind, port))


def make_protocol(
    *, is_ready: bool
) -> tuple[io_datagrams.NoticeProtocol, RecordingTransport]:
    """Return the protocol of a host that has read the entry of another."""
    roster = fleet_roster.HostRoster(own=make_host("h0", 1))
    roster.is_ready = lambda: is_ready
    roster.add_known([make_host("h1", 2)], now=0.0)
    protocol = io_datagrams.NoticeProtocol(
        roster=roster, timer=timer_helper.ManualTimerService()
    )
    transport = RecordingTransport()
    protocol.transport = transport
    return protocol, transport


def test_unknown_host_is_asked_until_it_is_absent() -> None:
    """Guard against a lost datagram that takes a host out of answers."""
    protocol, transport = make_protocol(is_ready=True)
    protocol.check_hosts()
    assert transport.count(const.ASK, port=2) == 1
    assert isinstance(protocol.timer, timer_helper.ManualTimerService)
    protocol.timer.advance(const.ANSWER_WITHIN_S + const.ASK_INTERVAL_S)
    assert protocol.roster.serving() == []
    assert transport.count(const.ASK, port=2) == 4
    protocol.timer.advance(5.0)
    # The report is sent twice, and no question follows without a tick.
    assert transport.count(const.ABSENT, port=2) == 2
    assert transport.count(const.ASK, port=2) == 4


def test_host_that_cannot_serve_asks_and_reports_nothing() -> None:
    """Guard against a host that takes others for lost while it starts."""
    protocol, transport = make_protocol(is_ready=False)
    assert isinstance(protocol.timer, timer_helper.ManualTimerService)
    protocol.check_hosts()
    protocol.timer.advance(5.0)
    assert len(protocol.roster.serving()) == 1
    assert transport.count(const.ABSENT, port=2) == 0
    # Several checks at once do not add up.
    for _ in range(5):
        protocol.check_hosts()
    count = transport.count(const.ASK, port=2)
    protocol.timer.advance(3.0)
    assert transport.count(const.ASK, port=2) - count <= 11


def test_suspended_process_reports_no_host_that_it_has_asked() -> None:
    """Guard against taking its own suspension for a missing answer."""
    protocol, transport = make_protocol(is_ready=True)
    assert isinstance(protocol.timer, timer_helper.ManualTimerService)
    protocol.check_hosts()
    protocol.timer.now_s += 30.0
    protocol.timer.advance(0.0)
    assert transport.count(const.ABSENT, port=2) == 0
    assert len(protocol.roster.serving()) == 1


def test_host_without_a_known_entry_gets_answers() -> None:
    """Guard against a host that takes others for lost before it is known."""
    protocol, transport = make_protocol(is_ready=True)
    question = fleet_roster.Notice(const.ASK, "h9", "i1")
    protocol.datagram_received(io_datagrams.encode(question), ("127.0.0.1", 9))
    assert transport.sent == [(const.ALIVE, 9)]


def test_answer_ends_the_questions() -> None:
    """Guard against questions without end to a host that runs."""
    protocol, transport = make_protocol(is_ready=True)
    assert isinstance(protocol.timer, timer_helper.ManualTimerService)
    protocol.check_hosts()
    alive = fleet_roster.Notice(const.ALIVE, "h1", "i1")
    protocol.datagram_received(io_datagrams.encode(alive), ("", 0))
    protocol.timer.advance(1.0)
    assert transport.count(const.ASK, port=2) == 1
    assert len(protocol.roster.serving()) == 1
