"""No client of a host takes an answer that is none, or of unclear length."""

from __future__ import annotations

import asyncio
from typing import Final

import aiohttp
import pytest

from burdockledge.http_client import READ_BYTES, BoundedConnector
from tests.http_client.test_endless_answers import (
    IDS,
    Call,
    append_to_log,
    call_engine,
    call_service,
    read_hosts,
    read_log,
    read_newest,
    read_tail,
    register,
)
from tests.platform_adapter.standin_server import StandInServer

# Without the header by which a server says that a call has not run.
_IDS: Final = IDS.partition(b'X-Not')[0]
_LENGTH: Final = b'Content-Length: 2\r\n'
_CHUNKED: Final = b'Transfer-Encoding: chunked\r\n'
ANSWERS: Final = {
    'status 000': (b'HTTP/1.1 000 Odd', _LENGTH, b'{}'),
    'status 099': (b'HTTP/1.1 099 Odd', _LENGTH, b'{}'),
    'status 600': (b'HTTP/1.1 600 Odd', _LENGTH, b'{}'),
    'status 999': (b'HTTP/1.1 999 Odd', _LENGTH, b'{}'),
    'a status of two digits': (b'HTTP/1.1 20 OK', _LENGTH, b'{}'),
    'a status of four digits': (b'HTTP/1.1 2000 OK', _LENGTH, b'{}'),
    'no status': (b'HTTP/1.1 OK', _LENGTH, b'{}'),
    'two lengths': (
        b'HTTP/1.1 200 OK',
        _LENGTH + b'Content-Length: 1\r\n',
        b'{}',
    ),
    'length and chunks': (
        b'HTTP/1.1 200 OK',
        _LENGTH + _CHUNKED,
        b'2\r\n{}\r\n0\r\n\r\n',
    ),
    'an interim answer only': (b'HTTP/1.1 103 Early', b'', b''),
    'chunks without their end': (
        b'HTTP/1.1 200 OK',
        _CHUNKED,
        b'2\r\n{}\r\n',
    ),
    'half of the end of chunks': (
        b'HTTP/1.1 200 OK',
        _CHUNKED,
        b'2\r\n{}\r\n0\r\n',
    ),
    'an early end': (b'HTTP/1.1 200 OK', b'Content-Length: 3\r\n', b'{}'),
}  # fmt: skip
CALLS: Final = (
    read_tail,
    read_newest,
    register,
    read_hosts,
    append_to_log,
    read_log,
    call_service,
    call_engine,
)


@pytest.mark.parametrize('name', ANSWERS)
@pytest.mark.parametrize('call', CALLS)
def test_an_unclear_answer_is_a_failure(call: Call, name: str) -> None:
    """Guards against statuses and parts of bodies that pass for answers."""
    status_line, headers, body = ANSWERS[name]

    async def handler(
        _: bytes, __: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(status_line + b'\r\n' + _IDS + headers + b'\r\n' + body)
        await writer.drain()
        writer.close()

    async def run() -> None:
        server = StandInServer(handler)
        await server.start()
        async with aiohttp.ClientSession(
            connector=BoundedConnector(), read_bufsize=READ_BYTES
        ) as session:
            assert await call(server.address, session)
        await server.stop()

    asyncio.run(run())
