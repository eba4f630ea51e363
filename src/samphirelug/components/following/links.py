"""Define connections between a host and its followers."""

import abc
from collections.abc import Callable


class FrameLink(abc.ABC):
    """Send frames to one other host."""

    @property
    @abc.abstractmethod
    def is_congested(self) -> bool:
        """Return whether earlier frames have not been taken yet."""

    @abc.abstractmethod
    def send(self, frame: bytes) -> None:
        """Send a frame; it is lost if the link has closed."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close the link; a second call has no effect."""


class FrameReceiver(abc.ABC):
    """Receive the frames of a link and its end."""

    @abc.abstractmethod
    def handle_frame(self, data: bytes) -> None:
        """Handle a received frame."""

    @abc.abstractmethod
    def handle_close(self) -> None:
        """Handle the end of the link; called once."""


class LinkDialer(abc.ABC):
    """Open links to other hosts."""

    @abc.abstractmethod
    def dial(
        self,
        address: str,
        *,
        receiver: FrameReceiver,
        on_open: Callable[[FrameLink], None],
    ) -> None:
        """Open a link to an address.

        Calls on_open once if it succeeds, else the receiver's handle_close.
        """
