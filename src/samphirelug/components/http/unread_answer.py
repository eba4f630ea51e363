"""Hold a response that its caller has not read yet."""

from collections.abc import Callable

from samphirelug.components.http import held_memory


class UnreadAnswer(held_memory.Holder):
    """Count a response until it is sent; give it up if nobody reads it."""

    def __init__(
        self,
        *,
        size: int,
        is_stalled: Callable[[], bool],
        on_rejected: Callable[[held_memory.Reason], None],
    ) -> None:
        self.size = size
        self.is_stalled = is_stalled
        self.on_rejected = on_rejected

    @property
    def held_bytes(self) -> int:
        """Return the bytes of memory that the response takes."""
        return self.size

    @property
    def is_rejectable(self) -> bool:
        """Return whether the caller has stopped reading."""
        return self.is_stalled()

    def reject(self, reason: held_memory.Reason) -> None:
        """Give up the response."""
        self.on_rejected(reason)
