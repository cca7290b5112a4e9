"""When the steps of the stop of a host end, within the grace time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from burdockledge.clock import Clock

# Time left for closing connections before the platform sends SIGKILL.
_DRAIN_MARGIN_SECONDS: Final = 0.6
# Time left for the end of the process.
_EXIT_MARGIN_SECONDS: Final = 0.25
# On a slow machine each of the steps after the drain waits for the processor.
# A host that is 0.15 s late at its timers needs more than the margins above.
_DRAIN_MARGIN_LAGS: Final = 4.0
_EXIT_MARGIN_LAGS: Final = 1.6
# Calls get the rest, however slow the machine is.
_MAX_DRAIN_MARGIN_SHARE: Final = 0.2
_MAX_EXIT_MARGIN_SHARE: Final = 0.08


class StopPlan:
    """
    The deadlines of one stop.

    Times are in seconds of the monotonic clock, which counts the time in which
    the machine is frozen. The margins grow with the lag of timers.
    """

    def __init__(self, clock: Clock, grace_seconds: float) -> None:
        """Plan a stop that begins now."""
        self._clock = clock
        self._grace_seconds = grace_seconds
        self.started_at = clock.monotonic()
        self._longest_lag = 0.0
        # One stall says little of how fast the machine is.
        self._lag = 0.0

    @property
    def drain_ends_at(self) -> float:
        """The time until which calls are served."""
        return self._before_kill(
            _DRAIN_MARGIN_SECONDS, _DRAIN_MARGIN_LAGS, _MAX_DRAIN_MARGIN_SHARE
        )

    @property
    def exits_at(self) -> float:
        """The time at which the process must end."""
        return self._before_kill(
            _EXIT_MARGIN_SECONDS, _EXIT_MARGIN_LAGS, _MAX_EXIT_MARGIN_SHARE
        )

    def seconds_until(self, moment: float) -> float:
        """Return the time until a moment, negative after it."""
        return moment - self._clock.monotonic()

    def elapsed_seconds(self) -> float:
        """Return the time since the stop began."""
        return self._clock.monotonic() - self.started_at

    def note_lag(self, seconds: float) -> None:
        """Learn by how much a timer was late."""
        if seconds > self._longest_lag:
            self._lag = self._longest_lag
            self._longest_lag = seconds
        else:
            self._lag = max(self._lag, seconds)

    def _before_kill(self, least: float, lags: float, most: float) -> float:
        margin = max(least, min(lags * self._lag, most * self._grace_seconds))
        return self.started_at + self._grace_seconds - margin


__all__ = ('StopPlan',)
