"""Durations of calls: their number, their sum and estimated quantiles."""

from __future__ import annotations

import math
from array import array
from bisect import bisect_left
from itertools import accumulate
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

_MIN_SECONDS: Final = 0.0001
_MAX_SECONDS: Final = 3600.0
# Buckets for each doubling of a duration; an estimate is off by half a
# bucket at most, 1.6%.
_BUCKETS_PER_DOUBLING: Final = 32
_COUNT_TYPE: Final = 'Q'


class DurationTotals:
    """The number and the sum of durations."""

    __slots__ = ('count', 'seconds')

    def __init__(self) -> None:
        """Start without durations."""
        self.count = 0
        self.seconds = 0.0

    def add(self, seconds: float) -> None:
        """Add a duration."""
        self.count += 1
        self.seconds += seconds

    def add_totals(self, totals: DurationTotals) -> None:
        """Add the number and the sum of other durations."""
        self.count += totals.count
        self.seconds += totals.seconds

    def quantiles(self, shares: Sequence[float]) -> Sequence[float]:
        """Return the quantiles in seconds, none if they are not known."""
        return ()


class Durations(DurationTotals):
    """
    Durations with quantiles, from counts in buckets of a logarithmic scale.

    Only the buckets from the shortest to the longest duration exist: hosts
    keep several of these for each route.
    """

    __slots__ = ('_counts', '_first_bucket')

    def __init__(self) -> None:
        """Start without durations."""
        super().__init__()
        self._counts = array(_COUNT_TYPE)
        self._first_bucket = 0

    def add(self, seconds: float) -> None:
        """Add a duration."""
        super().add(seconds)
        bucket = _bucket_of(seconds)
        if not self._counts:
            self._first_bucket = bucket
        missing = self._first_bucket - bucket
        if missing > 0:
            self._counts = _zeros(missing) + self._counts
            self._first_bucket = bucket
        missing = bucket - self._first_bucket - len(self._counts) + 1
        if missing > 0:
            self._counts.extend(_zeros(missing))
        self._counts[bucket - self._first_bucket] += 1

    def quantiles(self, shares: Sequence[float]) -> Sequence[float]:
        """Return the quantiles in seconds, none without durations."""
        cumulative = list(accumulate(self._counts))
        if not cumulative:
            return ()
        total = cumulative[-1]
        return [
            _middle_of(
                self._first_bucket
                + bisect_left(cumulative, max(1, math.ceil(share * total)))
            )
            for share in shares
        ]


def _zeros(count: int) -> array[int]:
    return array(_COUNT_TYPE, bytes(count * array(_COUNT_TYPE).itemsize))


def _bucket_of(seconds: float) -> int:
    limited = min(max(seconds, _MIN_SECONDS), _MAX_SECONDS)
    mantissa, exponent = math.frexp(limited / _MIN_SECONDS)
    part = int((2 * mantissa - 1) * _BUCKETS_PER_DOUBLING)
    return (exponent - 1) * _BUCKETS_PER_DOUBLING + part


def _middle_of(bucket: int) -> float:
    doublings, part = divmod(bucket, _BUCKETS_PER_DOUBLING)
    mantissa = 1 + (part + 0.5) / _BUCKETS_PER_DOUBLING
    return math.ldexp(_MIN_SECONDS * mantissa, doublings)


__all__ = ('DurationTotals', 'Durations')
