"""Send and receive messages about tokens of teams as UDP datagrams."""

import asyncio
from collections.abc import Callable
import logging
import math
from typing import Any

import cbor2

from samphirelug.components.allowance import const
from samphirelug.components.allowance import model
from samphirelug.components.allowance import node as allowance_node
from samphirelug.components.allowance import plan
from samphirelug.components.fleet import roster as fleet_roster
from samphirelug.helpers import addresses
from samphirelug.helpers import log_rate
from samphirelug.helpers import timer as timer_helper

_LOGGER = logging.getLogger(__name__)
VERSION = 1
# A datagram holds the index of the kind, so the order must not change.
KINDS: tuple[type[model.Message], ...] = (
    model.Ask,
    model.Answer,
)
MAX_UINT64 = (1 << 64) - 1
# Rates are sent in requests per 1,000 s, times in milliseconds.
MILLI = 1000


def encode(sender: model.HostId, message: model.Message) -> bytes:
    """Return the datagram of a message."""
    fields: list[object] = [
        VERSION,
        KINDS.index(type(message)),
        sender.name,
        sender.incarnation,
        message.number,
    ]
    if isinstance(message, model.Ask):
        fields += [
            message.confirmed,
            [
                [
                    want.team,
                    want.tokens,
                    want.extra,
                    math.floor(want.carried_per_s * MILLI),
                ]
                for want in message.wants
            ],
        ]
    else:
        fields += [
            message.generation,
            [
                [
                    grant.team,
                    grant.tokens,
                    math.floor(grant.fallback_per_s * MILLI),
                    grant.use_fallback,
                    math.ceil(grant.refuse_s * MILLI),
                ]
                for grant in message.grants
            ],
        ]
    return cbor2.dumps(fields)


def decode(data: bytes) -> tuple[model.HostId, model.Message]:
    """Return sender and message; raise ValueError if malformed."""
    if len(data) > const.MAX_DATAGRAM_BYTES:
        raise ValueError("too large")
    try:
        fields = cbor2.loads(data)
    except Exception as error:
        # The decoder raises errors of many types, such as RecursionError.
        raise ValueError(f"no CBOR: {error}") from error
    if not isinstance(fields, list) or len(fields) < 6:
        raise ValueError("not a list of six fields or more")
    version, kind, name, incarnation, number, *rest = fields
    if version != VERSION:
        raise ValueError("unknown version")
    if type(kind) is not int or not 0 <= kind < len(KINDS):
        raise ValueError("unknown kind")
    for text in (name, incarnation):
        if not isinstance(text, str) or len(text) > const.MAX_NAME_LENGTH:
            raise ValueError("name or incarnation is not a short string")
    sender = model.HostId(name, incarnation)
    _check_int(number, MAX_UINT64)
    if len(rest) != 2 or not isinstance(rest[1], list):
        raise ValueError("the entries are not a list")
    state = _check_int(rest[0], MAX_UINT64)
    if len(rest[1]) > const.MAX_ENTRIES:
        raise ValueError("too many entries")
    if KINDS[kind] is model.Ask:
        wants = [_decode_want(entry) for entry in rest[1]]
        return sender, model.Ask(number, state, wants)
    return sender, model.Answer(
        number, state, [_decode_grant(entry) for entry in rest[1]]
    )


def _decode_want(entry: Any) -> model.Want:
    if not isinstance(entry, list) or len(entry) != 4:
        raise ValueError("an entry is not a list of four fields")
    return model.Want(
        team=_check_int(entry[0], MAX_UINT64),
        tokens=_check_int(entry[1], const.MAX_TOKENS),
        extra=_check_int(entry[2], const.MAX_TOKENS),
        carried_per_s=_check_int(entry[3], MAX_UINT64) / MILLI,
    )


def _decode_grant(entry: Any) -> model.Grant:
    if not isinstance(entry, list) or len(entry) != 5:
        raise ValueError("an entry is not a list of five fields")
    if type(entry[3]) is not bool:
        raise ValueError("a field is not a boolean")
    return model.Grant(
        team=_check_int(entry[0], MAX_UINT64),
        tokens=_check_int(entry[1], 2 * const.MAX_TOKENS),
        fallback_per_s=_check_int(entry[2], MAX_UINT64) / MILLI,
        use_fallback=entry[3],
        refuse_s=min(
            const.MAX_REFUSE_S, _check_int(entry[4], MAX_UINT64) / MILLI
        ),
    )


