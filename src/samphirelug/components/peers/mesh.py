"""Define the interface for messages to and from other entry hosts."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable

from returns.result import Result

from samphirelug.components.peers import model
from samphirelug import result_codes

# Called with the sender's name and the message. Returns the reply, or None to
# send none.
Handler = Callable[[str, model.Message], Awaitable[model.Message | None]]


class PeerMesh(abc.ABC):
    """Exchange messages with peers and provide their latest heartbeats."""

    @abc.abstractmethod
    def live_peers(self) -> tuple[model.PeerView, ...]:
        """Return the peers whose heartbeat is at most PEER_TIMEOUT_S old."""

    @abc.abstractmethod
    async def request(
        self, host: str, message: model.Message, *, timeout_s: float
    ) -> Result[model.Message, result_codes.Refusal]:
        """Send a message and return its reply.

        Fails with PEER_UNREACHABLE if no reply arrives within timeout_s.
        """

    @abc.abstractmethod
    def send(self, host: str, message: model.Message) -> None:
        """Send a message that needs no reply, if the peer is connected."""

    @abc.abstractmethod
    def broadcast(self, message: model.Message) -> None:
        """Send a message to all connected peers."""

    @abc.abstractmethod
    def set_handler(self, kind: type, handler: Handler) -> None:
        """Register the handler of received messages of a type."""
