"""Provide fakes of the peer mesh and the run token issuer."""

from returns.result import Failure
from returns.result import Result

from samphirelug.components.peers import mesh
from samphirelug.components.peers import model
from samphirelug import core
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes


class FakeMesh(mesh.PeerMesh):
    """Return peers with the heartbeats that a test sets."""

    def __init__(self, *, timer: timer_helper.TimerService) -> None:
        self.timer = timer
        self.heartbeats: list[model.Heartbeat] = []

    def live_peers(self) -> tuple[model.PeerView, ...]:
        """Return all peers as if their heartbeats had just been received."""
        now = self.timer.monotonic()
        return tuple(
            model.PeerView(heartbeat, now, True)
            for heartbeat in self.heartbeats
        )

    async def request(
        self,
        host: str,
        message: model.Message,  # noqa: ARG002
        *,
        timeout_s: float,  # noqa: ARG002
    ) -> Result[model.Message, result_codes.Refusal]:
        """Fail, since no peer can be reached."""
        return Failure(
            result_codes.Refusal(
                result_codes.ResultCode.PEER_UNREACHABLE, host
            )
        )

    def send(self, host: str, message: model.Message) -> None:
        """Discard the message."""

    def broadcast(self, message: model.Message) -> None:
        """Discard the message."""

    def set_handler(self, kind: type, handler: mesh.Handler) -> None:
        """Ignore the handler, since no messages arrive."""


class FakeIssuer:
    """Issue numbered run tokens."""

    def __init__(self) -> None:
        self.issued = 0

    def issue(
        self,
        *,
        work: str,
        host: core.EntryHost,
        home_region: str,
        clock_ms: int,
    ) -> str:
        """Return a token that differs from all previous ones."""
        self.issued += 1
        return (
            f"{work}/{host.incarnation}/{home_region}/{clock_ms}/{self.issued}"
        )
