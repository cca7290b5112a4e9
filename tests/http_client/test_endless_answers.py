"""No client of a host takes an answer without an end."""

from __future__ import annotations

import asyncio
import time
import zlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

import aiohttp
import pytest
from result import Err, Ok

from burdockledge.backends import (
    CallFailure,
    EndKind,
    EngineCall,
    HttpEngineClient,
    HttpServiceClient,
    ServiceCall,
    StreamEnd,
)
from burdockledge.clock import SystemClock
from burdockledge.http_client import READ_BYTES, BoundedConnector
from burdockledge.platform import StoreClient
from burdockledge.platform_api import (
    HttpHostListClient,
    HttpLogClient,
    PlatformFailure,
)
from burdockledge.relay import CONFIGURATION_STREAM, SERVERS_STREAM
from burdockledge.replication import SourceFailure
from tests.platform_adapter.standin_server import StandInServer

BLOCK: Final = 64 * 1024
SECONDS: Final = 3.0
# Largest bound of one answer, and what is under way on a connection.
MAX_TAKEN_BYTES: Final = 80 * 1024 * 1024
MAX_SMALL_TAKEN_BYTES: Final = 16 * 1024 * 1024
IDS: Final = b'X-Request-Id: own\r\nX-Not-Executed: true\r\n'

Session = aiohttp.ClientSession
Call = Callable[[str, Session], Awaitable[bool]]


async def read_tail(address: str, session: Session) -> bool:
    """Read a topic of the store from an offset on."""
    client = StoreClient(address, session, SystemClock())
    result = await client.read(CONFIGURATION_STREAM, 3)
    return isinstance(result, Err)


async def read_newest(address: str, session: Session) -> bool:
    """Read the newest records of a topic of the store."""
    client = StoreClient(address, session, SystemClock())
    return isinstance(await client.read(SERVERS_STREAM, -1), Err)


async def register(address: str, session: Session) -> bool:
    """Append to a topic of the store."""
    client = StoreClient(address, session, SystemClock())
    return not await client.register('h', '127.0.0.1:7')


async def read_hosts(address: str, session: Session) -> bool:
    """Read the list of hosts."""
    client = HttpHostListClient(f'http://{address}', session)
    return await client.read() == Err(PlatformFailure.unavailable)


async def append_to_log(address: str, session: Session) -> bool:
    """Append to the log."""
    client = HttpLogClient(f'http://{address}', session)
    return await client.append('s', 'x') == Err(PlatformFailure.in_doubt)


async def read_log(address: str, session: Session) -> bool:
    """Read the log."""
    client = HttpLogClient(f'http://{address}', session)
    return await client.read('s', 0, 0) == Err(PlatformFailure.unavailable)


async def call_service(address: str, session: Session) -> bool:
    """Call a plain service, which may have run the call."""
    client = HttpServiceClient(session, session, 1)
    call = ServiceCall('own', 'POST', '/x', 'text/plain', b'', 'key', SECONDS)
    result = await client.call(f'http://{address}', call)
    return result == Err(CallFailure.in_doubt)


async def call_engine(address: str, session: Session) -> bool:
    """Call an engine, which may have run the call."""
    client = HttpEngineClient(session, session, 1, 1)
    call = EngineCall('own', '/v1', {}, 0, 1000, is_at_most_once=True)
    items = [item async for item in client.stream(f'http://{address}', call)]
    end = items[-1]
    return isinstance(end, StreamEnd) and end.kind in {
        EndKind.interrupted,
        EndKind.crossed,
    }


async def body(status: str) -> AsyncIterator[bytes]:
    """Never end the body."""
    yield b'HTTP/1.1 %s\r\n%s\r\n' % (status.encode(), IDS)
    while True:
        yield b'z' * BLOCK


async def compressed_body(status: str) -> AsyncIterator[bytes]:
    """Send a body that is a thousand times larger when it is unpacked."""
    yield b'HTTP/1.1 %s\r\n%sContent-Encoding: deflate\r\n\r\n' % (
        status.encode(),
        IDS,
    )
    packer = zlib.compressobj()
    while True:
        yield packer.compress(b'z' * BLOCK * 16)


async def long_body(status: str) -> AsyncIterator[bytes]:
    """Announce a body that no host can hold."""
    yield b'HTTP/1.1 %s\r\n%sContent-Length: 99999999999\r\n\r\n' % (
        status.encode(),
        IDS,
    )
    while True:
        yield b'z' * BLOCK


async def interim_responses(_: str) -> AsyncIterator[bytes]:
    """Announce the answer without an end."""
    while True:
        yield b'HTTP/1.1 103 Early Hints\r\n\r\n' * 1000


