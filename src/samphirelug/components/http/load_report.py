"""Read the load that a server reports in its answers."""

import logging

from samphirelug.components.placement import load

_LOGGER = logging.getLogger(__name__)
# Figure of a machine on which work takes the usual time.
USUAL_SPEED = 100
# Larger figures are malformed, and would make a server look full for good.
MAX_COUNT = 1_000_000


def parse(value: str | None) -> load.LoadReport | None:
    """Return the report, None if there is none or it is malformed.

    Figures after the fourth one belong to later versions and are ignored. A
    malformed fourth figure loses only itself.
    """
    if value is None:
        return None
    counts = [_parse_count(part) for part in value.split(",")]
    running, waiting, slots, speed = (*counts, None, None, None, None)[:4]
    if running is None or waiting is None or not slots:
        _LOGGER.debug("malformed load report %r", value[:64])
        return None
    return load.LoadReport(
        running, waiting, slots, speed / USUAL_SPEED if speed else None
    )


def _parse_count(text: str) -> int | None:
    text = text.strip()
    # int() also accepts forms such as "1_0" and digits of other scripts.
    if not (text.isascii() and text.isdecimal()) or len(text) > 7:
        return None
    count = int(text)
    return count if count <= MAX_COUNT else None
