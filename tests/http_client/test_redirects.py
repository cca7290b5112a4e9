"""No client of a host lets an answer send its call to another address."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
from result import Err

from burdockledge.backends import (
    CallFailure,
    ClientSessions,
    EndKind,
    EngineCall,
    HttpEngineClient,
    HttpServiceClient,
    ServiceCall,
    StreamEnd,
    open_sessions,
)
from burdockledge.clock import SystemClock
from burdockledge.platform import StoreClient
from burdockledge.platform_api import (
    HttpHostListClient,
    HttpLogClient,
    PlatformFailure,
)
from burdockledge.relay import CONFIGURATION_STREAM, SERVERS_STREAM
from burdockledge.replication import SourceFailure
from tests.platform_adapter.standin_server import StandInServer

STATUSES = (301, 302, 303, 307, 308)
METHODS = ('GET', 'HEAD', 'PUT', 'DELETE', 'POST')
# What the other address would answer: a success of every client.
TAKEN = (
    b'HTTP/1.1 201 Created\r\nX-Request-Id: own\r\n'
    b'Content-Length: 12\r\n\r\n{"offset":5}'
)


def run_with_redirect(
    status: int,
    test: Callable[[str, ClientSessions], Awaitable[None]],
    target: str = '/other',
) -> None:
    """
    Run a test with the address of a server that redirects each call.

    Check that no call arrives where it points to.
    """

    async def take(
        _: bytes, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(TAKEN)

    async def run() -> None:
        other = StandInServer(take)
        await other.start()

        async def redirect(
            _: bytes,
            _reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            writer.write(
                f'HTTP/1.1 {status} Moved\r\nX-Request-Id: own\r\n'
                f'Location: http://{other.address}{target}\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
            )

        server = StandInServer(redirect)
        await server.start()
        async with open_sessions() as sessions:
            await test(server.address, sessions)
        assert len(server.requests) == 1
        assert not other.requests
        await server.stop()
        await other.stop()

    asyncio.run(run())


@pytest.mark.parametrize('key', ['', 'key'])
@pytest.mark.parametrize('method', METHODS)
@pytest.mark.parametrize('status', STATUSES)
def test_a_call_to_a_service_is_not_redirected(
    status: int, method: str, key: str
) -> None:
    """Guards against a call that runs at a server which nobody chose."""

    async def test(address: str, sessions: ClientSessions) -> None:
        client = HttpServiceClient(sessions.pooled, sessions.unpooled, 1)
        call = ServiceCall('own', method, '/x', 'text/plain', b'', key, 2)
        reply = await client.call(f'http://{address}', call)
        assert reply.unwrap().status == status

    run_with_redirect(status, test)


@pytest.mark.parametrize('is_at_most_once', [False, True])
@pytest.mark.parametrize('status', STATUSES)
def test_a_generation_is_not_redirected(
    status: int, is_at_most_once: bool
) -> None:
    """Guards against a generation by an engine which nobody chose."""

    async def test(address: str, sessions: ClientSessions) -> None:
        client = HttpEngineClient(sessions.pooled, sessions.unpooled, 1, 2)
        call = EngineCall(
            'own', '/v1', {}, 0, 1000, is_at_most_once=is_at_most_once
        )
        items = [
            item async for item in client.stream(f'http://{address}', call)
        ]
        assert items == [StreamEnd(EndKind.interrupted, status)]

    run_with_redirect(status, test)


@pytest.mark.parametrize('key', ['', 'key'])
@pytest.mark.parametrize('status', STATUSES)
def test_a_redirect_to_a_closed_port_is_no_proof_that_a_call_was_not_sent(
    status: int, key: str
) -> None:
    """Guards against a second run elsewhere of a call that has run."""

    async def run() -> None:
        async def redirect(
            _: bytes,
            _reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            writer.write(
                f'HTTP/1.1 {status} Moved\r\nX-Request-Id: own\r\n'
                'Location: http://127.0.0.1:1/\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
            )

        server = StandInServer(redirect)
        await server.start()
        async with open_sessions() as sessions:
            client = HttpServiceClient(sessions.pooled, sessions.unpooled, 1)
            call = ServiceCall('own', 'POST', '/x', 'a/b', b'', key, 2)
            reply = await client.call(f'http://{server.address}', call)
        assert reply != Err(CallFailure.not_sent)
        await server.stop()

    asyncio.run(run())


async def append_to_log(address: str, session: aiohttp.ClientSession) -> bool:
    """Append to the log."""
    client = HttpLogClient(f'http://{address}', session)
    return await client.append('s', 'x') == Err(PlatformFailure.in_doubt)


async def read_log(address: str, session: aiohttp.ClientSession) -> bool:
    """Read the log."""
    client = HttpLogClient(f'http://{address}', session)
    return await client.read('s', 0, 0) == Err(PlatformFailure.unavailable)


async def read_hosts(address: str, session: aiohttp.ClientSession) -> bool:
    """Read the list of hosts."""
    client = HttpHostListClient(f'http://{address}', session)
    return await client.read() == Err(PlatformFailure.unavailable)


async def register(address: str, session: aiohttp.ClientSession) -> bool:
    """Append to a topic of the store."""
    client = StoreClient(address, session, SystemClock())
    return not await client.register('h', '127.0.0.1:7')


async def read_tail(address: str, session: aiohttp.ClientSession) -> bool:
    """Read a topic of the store from an offset on."""
    client = StoreClient(address, session, SystemClock())
    result = await client.read(CONFIGURATION_STREAM, 3)
    return result == Err(SourceFailure.unreadable)


async def read_newest(address: str, session: aiohttp.ClientSession) -> bool:
    """Read the newest records of a topic of the store."""
    client = StoreClient(address, session, SystemClock())
    result = await client.read(SERVERS_STREAM, -1)
    return result == Err(SourceFailure.unreadable)


PLATFORM_CALLS = [
    append_to_log,
    read_log,
    read_hosts,
    register,
    read_tail,
    read_newest,
]


@pytest.mark.parametrize('call', PLATFORM_CALLS)
@pytest.mark.parametrize('status', STATUSES)
def test_a_call_to_the_platform_is_not_redirected(
    status: int, call: Callable[[str, aiohttp.ClientSession], Awaitable[bool]]
) -> None:
    """Guards against an append that another address confirms."""

    async def test(address: str, sessions: ClientSessions) -> None:
        assert await call(address, sessions.pooled)

    run_with_redirect(status, test)
