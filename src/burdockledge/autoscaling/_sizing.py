"""How many servers a service needs, and in which data centres."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockledge.autoscaling._types import Demand

# Prefill and generation together. Bursts of 2 to 3 times one kind start
# at once, and a boot takes 4 s, so running servers must absorb them.
_MEAN_UTILISATION: Final = 0.45
# A burst that was seen before, and the calls that run now.
_PEAK_UTILISATION: Final = 0.85
_LATEST_UTILISATION: Final = 0.7
# The mean without the spot servers of one data centre.
RECLAIM_UTILISATION: Final = 0.8
# What was needed within this time may be needed again: at least 6 s are
# required. With 6 s, the noise of the mean over 20 s removed and added a tenth
# of the servers several times in 160 s.
_NEEDED_SECONDS: Final = 20.0
_AFTER_GROWTH_SECONDS: Final = 8.0
# A server that leaves loses its prefix cache and drains its streams, so
# servers leave in few steps: a fifth at a time halves a fleet in 30 s.
_BETWEEN_SHRINKS_SECONDS: Final = 10.0
_MAX_SHRINK: Final = 0.2
_MIN_SHRINK: Final = 0.1
_MIN_SHRINK_SERVERS: Final = 2
# Limits what wrongly learnt rates can cost.
_MAX_GROWTH: Final = 2
# The first 8 s of traffic say nothing of the servers that are needed later, and
# what was not needed must be known for 20 s.
SETTLING_SECONDS: Final = 28.0
# The cost of a data centre counts moderately: bytes between data centres are
# billed, too.
_PRICE_EXPONENT: Final = -0.5
# No data centre gets less than this part of an even share.
_MIN_SHARE: Final = 0.25


def needed_servers(demand: Demand, largest_share: float) -> tuple[float, str]:
    """
    Return the servers that a demand needs, and what decides.

    :param largest_share: the largest share of a data centre, whose spot
        servers may all be reclaimed at once.
    """
    needs = [
        (demand.mean / _MEAN_UTILISATION, 'mean'),
        (demand.peak / _PEAK_UTILISATION, 'burst of the last minute'),
        (demand.latest / _LATEST_UTILISATION, 'last second'),
        (demand.running / _PEAK_UTILISATION, 'running calls'),
        # The next call needs a server, whenever it comes.
        (1.0, 'least size'),
    ]
    if largest_share < 1:
        left_share = 1 - largest_share
        needs.append(
            (demand.mean / RECLAIM_UTILISATION / left_share, 'reclaim')
        )
    return max(needs)


class SizeKeeper:
    """
    The size of a service's fleet: it grows at once and shrinks slowly.

    Times are in seconds of the monotonic clock.
    """

    def __init__(self, size: int, now: float) -> None:
        """Start from the present size; nothing is removed at first."""
        self.size = size
        self._grown_at = now - _AFTER_GROWTH_SECONDS
        self._shrunk_at = now - _BETWEEN_SHRINKS_SECONDS
        self._since = now
        self._needs: deque[tuple[float, float]] = deque()

    def note_addition(self, now: float) -> None:
        """Note that servers were ordered; none are removed for a while."""
        self._grown_at = now

    @property
    def needed(self) -> int:
        """The most servers that were needed lately, 0 before any demand."""
        return math.ceil(max((need for _, need in self._needs), default=0))

    def update(
        self, need: float, traffic_seconds: float, present: int, now: float
    ) -> int:
        """
        Return the size for the servers that are needed now.

        :param present: the registered servers, at most twice as many of which
            are ordered.
        """
        need = min(need, _MAX_GROWTH * max(1, present, self.size))
        self._needs.append((now, need))
        while self._needs[0][0] < now - _NEEDED_SECONDS:
            self._needs.popleft()
        if need > self.size:
            self.size = math.ceil(need)
            self._grown_at = now
        elif traffic_seconds >= SETTLING_SECONDS and self._may_shrink(now):
            self._shrink(now)
        return self.size

    def _may_shrink(self, now: float) -> bool:
        return (
            now - self._since >= _NEEDED_SECONDS
            and now - self._grown_at >= _AFTER_GROWTH_SECONDS
            and now - self._shrunk_at >= _BETWEEN_SHRINKS_SECONDS
        )

    def _shrink(self, now: float) -> None:
        needed = self.needed
        step = max(_MIN_SHRINK_SERVERS, math.ceil(_MIN_SHRINK * self.size))
        if needed > self.size - step:
            return
        self.size = max(needed, math.ceil(self.size * (1 - _MAX_SHRINK)))
        self._shrunk_at = now


def price_shares(prices: Mapping[str, float]) -> dict[str, float]:
    """Return the share of each data centre, larger for a lower price."""
    weights = {
        data_centre: price**_PRICE_EXPONENT
        for data_centre, price in prices.items()
    }
    total = sum(weights.values())
    return {
        data_centre: weight / total for data_centre, weight in weights.items()
    }


def left_by_reclaim(sizes: Mapping[str, int]) -> int:
    """Return the servers that are left without the largest data centre."""
    return sum(sizes.values()) - max(sizes.values(), default=0)


def with_reclaim_reserve(
    sizes: Mapping[str, int], highest: int
) -> dict[str, int]:
    """
    Return sizes of which the present total is left after a reclaim.

    All spot servers of a data centre are reclaimed at once, and none may be
    available anywhere for 10 s. A single data centre gets no reserve, as it
    would be lost as well.
    """
    total = sum(sizes.values())
    left = left_by_reclaim(sizes)
    if not left:
        return dict(sizes)
    return {
        name: max(size, min(highest, math.ceil(size * total / left)))
        for name, size in sizes.items()
    }


def least_size(size: int, data_centres: int, lowest: int) -> int:
    """Return the least servers of a data centre, of a number in all."""
    return max(lowest, math.ceil(_MIN_SHARE * size / max(1, data_centres)))


def distribute(
    size: int,
    shares: Mapping[str, float],
    lowest: Mapping[str, int],
    highest: int,
) -> dict[str, int]:
    """
    Distribute servers over data centres by their shares.

    :param lowest: the least number in each data centre, and ``highest`` the
        largest; they take precedence over the size.
    """
    sizes = {
        name: min(highest, max(lowest[name], math.floor(share * size)))
        for name, share in shares.items()
    }
    missing = size - sum(sizes.values())
    while missing > 0:
        # One for each in turn: few are missing after rounding, more only if
        # a data centre is at its maximum.
        surplus = sorted(
            (sizes[name] - shares[name] * size, name)
            for name in sizes
            if sizes[name] < highest
        )
        for _, name in surplus[:missing]:
            sizes[name] += 1
        if not surplus:
            break
        missing -= len(surplus[:missing])
    return sizes


__all__ = (
    'RECLAIM_UTILISATION',
    'SETTLING_SECONDS',
    'SizeKeeper',
    'distribute',
    'least_size',
    'left_by_reclaim',
    'needed_servers',
    'price_shares',
    'with_reclaim_reserve',
)
