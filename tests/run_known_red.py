"""
Run the test suite with the expected failures listed in KNOWN-RED.txt.

The tests that compare the memory of a process with its limit run one at a
time, after all others.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).parent.parent
_SERIAL_TESTS = (
    'tests/flood/test_body_crowds.py',
    'tests/flood/test_body_crowds_at_gateway.py',
)
_SHARED_ARGUMENTS = (
    '--timeout=300',
    '-p',
    'tests.known_red',
    f'--known-red={_ROOT / "KNOWN-RED.txt"}',
)
# tests/processes waits in real time; `make processes` runs it separately.
_RUNS = (
    (
        'tests',
        '--ignore=tests/processes',
        *(f'--ignore={path}' for path in _SERIAL_TESTS),
        '-n',
        'auto',
    ),
    _SERIAL_TESTS,
)


def main() -> int:
    """Run pytest from the root of the project; return the worst exit code."""
    command = (sys.executable, '-m', 'pytest')
    return max(
        subprocess.run(
            (*command, *arguments, *_SHARED_ARGUMENTS, *sys.argv[1:]),
            cwd=_ROOT,
            check=False,
        ).returncode
        for arguments in _RUNS
    )


if __name__ == '__main__':
    sys.exit(main())
