"""Suite-wide configuration: structlog events are not printed."""

from __future__ import annotations

import structlog

structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
