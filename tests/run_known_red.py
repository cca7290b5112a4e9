"""
Run the test suite with the expected failures listed in KNOWN-RED.txt.

A listed test that fails is reported but does not fail the run; one that
passes does, so that the list stays current.
"""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

# tests/processes waits in real time; `make processes` runs it separately.
PYTEST_ARGUMENTS = (
    'tests',
    '--ignore=tests/processes',
    '-n',
    'auto',
    '--timeout=300',
)
_EXPECTED_FAILURES_FILE = Path(__file__).parent.parent / 'KNOWN-RED.txt'


class ExpectedFailures:
    """Plugin that treats the listed tests as expected failures."""

    def __init__(self, expected_failures: set[str]) -> None:
        """Store the pytest node ids of the listed tests."""
        self._expected_failures = expected_failures
        self._results: dict[str, str] = {}

    @pytest.hookimpl(hookwrapper=True)
    def pytest_runtest_makereport(self, item: pytest.Item):
        """Skip a listed test that fails; fail one that passes."""
        outcome = yield
        report = outcome.get_result()
        if item.nodeid not in self._expected_failures or report.when != 'call':
            return
        if report.failed:
            self._results[item.nodeid] = 'failed, as expected'
            report.outcome = 'skipped'
            report.longrepr = ('KNOWN-RED.txt', 0, 'Skipped: expected failure')
        else:
            self._results[item.nodeid] = (
                'passed unexpectedly: remove it from KNOWN-RED.txt'
            )
            report.outcome = 'failed'
            report.longrepr = (
                f'{item.nodeid} passed but is listed in KNOWN-RED.txt'
            )

    def pytest_terminal_summary(
        self,
        terminalreporter: pytest.TerminalReporter,
    ) -> None:
        """Print the result of each listed test."""
        for node_id, result in sorted(self._results.items()):
            terminalreporter.write_line(f'KNOWN-RED {node_id}: {result}')


def main() -> int:
    """Run pytest with the expected failures from KNOWN-RED.txt."""
    lines = (
        _EXPECTED_FAILURES_FILE.read_text('utf-8').splitlines()
        if _EXPECTED_FAILURES_FILE.exists()
        else []
    )
    expected_failures = {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }
    return int(
        pytest.main(
            [*PYTEST_ARGUMENTS, *sys.argv[1:]],
            plugins=[ExpectedFailures(expected_failures)],
        )
    )


if __name__ == '__main__':
    sys.exit(main())
