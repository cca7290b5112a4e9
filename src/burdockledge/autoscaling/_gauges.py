"""Gauges of planned and ordered servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from burdockledge.autoscaling._types import Pool
    from burdockledge.telemetry import Metrics


class PlanGauges:
    """Shows the plan of the holder, and nothing at other hosts."""

    def __init__(self, metrics: Metrics) -> None:
        """Show nothing yet."""
        self._metrics = metrics
        self._shown: dict[str, set[Pool]] = {}

    def show(
        self,
        service: str,
        wanted: Mapping[Pool, int],
        ordered: Mapping[Pool, int],
    ) -> None:
        """Show the servers of a service that are wanted and ordered."""
        for pool in self._shown.get(service, set()) - set(wanted):
            self._drop_pool(service, pool)
        self._shown[service] = set(wanted)
        for pool, count in wanted.items():
            labels = _labels(service, pool)
            self._metrics.set_gauge('servers_wanted', count, **labels)
            self._metrics.set_gauge('servers_ordered', ordered[pool], **labels)

    def drop(self, service: str) -> None:
        """Show a service no longer."""
        for pool in self._shown.pop(service, set()):
            self._drop_pool(service, pool)

    def _drop_pool(self, service: str, pool: Pool) -> None:
        labels = _labels(service, pool)
        self._metrics.drop_gauge('servers_wanted', **labels)
        self._metrics.drop_gauge('servers_ordered', **labels)


def _labels(service: str, pool: Pool) -> dict[str, str]:
    return {
        'service': service,
        'data_centre': pool.data_centre,
        'kind': pool.kind.value,
    }


__all__ = ('PlanGauges',)
