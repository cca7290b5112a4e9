"""Plans the servers of one service, without network or clock."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, Final

from burdockledge.autoscaling._mix import Substitution, mix_kinds
from burdockledge.autoscaling._sizing import (
    RECLAIM_UTILISATION,
    SETTLING_SECONDS,
    SizeKeeper,
    distribute,
    least_size,
    needed_servers,
    price_shares,
)
from burdockledge.autoscaling._steps import (
    Bounds,
    keep_needed,
    next_counts,
)
from burdockledge.autoscaling._types import Plan, Pool, PoolState, ServerKind

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockledge.autoscaling._types import Demand, ServiceView

# A removal only for what has not been needed for this time, and not soon
# after an addition: boots take 4 s, and bursts up to 9 s.
_UNNEEDED_SECONDS: Final = 6.0
_AFTER_ADDITION_SECONDS: Final = 8.0


class ServicePlanner:
    """
    Plans the servers of a service from one time to the next.

    Before traffic the data centres keep the sizes that they start with, and
    only the kinds change. Times are in seconds of the monotonic clock.
    """

    def __init__(
        self, sizes: Mapping[str, int], now: float, kept: int = 0
    ) -> None:
        """
        Start a plan.

        :param sizes: the servers by data centre, both kinds together.
        :param kept: how many servers of the service stay registered before
            traffic while kinds are exchanged.
        """
        self._sizes = dict(sizes)
        self._kept = kept
        self._keeper = SizeKeeper(sum(sizes.values()), now)
        self._added_at = now - _AFTER_ADDITION_SECONDS
        self._unneeded_since: dict[Pool, float] = {}

    @property
    def sizes(self) -> Mapping[str, int]:
        """The planned servers by data centre, both kinds together."""
        return self._sizes

    def plan(
        self, view: ServiceView, states: Mapping[Pool, PoolState], now: float
    ) -> Plan:
        """Return what the service should have, and what to order now."""
        autoscale = view.autoscale
        reason = self._resize(view, now)
        highest = autoscale.max_servers
        sizes = {
            name: min(highest, max(size, autoscale.min_servers))
            for name, size in self._sizes.items()
        }
        substitution = Substitution(
            mix_kinds(sizes, autoscale.prices, view.demand),
            states,
            autoscale.prices,
            highest,
        )
        substitution.apply(view.demand, self._needed(view.demand))
        wanted = substitution.wanted
        self._note_unneeded(wanted, states, now)
        counts: dict[Pool, int] = {}
        for name in sizes:
            bounds = Bounds(
                autoscale.min_servers,
                highest,
                self._carrying(name, view, wanted),
                self._removable(name, view, now),
            )
            counts |= next_counts(name, wanted, dict(states), bounds)
        if view.demand.traffic_seconds is not None:
            needed = min(self._needed(view.demand), sum(sizes.values()))
            counts = keep_needed(counts, states, needed)
        return Plan(wanted, counts, sizes, reason)

    def note_addition(self, now: float) -> None:
        """Note that servers were ordered; none are removed for a while."""
        self._added_at = now
        self._keeper.note_addition(now)

    def _resize(self, view: ServiceView, now: float) -> str:
        """Set the sizes for the demand, and return what decides."""
        demand = view.demand
        if demand.traffic_seconds is None:
            return 'before traffic'
        shares = price_shares(view.autoscale.prices)
        need, why = needed_servers(demand, max(shares.values()))
        need = min(need, len(shares) * view.autoscale.max_servers)
        present = sum(view.ready.values())
        before = self._keeper.size
        size = self._keeper.update(need, demand.traffic_seconds, present, now)
        if size != before:
            least = least_size(size, len(shares), view.autoscale.min_servers)
            self._sizes = distribute(
                size,
                shares,
                # No data centre loses servers as the service grows.
                {
                    name: max(least, self._sizes[name] if size > before else 0)
                    for name in shares
                },
                view.autoscale.max_servers,
            )
        return why

    def _needed(self, demand: Demand) -> int:
        """
        Return the servers that are replaced elsewhere after a reclaim.

        The first seconds do not show the need, so all servers but the reserve
        count as needed.
        """
        traffic_seconds = demand.traffic_seconds or 0
        if traffic_seconds >= SETTLING_SECONDS:
            return self._keeper.needed
        return max(self._keeper.needed, self._kept or self._keeper.size)

    def _carrying(
        self, data_centre: str, view: ServiceView, wanted: Mapping[Pool, int]
    ) -> int:
        """Return the servers that a data centre needs at the moment."""
        demand = view.demand
        if demand.traffic_seconds is None:
            return self._staying(data_centre, view, wanted, self._kept)
        if demand.traffic_seconds < SETTLING_SECONDS:
            # The first seconds do not show the need.
            size = self._needed(demand)
            return self._staying(data_centre, view, wanted, size)
        total = max(1, sum(self._sizes.values()))
        share = self._sizes[data_centre] / total
        return math.ceil(share * _largest_need(demand))

    def _staying(
        self,
        data_centre: str,
        view: ServiceView,
        wanted: Mapping[Pool, int],
        total: int,
    ) -> int:
        """
        Return the servers of a data centre that stay, of a total.

        What is registered beyond the total is shared between the data
        centres with surplus normal servers, which may remove them at once.
        """
        ready: Counter[str] = Counter()
        for pool, count in view.ready.items():
            ready[pool.data_centre] += count
        exchanging = [
            pool.data_centre
            for pool in sorted(wanted, key=lambda pool: pool.data_centre)
            if pool.kind is ServerKind.normal
            and view.ready.get(pool, 0) > wanted[pool]
        ]
        if not total or data_centre not in exchanging:
            return 0
        registered = sum(
            min(ready[name], size) for name, size in self._sizes.items()
        )
        spare, rest = divmod(max(0, registered - total), len(exchanging))
        is_served_first = exchanging.index(data_centre) < rest
        return ready[data_centre] - spare - is_served_first

    def _note_unneeded(
        self,
        wanted: Mapping[Pool, int],
        states: Mapping[Pool, PoolState],
        now: float,
    ) -> None:
        for pool, state in states.items():
            if wanted[pool] >= state.ordered:
                self._unneeded_since.pop(pool, None)
            else:
                self._unneeded_since.setdefault(pool, now)

    def _removable(
        self, data_centre: str, view: ServiceView, now: float
    ) -> frozenset[ServerKind]:
        if not view.is_current:
            return frozenset()
        is_before_traffic = view.demand.traffic_seconds is None
        if (
            not is_before_traffic
            and now - self._added_at < _AFTER_ADDITION_SECONDS
        ):
            return frozenset()
        return frozenset(
            kind
            for kind in ServerKind
            if is_before_traffic
            or now - self._unneeded_since.get(Pool(data_centre, kind), now)
            >= _UNNEEDED_SECONDS
        )


def _largest_need(demand: Demand) -> float:
    busiest = max(demand.mean, demand.peak, demand.latest, demand.running)
    return busiest / RECLAIM_UTILISATION


__all__ = ('ServicePlanner',)
