"""Servers that send more bytes right behind a whole answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import pytest

from tests.platform_adapter.front_harness import (
    FrontHarness,
    request_bytes,
    run_with_front,
)
from tests.platform_adapter.standin_server import chunked_head, response_bytes

EVENT: Final = b'id: 1\ndata: x\n\n'
OTHER_HEAD: Final = b'X\r\nBurdockledge-Request-Id: other\r\n'
JUNK: Final = {
    'text': b'junk\r\n\r\n',
    'a broken head': b'HTTP/1.1 2x0 OK\r\n\r\n',
    'bytes': b'\x00\xff\x00\xff',
    'a line end': b'\r\n',
    'much': b'\xff' * 100_000,
}
ANSWERS: Final[dict[str, Callable[[bytes], bytes]]] = {
    'length': lambda head: response_bytes(head, EVENT),
    'chunks': lambda head: (
        chunked_head(head) + b'f\r\n' + EVENT + b'\r\n0\r\n\r\n'
    ),
    'length, behind a copy': lambda head: (
        response_bytes(OTHER_HEAD) + response_bytes(head, EVENT)
    ),
    'several segments': lambda head: response_bytes(head, EVENT * 2000),
}


@pytest.mark.parametrize(
    'pause_at', [None, 'in the head end', 'after the head']
)
@pytest.mark.parametrize('path', ['/unsafe/x', '/stream/x'])
@pytest.mark.parametrize('answer', ANSWERS)
@pytest.mark.parametrize('junk', JUNK)
def test_a_whole_answer_is_passed_on_whatever_follows_it(
    junk: str, answer: str, path: str, pause_at: str | None
) -> None:
    """Guards against an answer that is lost with the bytes behind it."""

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        wire = ANSWERS[answer](head) + JUNK[junk]
        head_end = wire.index(b'\r\n\r\n') + 4
        position = {
            None: 0, 'in the head end': head_end - 1, 'after the head': head_end
        }[pause_at]  # fmt: skip
        if position:
            writer.write(wire[:position])
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(wire[position:])

    async def test(harness: FrontHarness) -> None:
        for _ in range(2):
            response = await harness.send(request_bytes(path), 0.3)
            assert response.startswith(b'HTTP/1.1 200 ')
            assert EVENT in response
            assert b'junk' not in response
        assert len(harness.server.requests) == 2

    run_with_front(handler, test)
