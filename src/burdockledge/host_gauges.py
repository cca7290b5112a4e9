"""Gauges of the resources and of the knowledge of an entry host."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from burdockledge.relay import STREAMS
from burdockledge.replication import NoteRejection, SourceFailure
from burdockledge.telemetry import unreported_dropped_lines

if TYPE_CHECKING:
    from burdockledge.host import RelayHost

_MS_PER_SECOND: Final = 1000


def register_gauges(host: RelayHost) -> None:
    """Register every gauge of a host; they are read at each scrape."""
    _register_resources(host)
    _register_servers(host)
    _register_knowledge(host)


def _register_resources(host: RelayHost) -> None:
    metrics = host.metrics
    metrics.set_gauge_function('calls_in_flight', lambda: host.relay.in_flight)
    metrics.set_gauge_function('hosts_known', host.host_count)
    metrics.set_gauge_function('log_lines_left_out', unreported_dropped_lines)
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


def _register_servers(host: RelayHost) -> None:
    metrics = host.metrics
    quarantine = host.routing_state.parts.quarantine
    metrics.set_gauge_function(
        'prompt_parts_blocked', lambda: len(quarantine.blocked)
    )
    metrics.set_gauge_function(
        'prompt_parts_suspected', lambda: len(quarantine.suspected)
    )
    client = host.server_client
    metrics.set_gauge_function(
        'server_connections_opened', lambda: client.opened_connections
    )
    metrics.set_gauge_function(
        'server_connections_unsuitable', lambda: client.unsuitable_connections
    )
    notices = host.routing_state.gate.notices
    metrics.set_gauge_function('servers_leaving', lambda: notices.leaving_count)
    metrics.set_gauge_function(
        'servers_paused', lambda: notices.paused_count(host.clock.monotonic())
    )


def _register_knowledge(host: RelayHost) -> None:
    """Register what tells which configuration a host follows, and why."""
    metrics = host.metrics
    reader = host.store_reader
    exchange = host.exchange
    metrics.set_gauge_function(
        'configuration_version', host.routing_state.configuration_version
    )
    metrics.set_gauge_function(
        'configuration_in_force_seconds',
        host.routing_state.configuration_seconds,
    )
    metrics.set_gauge_function(
        'registrations_in_doubt',
        lambda: host.routing_state.server_records.held_count,
    )
    metrics.set_gauge_function('store_reads', lambda: reader.read_count)
    for failure in SourceFailure:
        metrics.set_gauge_function(
            'store_read_failures',
            partial(reader.failure_counts.__getitem__, failure.name),
            why=failure.name,
        )
    for rejection in NoteRejection:
        metrics.set_gauge_function(
            'notes_left_out',
            partial(exchange.left_out_notes.__getitem__, rejection),
            why=rejection.name,
        )
    for stream in STREAMS:
        metrics.set_gauge_function(
            'knowledge_age_seconds',
            partial(_stream_age_seconds, host, stream),
            stream=stream,
        )
        metrics.set_gauge_function(
            'stream_position',
            partial(getattr, exchange.state(stream), 'position'),
            stream=stream,
        )
        metrics.set_gauge_function(
            'stream_era',
            partial(getattr, exchange.state(stream), 'era'),
            stream=stream,
        )
        metrics.set_gauge_function(
            'stream_lag_seconds',
            partial(_stream_lag_seconds, host, stream),
            stream=stream,
        )


def _stream_age_seconds(host: RelayHost, stream: str) -> float:
    age_ms = host.exchange.state(stream).age_ms(host.clock.monotonic())
    return age_ms / _MS_PER_SECOND


def _stream_lag_seconds(host: RelayHost, stream: str) -> float:
    return host.exchange.lags.seconds(stream, host.clock.monotonic())


__all__ = ('register_gauges',)
