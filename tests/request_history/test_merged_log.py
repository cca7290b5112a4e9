"""Merging logs of several hosts whose wall clocks differ and jump."""

from __future__ import annotations

import json

import pytest

from burdockledge.request_history import MergedLog


def make_line(
    host: str, up_ms: int, skew_ms: int, event: str, **more: object
) -> str:
    """Return a log line of a host after the prefix that a collector adds."""
    fields = {
        'at_ms': 1_000_000 + up_ms + skew_ms,
        'up_ms': up_ms,
        'host': host,
        'level': 'info',
        'event': event,
        **more,
    }
    return f'0.1 {host} {json.dumps(fields)}\n'


PLACED = '[relay] Placed.'
ANSWERED = '[relay] Answered.'
BACKGROUND_LINES = [make_line('a', 10 * index, 0, 'x') for index in range(5)]


@pytest.mark.parametrize('skew_ms', [0, 5000, -5000])
def test_wall_clock_jump_keeps_the_order_of_a_host(skew_ms: int) -> None:
    """The monotonic clock orders the lines of one process."""
    merged_log = MergedLog(
        [
            *BACKGROUND_LINES,
            make_line('a', 100, 0, PLACED, request='r', server='s1/1'),
            make_line('a', 150, skew_ms, PLACED, request='r', server='s2/1'),
            make_line('a', 200, 0, ANSWERED, request='r', status=200),
        ]
    )
    history = merged_log.history_of('r')
    assert history is not None
    assert [line.server for line in history.lines] == ['s1', 's2', None]
    assert history.last.event == ANSWERED


@pytest.mark.parametrize('up_ms', [5, 9_000_000])
def test_restarted_process_is_ordered_by_its_own_clock(up_ms: int) -> None:
    """A monotonic clock that restarts does not mix two processes."""
    merged_log = MergedLog(
        [
            make_line('a', 90_000, 0, PLACED, request='r'),
            make_line('a', up_ms, 95_000 - up_ms, ANSWERED, request='r'),
            make_line('a', up_ms + 1, 95_000 - up_ms, 'x'),
            make_line('a', up_ms + 2, 95_000 - up_ms, 'x'),
        ]
    )
    history = merged_log.history_of('r')
    assert history is not None
    assert [line.event for line in history.lines] == [PLACED, ANSWERED]


def test_history_includes_the_state_known_to_its_hosts() -> None:
    """Only lines of the hosts that served it, about servers it was sent to."""
    in_force = '[knowledge] Configuration in force.'
    paused = '[knowledge] Server is paused.'
    merged_log = MergedLog(
        [
            make_line('a', 1, 0, in_force, version=1),
            make_line('a', 2, 0, in_force, version=2),
            make_line('b', 3, 0, in_force, version=3),
            make_line('a', 40, 0, paused, server='s1/1', witness='b'),
            make_line('a', 41, 0, paused, server='s9/1', witness='b'),
            make_line('a', 50, 0, PLACED, request='r', server='s1'),
            make_line('a', 60, 0, ANSWERED, request='r', status=502),
            make_line('a', 70, 0, in_force, version=4),
            make_line('a', 80, 0, '[log] Lines were left out.', lines=7),
            'no line of a log\n',
            '{"cut": ...\n',
        ]
    )
    history = merged_log.history_of('r')
    assert history is not None
    assert [
        (line.fields.get('version'), line.server)
        for line in history.context_lines
    ] == [(2, None), (None, 's1')]
    assert history.dropped_lines == 7
    assert merged_log.history_of('other') is None


def test_trace_contains_every_line() -> None:
    """One instant event per line, in microseconds, grouped by host."""
    events = MergedLog(BACKGROUND_LINES).trace_events()
    assert [event['pid'] for event in events] == ['a'] * len(BACKGROUND_LINES)
    assert events[1]['ts'] - events[0]['ts'] == 10_000
