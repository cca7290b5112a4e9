"""Logs, metrics and the event timeline of one process."""

from __future__ import annotations

from burdockledge.telemetry._logs import (
    Logger,
    configure_logs,
    make_logger,
    unreported_dropped_lines,
)
from burdockledge.telemetry._metrics import GaugeReader, Metrics
from burdockledge.telemetry._timeline import Event, TimeLine

__all__ = (
    'Event',
    'GaugeReader',
    'Logger',
    'Metrics',
    'TimeLine',
    'configure_logs',
    'make_logger',
    'unreported_dropped_lines',
)
