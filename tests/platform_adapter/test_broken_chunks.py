"""Chunked answers of servers whose framing breaks."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform_adapter.cut_answers import BODY, EVENTS, call
from tests.platform_adapter.front_harness import FrontHarness, run_with_front
from tests.platform_adapter.standin_server import chunked_head, response_bytes

FIRST_CHUNK = b'%x\r\n%b\r\n' % (len(EVENTS[0]), EVENTS[0])
# Far below the time limits of the routes and of the caller.
NOTICED_SECONDS = 0.7
BREAKS = {
    'a size that is no number': b'zz\r\n',
    'bytes beyond a chunk': b'3\r\nabcdef\r\n',
    'a negative size': b'-5\r\n',
    'a size that is too large': b'f' * 40 + b'\r\n',
    'a size without an end': b'5' + b'\x00' * 4,
}


@pytest.mark.parametrize(
    'path', ['/unsafe/x', '/safe/x', '/stream/x', '/resumed/x']
)
@pytest.mark.parametrize('name', BREAKS)
def test_a_break_of_the_chunk_framing_is_noticed_at_once(
    name: str, path: str
) -> None:
    """Guards against a wait for the rest until the time limit."""
    is_broken = True

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal is_broken
        if not is_broken:
            body = EVENTS[1] if b'Last-Event-Id: 1' in head else BODY
            writer.write(response_bytes(head, body))
            return
        is_broken = False
        writer.write(chunked_head(head) + FIRST_CHUNK)
        await writer.drain()
        # Lets the host read the chunk by itself.
        await asyncio.sleep(0.02)
        writer.write(BREAKS[name])

    async def test(harness: FrontHarness) -> None:
        async with asyncio.timeout(NOTICED_SECONDS):
            received = await call(harness, path)
        if path in {'/safe/x', '/resumed/x'}:
            assert (received.status, received.body) == (200, BODY)
            assert received.is_whole
        elif path == '/unsafe/x':
            assert (received.status, received.is_whole) == (502, True)
        else:
            assert (received.status, received.body) == (200, EVENTS[0])
            assert not received.is_whole

    run_with_front(handler, test)
