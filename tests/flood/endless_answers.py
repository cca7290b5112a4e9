"""Answers without an end, as pieces that are sent at full speed."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Final

from tests.platform_adapter.standin_server import Handler, response_bytes
from tests.platform_adapter.test_hostile_servers import (
    BLOCK,
    Pieces,
    chunked_head,
    interim_responses,
    long_body,
    one_event,
    other_responses,
    trailers,
    unframed_body,
    unframed_head,
)

_TINY_CHUNK: Final = b'2\r\nxy\r\n'
_FULL_CHUNK: Final = b'%x\r\n' % BLOCK + b'z' * BLOCK + b'\r\n'


async def junk(_: bytes) -> AsyncIterator[bytes]:
    """Send bytes that are no HTTP."""
    while True:
        yield b'\x00\xff' * (BLOCK // 2)


async def repeated_answers(head: bytes) -> AsyncIterator[bytes]:
    """Go on after a whole answer."""
    while True:
        yield response_bytes(head, b'whole') * 500


async def bodiless_answers(_: bytes) -> AsyncIterator[bytes]:
    """Send the shortest answers that there are."""
    while True:
        yield b'HTTP/1.1 204 \r\n\r\n' * 4000


async def switched_protocol(_: bytes) -> AsyncIterator[bytes]:
    """Leave HTTP."""
    yield (
        b'HTTP/1.1 101 Switching\r\nUpgrade: websocket\r\n'
        b'Connection: upgrade\r\n\r\n'
    )
    while True:
        yield b'z' * BLOCK


async def tiny_chunks(head: bytes) -> AsyncIterator[bytes]:
    """Send chunks that are smaller than their framing."""
    yield chunked_head(head)
    while True:
        yield _TINY_CHUNK * 10000


async def huge_chunk(head: bytes) -> AsyncIterator[bytes]:
    """Announce a chunk that no host can hold."""
    yield chunked_head(head) + b'fffffffffffffff\r\n'
    while True:
        yield b'z' * BLOCK


async def large_unfinished_body(head: bytes) -> AsyncIterator[bytes]:
    """Stop short of the largest body that is accepted."""
    yield chunked_head(head)
    for _ in range(62):
        yield _FULL_CHUNK
    await asyncio.sleep(60)


async def large_unfinished_head(_: bytes) -> AsyncIterator[bytes]:
    """Stop short of the end of a large head."""
    yield b'HTTP/1.1 200 OK\r\n'
    for number in range(120):
        yield b'X-Filler-%d: ' % number + b'y' * 8000 + b'\r\n'
    await asyncio.sleep(60)


async def error_body(head: bytes) -> AsyncIterator[bytes]:
    """Send an error whose text does not end."""
    yield unframed_head(head).replace(b'200 OK', b'500 Error')
    while True:
        yield b'z' * BLOCK


async def events(head: bytes) -> AsyncIterator[bytes]:
    """Send whole events."""
    yield unframed_head(head)
    while True:
        yield b'id: 1\ndata: x\n\n' * 4000


ENDLESS: Final[tuple[tuple[Pieces, str], ...]] = (
    (interim_responses, 'unsafe'),
    (other_responses, 'unsafe'),
    (other_responses, 'streaming'),
    (repeated_answers, 'unsafe'),
    (bodiless_answers, 'safe'),
    (switched_protocol, 'unsafe'),
    (junk, 'unsafe'),
    (trailers, 'unsafe'),
    (unframed_body, 'unsafe'),
    (unframed_body, 'streaming'),
    (long_body, 'unsafe'),
    (tiny_chunks, 'unsafe'),
    (huge_chunk, 'unsafe'),
    (large_unfinished_body, 'unsafe'),
    (large_unfinished_head, 'unsafe'),
    (one_event, 'streaming'),
    (events, 'streaming'),
    (error_body, 'streaming'),
)


def endless_handler(pieces: Pieces, on_sent: Callable[[int], None]) -> Handler:
    """Return a handler that answers with pieces until it is closed on."""

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        async for piece in pieces(head):
            writer.write(piece)
            await writer.drain()
            on_sent(len(piece))
            await asyncio.sleep(0)

    return handler


__all__ = ('ENDLESS', 'endless_handler', 'events')
