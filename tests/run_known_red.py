"""Run the test suite with the expected failures listed in KNOWN-RED.txt."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

_ROOT = Path(__file__).parent.parent
# tests/processes waits in real time; `make processes` runs it separately.
PYTEST_ARGUMENTS = (
    'tests',
    '--ignore=tests/processes',
    '-n',
    'auto',
    '--timeout=300',
    '-p',
    'tests.known_red',
    f'--known-red={_ROOT / "KNOWN-RED.txt"}',
)


def main() -> int:
    """Run pytest from the root of the project."""
    sys.path.insert(0, str(_ROOT))
    return int(pytest.main([*PYTEST_ARGUMENTS, *sys.argv[1:]]))


if __name__ == '__main__':
    sys.exit(main())
