"""Tests of the results page, with journal entries of the benchmark."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from result import Err, Ok

from burdockledge.platform.results import (
    plot_results,
    read_journal,
    render_results,
)

DAY_ENTRY = {
    'name': 'quiet-1',
    'G': 0.8,
    'top': 0.9,
    'rules': {},
    'parts': [['whole day', 0.4, 0.97], ['worst class', 0.3, 0.7]],
    'prices': [['memory', 3.0, 0.01], ['bytes', 1.0, 0.03]],
}


def run_entry(minute: int, cmd: str = 'score', **more: Any) -> dict[str, Any]:
    """Return the journal entry of one run."""
    at = f'2026-12-04T07:{minute:02}:00Z'
    return {
        'at': [at, at], 'cmd': cmd, 'argv': [], 'site': 'harbour',
        'score': None, 'error': None, 'days': [DAY_ENTRY], **more,
    }  # fmt: skip


def render_page(directory: Path, *entries: dict[str, Any]) -> str:
    """Write entries to a directory and return the page made from them."""
    for index, entry in enumerate(entries):
        (directory / f'{index}.json').write_text(json.dumps(entry))
    runs = read_journal(directory)
    assert isinstance(runs, Ok)
    return render_results(runs.ok_value)


def test_day_row_shows_first_and_last_result(tmp_path: Path) -> None:
    """The row shows worth, upper mark and limits of complete runs only."""
    better_day = {**DAY_ENTRY, 'G': 0.85, 'rules': {'DRAIN': 2}}
    incomplete_day = {**DAY_ENTRY, 'G': 0.1}
    text = render_page(
        tmp_path,
        run_entry(5, score=0.93, days=[better_day]),
        run_entry(1, score=0.7),
        run_entry(6, 'run', days=[incomplete_day], argv=['--until', '8']),
        run_entry(
            7, 'run', days=[incomplete_day], error='the run did not finish'
        ),
    )
    row = '| quiet-1 | 2 | 0.800 | 0.850 | 0.900 | DRAIN 2 | worst class 0.70;'
    assert row in text
    assert 'most for bytes (0.030)' in text
    assert 'score 0.930 (2026-12-04T07:05:00Z); broken: quiet-1' in text


@pytest.mark.parametrize(
    ('rules', 'expected_text'),
    [({}, 'broken: none'), ({'LOST': 1}, 'broken: quiet-1 (LOST 1)')],
)
def test_hunt_lists_days_with_broken_rules(
    tmp_path: Path, rules: dict[str, int], expected_text: str
) -> None:
    """A hunt is listed even if no rule was broken."""
    entry = run_entry(
        1, 'hunt', days=[{**DAY_ENTRY, 'rules': rules}, DAY_ENTRY]
    )
    assert (
        f'hunt of 2 days (2026-12-04T07:01:00Z); {expected_text}'
        in render_page(tmp_path, entry)
    )


def test_plot_is_written(tmp_path: Path) -> None:
    """The plot is an SVG file at the given path."""
    render_page(tmp_path, run_entry(1))
    runs = read_journal(tmp_path)
    assert isinstance(runs, Ok)
    plot_results(runs.ok_value, tmp_path / 'plot.svg')
    assert '<svg' in (tmp_path / 'plot.svg').read_text()


def test_error_names_the_unreadable_entry(tmp_path: Path) -> None:
    """The message contains the name of the file."""
    (tmp_path / 'x.json').write_text('{}')
    runs = read_journal(tmp_path)
    assert isinstance(runs, Err)
    assert 'x.json' in runs.err_value
