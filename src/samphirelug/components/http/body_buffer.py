"""Collect the parts of a body that is being received."""

from collections.abc import Iterable
import sys

# Smaller parts are joined up to this size, as each object takes some 40 bytes
# more than its content.
BLOCK_BYTES = 65536
# Size of a reference in a list.
REFERENCE_BYTES = 8


class BodyBuffer:
    """Hold a body in blocks, and count the memory that they take."""

    def __init__(self) -> None:
        self.blocks: list[bytes | bytearray] = []
        # Bytes of memory, which includes what the blocks have in reserve.
        self.held_bytes = 0

    def append(self, part: bytes) -> None:
        """Add a part of any size."""
        last = self.blocks[-1] if self.blocks else None
        if last is None or len(last) + len(part) > BLOCK_BYTES:
            self.blocks.append(part)
            self.held_bytes += sys.getsizeof(part) + REFERENCE_BYTES
            return
        self.held_bytes -= sys.getsizeof(last)
        if isinstance(last, bytes):
            last = bytearray(last)
            self.blocks[-1] = last
        last += part
        self.held_bytes += sys.getsizeof(last)

    def to_bytes(self) -> bytes:
        """Return the body received so far."""
        return b"".join(self.blocks)


def field_size(field: tuple[str, str]) -> int:
    """Return the bytes of memory that a header field in a list takes."""
    name, value = field
    return (
        sys.getsizeof(field)
        + sys.getsizeof(name)
        + sys.getsizeof(value)
        + REFERENCE_BYTES
    )


def message_size(
    *, headers: Iterable[tuple[str, str]], body: bytes | bytearray
) -> int:
    """Return the bytes of memory that a complete message takes."""
    return len(body) + sum(map(field_size, headers))
