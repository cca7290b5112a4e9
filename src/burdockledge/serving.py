"""Runs a wired entry host on the real network until it is told to stop."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from random import SystemRandom
from typing import TYPE_CHECKING, Final

import aiohttp

from burdockledge.app import EntryHost, Outside
from burdockledge.backends import HttpEngineClient, HttpServiceClient
from burdockledge.clock import SystemClock
from burdockledge.gateway import Gateway
from burdockledge.kernel import on_stop_signal
from burdockledge.membership import UdpSocket
from burdockledge.peers import LinkConfig, PeerKeys, TcpPeerBus, TlsContexts
from burdockledge.platform_api import HttpHostList, HttpLog
from burdockledge.telemetry import TimeLine, make_logger
from burdockledge.wire import Hello

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from burdockledge.settings import ServeSettings

_log = make_logger('host')

_CONNECT_SECONDS: Final = 1
_KEEP_SECONDS: Final = 30


@dataclass(frozen=True, slots=True)
class Sessions:
    """Client sessions: one keeps connections, the other never does."""

    pooled: aiohttp.ClientSession
    fresh: aiohttp.ClientSession


async def serve(settings: ServeSettings) -> None:
    """Run an entry host on the real network until it is told to stop."""
    clock = SystemClock()
    boot = clock.wall_ms()
    time_line = TimeLine(settings.host_id, clock, settings.time_line_events)
    keys = PeerKeys(settings.peer_keys, settings.peer_keys_file)
    tls = TlsContexts(settings)
    link_config = LinkConfig(
        Hello(settings.host_id, boot, b'', b''),
        keys,
        tls.peer_client,
        settings.silence_seconds,
    )
    bus = TcpPeerBus(
        link_config,
        settings.peer_address,
        tls.peer_server,
        time_line,
    )
    async with _sessions() as sessions:
        outside = Outside(
            clock=clock,
            random=SystemRandom(),
            bus=bus,
            port=UdpSocket(settings.peer_address),
            keys=keys,
            log=HttpLog(settings.log_url, sessions.pooled),
            host_list=None
            if settings.host_list_url is None
            else HttpHostList(settings.host_list_url, sessions.pooled),
            engines=HttpEngineClient(
                sessions.pooled,
                sessions.fresh,
                _CONNECT_SECONDS,
                settings.silence_seconds,
            ),
            services=HttpServiceClient(
                sessions.pooled,
                sessions.fresh,
                _CONNECT_SECONDS,
            ),
            time_line=time_line,
            boot=boot,
        )
        host = EntryHost(settings, outside)
        bus.set_address_lookup(host.parts.membership.peer_address_of)
        host.kernel.register(Gateway(host.parts, tls.caller_server))
        await _run(host, keys, tls)


@contextlib.asynccontextmanager
async def _sessions() -> AsyncIterator[Sessions]:
    """Open the client sessions with and without kept connections."""
    pooled_connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=_KEEP_SECONDS
    )
    fresh_connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with (
        aiohttp.ClientSession(connector=pooled_connector) as pooled,
        aiohttp.ClientSession(connector=fresh_connector) as fresh,
    ):
        yield Sessions(pooled, fresh)


async def _run(host: EntryHost, keys: PeerKeys, tls: TlsContexts) -> None:
    requested = host.parts.lifecycle.drain_requested
    on_stop_signal(requested.set)
    await host.start()
    reloading = asyncio.create_task(_reload_forever(host, keys, tls))
    _log.info('Serving.')
    await requested.wait()
    _log.info('Draining.', in_flight=host.parts.lifecycle.in_flight)
    await host.drain()
    reloading.cancel()
    await host.stop()
    _log.info('Stopped.')


async def _reload_forever(
    host: EntryHost,
    keys: PeerKeys,
    tls: TlsContexts,
) -> None:
    while True:
        await asyncio.sleep(host.parts.settings.reload_seconds)
        try:
            is_changed = keys.reload() or tls.reload()
        except Exception as error:
            # A half-written file must not stop the host; it is read again.
            _log.warning('Keys are not reloaded.', why=str(error))
            continue
        if is_changed:
            _log.info('Keys are reloaded.')


__all__ = ('serve',)