def _check_int(value: Any, largest: int) -> int:
    if type(value) is not int or not 0 <= value <= largest:
        raise ValueError("a field is not a number in its range")
    return value


def second_address(peer_address: str) -> tuple[str, int]:
    """Return the address for these datagrams, the next port of the host."""
    host, port = addresses.split(peer_address)
    return host, port + 1


class AllowanceProtocol(asyncio.DatagramProtocol):
    """Run the node of this host on a socket."""

    def __init__(
        self,
        *,
        node: allowance_node.AllowanceNode,
        roster: fleet_roster.HostRoster,
        address: tuple[str, int],
        may_own: Callable[[], bool],
        timer: timer_helper.TimerService,
    ) -> None:
        self.node = node
        self.roster = roster
        self.address = address
        # Whether this host serves and is in touch with others.
        self.may_own = may_own
        self.timer = timer
        self.transport: asyncio.DatagramTransport | None = None
        self.known_hosts: tuple[int, bool, bool] | None = None
        self.ask_scheduled = False
        self.malformed_limiter = log_rate.LogRateLimiter(
            lines_per_s=const.MALFORMED_LOG_LINES_PER_S
        )
        self.error_limiter = log_rate.LogRateLimiter(
            lines_per_s=const.MALFORMED_LOG_LINES_PER_S
        )

    async def open(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address
        )

    def ask_soon(self) -> None:
        """Ask for tokens once other requests of this turn have been read."""
        if self.ask_scheduled:
            return
        self.ask_scheduled = True
        self.timer.call_at(
            when_s=self.timer.monotonic(), callback=self._ask_now
        )

    def datagram_received(
        self, data: bytes, addr: tuple[str | Any, int]
    ) -> None:
        """Pass a received message to the node and send its responses."""
        now = self.timer.monotonic()
        try:
            sender, message = decode(data)
        except ValueError as error:
            left_out = self.malformed_limiter.try_acquire(now)
            if left_out is not None:
                _LOGGER.warning(
                    "ignoring malformed datagram of allowances",
                    extra={
                        "detail": str(error)[:200],
                        "sender": str(addr),
                        "left_out": left_out,
                    },
                )
            return
        try:
            replies = self.node.receive(sender, message, now=now)
            for reply in replies:
                self._send_to(addr, reply.message)
        except Exception:
            self._log_error("datagram of allowances not handled")

    def error_received(self, exc: Exception) -> None:
        """Ignore the error of a datagram to a host that does not listen."""
        _LOGGER.debug("datagram not delivered: %s", exc)

    def tick(self) -> None:
        """Send what is due."""
        try:
            now = self.timer.monotonic()
            may_own = self.may_own()
            self._update_hosts(may_own, now)
            self._send_all(self.node.tick(may_own=may_own, now=now))
        except Exception:
            self._log_error("tick of allowances failed")

    def _ask_now(self) -> None:
        self.ask_scheduled = False
        try:
            self._send_all(self.node.ask(now=self.timer.monotonic()))
        except Exception:
            self._log_error("questions for tokens failed")

    def _log_error(self, message: str) -> None:
        left_out = self.error_limiter.try_acquire(self.timer.monotonic())
        if left_out is not None:
            _LOGGER.exception(message, extra={"left_out": left_out})

    def _update_hosts(self, may_own: bool, now: float) -> None:
        known_hosts = (self.roster.generation, self.roster.listed, may_own)
        if known_hosts == self.known_hosts:
            return
        self.known_hosts = known_hosts
        serving = self.roster.serving()
        if may_own:
            serving.append(self.roster.own)
        known = None
        if self.roster.listed:
            known = [
                record.host
                for record in self.roster.records.values()
                if record.unlisted_at_s is None
            ]
            known.append(self.roster.own)
        self.node.set_hosts(
            serving=[host.name for host in serving],
            candidates=plan.strong_hosts(serving),
            known=known,
            now=now,
        )

    def _send_all(self, due: list[model.Outgoing]) -> None:
        for outgoing in due:
            record = self.roster.records.get(outgoing.recipient)
            if record is not None:
                self._send_to(
                    second_address(record.host.peer_address), outgoing.message
                )

    def _send_to(
        self, addr: tuple[str | Any, int], message: model.Message
    ) -> None:
        if self.transport is not None:
            self.transport.sendto(encode(self.node.own_id, message), addr)
