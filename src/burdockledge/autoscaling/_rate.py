"""Limits the orders a second."""

from __future__ import annotations

from typing import Final

# The other half is left to other duties.
_SHARE: Final = 0.5
_LEAST_PER_SECOND: Final = 0.5
# A rate that was halved doubles again after this time without a refusal.
_RECOVERY_SECONDS: Final = 10.0


class OrderRate:
    """
    A token bucket whose rate halves when the platform refuses calls.

    Times are in seconds of the monotonic clock.
    """

    def __init__(self, calls_per_second: float, now: float) -> None:
        """Start with a full bucket, for one second of calls of all duties."""
        self._highest = max(_LEAST_PER_SECOND, calls_per_second * _SHARE)
        self._rate = self._highest
        self._tokens = max(1.0, self._rate)
        self._filled_at = now
        self._changed_at = now

    def take(self, now: float) -> bool:
        """Take the right to one call; return False without one."""
        if now - self._changed_at >= _RECOVERY_SECONDS:
            self._rate = min(self._highest, self._rate * 2)
            self._changed_at = now
        self._tokens = min(
            max(1.0, self._rate),
            self._tokens + (now - self._filled_at) * self._rate,
        )
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def note_limited(self, now: float) -> None:
        """Halve the rate, as a call was refused for the limit."""
        self._rate = max(_LEAST_PER_SECOND, self._rate / 2)
        self._tokens = 0.0
        self._filled_at = now
        self._changed_at = now


__all__ = ('OrderRate',)
