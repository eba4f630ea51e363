"""Define the interface through which parts talk to other entry hosts."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable

from returns.result import Result

from samphirelug.components.peers import model
from samphirelug import result_codes

# Takes the sender's name and the message; None sends no answer.
Handler = Callable[[str, model.Message], Awaitable[model.Message | None]]


class PeerMesh(abc.ABC):
    """Send messages to peers and give what they reported."""

    @abc.abstractmethod
    def live_peers(self) -> tuple[model.PeerView, ...]:
        """Return the peers heard within PEER_TIMEOUT_S."""

    @abc.abstractmethod
    async def request(
        self, host: str, message: model.Message, *, timeout_s: float
    ) -> Result[model.Message, result_codes.Refusal]:
        """Send a message and return its answer.

        Fails with PEER_UNREACHABLE when no answer came in time.
        """

    @abc.abstractmethod
    def send(self, host: str, message: model.Message) -> None:
        """Send a message without an answer, if the peer is connected."""

    @abc.abstractmethod
    def broadcast(self, message: model.Message) -> None:
        """Send a message to all connected peers."""

    @abc.abstractmethod
    def set_handler(self, kind: type, handler: Handler) -> None:
        """Call the handler for each received message of the type."""
