"""Read for how long a server wants no requests."""

from collections.abc import Iterable
import logging

from samphirelug.helpers import http_fields

_LOGGER = logging.getLogger(__name__)
FIELD = "retry-after"
# Longer times are cut: a server that sends an absurd value must not be lost
# for ever.
MAX_RETRY_AFTER_S = 60.0


def parse(fields: Iterable[tuple[str, str]], *, server: str) -> float:
    """Return the longest valid time in seconds, 0 if there is none.

    A field may hold several values, and there may be several fields. Dates
    are not supported, since servers send seconds.
    """
    values = [
        value.strip()
        for name, field in fields
        if name.lower() == FIELD
        for value in field.split(",")
    ]
    valid = [
        seconds
        for seconds in map(http_fields.parse_decimal, values)
        if seconds
    ]
    longest_s = max(valid, default=0.0)
    if len(valid) < len(values) or longest_s > MAX_RETRY_AFTER_S:
        _LOGGER.info(
            "invalid Retry-After of a backend server",
            extra={
                "server": server,
                "values": [value[:32] for value in values[:4]],
                "used_s": min(longest_s, MAX_RETRY_AFTER_S),
            },
        )
    return min(longest_s, MAX_RETRY_AFTER_S)
