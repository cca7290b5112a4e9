"""Servers that send bytes which are no answer of the protocol."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform_adapter.cut_answers import call
from tests.platform_adapter.front_harness import FrontHarness, run_with_front
from tests.platform_adapter.standin_server import response_bytes

FOREIGN_STARTS = {
    'a change of protocol': b'HTTP/1.1 101 Switching Protocols',
    'a status that is none': b'HTTP/1.1 099 Odd',
    'a status of zeros': b'HTTP/1.1 000 Odd',
    'a status over 599': b'HTTP/1.1 600 Odd',
    'the highest status of three digits': b'HTTP/1.1 999 Odd',
    'a status of four digits': b'HTTP/1.1 2000 OK',
    'a status of two digits': b'HTTP/1.1 20 OK',
    'a status with a sign': b'HTTP/1.1 +20 OK',
    'no status': b'HTTP/1.1 OK',
    'no version': b'HTTP 200 OK',
    'a failure in HTTP/2.0': b'HTTP/2.0 404 Not Found',
    'a success in HTTP/2.0': b'HTTP/2.0 200 OK',
    'a failure in HTTP/0.9': b'HTTP/0.9 500 Oops',
}


@pytest.mark.parametrize('path', ['/unsafe/x', '/safe/x', '/stream/x'])
@pytest.mark.parametrize('name', FOREIGN_STARTS)
def test_bytes_that_are_no_answer_are_not_passed_on(
    name: str, path: str
) -> None:
    """Guards against statuses that no server of the protocol has given."""
    request_count = 0

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal request_count
        request_count += 1
        answer = response_bytes(head)
        if request_count == 1:
            answer = answer.replace(b'HTTP/1.1 200 OK', FOREIGN_STARTS[name])
        writer.write(answer)
        await writer.drain()
        writer.close()

    async def test(harness: FrontHarness) -> None:
        received = await call(harness, path)
        is_repeated = path == '/safe/x'
        assert received.status == (200 if is_repeated else 502)
        assert received.is_whole
        assert request_count == 1 + is_repeated

    run_with_front(handler, test)
