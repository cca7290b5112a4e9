"""Ends the process before the platform kills it."""

from __future__ import annotations

import os
import threading
from typing import TYPE_CHECKING, Final

from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockledge.clock import Clock

_log = make_logger('exit')

# The time in which a machine is frozen doesn't count for a sleep, so the clock
# is read this often.
_POLL_SECONDS: Final = 0.05


class ExitGuard:
    """
    A thread that ends the process at a deadline.

    It works also while the event loop is blocked or closes. ``deadline`` is in
    seconds of the monotonic clock.
    """

    def __init__(
        self,
        clock: Clock,
        deadline: float,
        describe: Callable[[], dict[str, object]],
    ) -> None:
        """
        Create a guard that is not started.

        :param describe: returns what is still open, for the log.
        """
        self.deadline = deadline
        self._clock = clock
        self._describe = describe
        self._is_cancelled = threading.Event()

    def start(self) -> None:
        """Start the thread, which doesn't keep the process alive."""
        threading.Thread(target=self._run, name='exit', daemon=True).start()

    def cancel(self) -> None:
        """Leave the process as it is."""
        self._is_cancelled.set()

    def _run(self) -> None:
        while self._clock.monotonic() < self.deadline:
            if self._is_cancelled.wait(_POLL_SECONDS):
                return
        try:
            _log.warning(
                'Exit before the stop is complete.', **self._describe()
            )
        finally:
            # Skips the clean-up, which is what takes too long.
            os._exit(os.EX_OK)


__all__ = ('ExitGuard',)
