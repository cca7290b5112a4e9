"""Gauges of the resources and of the knowledge of an entry host."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from burdockledge.relay import STREAMS
from burdockledge.replication import NoteRejection, SourceFailure
from burdockledge.telemetry import unreported_dropped_lines

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from burdockledge.clock import Clock
    from burdockledge.kernel import TaskGroupService
    from burdockledge.platform import HttpServerClient
    from burdockledge.relay import Relay, ReplicatedRoutingState
    from burdockledge.replication import (
        GossipExchange,
        StoreReader,
        StreamState,
    )
    from burdockledge.scheduling import LimitChange
    from burdockledge.telemetry import Metrics

_MS_PER_SECOND: Final = 1000


def register_resources(
    metrics: Metrics,
    relay: Relay,
    services: Iterable[TaskGroupService],
    host_count: Callable[[], int],
) -> None:
    """
    Register what the host serves and its duties.

    :param host_count: returns how many hosts are known, this one included.
    """
    metrics.set_gauge_function('calls_in_flight', lambda: relay.in_flight)
    metrics.set_gauge_function('hosts_known', host_count)
    metrics.set_gauge_function('log_lines_left_out', unreported_dropped_lines)
    for service in services:
        metrics.set_gauge_function(
            'task_failures',
            partial(getattr, service, 'task_failures'),
            service=service.name,
        )


def register_servers(
    metrics: Metrics,
    routing_state: ReplicatedRoutingState,
    client: HttpServerClient,
    clock: Clock,
) -> None:
    """Register what the host has seen of servers and prompts."""
    quarantine = routing_state.parts.quarantine
    metrics.set_gauge_function(
        'prompt_parts_blocked', lambda: len(quarantine.blocked)
    )
    metrics.set_gauge_function(
        'prompt_parts_suspected', lambda: len(quarantine.suspected)
    )
    metrics.set_gauge_function(
        'server_connections_opened', lambda: client.opened_connections
    )
    metrics.set_gauge_function(
        'server_connections_unsuitable', lambda: client.unsuitable_connections
    )
    notices = routing_state.gate.notices
    metrics.set_gauge_function('servers_leaving', lambda: notices.leaving_count)
    metrics.set_gauge_function(
        'servers_paused', lambda: notices.paused_count(clock.monotonic())
    )


def register_knowledge(
    metrics: Metrics,
    routing_state: ReplicatedRoutingState,
    reader: StoreReader,
    exchange: GossipExchange,
    clock: Clock,
) -> None:
    """Register what tells which configuration a host follows, and why."""
    metrics.set_gauge_function(
        'configuration_version', routing_state.configuration_version
    )
    metrics.set_gauge_function(
        'configuration_in_force_seconds',
        routing_state.configuration_seconds,
    )
    metrics.set_gauge_function(
        'registrations_in_doubt',
        lambda: routing_state.server_records.held_count,
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
            partial(_stream_age_seconds, exchange.state(stream), clock),
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
            partial(_stream_lag_seconds, exchange, stream, clock),
            stream=stream,
        )


def show_limit(metrics: Metrics, change: LimitChange) -> None:
    """Show the limit that a server names now, or none any more."""
    labels = {'server': change.instance_id}
    if change.after is None:
        metrics.drop_gauge('server_limit', **labels)
        return
    metrics.set_gauge('server_limit', change.after, **labels)


def _stream_age_seconds(state: StreamState, clock: Clock) -> float:
    return state.age_ms(clock.monotonic()) / _MS_PER_SECOND


def _stream_lag_seconds(
    exchange: GossipExchange, stream: str, clock: Clock
) -> float:
    return exchange.lags.seconds(stream, clock.monotonic())


__all__ = (
    'register_knowledge',
    'register_resources',
    'register_servers',
    'show_limit',
)
