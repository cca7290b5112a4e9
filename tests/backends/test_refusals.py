"""What refusals of engines and services prove about a call."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web
from result import Err

from burdockledge.backends import (
    CallFailure,
    EndKind,
    EngineCall,
    HttpEngineClient,
    HttpServiceClient,
    ServiceCall,
    StreamEnd,
)


def run_with_refusal(
    request_id: str | None,
    test: Callable[[str, aiohttp.ClientSession], Awaitable[None]],
) -> None:
    """Run a test with a server that refuses each call with one id, or none."""

    async def refuse(_: web.BaseRequest) -> web.Response:
        headers = {} if request_id is None else {'X-Request-Id': request_id}
        return web.Response(
            status=503, headers={'X-Not-Executed': 'true', **headers}
        )

    async def run() -> None:
        runner = web.ServerRunner(web.Server(refuse))
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        url = f'http://127.0.0.1:{runner.addresses[0][1]}'
        async with aiohttp.ClientSession() as session:
            await test(url, session)
        await runner.cleanup()

    asyncio.run(run())


# A call that runs at most once has a connection of its own.
REFUSALS = [
    ('own', False, True),
    (None, False, False),
    ('other', False, False),
    ('own', True, True),
    (None, True, True),
    ('other', True, False),
]


@pytest.mark.parametrize(('answered', 'at_most_once', 'is_proof'), REFUSALS)
def test_an_engine_refuses_only_the_call_that_it_names(
    answered: str | None, at_most_once: bool, is_proof: bool
) -> None:
    """Guards against a late copy of the refusal of another call."""

    async def test(url: str, session: aiohttp.ClientSession) -> None:
        client = HttpEngineClient(session, session, 1, 1)
        engine_call = EngineCall(
            'own', '/v1', {}, 0, 1000, is_at_most_once=at_most_once
        )
        (end,) = [item async for item in client.stream(url, engine_call)]
        assert isinstance(end, StreamEnd)
        assert (end.kind is EndKind.refused) is is_proof

    run_with_refusal(answered, test)


@pytest.mark.parametrize(('answered', 'at_most_once', 'is_proof'), REFUSALS)
def test_a_service_refuses_only_the_call_that_it_names(
    answered: str | None, at_most_once: bool, is_proof: bool
) -> None:
    """Guards against a late copy of the refusal of another call."""

    async def test(url: str, session: aiohttp.ClientSession) -> None:
        client = HttpServiceClient(session, session, 1)
        key = 'key' if at_most_once else ''
        reply = await client.call(
            url, ServiceCall('own', 'POST', '/x', 'text/plain', b'', key, 1)
        )
        assert isinstance(reply, Err)
        expected = CallFailure.refused if is_proof else CallFailure.in_doubt
        assert reply.err_value is expected

    run_with_refusal(answered, test)
