"""Gauges of the resources that an entry host uses, and of its knowledge."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from burdockledge.relay import STREAMS
from burdockledge.telemetry import unreported_dropped_lines

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockledge.clock import Clock
    from burdockledge.host import RelayHost
    from burdockledge.telemetry import GaugeReader

_MS_PER_SECOND: Final = 1000


def register_gauges(
    host: RelayHost, clock: Clock, host_count: Callable[[], int]
) -> None:
    """
    Register the gauges of a host.

    :param host_count: returns how many hosts are known.
    """
    metrics = host.metrics
    quarantine = host.routing_state.parts.quarantine
    notices = host.routing_state.gate.notices
    gauges: tuple[tuple[str, GaugeReader], ...] = (
        ('calls_in_flight', lambda: host.relay.in_flight),
        ('hosts_known', host_count),
        ('prompt_parts_blocked', lambda: len(quarantine.blocked)),
        ('prompt_parts_suspected', lambda: len(quarantine.suspected)),
        ('servers_leaving', lambda: notices.leaving_count),
        ('servers_paused', lambda: notices.paused_count(clock.monotonic())),
        ('store_reads', lambda: host.store_reader.read_count),
        ('log_lines_left_out', unreported_dropped_lines),
    )
    for name, read_gauge in gauges:
        metrics.set_gauge_function(name, read_gauge)
    for service in (
        host.membership,
        host.exchange,
        host.store_reader,
        host.evidence_keeper,
    ):
        metrics.set_gauge_function(
            'task_failures',
            partial(getattr, service, 'task_failures'),
            service=service.name,
        )
    for stream in STREAMS:
        metrics.set_gauge_function(
            'knowledge_age_seconds',
            partial(_stream_age_seconds, host, clock, stream),
            stream=stream,
        )


def _stream_age_seconds(host: RelayHost, clock: Clock, stream: str) -> float:
    state = host.exchange.state(stream)
    return state.age_ms(clock.monotonic()) / _MS_PER_SECOND


__all__ = ('register_gauges',)
