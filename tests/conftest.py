"""Keep what a test changes in this process from the tests after it."""

from collections.abc import Iterator
import logging

import pytest


@pytest.fixture(autouse=True)
def restore_logging() -> Iterator[None]:
    """Restore log levels and handlers, which commands configure."""
    handlers = list(logging.root.handlers)
    levels = {logger: logger.level for logger in _loggers()}
    yield
    logging.root.handlers = handlers
    for logger in _loggers():
        level = levels.get(logger, logging.NOTSET)
        if logger.level != level:
            logger.setLevel(level)


def _loggers() -> list[logging.Logger]:
    named = logging.root.manager.loggerDict.values()
    return [
        logging.root,
        *(logger for logger in named if isinstance(logger, logging.Logger)),
    ]
