"""Suite-wide configuration: structlog events are not printed."""

from __future__ import annotations

import logging
from collections.abc import Iterator, MutableMapping
from typing import Any

import pytest
import structlog
from structlog.testing import capture_logs


@pytest.fixture(autouse=True)
def _log_defaults() -> Iterator[None]:
    """Drop what the test before has configured, such as a level of lines."""
    structlog.reset_defaults()
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    yield


structlog.configure(logger_factory=structlog.ReturnLoggerFactory())


@pytest.fixture
def log() -> Iterator[list[MutableMapping[str, Any]]]:
    """Return the lines that are logged during the test, whatever the level."""
    configuration = structlog.get_config()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG)
    )
    with capture_logs() as lines:
        yield lines
    structlog.configure(**configuration)
