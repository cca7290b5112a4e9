"""Servers that send bytes without end, or answers that belong elsewhere."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Final

import pytest

from tests.platform_adapter.front_harness import (
    FrontHarness,
    request_bytes,
    run_with_front,
)
from tests.platform_adapter.standin_server import (
    chunked_head,
    reset_connection,
    response_bytes,
    unframed_head,
)

# What a host may take from one server before it closes the connection; far
# below the memory of the smallest hosts.
MAX_ACCEPTED_BYTES: Final = 24 * 1024 * 1024
BLOCK: Final = 64 * 1024
OTHER_HEAD: Final = b'X\r\nBurdockledge-Request-Id: other\r\n'

Pieces = Callable[[bytes], AsyncIterator[bytes]]


async def header_lines(_: bytes) -> AsyncIterator[bytes]:
    """Never end the head."""
    yield b'HTTP/1.1 200 OK\r\n'
    while True:
        yield b'X-Filler: y\r\n' * 1000


async def one_header(_: bytes) -> AsyncIterator[bytes]:
    """Never end the first header."""
    yield b'HTTP/1.1 200 OK\r\nX-Filler: '
    while True:
        yield b'y' * BLOCK


async def interim_responses(_: bytes) -> AsyncIterator[bytes]:
    """Send responses that announce the final one."""
    while True:
        yield b'HTTP/1.1 103 Early Hints\r\n\r\n' * 100


async def other_responses(_: bytes) -> AsyncIterator[bytes]:
    """Send responses to another request."""
    while True:
        yield response_bytes(OTHER_HEAD, b'z' * 100) * 100


async def other_long_response(_: bytes) -> AsyncIterator[bytes]:
    """Send a response to another request, of a length no host can hold."""
    yield response_bytes(OTHER_HEAD, b'').replace(
        b'Content-Length: 0', b'Content-Length: 99999999999'
    )
    while True:
        yield b'z' * BLOCK


async def unframed_body(head: bytes) -> AsyncIterator[bytes]:
    """Send a body without a length."""
    yield unframed_head(head)
    while True:
        yield b'z' * BLOCK


async def long_body(head: bytes) -> AsyncIterator[bytes]:
    """Send a body of a length that no host can hold."""
    yield response_bytes(head, b'').replace(
        b'Content-Length: 0', b'Content-Length: 99999999999'
    )
    while True:
        yield b'z' * BLOCK


async def chunk_extension(head: bytes) -> AsyncIterator[bytes]:
    """Never end the line of the first chunk."""
    yield chunked_head(head) + b'5;'
    while True:
        yield b'a=b;' * (BLOCK // 4)


async def trailers(head: bytes) -> AsyncIterator[bytes]:
    """Never end the trailers of a chunked body."""
    yield chunked_head(head) + b'5\r\nwhole\r\n0\r\n'
    while True:
        yield b'X-Trailer: y\r\n' * 1000


async def one_event(head: bytes) -> AsyncIterator[bytes]:
    """Send an event without an end."""
    yield unframed_head(head) + b'id: 1\ndata: '
    while True:
        yield b'z' * BLOCK


async def dripped_bytes(head: bytes) -> AsyncIterator[bytes]:
    """Send a byte of an event now and then."""
    yield unframed_head(head) + b'id: 1\ndata: x\n\n'
    while True:
        yield b'z'
        await asyncio.sleep(0.05)


@pytest.mark.parametrize('path', ['/unsafe/x', '/safe/x', '/stream/x'])
@pytest.mark.parametrize(
    'pieces',
    [
        header_lines,
        one_header,
        interim_responses,
        other_responses,
        other_long_response,
        unframed_body,
        long_body,
        chunk_extension,
        trailers,
        one_event,
    ],
)
def test_bytes_without_end_are_cut_off(pieces: Pieces, path: str) -> None:
    """The caller hears the truth, and the host takes a bounded number."""
    sent = 0
    is_closed = asyncio.Event()

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal sent
        try:
            async for piece in pieces(head):
                writer.write(piece)
                await writer.drain()
                sent += len(piece)
                await asyncio.sleep(0)
        except ConnectionError:
            is_closed.set()
            raise

    async def test(harness: FrontHarness) -> None:
        response = await harness.send(request_bytes(path), 2.5)
        status = response[9:12]
        # A stream that has begun is cut off; else its run is uncertain.
        assert status in {b'502', b'504'} or (
            path == '/stream/x' and status in {b'', b'200'}
        )
        assert b'Response-Seal' not in response or status == b'200'
        async with asyncio.timeout(2):
            await is_closed.wait()
        assert sent < MAX_ACCEPTED_BYTES

    run_with_front(handler, test)


def test_a_late_copy_without_an_id_is_no_answer_to_the_next_request() -> None:
    """The copy arrives when the connection carries another request."""
    copies: list[bytes] = []

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if copies:
            writer.write(copies.pop())
            await writer.drain()
            return
        response = response_bytes(head, b'first')
        copies.append(response.replace(b'Burdockledge-Request-Id: r1\r\n', b''))
        writer.write(response)

    async def test(harness: FrontHarness) -> None:
        first = await harness.send(request_bytes('/unsafe/x'), 0.3)
        assert first.endswith(b'first')
        other = request_bytes('/unsafe/x').replace(b'Id: r1', b'Id: r2')
        second = await harness.send(other, 0.3)
        assert second.startswith(b'HTTP/1.1 502')
        assert harness.server.connection_count == 1

    run_with_front(handler, test)


@pytest.mark.parametrize('begins_before_next', [True, False])
def test_a_late_copy_in_two_parts_is_no_answer(
    begins_before_next: bool,
) -> None:
    """Its first part arrives while the connection is idle, or after it."""

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(response_bytes(head, b'first'))
        await writer.drain()
        copy = response_bytes(OTHER_HEAD, b'wrong')
        if begins_before_next:
            await asyncio.sleep(0.02)
        writer.write(copy[:30])
        await writer.drain()
        await asyncio.sleep(0.1)
        writer.write(copy[30:])

    async def test(harness: FrontHarness) -> None:
        for _ in range(3):
            response = await harness.send(request_bytes('/unsafe/x'), 0.3)
            assert b'wrong' not in response

    run_with_front(handler, test)


def test_a_stop_answers_a_request_that_was_just_accepted() -> None:
    """Planned stop under load: the last requests get whole answers."""

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.3)
        writer.write(response_bytes(head, b'whole'))

    async def test(harness: FrontHarness) -> None:
        harness.front.is_closing = True
        harness.front.shutdown_seconds = 2
        calls = [
            asyncio.ensure_future(harness.send(request_bytes('/unsafe/x'), 2))
            for _ in range(8)
        ]
        while len(harness.server.requests) < len(calls):
            await asyncio.sleep(0.005)
        await harness.front.stop()
        for response in await asyncio.gather(*calls):
            assert response.endswith(b'whole')

    run_with_front(handler, test)


EVENT_ONE = b'id: 1\ndata: x\n\n'
EVENT_TWO = b'id: 2\ndata: y\n\n'
# A part of a body, how the connection ends, and what the caller gets.
UNFRAMED: dict[str, tuple[str, tuple[bytes, ...], bool, bytes, bool]] = {
    'whole body': ('/unsafe/x', (b'who', b'le'), False, b'200', True),
    'body that is reset': ('/unsafe/x', (b'who',), True, b'502', True),
    'empty body that is reset': ('/unsafe/x', (), True, b'502', True),
    'whole stream': ('/stream/x', (EVENT_ONE, EVENT_TWO), False, b'200', True),
    'stream that ends inside an event': (
        '/stream/x', (EVENT_ONE, EVENT_TWO[:7]), False, b'200', False,
    ),
    'stream that ends inside its first event': (
        '/stream/x', (EVENT_ONE[:7],), False, b'502', True,
    ),
    'stream that is reset between events': (
        '/stream/x', (EVENT_ONE,), True, b'200', False,
    ),
    'stream that ends before its first event': (
        '/stream/x', (), False, b'502', True,
    ),
}  # fmt: skip


def test_another_coding_than_chunks_tells_no_end_of_a_stream() -> None:
    """Guards against a 200 without events for a server that has crashed."""

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(chunked_head(head).replace(b'chunked', b'identity'))
        await writer.drain()
        writer.close()

    async def test(harness: FrontHarness) -> None:
        response = await harness.send(request_bytes('/stream/x'), 1.0)
        assert response.startswith(b'HTTP/1.1 502')

    run_with_front(handler, test)


@pytest.mark.parametrize('name', UNFRAMED)
def test_an_answer_without_length_or_chunks_ends_with_its_connection(
    name: str,
) -> None:
    """Guards against a broken answer that looks whole, and the reverse."""
    path, pieces, is_reset, status, is_complete = UNFRAMED[name]

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(unframed_head(head))
        await writer.drain()
        for piece in pieces:
            await asyncio.sleep(0.02)
            writer.write(piece)
            await writer.drain()
        await asyncio.sleep(0.02)
        if is_reset:
            reset_connection(writer)
        else:
            writer.close()

    async def test(harness: FrontHarness) -> None:
        response = await harness.send(request_bytes(path), 1.0)
        assert response[9:12] == status
        if path == '/stream/x' and status == b'200':
            assert response.endswith(b'0\r\n\r\n') is is_complete
        if status == b'200':
            for piece in pieces:
                assert piece in response or not is_complete
        # The next call gets a connection and an answer of its own.
        second = await harness.send(request_bytes(path), 1.0)
        assert second[9:12] == status
        assert harness.server.connection_count == 2

    run_with_front(handler, test)
