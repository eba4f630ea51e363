"""Limit the memory of what is received on all connections of one kind."""

import abc

# Text of a rejection, for the log.
Reason = str


class Receiver(abc.ABC):
    """Receive a message, which can be rejected until it is complete."""

    @property
    @abc.abstractmethod
    def held_bytes(self) -> int:
        """Return the bytes of memory that the incomplete message takes."""

    @abc.abstractmethod
    def reject(self, reason: Reason) -> None:
        """Discard the message because of a limit."""


class HeldMemory:
    """Reject the largest message when all together take too much memory.

    Each message is limited too, but many may arrive at the same time.
    Rejecting the largest one spares those of peers that work.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes: dict[Receiver, int] = {}
        self.total_bytes = 0

    def update(self, receiver: Receiver) -> None:
        """Record the size of a message that has grown or is complete."""
        held_bytes = receiver.held_bytes
        self.total_bytes += held_bytes - self.held_bytes.get(receiver, 0)
        self.held_bytes[receiver] = held_bytes
        self._enforce()

    def release(self, receiver: Receiver) -> None:
        """Stop counting a message that is complete or was given up."""
        self.total_bytes -= self.held_bytes.pop(receiver, 0)

    def hold(self, size: int) -> None:
        """Count a complete message, which cannot be rejected any more."""
        self.total_bytes += size
        self._enforce()

    def drop(self, size: int) -> None:
        """Stop counting a complete message."""
        self.total_bytes -= size

    def _enforce(self) -> None:
        while self.total_bytes > self.limit_bytes and self.held_bytes:
            largest = max(self.held_bytes, key=self.held_bytes.__getitem__)
            size = self.held_bytes[largest]
            if not size:
                return
            reason = (
                f"{size} bytes, the largest of {len(self.held_bytes)} messages"
                f" being received, as all take {self.total_bytes} bytes"
            )
            self.release(largest)
            largest.reject(reason)
