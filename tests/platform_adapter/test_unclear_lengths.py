"""Answers whose length can be read in two ways, or that come too early."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform_adapter.cut_answers import call
from tests.platform_adapter.front_harness import (
    FrontHarness,
    request_bytes,
    run_with_front,
)
from tests.platform_adapter.standin_server import (
    chunked_head,
    header_value,
    reset_connection,
    response_bytes,
    unframed_head,
)

PATHS = ('/unsafe/x', '/safe/x', '/stream/x', '/resumed/x')
# The host may send calls to these a second time.
REPEATED = {'/safe/x', '/resumed/x'}
EVENT = b'id: 1\ndata: x\n\n'
# Over what the buffers of two sockets on loopback take.
LARGE_BODY = b'z' * 4_000_000


def with_length_and_chunks(head: bytes) -> bytes:
    """Return chunks behind a length that ends inside of the event."""
    answer_head = chunked_head(head).removesuffix(b'\r\n')
    chunk = b'%x\r\n%s\r\n0\r\n\r\n' % (len(EVENT), EVENT)
    return answer_head + b'Content-Length: 3\r\n\r\n' + chunk


def with_chunks_and_length(head: bytes) -> bytes:
    """Return the same headers in the other order."""
    length = b'Content-Length: 3'
    answer = with_length_and_chunks(head).replace(length + b'\r\n', b'')
    coding = b'Transfer-Encoding: chunked'
    return answer.replace(coding, length + b'\r\n' + coding)


def with_two_lengths(head: bytes) -> bytes:
    """Return an answer with two different lengths."""
    return response_bytes(head, EVENT, extra='Content-Length: 3\r\n')


def with_listed_lengths(head: bytes) -> bytes:
    """Return two different lengths in one header."""
    return response_bytes(head, EVENT).replace(
        b'Content-Length: 15', b'Content-Length: 15, 3'
    )


def with_signed_length(head: bytes) -> bytes:
    """Return a length that is no number of the protocol."""
    return response_bytes(head, EVENT).replace(b'Length: 15', b'Length: +15')


UNCLEAR = (
    with_length_and_chunks,
    with_chunks_and_length,
    with_two_lengths,
    with_listed_lengths,
    with_signed_length,
)


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('make_answer', UNCLEAR)
def test_an_answer_with_two_lengths_is_not_passed_on(
    make_answer: object, path: str
) -> None:
    """Guards against a part of an answer that passes for all of it."""
    request_count = 0

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal request_count
        request_count += 1
        assert callable(make_answer)
        writer.write(
            make_answer(head)
            if request_count == 1
            else response_bytes(head, EVENT)
        )

    async def test(harness: FrontHarness) -> None:
        received = await call(harness, path)
        is_repeated = path in REPEATED
        assert received.status == (200 if is_repeated else 502)
        assert request_count == 1 + is_repeated

    run_with_front(handler, test)


@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('body', [b'', EVENT])
@pytest.mark.parametrize('read_bytes', [0, 100_000])
def test_a_reset_during_the_upload_ends_no_answer(
    path: str, body: bytes, read_bytes: int
) -> None:
    """Guards against a 200 from a server that broke as it read the call."""
    request_count = 0

    async def handler(
        head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal request_count
        request_count += 1
        if request_count > 1:
            await reader.readexactly(len(LARGE_BODY))
            writer.write(response_bytes(head, EVENT))
            return
        await reader.readexactly(read_bytes)
        writer.write(unframed_head(head) + body)
        await asyncio.sleep(0.02)
        reset_connection(writer)

    async def test(harness: FrontHarness) -> None:
        answer = await harness.send(
            request_bytes(path, 'Connection: close\r\n', LARGE_BODY),
            4,
        )
        if path in REPEATED:
            assert answer.startswith(b'HTTP/1.1 200')
            # Plain answers are passed on with their length, streams in chunks.
            end = EVENT if path == '/safe/x' else EVENT + b'\r\n0\r\n\r\n'
            assert answer.endswith(end)
            assert request_count == 2
        else:
            # What was passed on of a stream must not look whole.
            is_cut = b'chunked' in answer and not answer.endswith(b'0\r\n\r\n')
            assert answer.startswith(b'HTTP/1.1 502') or is_cut or not answer

    run_with_front(handler, test, reads_bodies=False)


@pytest.mark.parametrize('read_bytes', [0, 100_000, len(LARGE_BODY)])
def test_a_connection_whose_upload_is_not_whole_carries_no_other_call(
    read_bytes: int,
) -> None:
    """Guards against the rest of a body that passes for the next request."""
    heads: list[tuple[int, bytes]] = []

    async def handler(
        head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        heads.append((id(writer), head))
        if len(heads) == 1:
            await reader.readexactly(read_bytes)
        writer.write(response_bytes(head))

    async def test(harness: FrontHarness) -> None:
        first = await harness.send(
            request_bytes('/unsafe/x', 'Connection: close\r\n', LARGE_BODY), 4
        )
        assert first.startswith(b'HTTP/1.1 200')
        second = await harness.send(
            request_bytes('/unsafe/x', 'Connection: close\r\n').replace(
                b'r1', b'r2'
            )
        )
        assert second.startswith(b'HTTP/1.1 200')
        (first_connection, _), (second_connection, head) = heads
        assert header_value(head, 'Burdockledge-Request-Id') == 'r2'
        is_whole = read_bytes == len(LARGE_BODY)
        assert (first_connection == second_connection) == is_whole

    run_with_front(handler, test, reads_bodies=False)