async def chunk_extension(status: str) -> AsyncIterator[bytes]:
    """Never end the line of the first chunk."""
    yield b'HTTP/1.1 %s\r\n%sTransfer-Encoding: chunked\r\n\r\n5;' % (
        status.encode(),
        IDS,
    )
    while True:
        yield b'a=b;' * (BLOCK // 4)


async def trailers(status: str) -> AsyncIterator[bytes]:
    """Never end the trailers."""
    yield (
        b'HTTP/1.1 %s\r\n%sTransfer-Encoding: chunked\r\n\r\n'
        b'5\r\nwhole\r\n0\r\n' % (status.encode(), IDS)
    )
    while True:
        yield b'X-Trailer: y\r\n' * 1000


CALLS: Final[tuple[tuple[Call, str], ...]] = (
    (read_tail, '200 OK'),
    (read_tail, '500 Error'),
    (read_newest, '200 OK'),
    (register, '200 OK'),
    (read_hosts, '200 OK'),
    (append_to_log, '201 Created'),
    (read_log, '200 OK'),
    (call_service, '200 OK'),
    (call_engine, '200 OK'),
    (call_engine, '400 Bad'),
    (call_engine, '503 Full'),
)
ENDLESS: Final = (
    body,
    compressed_body,
    long_body,
    interim_responses,
    chunk_extension,
    trailers,
)


@pytest.mark.parametrize('pieces', ENDLESS)
@pytest.mark.parametrize(('call', 'status'), CALLS)
def test_an_answer_without_an_end_is_cut_off(
    call: Call, status: str, pieces: Callable[[str], AsyncIterator[bytes]]
) -> None:
    """Guards against memory that a client fills for as long as it waits."""
    sent = 0
    is_closed = asyncio.Event()

    async def handler(
        _: bytes, __: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal sent
        try:
            async for piece in pieces(status):
                writer.write(piece)
                await writer.drain()
                sent += len(piece)
                await asyncio.sleep(0)
        finally:
            is_closed.set()

    async def run() -> None:
        server = StandInServer(handler)
        await server.start()
        async with aiohttp.ClientSession(
            connector=BoundedConnector(), read_bufsize=READ_BYTES
        ) as session:
            began = time.monotonic()
            assert await call(server.address, session)
            assert time.monotonic() - began < SECONDS
            async with asyncio.timeout(2):
                await is_closed.wait()
        await server.stop()

    asyncio.run(run())
    is_log_page = call is read_log
    assert sent < (MAX_TAKEN_BYTES if is_log_page else MAX_SMALL_TAKEN_BYTES)


def test_bytes_that_no_request_waits_for_close_the_connection() -> None:
    """Guards against answers that are kept on an idle connection."""
    sent = 0
    is_closed = asyncio.Event()

    async def handler(
        _: bytes, __: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal sent
        answer = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(0.05)
        try:
            while True:
                writer.write(answer * 1000)
                await writer.drain()
                sent += len(answer) * 1000
                await asyncio.sleep(0)
        finally:
            is_closed.set()

    async def run() -> None:
        server = StandInServer(handler)
        await server.start()
        async with aiohttp.ClientSession(
            connector=BoundedConnector(), read_bufsize=READ_BYTES
        ) as session:
            async with session.get(f'http://{server.address}') as response:
                assert await response.read() == b'{}'
            async with asyncio.timeout(2):
                await is_closed.wait()
        await server.stop()

    asyncio.run(run())
    assert sent < MAX_SMALL_TAKEN_BYTES


@pytest.mark.parametrize('is_same_key', [True, False])
def test_pages_of_the_store_end(is_same_key: bool) -> None:
    """Guards against pages that begin again, or go on for ever."""
    count = 0

    async def handler(
        _: bytes, __: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal count
        count += 1
        key = 'same' if is_same_key else f'{count:09}'
        value = 'eHh4' * 200_000
        page = (
            f'{{"items": [{{"key": "{key}", "value": "{value}", "offset": 1}}],'
            ' "has_more": true, "end": 9}'
        ).encode()
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(page) + page
        )

    async def run() -> None:
        server = StandInServer(handler)
        await server.start()
        async with aiohttp.ClientSession() as session:
            client = StoreClient(server.address, session, SystemClock())
            async with asyncio.timeout(20):
                result = await client.read(SERVERS_STREAM, -1)
        await server.stop()
        assert result == Err(SourceFailure.unreadable)

    asyncio.run(run())
    assert count < 40


def test_answers_within_the_bounds_are_read_whole() -> None:
    """Guards against bounds that sound answers exceed."""
    page = b'{"items": [], "end": 9}'.ljust(1024 * 1024)

    async def handler(
        _: bytes, __: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(page) + page
        )

    async def run() -> None:
        server = StandInServer(handler)
        await server.start()
        async with aiohttp.ClientSession(
            connector=BoundedConnector(), read_bufsize=READ_BYTES
        ) as session:
            client = StoreClient(server.address, session, SystemClock())
            for _ in range(3):
                result = await client.read(SERVERS_STREAM, -1)
                assert isinstance(result, Ok)
            assert server.connection_count == 1
        await server.stop()

    asyncio.run(run())
