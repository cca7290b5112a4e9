"""Runs a case in a temporary folder and returns its exit code."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

_LIMIT_SECONDS = 100
_COULD_NOT_RUN = 2


def run_script(play: Callable[[Path], Awaitable[int]]) -> int:
    """
    Return what a case returns, 2 if it could not run or was stopped.

    A stop by a signal cancels the case, which then ends its processes.
    """
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(_play(play, Path(folder)))
    except (Exception, asyncio.CancelledError) as error:
        print(f'the case could not run: {error!r}')
        return _COULD_NOT_RUN


async def _play(play: Callable[[Path], Awaitable[int]], folder: Path) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(play(folder), _LIMIT_SECONDS)
