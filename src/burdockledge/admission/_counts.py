"""Counts that decay with time."""

from __future__ import annotations

import math
from typing import Final, Generic, TypeVar

KeyT = TypeVar('KeyT')

# Smaller counts are dropped, so that keys without new ones take no memory.
_MIN_COUNT: Final = 0.001


class DecayingCounts(Generic[KeyT]):
    """Counts by key, each of which falls by a constant rate."""

    def __init__(self, decay_seconds: float) -> None:
        """
        Create counts that are all 0.

        :param decay_seconds: the time in which a count falls to 1/e.
        """
        self._decay_seconds = decay_seconds
        self._counts: dict[KeyT, float] = {}
        self._total = 0.0
        self._at = 0.0

    def add(self, key: KeyT, now: float) -> None:
        """Count one more."""
        self._decay(now)
        self._counts[key] = self._counts.get(key, 0.0) + 1
        self._total += 1

    def count(self, key: KeyT, now: float) -> float:
        """Return the count of a key."""
        self._decay(now)
        return self._counts.get(key, 0.0)

    def share(self, key: KeyT, now: float) -> float:
        """Return the share of a key in the sum of all counts, 0 if empty."""
        count = self.count(key, now)
        return count / self._total if self._total else 0.0

    def total(self, now: float) -> float:
        """Return the sum of all counts."""
        self._decay(now)
        return self._total

    def known_keys(self) -> list[KeyT]:
        """Return the keys with a count."""
        return list(self._counts)

    def _decay(self, now: float) -> None:
        if now <= self._at:
            return
        factor = math.exp((self._at - now) / self._decay_seconds)
        self._at = now
        self._counts = {
            key: count * factor
            for key, count in self._counts.items()
            if count * factor >= _MIN_COUNT
        }
        self._total = sum(self._counts.values())


__all__ = ('DecayingCounts',)
