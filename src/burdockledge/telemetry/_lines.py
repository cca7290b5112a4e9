"""Writes log lines to a descriptor, dropping lines instead of blocking."""

from __future__ import annotations

import os
import time
from typing import Final

# Sustained rate above which the least severe levels are dropped.
_MAX_LINES_PER_SECOND: Final = 400.0
_BURST_LINES: Final = 800.0
# Share of the burst that each level leaves to more severe ones.
_RESERVED_SHARES: Final = {
    'debug': 0.6,
    'info': 0.3,
    'warning': 0.1,
    'error': 0.0,
}
# A write of up to 4096 bytes to a pipe is atomic (PIPE_BUF, POSIX).
_MAX_LINE_BYTES: Final = 4096
_TRUNCATION_SUFFIX: Final = b'..."}\n'


class LineWriter:
    """
    Writes whole lines to a descriptor within a token-bucket budget.

    When the budget runs low, the least severe levels are dropped first. When
    the pipe is full, lines are dropped rather than waiting. A later line
    reports how many were dropped.

    ``dropped_lines`` counts the dropped lines that are not reported yet.
    """

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._line_budget = _BURST_LINES
        self._refilled_at = time.monotonic()
        self.dropped_lines = 0

    def write(self, level: str, line: str) -> None:
        """Write a line, or drop and count it."""
        self._refill_budget()
        if self._line_budget <= _RESERVED_SHARES.get(level, 0.0) * _BURST_LINES:
            self.dropped_lines += 1
            return
        self._line_budget -= 1
        if self.dropped_lines:
            self._report_dropped_lines()
        if not self._try_write(line):
            self.dropped_lines += 1

    def _report_dropped_lines(self) -> None:
        count = self.dropped_lines
        line = f'{{"event": "[log] Lines were left out.", "lines": {count}}}'
        if self._try_write(line):
            self.dropped_lines -= count

    def _refill_budget(self) -> None:
        now = time.monotonic()
        refilled = (now - self._refilled_at) * _MAX_LINES_PER_SECOND
        self._line_budget = min(_BURST_LINES, self._line_budget + refilled)
        self._refilled_at = now

    def _try_write(self, line: str) -> bool:
        encoded = f'{line}\n'.encode('utf-8', 'replace')
        if len(encoded) > _MAX_LINE_BYTES:
            encoded = (
                encoded[: _MAX_LINE_BYTES - len(_TRUNCATION_SUFFIX)]
                + _TRUNCATION_SUFFIX
            )
        try:
            os.write(self._descriptor, encoded)
        except OSError:
            # The pipe is full or has no reader: the caller counts the line.
            return False
        return True


__all__ = ('LineWriter',)
