"""
Merges the logs of several hosts and extracts the history of one request.

The wall clock of a host may jump; its monotonic clock does not. The lines of
one process are ordered by its monotonic clock. The median difference between
its wall clock and its monotonic clock aligns them with the lines of other
processes.
"""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

# Fields that every line has; they are not repeated as details of an event.
_COMMON_FIELDS: Final = frozenset(
    ('at_ms', 'up_ms', 'host', 'level', 'event', 'request')
)
_DROPPED_EVENT: Final = '[log] Lines were left out.'
_CONFIGURATION_EVENT: Final = '[knowledge] Configuration in force.'
_STORE_EVENT_PREFIX: Final = '[reader] Store'
_STOPPING_EVENT: Final = '[host] Stopping.'
# A wall clock jumps by seconds. A larger change of its difference from the
# monotonic clock means that the line is from a new process whose monotonic
# clock restarted.
_MAX_WALL_CLOCK_JUMP_MS: Final = 60_000
# Lines about a server are included this long before the request's first line.
_CONTEXT_WINDOW_MS: Final = 15_000
_US_PER_MS: Final = 1000

_JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class LogLine:
    """
    One log line.

    ``merged_time_ms`` is a wall-clock time in milliseconds since the epoch by
    which the lines of all processes are ordered.
    """

    merged_time_ms: float
    host: str
    level: str
    event: str
    fields: dict[str, Any]

    @property
    def request(self) -> str | None:
        """The id of the request that the line belongs to, if any."""
        found = self.fields.get('request')
        return found if isinstance(found, str) else None

    @property
    def server(self) -> str | None:
        """The server that the line names, without its incarnation."""
        found = self.fields.get('server')
        return found.partition('/')[0] if isinstance(found, str) else None

    def details(self) -> str:
        """Return the fields specific to this event as ``name=value`` text."""
        return ' '.join(
            f'{name}={found}'
            for name, found in self.fields.items()
            if name not in _COMMON_FIELDS and found is not None
        )


@dataclass(frozen=True, slots=True)
class RequestHistory:
    """
    The lines of one request and the state that its hosts knew meanwhile.

    ``context_lines`` are the latest lines of these hosts about their
    configuration, store and shutdown, and recent lines about the servers of
    the request. ``dropped_lines`` counts lines that these hosts did not write.
    """

    request: str
    lines: tuple[LogLine, ...]
    context_lines: tuple[LogLine, ...]
    dropped_lines: int

    @property
    def last(self) -> LogLine:
        """The last logged line, which holds the outcome if it was logged."""
        return self.lines[-1]


class MergedLog:
    """The log lines of several hosts, ordered by time."""

    def __init__(self, raw_lines: Iterable[str]) -> None:
        """Parse and order raw lines; skip those without a JSON object."""
        self.lines = sorted(
            _assign_times(_parse_lines(raw_lines)),
            key=lambda line: line.merged_time_ms,
        )

    def history_of(self, request: str) -> RequestHistory | None:
        """Return the history of a request, None if no line is about it."""
        lines = [line for line in self.lines if line.request == request]
        if not lines:
            return None
        hosts = {line.host for line in lines}
        servers = {line.server for line in lines if line.server}
        host_lines = [
            line
            for line in self.lines
            if line.host in hosts
            and line.merged_time_ms <= lines[-1].merged_time_ms
        ]
        context_start_ms = lines[0].merged_time_ms - _CONTEXT_WINDOW_MS
        context_lines = [
            *_newest_per_host(
                host_lines, lambda line: line.event == _CONFIGURATION_EVENT
            ),
            *_newest_per_host(
                host_lines,
                lambda line: line.event.startswith(_STORE_EVENT_PREFIX),
            ),
            *_newest_per_host(
                host_lines, lambda line: line.event == _STOPPING_EVENT
            ),
            *(
                line
                for line in host_lines
                if line.request is None
                and line.server in servers
                and line.merged_time_ms >= context_start_ms
            ),
        ]
        return RequestHistory(
            request,
            tuple(lines),
            tuple(sorted(context_lines, key=lambda line: line.merged_time_ms)),
            sum(
                line.fields.get('lines', 0)
                for line in self.lines
                if line.event == _DROPPED_EVENT and line.host in hosts
            ),
        )

    def trace_events(self) -> list[_JsonObject]:
        """Return all lines as instant events in the trace event format."""
        return [
            {
                'name': line.event,
                'ph': 'i',
                's': 'p',
                'ts': round(line.merged_time_ms * _US_PER_MS),
                'pid': line.host,
                'tid': line.request or line.server or '',
                'args': line.fields,
            }
            for line in self.lines
        ]


@dataclass(slots=True)
class _HostProcess:
    """
    Detects restarts of a host's process from the clocks in its lines.

    ``index`` counts the restarts seen. ``clock_offset_ms`` is the wall clock
    minus the monotonic clock of the last line.
    """

    index: int = 0
    up_ms: int = 0
    clock_offset_ms: int | None = None

    def observe_line(self, up_ms: int, clock_offset_ms: int) -> None:
        """Update from a line; a jump of the monotonic clock is a restart."""
        if self.clock_offset_ms is not None:
            jump_ms = abs(clock_offset_ms - self.clock_offset_ms)
            if up_ms < self.up_ms or jump_ms > _MAX_WALL_CLOCK_JUMP_MS:
                self.index += 1
        self.up_ms = up_ms
        self.clock_offset_ms = clock_offset_ms


def _parse_lines(raw_lines: Iterable[str]) -> Iterator[_JsonObject]:
    """Yield the JSON object of each line, ignoring any text before it."""
    for raw_line in raw_lines:
        json_start = raw_line.find('{')
        if json_start < 0:
            continue
        try:
            found = json.loads(raw_line[json_start:])
        except ValueError:
            # The line was truncated at the size of an atomic pipe write.
            continue
        if isinstance(found, dict) and 'event' in found and 'up_ms' in found:
            yield found


def _assign_times(found: Iterable[_JsonObject]) -> Iterator[LogLine]:
    """Yield the lines with times derived from monotonic clocks."""
    processes: dict[tuple[str, int], list[_JsonObject]] = defaultdict(list)
    current_processes: dict[str, _HostProcess] = {}
    for line in found:
        host = str(line.get('host', ''))
        process = current_processes.setdefault(host, _HostProcess())
        process.observe_line(line['up_ms'], line['at_ms'] - line['up_ms'])
        processes[(host, process.index)].append(line)
    for (host, _), lines in processes.items():
        offset_ms = median(line['at_ms'] - line['up_ms'] for line in lines)
        for line in lines:
            yield LogLine(
                line['up_ms'] + offset_ms,
                host,
                str(line.get('level', '')),
                str(line['event']),
                line,
            )


def _newest_per_host(
    lines: list[LogLine], is_wanted: Callable[[LogLine], bool]
) -> Iterator[LogLine]:
    """Yield the last matching line of each host."""
    found = {line.host: line for line in lines if is_wanted(line)}
    yield from found.values()


__all__ = ('LogLine', 'MergedLog', 'RequestHistory')
