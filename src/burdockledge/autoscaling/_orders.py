"""The duty that orders servers from the platform."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar, Final

from burdockledge.autoscaling._gauges import PlanGauges
from burdockledge.autoscaling._rate import OrderRate
from burdockledge.autoscaling._records import (
    decode_records,
    encode_record,
    record_key,
)
from burdockledge.autoscaling._service_orders import ServiceOrders
from burdockledge.autoscaling._types import Pool, ServerKind
from burdockledge.duties import CallOutcome, Duty
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from burdockledge.autoscaling._records import OrderRecord
    from burdockledge.autoscaling._types import Fleet, Plan, ServiceView
    from burdockledge.clock import Clock
    from burdockledge.duties import DutyApi, Lease
    from burdockledge.telemetry import Metrics

_log = make_logger('autoscaling')

# Half of the time in which a rise of the last second must be seen.
_PERIOD_SECONDS: Final = 0.5


@dataclass(frozen=True, slots=True)
class _Order:
    """A count to order, and what it follows from."""

    view: ServiceView
    pool: Pool
    count: int
    plan: Plan
    record: OrderRecord


class ServerOrders(Duty):
    """
    Orders servers of the services that are configured for it.

    A count is recorded before it is ordered, so that the next holder goes on
    from it. No order is trusted: ordered counts are compared with the
    registered servers.
    """

    name: ClassVar[str] = 'autoscale'

    def __init__(
        self,
        fleet: Fleet,
        api: DutyApi,
        clock: Clock,
        metrics: Metrics,
        calls_per_second: float,
        *,
        is_suspended: bool = False,
    ) -> None:
        """
        Create a duty that knows of no orders.

        :param calls_per_second: what the API takes from all duties together.
        :param is_suspended: plan and log, but order nothing.
        """
        self._fleet = fleet
        self._api = api
        self._clock = clock
        self._metrics = metrics
        self._gauges = PlanGauges(metrics)
        self._rate = OrderRate(calls_per_second, clock.monotonic())
        self._is_suspended = is_suspended
        self._services: dict[str, ServiceOrders] = {}
        self._recorded: dict[str, dict[Pool, OrderRecord]] = {}
        self._faults: dict[str, str] = {}
        self._suspended: dict[tuple[str, Pool], int] = {}

    async def run(self, lease: Lease) -> float:
        """Plan all services, and order what differs."""
        now = self._clock.monotonic()
        views = self._fleet.views(now)
        services = {view.service for view in views}
        self._drop_others(services)
        if not services <= self._services.keys():
            # A service that was left out for a while goes on from the orders
            # that this host has recorded meanwhile.
            self._recorded = decode_records(lease.records())
        orders = [order for view in views for order in self._plan(view, now)]
        if self._is_suspended:
            self._log_suspended(orders)
            return _PERIOD_SECONDS
        recorded: list[_Order] = []
        for order in orders:
            if not await self._record(order, lease):
                # The others would wait for the same store or rate.
                break
            recorded.append(order)
        await asyncio.gather(*(self._send(order, lease) for order in recorded))
        return _PERIOD_SECONDS

    def forget(self) -> None:
        """Drop the orders, which the next holder may change."""
        self._drop_others(set())
        self._suspended.clear()

    def _drop_others(self, services: set[str]) -> None:
        for service in set(self._services) - services:
            self._services.pop(service)
            self._gauges.drop(service)
        for service in set(self._faults) - services:
            self._faults.pop(service)

    def _plan(self, view: ServiceView, now: float) -> list[_Order]:
        """Return the orders of a service that are due, additions first."""
        service = self._services.get(view.service)
        if service is None:
            recorded = self._recorded.get(view.service, {})
            service = ServiceOrders(recorded, view.autoscale.boot_seconds, now)
            self._services[view.service] = service
        fault = service.fault(view)
        self._note_fault(view.service, fault)
        if fault is not None:
            self._gauges.drop(view.service)
            return []
        if not service.is_settled(view, now):
            return []
        plan = service.plan(view, now)
        self._gauges.show(view.service, plan.wanted, service.ordered(view, now))
        return [
            _Order(
                view,
                pool,
                count,
                plan,
                service.record(plan, view, pool, count, now),
            )
            for pool, count in service.due(plan, view, now)
        ]

    def _note_fault(self, service: str, fault: str | None) -> None:
        """Log a fault once, until it changes."""
        if fault is None:
            self._faults.pop(service, None)
        elif self._faults.get(service) != fault:
            self._faults[service] = fault
            _log.warning('No servers are ordered.', service=service, why=fault)

    def _log_suspended(self, orders: list[_Order]) -> None:
        """Log each order that would be given, once for each count."""
        for order in orders:
            key = (order.view.service, order.pool)
            if self._suspended.get(key) != order.count:
                self._suspended[key] = order.count
                _log_order('Order is held off.', order)

    async def _record(self, order: _Order, lease: Lease) -> bool:
        """Record an order; return whether it may be sent."""
        now = self._clock.monotonic()
        if not lease.is_valid() or not self._rate.take(now):
            return False
        is_recorded = await lease.write(
            record_key(order.view.service, order.pool),
            encode_record(order.record),
        )
        if not is_recorded:
            _log.warning(
                'Order can not be recorded, it is not sent.',
                service=order.view.service,
                data_centre=order.pool.data_centre,
                kind=order.pool.kind.value,
            )
        return is_recorded

    async def _send(self, order: _Order, lease: Lease) -> None:
        sent_at = self._clock.monotonic()
        outcome = CallOutcome.not_sent
        if lease.is_valid():
            outcome = await self._api.order_servers(
                lease,
                order.view.service,
                order.pool.data_centre,
                order.count,
                is_reclaimable=order.pool.kind is ServerKind.spot,
            )
        if outcome is CallOutcome.limited:
            self._rate.note_limited(self._clock.monotonic())
        self._metrics.count(
            'server_orders',
            service=order.view.service,
            reason=order.plan.reason,
            outcome=outcome.name,
        )
        _log_order('Order is sent.', order, outcome=outcome.value)
        service = self._services.get(order.view.service)
        # The lease may have been lost while the call ran.
        if service is not None:
            service.note(order.view, order.pool, order.count, outcome, sent_at)


def _log_order(event: str, order: _Order, **fields: str) -> None:
    view = order.view
    demand = view.demand
    _log.info(
        event,
        service=view.service,
        data_centre=order.pool.data_centre,
        kind=order.pool.kind.value,
        count=order.count,
        ready=view.ready.get(order.pool, 0),
        wanted=order.plan.wanted[order.pool],
        size=sum(order.plan.sizes.values()),
        mean=round(demand.mean, 1),
        urgent=round(demand.urgent, 1),
        peak=round(demand.peak, 1),
        latest=round(demand.latest, 1),
        running=round(demand.running, 1),
        reason=order.plan.reason,
        **fields,
    )


__all__ = ('ServerOrders',)
