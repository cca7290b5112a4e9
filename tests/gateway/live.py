"""One entry host with its stand-ins on loopback, within one process."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.test_utils import TestServer

from burdockledge.app import EntryHost, Outside
from burdockledge.backends import HttpEngineClient, HttpServiceClient
from burdockledge.clock import SystemClock
from burdockledge.configuration import PatchRecord, hash_key
from burdockledge.gateway import Gateway
from burdockledge.membership import UdpSocket
from burdockledge.peers import LinkConfig, PeerKeys, TcpPeerBus, TlsContexts
from burdockledge.platform_api import HttpLog
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
ADDRESS = '127.0.0.1:1'


@dataclass
class Live:
    """A running host and the client to call it with."""

    url: str
    port: int
    host: EntryHost
    session: aiohttp.ClientSession
    engine: EngineStandIn
    service: ServiceStandIn
    peer_address: str

    def headers(self, **more: str) -> dict[str, str]:
        """Return the headers of the team."""
        return {'Authorization': f'Bearer {TEAM_KEY}', **more}


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


def document(engine: str, service: str) -> dict[str, Any]:
    """Return a configuration of one team."""
    return {
        'servers': {
            'e': {
                'kind': 'engine',
                'url': engine,
                'data_centre': 'dc1',
                'models': ['m'],
                'slots': 2,
            },
            's': {
                'kind': 'service',
                'url': service,
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
async def live_host(
    certificate: Path | None = None,
    key: Path | None = None,
    **changes: Any,
) -> AsyncIterator[Live]:
    """Run a host until the block ends."""
    async with AsyncExitStack() as stack:
        loop = asyncio.get_running_loop()
        log = LogStandIn(LogSettings(address=ADDRESS, append_ms=0))
        engine = EngineStandIn(EngineSettings(address=ADDRESS, token_ms=1))
        service = ServiceStandIn(PlainServiceSettings(address=ADDRESS))
        servers = []
        for stand_in in (log, engine, service):
            server = TestServer(stand_in.application())
            await server.start_server()
            stack.push_async_callback(server.close)
            servers.append(str(server.make_url('')).rstrip('/'))
        work = loop.create_task(engine.run())
        stack.callback(work.cancel)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        fresh = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True),
            ),
        )
        port = free_port()
        peer_address = f'127.0.0.1:{free_port()}'
        settings = ServeSettings(
            host_id='h1',
            data_centre='dc1',
            caller_address=f'127.0.0.1:{port}',
            peer_address=peer_address,
            log_url=servers[0],
            peer_keys=(PEER_KEY,),
            operator_key_hashes=(hash_key(OPERATOR_KEY),),
            tls_certificate=certificate,
            tls_key=key,
            **changes,
        )
        host = make_host(settings, session, fresh)
        await host.start()
        stack.push_async_callback(host.stop)
        stack.push_async_callback(host.drain)
        await host.parts.configuration.wait_ready()
        patch = PatchRecord(
            id='p', base=0, patch=document(servers[1], servers[2])
        )
        await host.parts.configuration.publish(patch, 10)
        yield Live(
            settings.public_url,
            port,
            host,
            session,
            engine,
            service,
            peer_address,
        )


def make_host(
    settings: ServeSettings,
    session: aiohttp.ClientSession,
    fresh: aiohttp.ClientSession,
) -> EntryHost:
    """Wire a host on the real network."""
    clock = SystemClock()
    time_line = TimeLine('h1', clock, 1000)
    keys = PeerKeys(settings.peer_keys, None)
    link_config = LinkConfig(Hello('h1', 1, b'', b''), keys, None, 2)
    bus = TcpPeerBus(link_config, settings.peer_address, None, time_line)
    outside = Outside(
        clock=clock,
        random=Random(1),
        bus=bus,
        port=UdpSocket(settings.peer_address),
        keys=keys,
        log=HttpLog(settings.log_url, session),
        host_list=None,
        engines=HttpEngineClient(session, fresh, 1, 2),
        services=HttpServiceClient(session, fresh, 1),
        time_line=time_line,
        boot=1,
    )
    host = EntryHost(settings, outside)
    tls = TlsContexts(settings)
    host.kernel.register(Gateway(host.parts, tls.caller_server))
    return host


__all__ = ('OPERATOR_KEY', 'PEER_KEY', 'TEAM_KEY', 'Live', 'live_host')
