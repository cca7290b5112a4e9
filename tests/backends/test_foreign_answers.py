"""An answer to another call costs one call, not those after it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import pytest
from result import Err

from burdockledge.backends import (
    CallFailure,
    ClientSessions,
    EndKind,
    EngineCall,
    HttpEngineClient,
    HttpServiceClient,
    ServiceCall,
    StreamEnd,
    open_sessions,
)
from tests.platform_adapter.standin_server import StandInServer, header_value

IDS: Final = ('a', 'b', 'c', 'd')
# The true answer comes once the client has begun the next call.
PAUSE_SECONDS: Final = 0.02


def answer_to(request_id: str | None, status: str) -> bytes:
    """Return the bytes of an answer with an id."""
    body = f'data: {{"id":"{request_id}"}}\n\ndata: [DONE]\n\n'
    return (
        f'HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


async def call_service(url: str, sessions: ClientSessions, own_id: str) -> bool:
    """Return whether a call to a service was answered."""
    client = HttpServiceClient(sessions.pooled, sessions.unpooled, 1)
    call = ServiceCall(own_id, 'POST', '/x', 'a/b', b'x', '', 2)
    return (await client.call(url, call)).is_ok()


async def call_engine(url: str, sessions: ClientSessions, own_id: str) -> bool:
    """Return whether a generation was answered."""
    client = HttpEngineClient(sessions.pooled, sessions.unpooled, 1, 2)
    call = EngineCall(own_id, '/v1', {}, 0, 1000)
    items = [item async for item in client.stream(url, call)]
    return items[-1] == StreamEnd(EndKind.done)


Call = Callable[[str, ClientSessions, str], Awaitable[bool]]


@pytest.mark.parametrize('call', [call_service, call_engine])
@pytest.mark.parametrize('status', ['200 OK', '503 Busy', '404 None'])
def test_a_copy_of_an_answer_costs_one_call(status: str, call: Call) -> None:
    """Guards against a connection on which each answer comes one call late."""
    answered: list[bool] = []

    async def answer(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        own_id = header_value(head, 'X-Request-Id')
        if own_id == IDS[1]:
            writer.write(answer_to(IDS[0], status))
            await asyncio.sleep(PAUSE_SECONDS)
        writer.write(answer_to(own_id, '200 OK'))

    async def run() -> None:
        server = StandInServer(answer)
        await server.start()
        url = f'http://{server.address}'
        async with open_sessions() as sessions:
            answered.extend(
                [await call(url, sessions, own_id) for own_id in IDS]
            )
        await server.stop()

    asyncio.run(run())
    assert answered == [True, False, True, True]


@pytest.mark.parametrize('status', ['200 OK', '503 Busy', '404 None'])
def test_an_answer_without_an_id_is_no_answer_to_the_next_call(
    status: str,
) -> None:
    """Guards against the answer to one team that another one gets."""
    copy = f'HTTP/1.1 {status}\r\nContent-Length: 4\r\n\r\ncopy'

    async def answer(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        own_id = header_value(head, 'X-Request-Id')
        if own_id == IDS[1]:
            writer.write(copy.encode())
            await asyncio.sleep(PAUSE_SECONDS)
        writer.write(answer_to(own_id, '200 OK'))

    async def run() -> None:
        server = StandInServer(answer)
        await server.start()
        async with open_sessions() as sessions:
            client = HttpServiceClient(sessions.pooled, sessions.unpooled, 1)
            replies = [
                await client.call(
                    f'http://{server.address}',
                    ServiceCall(own_id, 'POST', '/x', 'a/b', b'x', '', 2),
                )
                for own_id in IDS
            ]
        await server.stop()
        assert replies[1] == Err(CallFailure.in_doubt)
        assert all(replies[place].is_ok() for place in (0, 2, 3))

    asyncio.run(run())


def test_a_service_that_names_no_ids_is_called_on_new_connections() -> None:
    """Guards against a service that is cut off as its answers lack ids."""

    async def answer(
        _: bytes, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')

    async def run() -> None:
        server = StandInServer(answer)
        await server.start()
        async with open_sessions() as sessions:
            client = HttpServiceClient(sessions.pooled, sessions.unpooled, 1)
            for own_id in IDS:
                call = ServiceCall(own_id, 'GET', '/x', 'a/b', b'', '', 2)
                reply = await client.call(f'http://{server.address}', call)
                assert reply.unwrap().body == b'ok'
        assert server.connection_count == len(IDS)
        await server.stop()

    asyncio.run(run())


def test_a_cookie_of_a_service_is_not_sent_with_other_calls() -> None:
    """Guards against a session of one caller that others take part in."""

    async def answer(
        head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        own_id = header_value(head, 'X-Request-Id')
        answer_bytes = answer_to(own_id, '200 OK')
        writer.write(
            answer_bytes.replace(b'\r\n', b'\r\nSet-Cookie: a=1\r\n', 1)
        )

    async def run() -> None:
        server = StandInServer(answer)
        await server.start()
        port = server.address.rpartition(':')[2]
        async with open_sessions() as sessions:
            for own_id in IDS:
                # Cookies are kept for names, not for addresses.
                assert await call_service(
                    f'http://localhost:{port}', sessions, own_id
                )
        await server.stop()
        assert not any(b'ookie' in head for head, _ in server.requests)

    asyncio.run(run())
