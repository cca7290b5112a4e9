"""Orders backend servers from the platform for the demand of the callers."""

from __future__ import annotations

from burdockledge.autoscaling._demand import ServerRates, estimate_demand
from burdockledge.autoscaling._fleet import KnownFleet
from burdockledge.autoscaling._orders import ServerOrders
from burdockledge.autoscaling._planner import ServicePlanner
from burdockledge.autoscaling._types import (
    Demand,
    Fleet,
    Plan,
    Pool,
    PoolState,
    ServerKind,
    ServiceView,
)

__all__ = (
    'Demand',
    'Fleet',
    'KnownFleet',
    'Plan',
    'Pool',
    'PoolState',
    'ServerKind',
    'ServerOrders',
    'ServerRates',
    'ServicePlanner',
    'ServiceView',
    'estimate_demand',
)
