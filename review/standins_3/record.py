"""The record of a case, and its exit."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
import traceback
from pathlib import Path

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# run.sh turns these into its own exit status: an error of the interpreter has 1.
HELD, BROKEN, FAILED = 10, 11, 12


class Record:
    """Lines of ``record.txt``, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._started_at = time.monotonic()
        self.note(f'TROUBLE={int(TROUBLE)}')

    def note(self, text: str) -> None:
        seconds = time.monotonic() - self._started_at
        self._file.write(f'{seconds:8.3f}  {text}\n')
        self._file.flush()


def run(case, folder: Path, seconds: float = 110) -> None:
    """Run a case within a time, and exit with its verdict."""
    record = Record(folder)

    async def limited() -> bool:
        loop = asyncio.get_running_loop()
        # Tasks of callers and servers end with the case.
        loop.set_exception_handler(lambda *_: None)
        # A case that is stopped ends its processes, too.
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(seconds):
            return await case(record)

    try:
        is_broken = asyncio.run(limited())
    except BaseException:
        record.note(f'The case could not run: {traceback.format_exc()}')
        sys.exit(FAILED)
    record.note('verdict: the rule was broken' if is_broken else
                'verdict: the rule held')
    sys.exit(BROKEN if is_broken else HELD)
