"""The record of a case, and its exit."""

from __future__ import annotations

import asyncio
import os
import sys
import time
import traceback
from pathlib import Path

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, FAILED = 0, 1, 2


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
        # Tasks of callers and servers end with the case.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
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
