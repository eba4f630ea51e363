"""Prove to a peer who this host is, and check who the peer is."""

from collections.abc import Iterator
import contextlib
from typing import TypeVar

from returns.result import Failure
from returns.result import Success
from websockets.asyncio import connection as ws_connection

from samphirelug.components.peers import auth
from samphirelug.components.peers import codec
from samphirelug.components.peers import const
from samphirelug.components.peers import model
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

_Code = result_codes.ResultCode
_T = TypeVar("_T")


class TurnedAwayError(Exception):
    """Carry why a handshake ended."""

    def __init__(self, refusal: result_codes.Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class Handshake:
    """Join a peer, as the client or as the server of a connection."""

    def __init__(
        self,
        *,
        host: core.EntryHost,
        authenticator: auth.JoinAuthenticator,
        timer: timer_helper.TimerService,
    ) -> None:
        self.host = host
        self.auth = authenticator
        self.timer = timer

    async def prove(
        self,
        websocket: ws_connection.Connection,
        challenge: model.Challenge,
        protocol: int,
    ) -> core.EntryHost:
        """Join as the client; return the host that was proved."""
        own = auth.OpenChallenge(timer=self.timer)
        token = self.auth.sign(
            audience=challenge.host, nonce=challenge.nonce, role="client"
        )
        hello = model.Hello(
            protocol=protocol, host=self.host, token=token, nonce=own.nonce
        )
        await websocket.send(codec.encode(hello))
        welcome = await receive(websocket, model.Welcome)
        if welcome.host.name != challenge.host:
            raise TurnedAwayError(
                result_codes.Refusal(
                    _Code.PEER_UNAUTHENTICATED, "name changed in handshake"
                )
            )
        self._check(welcome.token, own, welcome.host, role="server")
        return welcome.host

    async def admit(
        self, websocket: ws_connection.Connection
    ) -> core.EntryHost:
        """Join as the server."""
        own = auth.OpenChallenge(timer=self.timer)
        await websocket.send(
            codec.encode(
                model.Challenge(
                    protocol_min=const.PROTOCOL_MIN,
                    protocol_max=const.PROTOCOL_MAX,
                    host=self.host.name,
                    nonce=own.nonce,
                )
            )
        )
        hello = await receive(websocket, model.Hello)
        if not (const.PROTOCOL_MIN <= hello.protocol <= const.PROTOCOL_MAX):
            raise TurnedAwayError(version_refusal(hello.protocol))
        self._check(hello.token, own, hello.host, role="client")
        if hello.host.name == self.host.name:
            raise TurnedAwayError(
                result_codes.Refusal(
                    _Code.PEER_UNAUTHENTICATED, "name of this host"
                )
            )
        welcome = model.Welcome(
            protocol=hello.protocol,
            host=self.host,
            token=self.auth.sign(
                audience=hello.host.name, nonce=hello.nonce, role="server"
            ),
        )
        await websocket.send(codec.encode(welcome))
        return hello.host

    def _check(
        self,
        token: str,
        challenge: auth.OpenChallenge,
        claimed: core.EntryHost,
        *,
        role: str,
    ) -> None:
        result = self.auth.check(
            token, challenge=challenge, claimed=claimed, role=role
        )
        match result:
            case Failure(refusal):
                raise TurnedAwayError(refusal)

    @contextlib.contextmanager
    def join_deadline(
        self, websocket: ws_connection.Connection
    ) -> Iterator[None]:
        """Abort a handshake that takes longer than JOIN_VALID_S."""
        expiry = self.timer.call_at(
            when_s=self.timer.monotonic() + const.JOIN_VALID_S,
            callback=websocket.transport.abort,
        )
        try:
            yield
        finally:
            expiry.cancel()


async def receive(websocket: ws_connection.Connection, kind: type[_T]) -> _T:
    """Return a message of the kind, or end the handshake."""
    data = await websocket.recv()
    detail = "text frame"
    if isinstance(data, bytes):
        if len(data) > const.MAX_HANDSHAKE_BYTES:
            raise TurnedAwayError(
                result_codes.Refusal(
                    _Code.PEER_MESSAGE_TOO_LARGE, "in handshake"
                )
            )
        match codec.decode(data):
            case Success(model.Frame(message)) if isinstance(message, kind):
                return message
            case Failure(result_codes.Refusal() as refusal):
                raise TurnedAwayError(refusal)
        detail = f"expected {kind.__name__}"
    raise TurnedAwayError(
        result_codes.Refusal(_Code.PEER_UNAUTHENTICATED, detail)
    )


def version_refusal(version: int) -> result_codes.Refusal:
    """Return the refusal of a protocol version."""
    return result_codes.Refusal(
        _Code.PEER_VERSION_UNSUPPORTED,
        f"version {version}, supported are {const.PROTOCOL_MIN} to "
        f"{const.PROTOCOL_MAX}",
    )
