"""Tracks the loads of all server instances, by what hosts tell of calls."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING, Final

import xxhash

from burdockledge.hashing import rank
from burdockledge.scheduling._demand import ServiceDemand
from burdockledge.scheduling._load import (
    DEFAULT_CALL_EXPIRY_SECONDS,
    ServerLoad,
)
from burdockledge.scheduling._placement import PlacementOptions
from burdockledge.scheduling._prefix_cache import PrefixCacheEstimate
from burdockledge.scheduling._pressure import ServerPressure, ServicePressure
from burdockledge.scheduling._timing import ServiceTiming

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from burdockledge.calls import ServerInstance
    from burdockledge.scheduling._call_start import CallStart

_DEFAULT_CACHE_TOKENS: Final = 500_000


class LoadTracker:
    """The loads of all server instances."""

    def __init__(self, options: PlacementOptions | None = None) -> None:
        """Create a tracker without instances."""
        self._options = options or PlacementOptions()
        self._pressures: dict[str, ServicePressure] = {}
        self._positions: dict[str, float] = {}
        self._loads: dict[str, ServerLoad] = {}
        self._cache_sizes: dict[str, int] = {}
        self._services: dict[str, str] = {}
        self._timings: dict[str, ServiceTiming] = {}
        self._demands: dict[str, ServiceDemand] = {}
        self._call_expiry_seconds = DEFAULT_CALL_EXPIRY_SECONDS

    @property
    def weighs_pressure(self) -> bool:
        """Whether the loads are tracked with pressure."""
        return self._options.weighs_pressure

    def snapshot(self) -> LoadTracker:
        """Return a copy on which choices change nothing here."""
        other = copy.copy(self)
        other.unshare()
        return other

    def unshare(self) -> None:
        """Stop sharing with another copy what a choice may change."""
        services = {
            id(pressure): pressure.snapshot()
            for pressure in self._pressures.values()
        }
        self._pressures = {
            service: services[id(pressure)]
            for service, pressure in self._pressures.items()
        }
        self._timings = dict(self._timings)
        loads: dict[str, ServerLoad] = {}
        for instance_id, load in self._loads.items():
            pressure = load.pressure
            if pressure is not None:
                service = services.setdefault(
                    id(pressure.service), pressure.service.snapshot()
                )
                pressure = pressure.snapshot(service)
            loads[instance_id] = load.snapshot(pressure)
        self._loads = loads

    def set_call_expiry(self, seconds: float) -> None:
        """Drop calls after this time, the longest that any may run."""
        self._call_expiry_seconds = seconds
        for load in self._loads.values():
            load.call_expiry_seconds = seconds

    def set_cache_size(self, instance_id: str, cache_tokens: int) -> None:
        """Set the size of an instance's prefix cache."""
        self._cache_sizes[instance_id] = cache_tokens
        load = self._loads.get(instance_id)
        if load is not None:
            load.cache.resize(cache_tokens)

    def load_of(self, instance_id: str) -> ServerLoad:
        """Return the load of an instance, a new idle one if it is unknown."""
        load = self._loads.get(instance_id)
        if load is None:
            tokens = self._cache_sizes.get(instance_id, _DEFAULT_CACHE_TOKENS)
            load = ServerLoad(
                PrefixCacheEstimate(tokens),
                self._timing_of(instance_id),
                self._call_expiry_seconds,
                self._pressure_of(instance_id),
            )
            self._loads[instance_id] = load
        return load

    def start(self, call: CallStart, now: float) -> None:
        """Add a call that this host or another one sent."""
        self.load_of(call.instance_id).start(call, now)
        if self._demands:
            demand = self._demands.get(self._services.get(call.instance_id, ''))
            if demand is not None:
                demand.add(call, now)

    def count_demand(self, services: Collection[str]) -> None:
        """Count the demand of these services, and of no others."""
        self._demands = {
            service: self._demands.get(service) or ServiceDemand()
            for service in services
        }

    def demand_of(self, service: str) -> ServiceDemand | None:
        """Return the demand of a service, None if it is not counted."""
        return self._demands.get(service)

    def timing_of(self, service: str) -> ServiceTiming | None:
        """Return what was learnt of a service, None before its first call."""
        return self._timings.get(service)

    def running_calls(
        self, instances: Iterable[ServerInstance], now: float
    ) -> int:
        """Return the number of calls at these instances, without lost ones."""
        return sum(
            self._loads[instance.instance_id].running_calls(now)
            for instance in instances
            if instance.instance_id in self._loads
        )

    def note_first_event(
        self, instance_id: str, call_id: int, now: float, seconds: float = 0
    ) -> None:
        """
        Record the first event of a call.

        :param seconds: the time since the call was sent, 0 if unknown.
        """
        load = self._loads.get(instance_id)
        if load is not None:
            load.note_first_event(call_id, now, seconds)

    def note_pause(self, instance_id: str, seconds: float, now: float) -> None:
        """Learn from a pause of a stream of an instance that ends now."""
        load = self._loads.get(instance_id)
        if load is not None:
            load.note_pause(seconds, now)

    def note_stream_end(
        self, instance_id: str, max_output_tokens: int, events: int
    ) -> None:
        """Learn from a complete stream how many events it had."""
        load = self._loads.get(instance_id)
        if load is not None:
            load.timing.note_stream_end(max_output_tokens, events)

    def end(self, instance_id: str, call_id: int) -> None:
        """Remove a call that ended."""
        load = self._loads.get(instance_id)
        if load is not None:
            load.end(call_id)

    def retain(self, instances: list[ServerInstance]) -> None:
        """Drop the loads of all instances but these."""
        self._services = {
            instance.instance_id: instance.service for instance in instances
        }
        for instance_id, load in self._loads.items():
            if instance_id not in self._services:
                load.drop_calls()
        for table in (self._loads, self._cache_sizes):
            for instance_id in tuple(table):
                if instance_id not in self._services:
                    table.pop(instance_id)
        if self._options.weighs_pressure:
            self._set_positions(instances)

    def retain_services(self, services: Collection[str]) -> None:
        """Drop what was learnt of services without instances but these."""
        in_use = {*services, *self._services.values()}
        for service in tuple(self._timings):
            if service not in in_use:
                self._timings.pop(service)
                self._pressures.pop(service, None)

    def _timing_of(self, instance_id: str) -> ServiceTiming:
        service = self._services.get(instance_id, '')
        timing = self._timings.get(service)
        if timing is None:
            timing = ServiceTiming()
            self._timings[service] = timing
        return timing

    def _pressure_of(self, instance_id: str) -> ServerPressure | None:
        if not self._options.weighs_pressure:
            return None
        service = self._services.get(instance_id, '')
        pressure = self._pressures.get(service)
        if pressure is None:
            pressure = ServicePressure()
            self._pressures[service] = pressure
        return ServerPressure(
            pressure,
            self._positions.get(instance_id, 0.5),
            xxhash.xxh32_intdigest(instance_id.encode()),
        )

    def _set_positions(self, instances: list[ServerInstance]) -> None:
        """
        Place the servers of each service and data centre in a fixed order.

        The order by hash is the same on all hosts, and changes little as
        servers come and go.
        """
        groups: dict[tuple[str, str], list[str]] = {}
        for instance in instances:
            group = (instance.service, instance.data_centre)
            groups.setdefault(group, []).append(instance.instance_id)
        self._positions = {}
        for (service, _), ids in groups.items():
            for number, instance_id in enumerate(rank(service, ids)):
                self._positions[instance_id] = (number + 0.5) / len(ids)
        for instance_id, load in self._loads.items():
            if load.pressure is not None:
                load.pressure.position = self._positions[instance_id]


__all__ = ('LoadTracker',)
