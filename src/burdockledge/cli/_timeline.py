"""``burdockledge timeline``: merge the events of all entry hosts."""

from __future__ import annotations

import asyncio
import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Final, Literal

from pydantic import Field
from result import Ok

from burdockledge.cli._client import OperatorSettings, call_host
from burdockledge.cli._command import (
    Command,
    ExitCode,
    print_error,
    print_result,
    run_async,
)
from burdockledge.settings import CommaList, CommandSettings

_LOGICAL_BITS: Final = 16
_MS_PER_SECOND: Final = 1000
_US_PER_MS: Final = 1000


class TimelineSettings(CommandSettings):
    """Settings of ``timeline``."""

    entry_hosts: CommaList = Field(
        min_length=1,
        description='URLs of all entry hosts',
    )
    operator_key: str = Field(min_length=1, description='operator key')
    ca: Path | None = Field(
        default=None,
        description='PEM file of the CA that signs the entry hosts',
    )
    subject: str = Field(
        default='',
        description='only events about this request id, key, server, host or '
        'version-N; empty for all',
    )
    trace: Path | None = Field(
        default=None,
        description='output file in the trace event format, for trace viewers',
    )
    output: Literal['text', 'json'] = Field(
        default='text',
        description='output format: text or json',
    )


class Timeline(Command[TimelineSettings]):
    """Print one causally ordered list of the events of all hosts."""

    words = ('timeline',)
    summary = 'merge the events of all entry hosts'
    settings_model = TimelineSettings

    def run(self, settings: TimelineSettings) -> ExitCode:
        """Fetch the events of every host, merge and print them."""
        return run_async(self._merge(settings))

    async def _merge(self, settings: TimelineSettings) -> ExitCode:
        responses = await asyncio.gather(
            *(_fetch_events(settings, url) for url in settings.entry_hosts),
        )
        event_lists = [events for events in responses if events is not None]
        if not event_lists:
            return ExitCode.unreachable
        merged = sorted(
            (event for events in event_lists for event in events),
            key=_sort_key,
        )
        if settings.trace is not None:
            text = json.dumps({'traceEvents': _trace_events(merged)})
            settings.trace.write_text(text, 'utf-8')
        print_result(
            '\n'.join(_format_event(event) for event in merged),
            merged,
            settings.output,
        )
        if len(event_lists) < len(responses):
            print_error('some hosts did not respond; their events are missing')
        return ExitCode.ok


async def _fetch_events(
    settings: TimelineSettings,
    url: str,
) -> list[dict[str, Any]] | None:
    operator = OperatorSettings(
        entry_host=url,
        operator_key=settings.operator_key,
        ca=settings.ca,
    )
    response = await call_host(
        operator,
        'GET',
        '/admin/time-line',
        query={'subject': settings.subject},
    )
    if isinstance(response, Ok):
        events: list[dict[str, Any]] = response.ok_value.document['events']
        return events
    return None


def _sort_key(event: dict[str, Any]) -> tuple[int, str]:
    return (event['stamp'], event['host'])


def _format_event(event: dict[str, Any]) -> str:
    wall_ms = event['stamp'] >> _LOGICAL_BITS
    at = datetime.fromtimestamp(wall_ms / _MS_PER_SECOND, UTC)
    logical = event['stamp'] & ((1 << _LOGICAL_BITS) - 1)
    time_text = at.isoformat(timespec='milliseconds')
    subjects = ' '.join(event['subjects'])
    return (
        f'{time_text} +{logical:<3} {event["host"]:<10} {event["kind"]:<16} '
        f'{subjects} {event["detail"]}'
    ).rstrip()


def _trace_events(events: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the events as instant events in the trace event format."""
    return [
        {
            'name': event['kind'],
            'ph': 'i',
            's': 'p',
            'ts': (event['stamp'] >> _LOGICAL_BITS) * _US_PER_MS,
            'pid': event['host'],
            'tid': event['subjects'][0] if event['subjects'] else '',
            'args': {
                'subjects': event['subjects'],
                'detail': event['detail'],
            },
        }
        for event in events
    ]


__all__ = ('Timeline',)
