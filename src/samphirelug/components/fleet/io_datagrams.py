"""Exchange notices about entry hosts as datagrams."""

import asyncio
import logging

import cbor2

from samphirelug.components.fleet import const
from samphirelug.components.fleet import model
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
KINDS = (
    const.BEAT,
    const.ASK,
    const.ABSENT,
    const.PRESENT,
    const.LEAVING,
)


def encode(notice: fleet_roster.Notice) -> bytes:
    """Return the datagram of a notice."""
    return cbor2.dumps(
        [KINDS.index(notice.kind), notice.name, notice.incarnation]
    )


def decode(data: bytes) -> fleet_roster.Notice | None:
    """Return the notice of a datagram, None if it is malformed."""
    try:
        kind, name, incarnation = cbor2.loads(data)
        if not isinstance(name, str) or not isinstance(incarnation, str):
            raise ValueError("a name is not text")
        return fleet_roster.Notice(KINDS[kind], name, incarnation)
    except (cbor2.CBORError, ValueError, TypeError, IndexError) as error:
        _LOGGER.warning(
            "malformed datagram", extra={"detail": str(error)[:200]}
        )
        return None


class NoticeExchange(asyncio.DatagramProtocol):
    """Carry the roster's notices."""

    def __init__(
        self,
        *,
        roster: fleet_roster.HostRoster,
        timer: timer_helper.TimerService,
    ) -> None:
        self.roster = roster
        self.timer = timer
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket and start to send beats."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=_split(self.roster.own.peer_address),
        )
        self.timer.subscribe(
            interval_s=const.BEAT_INTERVAL_S, callback=self._tick
        )

    def announce(self) -> None:
        """Tell all known hosts that this one has started."""
        self._send(self.roster.hello())

    def leave(self) -> None:
        """Tell all known hosts that this one stops."""
        self._send(self.roster.leave())

    def datagram_received(
        self, data: bytes, addr: tuple[str | object, int]
    ) -> None:
        """Take over a notice from another host."""
        del addr
        notice = decode(data)
        if notice is None:
            return
        now = self.timer.monotonic()
        for instruction in self.roster.receive(notice, now=now):
            self._send(instruction)

    def error_received(self, exc: Exception) -> None:
        """Ignore a host that has no listener; its silence shows it."""
        _LOGGER.debug("datagram not delivered: %s", exc)

    def _tick(self) -> None:
        for instruction in self.roster.tick(now=self.timer.monotonic()):
            self._send(instruction)

    def _send(self, instruction: fleet_roster.Instruction) -> None:
        data = encode(instruction.notice)
        self._send_all(data, instruction.to)
        if instruction.notice.kind in (const.BEAT, const.ASK):
            return
        self.timer.call_at(
            when_s=self.timer.monotonic() + const.REPEAT_AFTER_S,
            callback=lambda: self._send_all(data, instruction.to),
        )

    def _send_all(
        self, data: bytes, hosts: tuple[model.HostInstance, ...]
    ) -> None:
        assert self.transport is not None
        for host in hosts:
            self.transport.sendto(data, _split(host.peer_address))


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
