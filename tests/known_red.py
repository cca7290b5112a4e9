"""
A pytest plugin that passes over the tests that a file lists as failing.

A listed test that fails is reported but does not fail the run; one that
passes does, so that the list stays current. It also works in the processes
of pytest-xdist, which load it by its name.
"""

from __future__ import annotations

import os
from pathlib import Path

import pytest

_LIST_OPTION = '--known-red'
_FAILED = 'failed, as expected'
_PASSED = 'passed unexpectedly: remove it from the list'


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that names the list."""
    parser.addoption(_LIST_OPTION, help='file that lists failing tests')


def pytest_configure(config: pytest.Config) -> None:
    """Install the plugin if a list is given."""
    path = config.getoption(_LIST_OPTION)
    if path:
        config.pluginmanager.register(
            KnownRed(
                Path(path),
                _prefixes(config, config.args),
                _prefixes(config, config.getoption('--ignore') or []),
            )
        )


def _prefixes(config: pytest.Config, paths: list[str]) -> tuple[str, ...]:
    """Return how the ids of tests below some paths begin."""
    return tuple(
        os.path.relpath(
            config.invocation_params.dir / path, config.rootpath
        ).removeprefix('.')
        for path in paths
    )


class KnownRed:
    """Treats the listed tests, by their node ids, as expected failures."""

    def __init__(
        self,
        path: Path,
        selected: tuple[str, ...],
        ignored: tuple[str, ...],
    ) -> None:
        """
        Read the list: the lines that begin with ``test:``.

        :param selected: how the ids of the tests of this run begin.
        :param ignored: the same for those that it leaves out.
        """
        self._selected = selected
        self._ignored = ignored
        lines = path.read_text('utf-8').splitlines() if path.exists() else []
        self._listed = {
            line.removeprefix('test:').strip()
            for line in lines
            if line.startswith('test:')
        }
        self._results = dict.fromkeys(self._listed, 'not run')

    @pytest.hookimpl(hookwrapper=True)
    def pytest_runtest_makereport(self, item: pytest.Item):
        """Skip a listed test that fails; fail one that passes."""
        outcome = yield
        report = outcome.get_result()
        if item.nodeid not in self._listed or report.when != 'call':
            return
        if report.failed:
            report.known_red = _FAILED
            report.outcome = 'skipped'
            report.longrepr = ('KNOWN-RED.txt', 0, 'Skipped: expected failure')
        else:
            report.known_red = _PASSED
            report.outcome = 'failed'
            report.longrepr = f'{item.nodeid} passed but is listed as failing'

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Collect the results, also those of other processes."""
        result = getattr(report, 'known_red', None)
        if result is not None:
            self._results[report.nodeid] = result

    def pytest_terminal_summary(
        self, terminalreporter: pytest.TerminalReporter
    ) -> None:
        """Print the result of each listed test."""
        for node_id, result in sorted(self._results.items()):
            if self._is_selected(node_id):
                terminalreporter.write_line(f'KNOWN-RED {node_id}: {result}')

    def _is_selected(self, node_id: str) -> bool:
        """Return whether the arguments of the run include a test."""
        return node_id.startswith(self._selected) and not node_id.startswith(
            self._ignored
        )
