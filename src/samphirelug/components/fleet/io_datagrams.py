"""Send and receive notices about entry hosts as UDP datagrams."""

import asyncio
import logging

import cbor2

from samphirelug.components.fleet import const
from samphirelug.components.fleet import model
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.helpers import addresses
from samphirelug.helpers import log_rate
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
# Maximum log lines per second for malformed datagrams.
MALFORMED_LOG_LINES_PER_S = 2
# A datagram holds the index of the kind, so the order must not change.
KINDS = (
    const.BEAT,
    const.ASK,
    const.ABSENT,
    const.PRESENT,
    const.LEAVING,
    const.ALIVE,
    const.STARTING,
)


def encode(notice: fleet_roster.Notice) -> bytes:
    """Return the datagram of a notice."""
    fields: list[object] = [
        KINDS.index(notice.kind),
        notice.name,
        notice.incarnation,
    ]
    if notice.evacuations is not None:
        fields += [
            notice.evacuations.revision,
            sorted(notice.evacuations.zones),
        ]
    return cbor2.dumps(fields)


def decode(data: bytes) -> fleet_roster.Notice:
    """Return the notice of a datagram; raise ValueError if malformed."""
    try:
        fields = cbor2.loads(data)
    except Exception as error:
        # The decoder raises errors of many types, such as RecursionError.
        raise ValueError(f"no CBOR: {error}") from error
    if not isinstance(fields, list) or len(fields) < 3:
        raise ValueError("not a list of three fields or more")
    kind, name, incarnation, *rest = fields
    if type(kind) is not int or not 0 <= kind < len(KINDS):
        raise ValueError("unknown kind")
    if not isinstance(name, str) or not isinstance(incarnation, str):
        raise ValueError("name or incarnation is not a string")
    return fleet_roster.Notice(
        KINDS[kind], name, incarnation, _decode_evacuations(rest)
    )


def _decode_evacuations(fields: list[object]) -> model.Evacuations | None:
    if not fields:
        return None
    if len(fields) != 2:
        raise ValueError("the number of fields is wrong")
    revision, zones = fields
    if not isinstance(revision, int) or not isinstance(zones, list):
        raise ValueError("revision or zones have another type")
    if not all(isinstance(zone, str) for zone in zones):
        raise ValueError("a zone is not a string")
    return model.Evacuations(revision, frozenset(zones))


class NoticeProtocol(asyncio.DatagramProtocol):
    """Send the roster's notices and pass received ones to it."""

    def __init__(
        self,
        *,
        roster: fleet_roster.HostRoster,
        timer: timer_helper.TimerService,
    ) -> None:
        self.roster = roster
        self.timer = timer
        self.transport: asyncio.DatagramTransport | None = None
        self.check_scheduled = False
        self.malformed_limiter = log_rate.LogRateLimiter(
            lines_per_s=MALFORMED_LOG_LINES_PER_S
        )

    async def start(self) -> None:
        """Open the socket and start the periodic tick of the roster."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=addresses.split(self.roster.own.peer_address),
        )
        self.timer.subscribe(
            interval_s=const.BEAT_INTERVAL_S, callback=self._tick
        )

    def announce_start(self) -> None:
        """Notify all known hosts that this one has started."""
        self._send(self.roster.start_notice())

    def announce_leaving(self) -> None:
        """Notify all known hosts that this one is about to stop."""
        self._send(self.roster.leaving_notice())

    def datagram_received(
        self, data: bytes, addr: tuple[str | object, int]
    ) -> None:
        """Pass a received notice to the roster and send its responses."""
        now = self.timer.monotonic()
        try:
            notice = decode(data)
        except ValueError as error:
            left_out = self.malformed_limiter.try_acquire(now)
            if left_out is not None:
                _LOGGER.warning(
                    "ignoring malformed datagram",
                    extra={
                        "detail": str(error)[:200],
                        "sender": str(addr),
                        "left_out": left_out,
                    },
                )
            return
        try:
            if notice.kind == const.ASK:
                self._answer(addr)
                return
            for outgoing in self.roster.receive(notice, now=now):
                self._send(outgoing)
        except Exception:
            _LOGGER.exception("datagram of an entry host not handled")

    def error_received(self, exc: Exception) -> None:
        """Ignore the error of a datagram to a host that does not listen.

        The roster detects such a host by its missing beats.
        """
        _LOGGER.debug("datagram not delivered: %s", exc)

    def _answer(self, addr: tuple[str | object, int]) -> None:
        """Answer a host that asks, also one whose entry is not known yet."""
        answer = self.roster.answer()
        if answer is not None and self.transport is not None:
            self.transport.sendto(encode(answer), addr)

    def check_hosts(self) -> None:
        """Ask hosts that may not run, until they answer or are absent."""
        self._send_all(self.roster.check(now=self.timer.monotonic()))

    def _tick(self) -> None:
        self._send_all(self.roster.tick(now=self.timer.monotonic()))

    def _send_all(self, due: list[fleet_roster.OutgoingNotice]) -> None:
        for outgoing in due:
            self._send(outgoing)
        if self.roster.asked_at_s and not self.check_scheduled:
            self.check_scheduled = True
            self.timer.call_at(
                when_s=self.timer.monotonic() + const.ASK_INTERVAL_S,
                callback=self._check_again,
            )

    def _check_again(self) -> None:
        self.check_scheduled = False
        self.check_hosts()

    def _send(self, outgoing: fleet_roster.OutgoingNotice) -> None:
        data = encode(outgoing.notice)
        self._send_datagrams(data, outgoing.recipients)
        if outgoing.notice.kind in (
            const.BEAT,
            const.ASK,
            const.STARTING,
        ) or (
            outgoing.notice.kind == const.ALIVE
            and len(outgoing.recipients) == 1
        ):
            return
        self.timer.call_at(
            when_s=self.timer.monotonic() + const.RESEND_DELAY_S,
            callback=lambda: self._send_datagrams(data, outgoing.recipients),
        )

    def _send_datagrams(
        self, data: bytes, hosts: tuple[model.HostInstance, ...]
    ) -> None:
        assert self.transport is not None
        for host in hosts:
            self.transport.sendto(data, addresses.split(host.peer_address))
