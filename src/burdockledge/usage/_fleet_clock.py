"""True time, as the hosts together know it."""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from typing import Final

_MS_PER_SECOND: Final = 1000
# The highest difference of a host is kept for this long, and up to twice as
# long. A datagram's delay lowers the difference, so the highest is the best.
_KEPT_SECONDS: Final = 15.0
# Differences of hosts that were not heard from for this long do not count.
# With 86 hosts two of them hear from each other every 30 s in the mean.
_LATELY_SECONDS: Final = 30.0
_MEDIAN_SECONDS: Final = 0.25


@dataclass(slots=True)
class _Difference:
    """The highest differences of a host now and in the interval before."""

    current: float
    former: float
    since: float
    heard_at: float

    @property
    def highest(self) -> float:
        return max(self.current, self.former)


class FleetClock:
    """
    Derives true time from the wall clocks of all hosts heard from lately.

    It is the median of the differences between wall clocks and the own
    monotonic clock, so that a jump of one wall clock moves it hardly.
    """

    def __init__(self) -> None:
        """Create a clock that has heard from no other host."""
        self._differences: dict[str, _Difference] = {}
        self._median: float | None = None
        self._median_at = 0.0

    @property
    def host_count(self) -> int:
        """The number of other hosts whose clocks are known."""
        return len(self._differences)

    def note_host(self, host: str, wall_ms: int, now: float) -> None:
        """Learn the wall clock of another host from a note, just received."""
        difference = wall_ms / _MS_PER_SECOND - now
        known = self._differences.get(host)
        if known is None or now - known.heard_at > _LATELY_SECONDS:
            self._differences[host] = _Difference(
                difference, difference, now, now
            )
            # The first hosts correct the time at once.
            self._median = None
            return
        if now - known.since > _KEPT_SECONDS:
            known.former = known.current
            known.current = difference
            known.since = now
        known.current = max(known.current, difference)
        known.heard_at = now

    def seconds_at(self, at: float, own_wall_ms: int, now: float) -> float:
        """
        Return a time of the own monotonic clock as true time, since 1970.

        :param at: the time to convert.
        :param now: the present time of the monotonic clock.
        """
        if self._median is None or now - self._median_at > _MEDIAN_SECONDS:
            self._median = self._compute_median(own_wall_ms, now)
            self._median_at = now
        return at + self._median

    def _compute_median(self, own_wall_ms: int, now: float) -> float:
        for host, difference in tuple(self._differences.items()):
            if now - difference.heard_at > _LATELY_SECONDS:
                self._differences.pop(host)
        return statistics.median(
            (
                own_wall_ms / _MS_PER_SECOND - now,
                *(known.highest for known in self._differences.values()),
            )
        )


__all__ = ('FleetClock',)
