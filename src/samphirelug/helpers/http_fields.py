"""Select the header fields that may pass from one connection to another."""

from collections.abc import Iterable

# Fields that hold for one connection only (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def forwarded(
    fields: Iterable[tuple[str, str]], *, dropped: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return the fields that may pass on, less those dropped by name."""
    pairs = tuple(fields)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    barred = named | HOP_BY_HOP | dropped
    return tuple(pair for pair in pairs if pair[0].lower() not in barred)
