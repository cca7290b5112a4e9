"""Log lines are bounded in rate and size and never block the writer."""

from __future__ import annotations

import json
import os
import time

import pytest

from burdockledge.telemetry._lines import LineWriter


def test_full_pipe_drops_lines_without_blocking() -> None:
    """Writes to a full pipe fail at once; a later line reports the count."""
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor)
    started = time.process_time()
    for index in range(700):
        writer.write('error', json.dumps({'event': 'x' * 200, 'n': index}))
    assert time.process_time() - started < 1
    assert writer.dropped_lines > 100
    dropped_lines = writer.dropped_lines
    text = os.read(reader, 1 << 20).decode()
    assert all(json.loads(line) for line in text.splitlines())
    writer.write('error', '{"event": "again"}')
    lines = os.read(reader, 1 << 20).decode().splitlines()
    assert json.loads(lines[0])['lines'] == dropped_lines
    assert json.loads(lines[1])['event'] == 'again'


@pytest.mark.parametrize(
    ('level', 'max_lines'),
    [('debug', 320), ('info', 560), ('warning', 720), ('error', 800)],
)
def test_less_severe_levels_are_dropped_first(
    level: str, max_lines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A burst of one level leaves budget for the more severe ones."""
    # Freeze the clock: on a busy machine elapsed time would refill the budget.
    monkeypatch.setattr(time, 'monotonic', lambda: 1.0)
    descriptor = os.open(os.devnull, os.O_WRONLY)
    writer = LineWriter(descriptor)
    for _ in range(2000):
        writer.write(level, '{}')
    assert 2000 - writer.dropped_lines <= max_lines


def test_long_line_is_truncated() -> None:
    """A line is truncated to the size of an atomic pipe write."""
    reader, descriptor = os.pipe()
    LineWriter(descriptor).write('info', json.dumps({'event': 'x' * 9000}))
    assert len(os.read(reader, 1 << 20)) == 4096
