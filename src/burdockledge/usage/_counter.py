"""Counts the calls of this host by window and team."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

# Reports are kept for this long after the end of their window.
KEPT_SECONDS: Final = 60.0
# A window is closed this long after its end: the median of the hosts' clocks
# moves by the delays of datagrams.
CLOSE_SECONDS: Final = 0.2


class UsageCounter:
    """
    Counts calls in windows of true time, each of which is closed some time.

    Counts of a window only grow, and stay as they are once it is closed.
    """

    def __init__(self, window_seconds: float) -> None:
        """Create a counter without calls."""
        self._window_seconds = window_seconds
        self._counts: dict[int, Counter[str]] = {}
        self._closed_before: int | None = None

    def count(self, team: str, at: float) -> None:
        """
        Count a call of a team at a true time.

        A call of a window that is closed counts in the next open one.
        """
        window = math.floor(at / self._window_seconds)
        if self._closed_before is not None:
            window = max(window, self._closed_before)
        self._counts.setdefault(window, Counter())[team] += 1

    def close(self, now: float) -> int:
        """
        Close the windows that have ended, and forget old ones.

        :return: the first window that is open.
        """
        before = math.floor((now - CLOSE_SECONDS) / self._window_seconds)
        self._closed_before = max(self._closed_before or before, before)
        kept_from = math.floor((now - KEPT_SECONDS) / self._window_seconds)
        for window in tuple(self._counts):
            if window < kept_from:
                self._counts.pop(window)
        return self._closed_before

    def totals(
        self, first: int, before: int | None = None
    ) -> dict[int, Mapping[str, int]]:
        """Return the counts by window and team, of the windows with calls."""
        return {
            window: dict(counts)
            for window, counts in sorted(self._counts.items())
            if first <= window and (before is None or window < before)
        }


__all__ = ('CLOSE_SECONDS', 'KEPT_SECONDS', 'UsageCounter')
