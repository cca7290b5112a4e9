"""Answers to other requests that come before the right one."""

from __future__ import annotations

import asyncio
from typing import Final

import pytest

from tests.platform_adapter.front_harness import (
    FrontHarness,
    request_bytes,
    run_with_front,
)
from tests.platform_adapter.standin_server import (
    Handler,
    chunked_head,
    response_bytes,
    unframed_head,
)

OTHER_HEAD: Final = b'X\r\nBurdockledge-Request-Id: other\r\n'
EVENT: Final = b'id: 1\ndata: x\n\n'
PATHS: Final = ('/unsafe/x', '/safe/x', '/stream/x')
# More than a connection holds unread before its socket is no longer read.
LARGE: Final = b'z' * 400_000
SHORT_SECONDS: Final = 0.7
COPIES: Final = {
    'small': response_bytes(OTHER_HEAD, b'wrong'),
    'large': response_bytes(OTHER_HEAD, LARGE),
    'large refusal': response_bytes(
        OTHER_HEAD,
        LARGE,
        '503 Busy',
        'Burdockledge-Not-Executed: 1\r\n',
    ),
    'large in chunks': chunked_head(OTHER_HEAD)
    + b'61a80\r\n'
    + LARGE
    + b'\r\n0\r\n\r\n',
    'two large ones': response_bytes(OTHER_HEAD, LARGE) * 2,
}


def respond_after(copy: bytes) -> Handler:
    """Return a handler that sends a copy, then the right answer."""

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(copy)
        writer.write(response_bytes(head, EVENT))

    return handler


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('copy', COPIES)
def test_an_answer_is_read_behind_a_copy_of_another(
    copy: str, path: str
) -> None:
    """Guards against an answer that waits unread behind a copy's body."""

    async def test(harness: FrontHarness) -> None:
        response = await harness.send(request_bytes(path), SHORT_SECONDS)
        assert response.startswith(b'HTTP/1.1 200 ')
        assert EVENT in response
        assert len(harness.server.requests) == 1

    run_with_front(respond_after(COPIES[copy]), test)


@pytest.mark.parametrize('path', PATHS)
def test_a_copy_without_an_end_does_not_hold_up_its_request(path: str) -> None:
    """Guards against a wait for an answer that can not come any more."""
    requests = 0

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal requests
        requests += 1
        if requests == 1:
            writer.write(unframed_head(OTHER_HEAD) + b'wrong')
            await writer.drain()
        writer.write(response_bytes(head, EVENT))

    async def test(harness: FrontHarness) -> None:
        response = await harness.send(request_bytes(path), SHORT_SECONDS)
        status = 200 if path == '/safe/x' else 502
        assert response.startswith(f'HTTP/1.1 {status} '.encode())
        assert b'wrong' not in response

    run_with_front(handler, test)
