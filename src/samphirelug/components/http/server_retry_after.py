"""Read for how long a server wants no requests."""

from collections.abc import Iterable
import logging

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
    valid = [seconds for seconds in map(_parse_seconds, values) if seconds]
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


def _parse_seconds(text: str) -> float:
    """Return the seconds, 0 if the text is not a positive decimal number."""
    # float() also accepts forms such as "inf", "nan" and "1_0".
    if not text.replace(".", "", 1).isdecimal() or not text.isascii():
        return 0.0
    return float(text)
