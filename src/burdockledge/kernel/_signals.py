"""Handling of the signals that ask a process to stop."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


def on_stop_signal(callback: Callable[[], object]) -> None:
    """
    Register a callback for SIGTERM and SIGINT on the running event loop.

    :raises RuntimeError: if no event loop runs in this thread.
    """
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, callback)


__all__ = ('on_stop_signal',)
