"""Faults of the stand-in engine that the platform's bench can not play."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import pytest
from aiohttp.test_utils import TestClient, TestServer

from burdockledge.standins import EngineSettings, EngineStandIn

FATAL_TEXT = 'the torn page'


def run_with_engine(
    test: Callable[[TestClient[Any, Any]], Awaitable[None]],
) -> None:
    """Run a test against a stand-in engine."""

    async def run() -> None:
        engine = EngineStandIn(
            EngineSettings(address='127.0.0.1:1', token_ms=1)
        )
        async with TestClient(TestServer(engine.application())) as client:
            work = asyncio.ensure_future(engine.run())
            try:
                await test(client)
            finally:
                work.cancel()

    asyncio.run(run())


def body(text: str) -> dict[str, Any]:
    """Return a chat whose prompt is a text."""
    return {'messages': [{'role': 'user', 'content': text}]}


async def generate(client: TestClient[Any, Any], text: str) -> bytes:
    """Return the answer to a prompt."""
    async with client.post('/v1/chat/completions', json=body(text)) as response:
        return await response.read()


@pytest.mark.parametrize('place', ['{}', 'a {} b', 'a b {}'])
def test_a_fatal_text_crashes_the_engine_as_its_answer_begins(
    place: str,
) -> None:
    """Others are served before, cut with it, refused while it is down."""

    async def test(client: TestClient[Any, Any]) -> None:
        fault = {'fault': 'fatal', 'text': FATAL_TEXT, 'factor': 600}
        await client.post('/control', json=fault)
        assert b'[DONE]' in await generate(client, 'sound')
        with pytest.raises(aiohttp.ClientError):
            await generate(client, place.format(FATAL_TEXT))
        with pytest.raises(aiohttp.ClientError):
            await generate(client, 'sound')
        await client.post('/control', json={'fault': 'crash', 'seconds': 0})
        assert b'[DONE]' in await generate(client, 'sound')

    run_with_engine(test)


@pytest.mark.parametrize(('limit', 'calls', 'excess'), [(2, 2, 0), (2, 5, 3)])
def test_a_limit_is_named_and_counted_over_all_callers(
    limit: int, calls: int, excess: int
) -> None:
    """Answers name it while the fault lasts; all calls are answered."""

    async def test(client: TestClient[Any, Any]) -> None:
        await client.post('/control', json={'fault': 'limit', 'factor': limit})
        for _ in range(calls):
            response = await client.post('/v1/completions', json=body('text'))
            assert response.headers['X-Call-Rate-Limit'] == str(limit)
        stats = await (await client.get('/stats')).json()
        assert stats['excess_calls'] == excess
        await client.post('/control', json={'fault': 'limit', 'seconds': 0})
        response = await client.post('/v1/completions', json=body('text'))
        assert 'X-Call-Rate-Limit' not in response.headers

    run_with_engine(test)
