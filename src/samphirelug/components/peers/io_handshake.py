"""Authenticate this host and a peer to each other on a new connection."""

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


class HandshakeError(Exception):
    """Report a failed handshake with the refusal to send to the peer."""

    def __init__(self, refusal: result_codes.Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class Handshake:
    """Run handshakes as the client or the server of a connection."""

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

    async def join_as_client(
        self,
        websocket: ws_connection.Connection,
        challenge: model.Challenge,
        protocol: int,
    ) -> core.EntryHost:
        """Join as the client; return the authenticated host."""
        issued = auth.IssuedChallenge(timer=self.timer)
        token = self.auth.sign(
            audience=challenge.host, nonce=challenge.nonce, role="client"
        )
        hello = model.Hello(
            protocol=protocol, host=self.host, token=token, nonce=issued.nonce
        )
        await websocket.send(codec.encode(hello))
        welcome = await receive(websocket, model.Welcome)
        if welcome.host.name != challenge.host:
            raise HandshakeError(
                result_codes.Refusal(
                    _Code.PEER_UNAUTHENTICATED,
                    "host name changed during the handshake",
                )
            )
        self._check(welcome.token, issued, welcome.host, role="server")
        return welcome.host

    async def join_as_server(
        self, websocket: ws_connection.Connection
    ) -> core.EntryHost:
        """Join as the server; return the authenticated host."""
        issued = auth.IssuedChallenge(timer=self.timer)
        await websocket.send(
            codec.encode(
                model.Challenge(
                    protocol_min=const.PROTOCOL_MIN,
                    protocol_max=const.PROTOCOL_MAX,
                    host=self.host.name,
                    nonce=issued.nonce,
                )
            )
        )
        hello = await receive(websocket, model.Hello)
        if not (const.PROTOCOL_MIN <= hello.protocol <= const.PROTOCOL_MAX):
            raise HandshakeError(version_refusal(hello.protocol))
        self._check(hello.token, issued, hello.host, role="client")
        if hello.host.name == self.host.name:
            raise HandshakeError(
                result_codes.Refusal(
                    _Code.PEER_UNAUTHENTICATED,
                    "peer uses the name of this host",
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
        challenge: auth.IssuedChallenge,
        claimed: core.EntryHost,
        *,
        role: str,
    ) -> None:
        result = self.auth.check(
            token, challenge=challenge, claimed=claimed, role=role
        )
        match result:
            case Failure(refusal):
                raise HandshakeError(refusal)

    @contextlib.contextmanager
    def join_deadline(
        self, websocket: ws_connection.Connection
    ) -> Iterator[None]:
        """Abort a handshake that takes longer than JOIN_TIMEOUT_S."""
        expiry = self.timer.call_at(
            when_s=self.timer.monotonic() + const.JOIN_TIMEOUT_S,
            callback=websocket.transport.abort,
        )
        try:
            yield
        finally:
            expiry.cancel()


async def receive(
    websocket: ws_connection.Connection, message_type: type[_T]
) -> _T:
    """Return a message of the type; HandshakeError on any other."""
    data = await websocket.recv()
    detail = "received a text frame"
    if isinstance(data, bytes):
        if len(data) > const.MAX_HANDSHAKE_BYTES:
            raise HandshakeError(
                result_codes.Refusal(
                    _Code.PEER_MESSAGE_TOO_LARGE, "handshake message too large"
                )
            )
        match codec.decode(data):
            case Success(model.Frame(message)) if isinstance(
                message, message_type
            ):
                return message
            case Failure(result_codes.Refusal() as refusal):
                raise HandshakeError(refusal)
        detail = f"expected a {message_type.__name__} message"
    raise HandshakeError(
        result_codes.Refusal(_Code.PEER_UNAUTHENTICATED, detail)
    )


def version_refusal(version: int) -> result_codes.Refusal:
    """Return the refusal of an unsupported protocol version."""
    return result_codes.Refusal(
        _Code.PEER_VERSION_UNSUPPORTED,
        f"protocol version {version} is not supported; supported are "
        f"{const.PROTOCOL_MIN} to {const.PROTOCOL_MAX}",
    )
