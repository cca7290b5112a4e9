"""Tests of the callers' connections while a host stops, on loopback."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform_adapter.front_harness import (
    FrontHarness,
    request_bytes,
    respond_ok,
    run_with_front,
)
from tests.platform_adapter.standin_server import Handler, response_bytes

# How long requests may take once the listeners have closed.
SHUTDOWN_SECONDS = 2.0
# The users' loss_slack_ms: a connection that closes within this time after a
# request crosses it.
SLACK_SECONDS = 0.2
CHUNKED = request_bytes('/unsafe/x').replace(
    b'Content-Length: 0', b'Transfer-Encoding: chunked'
)
LONG_BODY = b'x' * 300_000


async def respond_late(
    head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Respond after a while."""
    await asyncio.sleep(0.3)
    writer.write(response_bytes(head))


async def connect(
    harness: FrontHarness,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a caller's connection."""
    ip, _, port = harness.settings.caller_address.rpartition(':')
    return await asyncio.open_connection(ip, int(port))


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Return what arrives until the connection closes."""
    received = b''
    try:
        async with asyncio.timeout(SHUTDOWN_SECONDS + 1):
            while chunk := await reader.read(65536):
                received += chunk
    except ConnectionError:
        # The bytes received so far are the result.
        pass
    return received


# What arrives before the stop and, in parts, after it; both make up a request.
SPLIT_REQUESTS: dict[str, tuple[bytes, tuple[bytes, ...]]] = {
    'body after the head': (
        request_bytes('/unsafe/x', body=b'body')[:-4], (b'body',),
    ),
    'body in parts': (
        request_bytes('/unsafe/x', body=b'body')[:-3], (b'o', b'd', b'y'),
    ),
    'chunks': (CHUNKED + b'2\r\nbo\r\n', (b'2\r\ndy\r\n', b'0\r\n\r\n')),
    'long body': (
        request_bytes('/unsafe/x', body=LONG_BODY)[:-200_000],
        (LONG_BODY[:100_000], LONG_BODY[:100_000]),
    ),
}  # fmt: skip


@pytest.mark.parametrize('name', SPLIT_REQUESTS)
@pytest.mark.parametrize('handler', [respond_ok, respond_late])
def test_a_body_that_arrives_during_the_close_is_read(
    handler: Handler, name: str
) -> None:
    """Guards against LOST: a request whose body comes after the stop."""
    first_part, other_parts = SPLIT_REQUESTS[name]

    async def test(harness: FrontHarness) -> None:
        reader, writer = await connect(harness)
        writer.write(first_part)
        await asyncio.sleep(0.1)
        harness.front.is_closing = True
        harness.front.shutdown_seconds = SHUTDOWN_SECONDS
        stop = asyncio.create_task(harness.front.stop())
        for part in other_parts:
            await asyncio.sleep(0.1)
            writer.write(part)
        response = await read_to_end(reader)
        await stop
        assert response.startswith(b'HTTP/1.1 200 ')
        assert b'\r\nConnection: close\r\n' in response
        assert response.endswith(b'fine')
        assert len(harness.server.requests) == 1

    run_with_front(handler, test)


def test_a_body_that_never_arrives_does_not_hold_up_the_stop() -> None:
    """The request is not whole: it does not run, and its connection closes."""

    async def test(harness: FrontHarness) -> None:
        reader, writer = await connect(harness)
        writer.write(request_bytes('/unsafe/x', body=b'body')[:-4])
        await asyncio.sleep(0.1)
        harness.front.shutdown_seconds = 0.3
        async with asyncio.timeout(1.5):
            await harness.front.stop()
        assert await read_to_end(reader) == b''
        assert harness.server.requests == []

    run_with_front(respond_ok, test)


@pytest.mark.parametrize('count', [2, 3, 8])
@pytest.mark.parametrize('is_closing_before', [True, False])
def test_pipelined_requests_are_answered_before_the_close(
    count: int, is_closing_before: bool
) -> None:
    """Guards against LOST: requests that were read, behind one in flight."""

    async def test(harness: FrontHarness) -> None:
        harness.front.is_closing = is_closing_before
        harness.front.shutdown_seconds = SHUTDOWN_SECONDS
        reader, writer = await connect(harness)
        writer.write(request_bytes('/unsafe/x') * count)
        await asyncio.sleep(0.05)
        harness.front.is_closing = True
        stop = asyncio.create_task(harness.front.stop())
        response = await read_to_end(reader)
        await stop
        assert response.count(b'HTTP/1.1 200 ') == count
        assert response.count(b'\r\nConnection: close\r\n') == 1
        assert len(harness.server.requests) == count

    async def handler(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.1)
        writer.write(response_bytes(head))

    run_with_front(handler, test)


def test_an_answer_after_the_stop_closes_its_connection() -> None:
    """Guards against a kept connection that is closed under a next request."""

    async def test(harness: FrontHarness) -> None:
        reader, writer = await connect(harness)
        writer.write(request_bytes('/unsafe/x'))
        await asyncio.sleep(0.1)
        harness.front.is_closing = True
        response = await read_to_end(reader)
        assert response.startswith(b'HTTP/1.1 200 ')
        assert b'\r\nConnection: close\r\n' in response
        writer.close()

    run_with_front(respond_late, test)


@pytest.mark.parametrize('delay', [0.0, 0.001, 0.01])
def test_a_connection_opened_during_the_close_does_not_linger(
    delay: float,
) -> None:
    """Guards against LOST: a request read and left without an answer."""

    async def test(harness: FrontHarness) -> None:
        harness.front.is_closing = True
        harness.front.shutdown_seconds = SHUTDOWN_SECONDS
        loop = asyncio.get_running_loop()
        # Keeps the close open.
        busy_reader, busy_writer = await connect(harness)
        busy_writer.write(request_bytes('/unsafe/x'))
        await asyncio.sleep(0.05)
        connections = [await connect(harness) for _ in range(20)]
        await asyncio.sleep(delay)
        stop = asyncio.create_task(harness.front.stop())
        for _, writer in connections:
            writer.write(request_bytes('/unsafe/x'))
        sent_at = loop.time()
        for reader, _ in connections:
            response = await read_to_end(reader)
            is_crossing = loop.time() - sent_at < SLACK_SECONDS
            assert response.endswith(b'fine') or (
                response == b'' and is_crossing
            )
        assert (await read_to_end(busy_reader)).endswith(b'fine')
        await stop

    run_with_front(respond_late, test)


def test_an_idle_connection_closes_at_once() -> None:
    """A kept connection without a request does not hold up the stop."""

    async def test(harness: FrontHarness) -> None:
        harness.front.shutdown_seconds = SHUTDOWN_SECONDS
        reader, writer = await connect(harness)
        writer.write(request_bytes())
        await reader.readuntil(b'fine')
        # A partial head is no request.
        _, other_writer = await connect(harness)
        other_writer.write(request_bytes()[:40])
        await asyncio.sleep(0.05)
        async with asyncio.timeout(1):
            await harness.front.stop()
        assert await read_to_end(reader) == b''

    run_with_front(respond_ok, test)
