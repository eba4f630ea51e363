"""Limit the memory of the messages of all connections of one kind."""

import abc

# A message that takes less than this share of a limit is small.
SMALL_SHARE = 0.0005
# Share of a limit that small messages may take beyond it, as rejecting them
# frees little memory.
SMALL_RESERVE_SHARE = 0.125
# Text of a rejection, for the log.
Reason = str


class Holder(abc.ABC):
    """Hold a message in memory until it is complete or has been sent."""

    @property
    @abc.abstractmethod
    def held_bytes(self) -> int:
        """Return the bytes of memory that the message takes."""

    @property
    def is_rejectable(self) -> bool:
        """Return whether the message may be discarded now."""
        return True

    @abc.abstractmethod
    def reject(self, reason: Reason) -> None:
        """Discard the message because of a limit."""


class HeldMemory:
    """Reject the largest message when all together take too much memory.

    Each message is limited too, but many may be held at the same time.
    Rejecting the largest one spares those of peers that work.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes: dict[Holder, int] = {}
        self.total_bytes = 0

    def update(self, holder: Holder) -> None:
        """Record the size of a message that has grown or is complete."""
        held_bytes = holder.held_bytes
        self.total_bytes += held_bytes - self.held_bytes.get(holder, 0)
        self.held_bytes[holder] = held_bytes
        self._enforce(held_bytes)

    def release(self, holder: Holder) -> None:
        """Stop counting a message that is held no longer."""
        self.total_bytes -= self.held_bytes.pop(holder, 0)

    def hold(self, size: int) -> None:
        """Count a complete message, which cannot be rejected any more."""
        self.total_bytes += size
        self._enforce(size)

    def drop(self, size: int) -> None:
        """Stop counting a complete message."""
        self.total_bytes -= size

    def _enforce(self, size: int) -> None:
        """Reject messages after one has grown to a size."""
        if self._is_spared(size):
            return
        while self.total_bytes > self.limit_bytes:
            largest = max(
                (holder for holder in self.held_bytes if holder.is_rejectable),
                key=self.held_bytes.__getitem__,
                default=None,
            )
            if largest is None or self._is_spared(self.held_bytes[largest]):
                return
            reason = (
                f"{self.held_bytes[largest]} bytes, the largest of"
                f" {len(self.held_bytes)} messages, as all take"
                f" {self.total_bytes} bytes"
            )
            self.release(largest)
            largest.reject(reason)

    def _is_spared(self, size: int) -> bool:
        """Return whether a message of this size goes on beyond the limit."""
        is_small = size < SMALL_SHARE * self.limit_bytes
        reserve_bytes = SMALL_RESERVE_SHARE * self.limit_bytes
        return not size or (
            is_small and self.total_bytes <= self.limit_bytes + reserve_bytes
        )
