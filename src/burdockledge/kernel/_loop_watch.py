"""Tells when the event loop stood still, and whether its own work was why."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from burdockledge.kernel._tasks import TaskGroupService
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockledge.clock import Clock
    from burdockledge.telemetry import Metrics

_log = make_logger('loop')

_PERIOD_SECONDS: Final = 0.1
# Callers notice delays of this length; the same as a late timer of a drain.
_LATE_SECONDS: Final = 0.05
# At most one line in this time; the metric has all delays.
_LOG_PERIOD_SECONDS: Final = 1.0
# Own work explains a delay if it took this share of it.
_OWN_WORK_SHARE: Final = 0.5
_MS_PER_SECOND: Final = 1000


class LoopWatch(TaskGroupService):
    """
    Measures how late a periodic timer of the event loop is.

    A late timer means that callers were not served either. The processor time
    of the process within the delay tells a long callback from a machine that
    did not run the process: ``cause`` is ``own_work`` or ``machine``.
    """

    name = 'loop watch'

    def __init__(
        self,
        metrics: Metrics,
        clock: Clock,
        processor_seconds: Callable[[], float],
    ) -> None:
        """
        Create a watch that is not started.

        :param processor_seconds: returns the processor time of the process.
        """
        super().__init__()
        self._metrics = metrics
        self._clock = clock
        self._processor_seconds = processor_seconds
        self._checked_at = 0.0
        self._used_seconds = 0.0
        self._logged_at: float | None = None

    async def start(self) -> None:
        """Begin to measure."""
        self.begin()
        self.supervise(self._watch_forever)

    def begin(self) -> None:
        """Measure from now on."""
        self._checked_at = self._clock.monotonic()
        self._used_seconds = self._processor_seconds()

    def check(self) -> None:
        """Record by how much the timer that is due now is late."""
        since = self._checked_at
        used_before = self._used_seconds
        self.begin()
        delay_seconds = self._checked_at - since - _PERIOD_SECONDS
        if delay_seconds < _LATE_SECONDS:
            return
        used_seconds = self._used_seconds - used_before
        is_own = used_seconds >= _OWN_WORK_SHARE * delay_seconds
        cause = 'own_work' if is_own else 'machine'
        self._metrics.observe('loop_delay_seconds', delay_seconds, cause=cause)
        if (
            self._logged_at is not None
            and self._checked_at - self._logged_at < _LOG_PERIOD_SECONDS
        ):
            return
        self._logged_at = self._checked_at
        _log.warning(
            'Event loop was late.',
            cause=cause,
            ms=round(delay_seconds * _MS_PER_SECOND),
            processor_ms=round(used_seconds * _MS_PER_SECOND),
        )

    async def _watch_forever(self) -> None:
        while True:
            await asyncio.sleep(_PERIOD_SECONDS)
            self.check()


__all__ = ('LoopWatch',)
