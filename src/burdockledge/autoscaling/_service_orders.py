"""The plan and the orders of one service under one lease."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from burdockledge.autoscaling._faults import find_fault
from burdockledge.autoscaling._order_book import OrderBook
from burdockledge.autoscaling._planner import ServicePlanner
from burdockledge.autoscaling._records import OrderRecord, can_record
from burdockledge.autoscaling._sizing import (
    left_by_reclaim,
    with_reclaim_reserve,
)
from burdockledge.autoscaling._types import Plan, Pool, PoolState, ServerKind
from burdockledge.duties import CallOutcome

# The servers of a fleet may register over a while. Their number counts as the
# size before traffic when it has not changed for longer than a heartbeat
# (1.2 s), or after a while of changes. Those that register later before
# traffic are added: after 1 s, 39 of 45 were known in a load test.
_SETTLED_SECONDS: Final = 1.3
_MAX_SETTLING_SECONDS: Final = 5.0
# At this price, spot servers of half as many again as before still cost half
# of the normal servers that they replace.
_MAX_RESERVE_PRICE: Final = 1 / 3

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockledge.autoscaling._types import ServiceView


class ServiceOrders:
    """
    Joins the plan of a service with what was ordered.

    Times are in seconds of the monotonic clock.
    """

    def __init__(
        self,
        recorded: Mapping[Pool, OrderRecord],
        boot_seconds: float,
        now: float,
    ) -> None:
        """Go on from the records of earlier holders, if any."""
        self._recorded = dict(recorded)
        self._book = OrderBook(recorded, boot_seconds, now)
        self._data_centres = {pool.data_centre for pool in recorded}
        self._planner: ServicePlanner | None = None
        self._planned: frozenset[str] = frozenset()
        self._started_at = now
        self._changed_at = now
        self._seen: dict[Pool, int] = {}
        # The sizes before traffic, without a reserve.
        self._first_sizes: dict[str, int] = {}

    def fault(self, view: ServiceView) -> str | None:
        """Return why nothing can be ordered, None if orders can be given."""
        self._data_centres |= {
            pool.data_centre for pool, ready in view.ready.items() if ready
        }
        if not all(
            can_record(view.service, name) for name in view.autoscale.prices
        ):
            return 'the names of the service and a data centre are too long'
        return find_fault(view.autoscale, self._data_centres)

    def is_settled(self, view: ServiceView, now: float) -> bool:
        """Return whether the registered servers show the present size."""
        if self._recorded or self._planner is not None:
            return True
        ready = dict(view.ready)
        if ready != self._seen:
            self._seen = ready
            self._changed_at = now
        return (
            now - self._changed_at >= _SETTLED_SECONDS
            or now - self._started_at >= _MAX_SETTLING_SECONDS
        )

    def plan(self, view: ServiceView, now: float) -> Plan:
        """Return the plan for now, of a service without a fault."""
        data_centres = frozenset(view.autoscale.prices)
        is_larger = self._has_late_servers(view)
        if self._planner is None or self._planned != data_centres or is_larger:
            self._planner = self._new_planner(data_centres, view, now)
            self._planned = data_centres
        return self._planner.plan(view, self._states(view, now), now)

    def record(
        self, plan: Plan, view: ServiceView, pool: Pool, count: int, now: float
    ) -> OrderRecord:
        """Return what a later holder must know of an order."""
        state = self._states(view, now)[pool]
        return OrderRecord(count, state.at_most, plan.sizes[pool.data_centre])

    def ordered(self, view: ServiceView, now: float) -> dict[Pool, int]:
        """Return the counts that stand as ordered."""
        return {
            pool: state.ordered
            for pool, state in self._states(view, now).items()
        }

    def due(
        self, plan: Plan, view: ServiceView, now: float
    ) -> list[tuple[Pool, int]]:
        """Return the counts to order now, additions of spot servers first."""
        states = self._states(view, now)
        due = [
            (pool, count)
            for pool, count in plan.counts.items()
            if {count} != {states[pool].ordered, states[pool].ready}
            and self._book.may_order(pool, count, now)
        ]
        return sorted(
            due,
            key=lambda order: (
                order[1] < states[order[0]].ordered,
                order[0].kind is ServerKind.normal,
            ),
        )

    def note(
        self,
        view: ServiceView,
        pool: Pool,
        count: int,
        outcome: CallOutcome,
        sent_at: float,
    ) -> None:
        """Note how an order ended."""
        before = self._book.state(pool, view.ready.get(pool, 0), sent_at)
        self._book.note(
            pool, before, count, outcome, sent_at, view.autoscale.boot_seconds
        )
        is_standing = outcome in {CallOutcome.accepted, CallOutcome.unknown}
        # Reclaimed servers that are ordered again are an addition, too.
        present = min(before.ready, before.ordered)
        if is_standing and count > present and self._planner:
            self._planner.note_addition(sent_at)

    def _has_late_servers(self, view: ServiceView) -> bool:
        """
        Count servers that register late in the size before traffic.

        :return: whether the fleet is larger than planned.
        """
        if self._recorded or view.demand.traffic_seconds is not None:
            return False
        # Spot servers replace normal ones, and are counted already.
        late = {
            pool.data_centre: ready
            for pool, ready in view.ready.items()
            if pool.kind is ServerKind.normal
            and ready > self._first_sizes.get(pool.data_centre, ready)
        }
        self._first_sizes.update(late)
        if late:
            self._planner = None
        return bool(late)

    def _new_planner(
        self, data_centres: frozenset[str], view: ServiceView, now: float
    ) -> ServicePlanner:
        """Return a planner that starts with a reserve before traffic."""
        sizes = {
            name: self._first_size(name, view) for name in sorted(data_centres)
        }
        if self._planner is None:
            self._first_sizes = dict(sizes)
        spot_price = view.autoscale.spot_price
        if (
            view.demand.traffic_seconds is not None
            or spot_price is None
            or spot_price > _MAX_RESERVE_PRICE
        ):
            return ServicePlanner(sizes, now)
        if self._recorded or self._planner is not None:
            # The sizes contain the reserve of an earlier plan.
            return ServicePlanner(sizes, now, left_by_reclaim(sizes))
        enlarged = with_reclaim_reserve(sizes, view.autoscale.max_servers)
        has_reserve = enlarged != sizes
        return ServicePlanner(
            enlarged, now, sum(sizes.values()) if has_reserve else 0
        )

    def _first_size(self, data_centre: str, view: ServiceView) -> int:
        """Return the size that was planned before, else the present one."""
        if self._planner is not None and data_centre in self._planner.sizes:
            return self._planner.sizes[data_centre]
        if self._planner is None and data_centre in self._first_sizes:
            return self._first_sizes[data_centre]
        sizes = [
            record.size
            for pool, record in self._recorded.items()
            if pool.data_centre == data_centre
        ]
        present = sum(
            ready
            for pool, ready in view.ready.items()
            if pool.data_centre == data_centre
        )
        return max(sizes, default=present)

    def _states(self, view: ServiceView, now: float) -> dict[Pool, PoolState]:
        pools = [
            Pool(name, kind)
            for name in sorted(view.autoscale.prices)
            for kind in ServerKind
        ]
        return {
            pool: self._book.state(pool, view.ready.get(pool, 0), now)
            for pool in pools
        }


__all__ = ('ServiceOrders',)
