"""The clock interface and its implementation by the operating system."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of monotonic seconds and wall-clock milliseconds."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never decrease within a process."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; they may jump."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return the seconds since boot, including time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000


__all__ = ('Clock', 'SystemClock')
