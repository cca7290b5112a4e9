"""Runs an entry host and stand-ins of its platform on loopback addresses."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.test_utils import TestServer

from burdockledge.app import EntryHost, HostDependencies
from burdockledge.backends import (
    ClientSessions,
    HttpEngineClient,
    HttpServiceClient,
    open_sessions,
)
from burdockledge.clock import SystemClock
from burdockledge.configuration import PatchRecord, hash_key
from burdockledge.gateway import Gateway, LifecycleState
from burdockledge.membership import UdpSocket
from burdockledge.peers import LinkConfig, PeerKeys, TcpPeerBus, TlsContexts
from burdockledge.platform_api import HttpLogClient
from burdockledge.settings import ServeSettings
from burdockledge.standins import (
    EngineSettings,
    EngineStandIn,
    LogSettings,
    LogStandIn,
    PlainServiceSettings,
    ServiceStandIn,
)
from burdockledge.telemetry import TimeLine
from burdockledge.wire import Hello

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

TEAM_KEY = 'team-key'
OPERATOR_KEY = 'operator-key'
PEER_KEY = 'a shared peer key'
# The stand-ins need an address in their settings, but TestServer chooses one.
UNUSED_ADDRESS = '127.0.0.1:1'


@dataclass
class RunningHost:
    """A running host, its backend servers and a client session to call it."""

    url: str
    port: int
    host: EntryHost
    session: aiohttp.ClientSession
    engine: EngineStandIn
    service: ServiceStandIn
    peer_address: str

    def headers(self, **extra: str) -> dict[str, str]:
        """Return headers with the key of the team."""
        return {'Authorization': f'Bearer {TEAM_KEY}', **extra}


def free_port() -> int:
    """Return a TCP port that is free at this moment."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


def make_configuration(engine_url: str, service_url: str) -> dict[str, Any]:
    """Return a configuration with one team, one engine and one service."""
    return {
        'servers': {
            'e': {
                'kind': 'engine',
                'url': engine_url,
                'data_centre': 'dc1',
                'models': ['m'],
                'slots': 2,
            },
            's': {
                'kind': 'service',
                'url': service_url,
                'data_centre': 'dc1',
                'service': 'ledger',
            },
        },
        'classes': {
            'counter': {
                'tier': 0,
                'first_token_ms': 2000,
                'total_ms': 20_000,
                'servers': ['e', 's'],
            },
            'other': {'tier': 1, 'first_token_ms': 2000, 'servers': ['e']},
        },
        'teams': {
            'a': {'key_hashes': [hash_key(TEAM_KEY)], 'classes': ['counter']},
        },
    }


@asynccontextmanager
async def run_host(
    certificate: Path | None = None,
    key: Path | None = None,
    **overrides: Any,
) -> AsyncIterator[RunningHost]:
    """
    Run a host within the ``with`` block.

    With a certificate and its key it serves HTTPS; ``overrides`` are settings.
    """
    async with AsyncExitStack() as stack:
        loop = asyncio.get_running_loop()
        log = LogStandIn(LogSettings(address=UNUSED_ADDRESS, append_ms=0))
        engine = EngineStandIn(
            EngineSettings(address=UNUSED_ADDRESS, token_ms=1)
        )
        service = ServiceStandIn(PlainServiceSettings(address=UNUSED_ADDRESS))
        urls = []
        for stand_in in (log, engine, service):
            server = TestServer(stand_in.application())
            await server.start_server()
            stack.push_async_callback(server.close)
            urls.append(str(server.make_url('')).rstrip('/'))
        engine_task = loop.create_task(engine.run())
        stack.callback(engine_task.cancel)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        sessions = await stack.enter_async_context(open_sessions())
        port = free_port()
        peer_address = f'127.0.0.1:{free_port()}'
        settings = ServeSettings(
            host_id='h1',
            data_centre='dc1',
            caller_address=f'127.0.0.1:{port}',
            peer_address=peer_address,
            log_url=urls[0],
            peer_keys=(PEER_KEY,),
            operator_key_hashes=(hash_key(OPERATOR_KEY),),
            tls_certificate=certificate,
            tls_key=key,
            **overrides,
        )
        host = make_host(settings, sessions)
        await host.start()
        stack.push_async_callback(stop_host, host)
        await host.components.configuration.wait_ready()
        patch = PatchRecord(
            id='p', base=0, patch=make_configuration(urls[1], urls[2])
        )
        await host.components.configuration.publish(patch, 10)
        yield RunningHost(
            settings.public_url,
            port,
            host,
            session,
            engine,
            service,
            peer_address,
        )


async def stop_host(host: EntryHost) -> None:
    """Drain and stop a host, as far as the test has not."""
    lifecycle = host.components.lifecycle
    if lifecycle.state is LifecycleState.serving:
        await host.drain()
    if lifecycle.state is not LifecycleState.stopped:
        await host.stop()


def make_host(settings: ServeSettings, sessions: ClientSessions) -> EntryHost:
    """Construct a host that uses the real network."""
    clock = SystemClock()
    time_line = TimeLine('h1', clock, 1000)
    peer_keys = PeerKeys(settings.peer_keys, None)
    link_config = LinkConfig(Hello('h1', 1, b'', b''), peer_keys, None, 2)
    bus = TcpPeerBus(link_config, settings.peer_address, None, time_line)
    dependencies = HostDependencies(
        clock=clock,
        random=Random(1),
        bus=bus,
        datagram_socket=UdpSocket(settings.peer_address),
        peer_keys=peer_keys,
        log_client=HttpLogClient(settings.log_url, sessions.pooled),
        host_list_client=None,
        engine_client=HttpEngineClient(
            sessions.pooled, sessions.unpooled, 1, 2
        ),
        service_client=HttpServiceClient(sessions.pooled, sessions.unpooled, 1),
        time_line=time_line,
        boot=1,
    )
    host = EntryHost(settings, dependencies)
    tls = TlsContexts(settings)
    host.kernel.register(Gateway(host.components, tls.caller_server))
    return host


__all__ = ('OPERATOR_KEY', 'PEER_KEY', 'TEAM_KEY', 'RunningHost', 'run_host')
