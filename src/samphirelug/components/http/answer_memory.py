"""Limit the memory of all answers that are being received."""

from samphirelug.components.http import response_parser


class AnswerMemory:
    """Reject the largest answer when all answers together are too large.

    Each answer is limited too, but many servers can send answers without end
    at the same time. Rejecting the largest one spares the answers of servers
    that work.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes: dict[response_parser.ResponseParser, int] = {}
        self.total_bytes = 0

    def update(self, parser: response_parser.ResponseParser) -> None:
        """Record the size of an answer that has grown."""
        if parser.too_large:
            self.release(parser)
            return
        held_bytes = parser.held_bytes
        self.total_bytes += held_bytes - self.held_bytes.get(parser, 0)
        self.held_bytes[parser] = held_bytes
        if self.total_bytes <= self.limit_bytes:
            return
        largest = max(self.held_bytes, key=self.held_bytes.__getitem__)
        largest.reject(
            f"{self.held_bytes[largest]} bytes, the largest of"
            f" {len(self.held_bytes)} answers with {self.total_bytes} bytes"
        )
        self.release(largest)

    def release(self, parser: response_parser.ResponseParser) -> None:
        """Stop counting an answer that is complete or was given up."""
        self.total_bytes -= self.held_bytes.pop(parser, 0)
