"""The clients of backend servers send each call once, to one address."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

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
from tests.backends.breaking_server import BREAK_POINTS, BreakingServer

METHODS = ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH')


Test = Callable[[ClientSessions], Awaitable[None]]


def run_with_sessions(test: Test, *servers: BreakingServer) -> None:
    """Run a test with servers and the sessions of ``burdockledge serve``."""

    async def run() -> None:
        for server in servers:
            await server.start()
        async with open_sessions() as sessions:
            await test(sessions)
        for server in servers:
            server.stop()

    asyncio.run(run())


def service_call(method: str, path: str, key: str) -> ServiceCall:
    """Return a call with a body of one byte where the method has one."""
    body = b'x' if method in {'PUT', 'POST', 'PATCH'} else b''
    return ServiceCall('own', method, path, 'text/plain', body, key, 2)


BREAKS = [
    (method, is_keyed, point, is_reset, is_gone)
    for method in METHODS
    for is_keyed in (False, True)
    for point in BREAK_POINTS
    # To a HEAD request, a head is the whole answer.
    if method != 'HEAD' or point not in {'head', 'part of body'}
    for is_reset in (False, True)
    for is_gone in (False, True)
]


@pytest.mark.parametrize(
    ('method', 'is_keyed', 'point', 'is_reset', 'is_gone'), BREAKS
)
def test_a_call_whose_connection_breaks_is_not_sent_again(
    method: str, is_keyed: bool, point: str, is_reset: bool, is_gone: bool
) -> None:
    """
    Guards against a library that sends a call again that may have run.

    The server ran it twice, or was gone for the second send, which then
    proved that the call had never been sent.
    """
    server = BreakingServer(BREAK_POINTS[point], is_reset, is_gone)

    async def test(sessions: ClientSessions) -> None:
        client = HttpServiceClient(sessions.pooled, sessions.unpooled, 1)
        key = 'key' if is_keyed else ''
        await client.call(server.url, service_call('GET', '/warm', ''))
        reply = await client.call(server.url, service_call(method, '/x', key))
        assert server.runs == ['/warm', '/x']
        assert reply == Err(CallFailure.in_doubt)

    run_with_sessions(test, server)


@pytest.mark.parametrize('is_at_most_once', [False, True])
@pytest.mark.parametrize('is_gone', [False, True])
@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('point', BREAK_POINTS)
def test_a_generation_whose_connection_breaks_is_not_sent_again(
    point: str, is_reset: bool, is_gone: bool, is_at_most_once: bool
) -> None:
    """Guards against a library that sends a generation again."""
    server = BreakingServer(BREAK_POINTS[point], is_reset, is_gone)

    async def test(sessions: ClientSessions) -> None:
        client = HttpEngineClient(sessions.pooled, sessions.unpooled, 1, 2)
        call = EngineCall(
            'own', '/v1', {}, 0, 1000, is_at_most_once=is_at_most_once
        )
        (end,) = [item async for item in client.stream(server.url, call)]
        assert server.runs == ['/v1']
        assert isinstance(end, StreamEnd)
        assert end.kind is EndKind.interrupted

    run_with_sessions(test, server)
