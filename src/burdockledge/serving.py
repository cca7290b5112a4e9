"""Runs an entry host on the real network until a stop is requested."""

from __future__ import annotations

import asyncio
import time
from random import SystemRandom
from typing import TYPE_CHECKING, Final

from burdockledge.app import EntryHost, HostDependencies
from burdockledge.backends import (
    HttpEngineClient,
    HttpServiceClient,
    open_sessions,
)
from burdockledge.clock import SystemClock
from burdockledge.gateway import Gateway
from burdockledge.kernel import LoopWatch, on_stop_signal
from burdockledge.membership import UdpSocket
from burdockledge.peers import LinkConfig, PeerKeys, TcpPeerBus, TlsContexts
from burdockledge.platform_api import HttpHostListClient, HttpLogClient
from burdockledge.telemetry import TimeLine, make_logger
from burdockledge.wire import Hello

if TYPE_CHECKING:
    from burdockledge.settings import ServeSettings

_log = make_logger('host')

_CONNECT_TIMEOUT_SECONDS: Final = 1


async def serve(settings: ServeSettings) -> None:
    """
    Run an entry host on the real network until a stop is requested.

    SIGTERM, SIGINT and the drain request of an operator ask for a stop.
    """
    clock = SystemClock()
    boot = clock.wall_ms()
    time_line = TimeLine(settings.host_id, clock, settings.time_line_events)
    peer_keys = PeerKeys(settings.peer_keys, settings.peer_keys_file)
    tls = TlsContexts(settings)
    link_config = LinkConfig(
        Hello(settings.host_id, boot, b'', b''),
        peer_keys,
        tls.peer_client,
        settings.silence_seconds,
    )
    bus = TcpPeerBus(
        link_config,
        settings.peer_address,
        tls.peer_server,
        time_line,
    )
    async with open_sessions() as sessions:
        dependencies = HostDependencies(
            clock=clock,
            random=SystemRandom(),
            bus=bus,
            datagram_socket=UdpSocket(settings.peer_address),
            peer_keys=peer_keys,
            log_client=HttpLogClient(settings.log_url, sessions.pooled),
            host_list_client=None
            if settings.host_list_url is None
            else HttpHostListClient(settings.host_list_url, sessions.pooled),
            engine_client=HttpEngineClient(
                sessions.pooled,
                sessions.unpooled,
                _CONNECT_TIMEOUT_SECONDS,
                settings.silence_seconds,
            ),
            service_client=HttpServiceClient(
                sessions.pooled,
                sessions.unpooled,
                _CONNECT_TIMEOUT_SECONDS,
            ),
            time_line=time_line,
            boot=boot,
        )
        host = EntryHost(settings, dependencies)
        bus.set_address_lookup(host.components.membership.peer_address_of)
        host.kernel.register(Gateway(host.components, tls.caller_server))
        host.kernel.register(
            LoopWatch(host.components.metrics, clock, time.process_time)
        )
        await _run(host, peer_keys, tls)


async def _run(host: EntryHost, peer_keys: PeerKeys, tls: TlsContexts) -> None:
    stop_requested = host.components.lifecycle.drain_requested
    on_stop_signal(stop_requested.set)
    await host.start()
    reload_task = asyncio.create_task(
        _reload_periodically(host, peer_keys, tls),
    )
    _log.info('Serving.')
    await stop_requested.wait()
    _log.info('Draining.', in_flight=host.components.lifecycle.in_flight)
    await host.drain()
    reload_task.cancel()
    await host.stop()
    _log.info('Stopped.')


async def _reload_periodically(
    host: EntryHost,
    peer_keys: PeerKeys,
    tls: TlsContexts,
) -> None:
    """Reload the peer keys and the TLS certificates when they change."""
    while True:
        await asyncio.sleep(host.components.settings.reload_seconds)
        try:
            is_changed = peer_keys.reload() or tls.reload()
        except Exception as error:
            # A file that is being written must not stop the host; it is read
            # again in the next round.
            _log.warning('Keys are not reloaded.', why=str(error))
            continue
        if is_changed:
            _log.info('Keys are reloaded.')


__all__ = ('serve',)
