"""Suite-wide configuration: structlog events are not printed."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
import structlog


@pytest.fixture(autouse=True)
def _log_defaults() -> Iterator[None]:
    """Drop what the test before has configured, such as a level of lines."""
    structlog.reset_defaults()
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    yield


structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
