"""``burdockledge explain``: the history of a request from the hosts' logs."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, ClassVar, Final, Literal

from pydantic import Field

from burdockledge.cli._command import (
    Command,
    ExitCode,
    print_error,
    print_result,
)
from burdockledge.request_history import MergedLog
from burdockledge.settings import CommandSettings

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockledge.request_history import LogLine, RequestHistory

_MS_PER_SECOND: Final = 1000
_ANSWERED: Final = 'answered'
_FIRST_ERROR_STATUS: Final = 400
_REASON_EXPLANATIONS: Final = {
    'the server refused': (
        'every server tried was full or refused the request; nothing ran'
    ),
    'no server is known': (
        'the host knew no ready server of the service; see what it knew'
    ),
    'no server in time': (
        'no server accepted it within its time limit; nothing ran'
    ),
    'this host is stopping': (
        'it reached a host that was shutting down, too late to complete there'
    ),
    'no configuration yet': 'the host had just started and had no routes yet',
    'the answer broke off': (
        'the server or its connection failed during the response'
    ),
    'time limit': (
        'it was sent, and the server did not respond within its time limit'
    ),
    'a part of its prompt crashes servers': (
        'servers crashed under a part of its prompt, which is kept from them'
    ),
    'a part of its prompt may crash servers': (
        'another call with a part of its prompt was to begin first'
    ),
    'every server is at the limit': (
        'the servers named limits that left no room for it; nothing ran'
    ),
    'the time limit cut': (
        'the response had started and was not complete in time'
    ),
    'the caller left': (
        'the caller closed the connection before the end of the response'
    ),
    'the stop of this host cut': (
        'the response had started and was not complete before the host exited'
    ),
    'a fault of this host': (
        'an error in the host; see its line that the call failed'
    ),
    'the answer stalled': (
        'the server sent nothing for too long during the response'
    ),
    'an answer before it': (
        'it was read behind another request, after which the connection closed'
    ),
    'the server failed': 'the server responded with an error of its own',
    'the key is not known': (
        'no configuration in force on this host contains the key'
    ),
    'no route': 'no configuration in force on this host has a matching route',
}


class ExplainSettings(CommandSettings):
    """Settings of ``explain``."""

    arguments: ClassVar[str] = 'request_and_logs'

    request_and_logs: tuple[str, ...] = Field(
        min_length=2,
        description='the request id, then log files of all hosts',
    )
    trace: Path | None = Field(
        default=None,
        description='output file for all lines in the trace event format',
    )
    output: Literal['text', 'json'] = Field(
        default='text',
        description='output format: text or json',
    )


class Explain(Command[ExplainSettings]):
    """Print what was decided on a request, why, and the outcome."""

    words = ('explain',)
    summary = 'reconstruct the history of a request from logs'
    settings_model = ExplainSettings

    def run(self, settings: ExplainSettings) -> ExitCode:
        """Read the logs, merge them and print."""
        request, *paths = settings.request_and_logs
        try:
            merged_log = MergedLog(_read_lines(paths))
        except OSError as error:
            print_error(f'{error.filename}: {error.strerror}')
            return ExitCode.usage
        if settings.trace is not None:
            trace = json.dumps({'traceEvents': merged_log.trace_events()})
            settings.trace.write_text(trace, 'utf-8')
        history = merged_log.history_of(request)
        if history is None:
            print_error(
                f'none of {len(merged_log.lines)} lines is about {request}',
            )
            return ExitCode.failed
        print_result(
            '\n'.join(_format_history(history)),
            _json_document(history),
            settings.output,
        )
        return ExitCode.ok


def _read_lines(paths: list[str]) -> Iterator[str]:
    for path in paths:
        with Path(path).open(encoding='utf-8', errors='replace') as log:
            yield from log


def _format_history(history: RequestHistory) -> Iterator[str]:
    first = history.lines[0]
    started_at = datetime.fromtimestamp(
        first.merged_time_ms / _MS_PER_SECOND, UTC
    )
    yield f'request {history.request}, first seen {started_at.isoformat()}'
    for line in history.lines:
        yield _format_line(line, first)
    if history.context_lines:
        yield 'what these hosts knew:'
    for line in history.context_lines:
        yield _format_line(line, first)
    if history.dropped_lines:
        yield f'{history.dropped_lines} lines of these hosts were dropped'
    yield f'cause: {_describe_cause(history.last)}'


def _format_line(line: LogLine, first: LogLine) -> str:
    after_ms = line.merged_time_ms - first.merged_time_ms
    return f'{after_ms:+9.0f} ms  {line.host}  {line.event} {line.details()}'


def _describe_cause(line: LogLine) -> str:
    reason = str(
        line.fields.get('why', 'the end of the request is not in these logs'),
    )
    status = line.fields.get('status')
    if (
        reason == _ANSWERED
        and isinstance(status, int)
        and status >= _FIRST_ERROR_STATUS
    ):
        return f'the server responded with {status}, which went to the caller'
    for prefix, explanation in _REASON_EXPLANATIONS.items():
        if reason.startswith(prefix):
            return f'{reason}: {explanation}'
    return reason


def _json_document(history: RequestHistory) -> dict[str, object]:
    return {
        'request': history.request,
        'lines': [line.fields for line in history.lines],
        'beliefs': [line.fields for line in history.context_lines],
        'lines_left_out': history.dropped_lines,
        'cause': _describe_cause(history.last),
    }


__all__ = ('Explain',)
