"""How many of a data centre's servers are spot servers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from burdockledge.autoscaling._sizing import RECLAIM_UTILISATION
from burdockledge.autoscaling._types import Pool, PoolState, ServerKind

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockledge.autoscaling._types import Demand

# Before traffic the urgent part is unknown: this part of the servers stays
# after the loss of the spot servers of a data centre.
_LEFT_BEFORE_TRAFFIC: Final = 0.5
# While spot servers are not available, normal ones are ordered only up to
# this utilisation at mean: they cost more than five times as much.
_SUBSTITUTE_UTILISATION: Final = 0.7


def mix_kinds(
    sizes: Mapping[str, int], prices: Mapping[str, float], demand: Demand
) -> dict[Pool, int]:
    """
    Return the servers of each kind: as many spot servers as is safe.

    What is left after the loss of the spot servers of any one data centre
    carries the urgent calls. One normal server at least remains if all spot
    servers are lost.
    """
    total = sum(sizes.values())
    if demand.traffic_seconds is None:
        left = math.ceil(_LEFT_BEFORE_TRAFFIC * total)
    else:
        left = math.ceil(demand.urgent / RECLAIM_UTILISATION)
    most_spot = max(0, total - left)
    cheapest = min(
        (name for name in sizes if sizes[name]),
        key=lambda name: prices[name],
        default=None,
    )
    wanted: dict[Pool, int] = {}
    for name, size in sizes.items():
        spot = min(size - (name == cheapest), most_spot)
        wanted[Pool(name, ServerKind.normal)] = size - spot
        wanted[Pool(name, ServerKind.spot)] = spot
    return wanted


class Substitution:
    """Replaces servers that the platform does not have at the moment."""

    def __init__(
        self,
        wanted: Mapping[Pool, int],
        states: Mapping[Pool, PoolState],
        prices: Mapping[str, float],
        highest: int,
    ) -> None:
        """
        Start from what is wanted if everything is available.

        :param highest: the most servers in a data centre.
        """
        self.wanted = dict(wanted)
        self._states = states
        self._by_price = sorted(prices, key=lambda name: prices[name])
        self._highest = highest

    def apply(self, demand: Demand, most: int) -> None:
        """
        Want spot servers elsewhere, then normal ones up to a bound.

        The count of an unavailable pool stays wanted, for later. Before
        traffic nothing is replaced, as no server is needed yet.

        :param most: the servers in all up to which others are wanted.
        """
        if demand.traffic_seconds is None:
            return
        available = sum(self._available(pool) for pool in self.wanted)
        missing = min(
            sum(self._missing(name) for name in self._by_price),
            most - available,
        )
        if self._add(ServerKind.spot, missing):
            needed = math.ceil(demand.mean / _SUBSTITUTE_UTILISATION)
            available = sum(self._available(pool) for pool in self.wanted)
            self._add(ServerKind.normal, needed - available)

    def _missing(self, data_centre: str) -> int:
        """Return the servers that a data centre can not get now."""
        pools = [Pool(data_centre, kind) for kind in ServerKind]
        return max(
            0,
            sum(self.wanted[pool] - self._available(pool) for pool in pools),
        )

    def _available(self, pool: Pool) -> int:
        """Return the servers of a pool that are there, or can be ordered."""
        state = self._states[pool]
        if state.is_blocked:
            return state.ready
        # Servers that are not wanted stay until others replace them.
        return max(self.wanted[pool], state.ready)

    def _add(self, kind: ServerKind, missing: int) -> int:
        """Want more of a kind where it is available; return what is left."""
        for name in self._by_price:
            pool = Pool(name, kind)
            if missing <= 0 or pool not in self.wanted:
                continue
            if self._states[pool].is_blocked:
                continue
            present = self._available(pool)
            room = self._highest - sum(
                self._available(other)
                for other in self.wanted
                if other.data_centre == name
            )
            added = max(0, min(room, missing))
            if added:
                # On top of registered servers, which count as available.
                self.wanted[pool] = present + added
            missing -= added
        return max(0, missing)


__all__ = ('Substitution', 'mix_kinds')
