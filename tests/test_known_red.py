"""Tests of the plugin that passes over the listed failing tests."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

_ROOT = Path(__file__).parent.parent
_SUITE = """
def test_failing():
    assert False

def test_passing():
    pass
"""


@pytest.mark.parametrize('processes', [(), ('-n', '2')], ids=['one', 'several'])
@pytest.mark.parametrize(
    ('listed', 'exit_code', 'line'),
    [
        ('test_failing', 0, 'test_failing: failed, as expected'),
        ('test_passing', 1, 'test_passing: passed unexpectedly'),
        ('test_gone', 1, 'test_gone: not run'),
    ],
)
def test_only_listed_failures_are_passed_over(
    tmp_path: Path,
    processes: tuple[str, ...],
    listed: str,
    exit_code: int,
    line: str,
) -> None:
    """Guards against a list that the processes of a parallel run ignore."""
    (tmp_path / 'test_it.py').write_text(_SUITE)
    known_red = tmp_path / 'KNOWN-RED.txt'
    known_red.write_text(f'# A reason.\ntest: test_it.py::{listed}\n')
    run = subprocess.run(
        (
            sys.executable, '-m', 'pytest', '-p', 'tests.known_red',
            f'--known-red={known_red}', *processes, str(tmp_path),
            f'--rootdir={tmp_path}',
        ),
        capture_output=True,
        text=True,
        check=False,
        cwd=tmp_path,
        env={**os.environ, 'PYTHONPATH': str(_ROOT)},
    )  # fmt: skip
    assert line in run.stdout
    assert run.returncode == exit_code
