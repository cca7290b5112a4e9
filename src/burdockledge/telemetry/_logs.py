"""Structured logs: JSON lines on standard output, prefixed by component."""

from __future__ import annotations

import json
import logging
import sys
import time
import traceback
from typing import TYPE_CHECKING, Final

import structlog

from burdockledge.telemetry._lines import LineWriter

if TYPE_CHECKING:
    from types import TracebackType

Logger = structlog.typing.FilteringBoundLogger

_LEVELS: Final = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}
_MS_PER_SECOND: Final = 1000
_MAX_LIBRARY_MESSAGE_CHARACTERS: Final = 300
_LOGGED_FRAMES: Final = 5

# Writers of all calls of configure_logs; the last one is in use.
_writers: list[LineWriter] = []


def unreported_dropped_lines() -> int:
    """Return the number of dropped lines that no log line reported yet."""
    return _writers[-1].dropped_lines if _writers else 0


class _LineLogger:
    """The logger that structlog wraps: one method for each level."""

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer

    def debug(self, line: str) -> None:
        """Write a line of level debug."""
        self._writer.write('debug', line)

    def info(self, line: str) -> None:
        """Write a line of level info."""
        self._writer.write('info', line)

    def warning(self, line: str) -> None:
        """Write a line of level warning."""
        self._writer.write('warning', line)

    def error(self, line: str) -> None:
        """Write a line of level error."""
        self._writer.write('error', line)

    critical = error
    exception = error


class _LibraryHandler(logging.Handler):
    """Forwards the log records of libraries to structlog."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record as a warning, with where its exception was raised."""
        _, error, frames = record.exc_info or (None, None, None)
        make_logger(record.name).warning(
            record.getMessage()[:_MAX_LIBRARY_MESSAGE_CHARACTERS],
            error=None
            if error is None
            else repr(error)[:_MAX_LIBRARY_MESSAGE_CHARACTERS],
            raised_at=_describe_frames(frames),
        )


def _describe_frames(frames: TracebackType | None) -> str | None:
    """Return the innermost functions and lines of a traceback."""
    if frames is None:
        return None
    places = [
        f'{frame.f_code.co_name}:{line}'
        for frame, line in traceback.walk_tb(frames)
    ]
    return ' < '.join(reversed(places[-_LOGGED_FRAMES:]))


def configure_logs(level: str, host: str) -> None:
    """
    Set up logging to standard output for this process.

    :param level: lowest level logged: debug, info, warning or error.
    :param host: name of the host, written with each line.
    """
    writer = LineWriter(sys.stdout.fileno())
    _writers.append(writer)
    structlog.configure(
        processors=[_Renderer(host)],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=lambda *_: _LineLogger(writer),
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(
        handlers=[_LibraryHandler()], level=logging.WARNING, force=True
    )


class _Renderer:
    """
    Renders an event as a JSON line.

    ``at_ms`` is the wall clock and ``up_ms`` the monotonic clock of the host,
    both in milliseconds.
    """

    def __init__(self, host: str) -> None:
        self._host = host

    def __call__(
        self,
        _logger: object,
        method: str,
        event: structlog.typing.EventDict,
    ) -> str:
        part = event.pop('part', 'process')
        text = event.pop('event')
        line = {
            'at_ms': time.time_ns() // 1_000_000,
            'up_ms': int(time.monotonic() * _MS_PER_SECOND),
            'host': self._host,
            'level': method,
            'event': f'[{part}] {text}',
            **event,
        }
        return json.dumps(line, default=str)


def make_logger(part: str) -> Logger:
    """Return a logger whose events start with ``[part]``."""
    logger: Logger = structlog.get_logger(part=part)
    return logger


__all__ = (
    'Logger',
    'configure_logs',
    'make_logger',
    'unreported_dropped_lines',
)
