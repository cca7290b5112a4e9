"""The clock interface and its wall-clock implementation."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Gives monotonic seconds and wall-clock milliseconds."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go back within a process."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may jump."""


class SystemClock(Clock):
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since the start of the host, its sleeps included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds."""
        return time.time_ns() // 1_000_000


__all__ = ('Clock', 'SystemClock')
