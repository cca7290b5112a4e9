"""Imports of the host command; each module costs CPU time at start-up."""

from __future__ import annotations

import subprocess
import sys

UNWANTED_MODULES = (
    'aiohttp.web',
    'burdockledge.bench',
    'burdockledge.loadgen',
    'burdockledge.platform.results',
    'burdockledge.standins',
    'burdockledge.request_history',
    'matplotlib',
    'uuid6',
)


def test_host_command_does_not_import_tools() -> None:
    """Benchmarks, plots, stand-ins and the aiohttp router are not imported."""
    script = 'import sys, burdockledge.cli._host; print(*sys.modules)'
    completed = subprocess.run(
        [sys.executable, '-c', script],
        check=True,
        capture_output=True,
        text=True,
    )
    loaded = set(completed.stdout.split())
    assert 'burdockledge.host' in loaded
    assert loaded.isdisjoint(UNWANTED_MODULES)


def test_sighup_during_imports_does_not_end_the_host() -> None:
    """SIGHUP is ignored while the host imports its modules."""
    script = (
        'import signal, sys; sys.argv = ["burdockledge", "host"];'
        'import burdockledge.__main__;'
        'print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)'
    )
    completed = subprocess.run(
        [sys.executable, '-c', script],
        check=True,
        capture_output=True,
        text=True,
    )
    assert completed.stdout == 'True\n'
