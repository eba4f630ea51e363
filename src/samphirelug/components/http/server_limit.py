"""Read the requests per second that a server takes from all entry hosts."""

from collections.abc import Iterable
import logging
import math

from samphirelug.helpers import http_fields

_LOGGER = logging.getLogger(__name__)


def parse(
    fields: Iterable[tuple[str, str]], *, name: str, server: str
) -> float | None:
    """Return the lowest valid limit in requests per second, None if none."""
    values = [
        value.strip()
        for field_name, field in fields
        if field_name.lower() == name
        for value in field.split(",")
    ]
    limits = [http_fields.parse_decimal(value) for value in values]
    valid = [
        limit for limit in limits if limit is not None and math.isfinite(limit)
    ]
    if len(valid) < len(values):
        _LOGGER.info(
            "invalid limit of a backend server",
            extra={
                "server": server,
                "values": [value[:32] for value in values[:4]],
            },
        )
    return min(valid, default=None)
