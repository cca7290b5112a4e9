"""What this host knows of the services whose servers are ordered."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from burdockledge.autoscaling._demand import ServerRates, estimate_demand
from burdockledge.autoscaling._types import (
    Demand,
    Fleet,
    Pool,
    ServerKind,
    ServiceView,
)
from burdockledge.scheduling import ServiceTiming

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockledge.calls import AutoscaleConfiguration, ServerInstance
    from burdockledge.registry import ServerRegistry
    from burdockledge.relay import RouteIndex
    from burdockledge.scheduling import LoadTracker

# Records are read at least every 0.7 s; after a longer gap, the registrations
# may be those of servers that are gone.
_MAX_AGE_MS: Final = 3000


class KnownFleet(Fleet):
    """The services of the configuration, with their servers and calls."""

    def __init__(
        self,
        routes: Callable[[], RouteIndex | None],
        registry: ServerRegistry,
        loads: LoadTracker,
        age_ms: Callable[[], int],
    ) -> None:
        """
        Read the knowledge of a host as it changes.

        :param routes: returns the routes in force, None before any.
        :param age_ms: returns the age of the records.
        """
        self._routes = routes
        self._registry = registry
        self._loads = loads
        self._age_ms = age_ms

    def views(self, now: float) -> list[ServiceView]:
        """Return the services with a configuration of orders."""
        routes = self._routes()
        if routes is None:
            return []
        return [
            self._view(service.name, service.autoscale, now)
            for service in routes.document.services.values()
            if service.autoscale is not None
        ]

    def _view(
        self, service: str, autoscale: AutoscaleConfiguration, now: float
    ) -> ServiceView:
        instances = self._registry.ready_instances(service, now)
        return ServiceView(
            service,
            autoscale,
            Counter(_pool_of(instance) for instance in instances),
            self._demand(service, instances, now),
            is_current=self._age_ms() <= _MAX_AGE_MS,
        )

    def _demand(
        self, service: str, instances: list[ServerInstance], now: float
    ) -> Demand:
        history = self._loads.demand_of(service)
        if history is None or not instances:
            return Demand()
        slots = sum(instance.slots for instance in instances) / len(instances)
        timing = self._loads.timing_of(service) or ServiceTiming()
        return estimate_demand(
            history,
            ServerRates.learnt(timing, slots),
            self._loads.running_calls(instances, now),
            now,
        )


def _pool_of(instance: ServerInstance) -> Pool:
    kind = ServerKind.spot if instance.is_spot else ServerKind.normal
    return Pool(instance.data_centre, kind)


__all__ = ('KnownFleet',)
