"""Headers with characters that the HTTP library refuses to write."""

from __future__ import annotations

import asyncio
from typing import Final

import pytest

from tests.platform_adapter.front_harness import (
    FrontHarness,
    request_bytes,
    run_with_front,
)
from tests.platform_adapter.standin_server import response_bytes

EVENT: Final = b'id: 1\ndata: x\n\n'


@pytest.mark.parametrize('path', ['/unsafe/x', '/stream/x'])
@pytest.mark.parametrize('text', ['a\rb', 'a\x0bb', 'a\x7fb', 'a\udcffb'])
def test_an_answer_with_an_odd_header_is_passed_on(
    path: str, text: str
) -> None:
    """Guards against a whole answer that is lost with one of its headers."""

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        extra = b'X-Odd: ' + text.encode('utf-8', 'surrogateescape')
        writer.write(
            response_bytes(head, EVENT).replace(
                b'Content-Length', extra + b'\r\nContent-Length'
            )
        )

    async def test(harness: FrontHarness) -> None:
        response = await harness.send(request_bytes(path), 0.5)
        is_answer = text != 'a\rb'
        assert response[9:12] == (b'200' if is_answer else b'502')
        assert (EVENT in response) is is_answer

    run_with_front(handler, test)


@pytest.mark.parametrize('path', ['/unsafe/x', '/stream/x'])
@pytest.mark.parametrize('text', ['a\x0bb', 'a\x7fb', 'a\udcffb'])
def test_a_request_with_an_odd_header_is_answered(path: str, text: str) -> None:
    """Guards against a connection that closes for what a caller sent."""

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(response_bytes(head, EVENT))

    async def test(harness: FrontHarness) -> None:
        extra = b'X-Odd: ' + text.encode('utf-8', 'surrogateescape') + b'\r\n'
        request = request_bytes(path).replace(b'Host', extra + b'Host')
        response = await harness.send(request, 0.5)
        assert response[9:12] in {b'200', b'400'}

    run_with_front(handler, test)


@pytest.mark.parametrize('path', ['/unsafe/x', '/stream/x'])
def test_a_seal_that_can_not_be_passed_on_is_none(path: str) -> None:
    """Guards against a success without the seal of its server."""

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        answer = response_bytes(head, EVENT)
        writer.write(answer.replace(b'seal.1', b'seal\x0b1'))

    async def test(harness: FrontHarness) -> None:
        response = await harness.send(request_bytes(path), 0.5)
        assert response.startswith(b'HTTP/1.1 502 ')

    run_with_front(handler, test)
