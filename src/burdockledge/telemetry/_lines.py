"""Writes log lines to a pipe that may be slow, without ever waiting."""

from __future__ import annotations

import os
import time
from typing import Final

# Lines a second beyond which lesser levels are left out.
_LINES_A_SECOND: Final = 400.0
_BURST_LINES: Final = 800.0
# Part of the burst that each level leaves to more important ones.
_RESERVES: Final = {'debug': 0.6, 'info': 0.3, 'warning': 0.1, 'error': 0.0}
# A line up to this size is written to a pipe whole or not at all (POSIX).
_PIPE_BYTES: Final = 4096
_CUT: Final = b'..."}\n'


class LineWriter:
    """
    Writes whole lines to a descriptor within a budget.

    Under load the lesser levels give way first. A full pipe costs lines,
    never time. How many were left out is told once lines pass again.
    """

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._room = _BURST_LINES
        self._filled_at = time.monotonic()
        self.left_out = 0

    def write(self, level: str, line: str) -> None:
        """Write a line, or count it as left out."""
        self._fill()
        if self._room <= _RESERVES.get(level, 0.0) * _BURST_LINES:
            self.left_out += 1
            return
        self._room -= 1
        if self.left_out:
            self._tell_left_out()
        if not self._put(line):
            self.left_out += 1

    def _tell_left_out(self) -> None:
        count = self.left_out
        line = f'{{"event": "[log] Lines were left out.", "lines": {count}}}'
        if self._put(line):
            self.left_out -= count

    def _fill(self) -> None:
        now = time.monotonic()
        gained = (now - self._filled_at) * _LINES_A_SECOND
        self._room = min(_BURST_LINES, self._room + gained)
        self._filled_at = now

    def _put(self, line: str) -> bool:
        encoded = f'{line}\n'.encode('utf-8', 'replace')
        if len(encoded) > _PIPE_BYTES:
            encoded = encoded[: _PIPE_BYTES - len(_CUT)] + _CUT
        try:
            os.write(self._descriptor, encoded)
        except OSError:
            # Nobody reads, or nobody is left to read: the line is counted.
            return False
        return True


__all__ = ('LineWriter',)
