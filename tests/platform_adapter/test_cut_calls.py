"""Connections of callers that close before an answer is complete."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, MutableMapping
from typing import Any, Final

import pytest

from tests.platform_adapter.front_harness import (
    FrontHarness,
    request_bytes,
    respond_ok,
    run_with_front,
)
from tests.platform_adapter.standin_server import Handler, response_bytes
from tests.platform_adapter.test_front_stop import connect, read_to_end

LogLines = list[MutableMapping[str, Any]]
EVENT: Final = b'id: 1\ndata: x\n\n'
BODY_LEFT_OUT: Final = request_bytes('/unsafe/x', body=b'body')[:-2]


async def never_respond(
    _: bytes, reader: asyncio.StreamReader, __: asyncio.StreamWriter
) -> None:
    """Wait until the peer closes the connection."""
    assert await reader.read() == b''


async def begin_stream(
    head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send one event, and wait until the peer closes the connection."""
    writer.write(
        response_bytes(head, EVENT).replace(b'Length: 15', b'Length: 99')
    )
    assert await reader.read() == b''


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition, for a second at most."""
    async with asyncio.timeout(1):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize('is_stop', [True, False])
@pytest.mark.parametrize('handler', [never_respond, begin_stream])
def test_a_cut_answer_tells_who_closed_its_connection(
    handler: Handler, is_stop: bool, log: LogLines
) -> None:
    """Guards against a stop of the host that is logged as its caller's."""
    cause = 'host_stopped' if is_stop else 'caller_left'

    async def test(harness: FrontHarness) -> None:
        reader, writer = await connect(harness)
        writer.write(request_bytes('/stream/x'))
        await wait_until(lambda: len(harness.server.requests) == 1)
        await asyncio.sleep(0.05)
        if is_stop:
            await harness.front.stop()
            assert not (await read_to_end(reader)).endswith(b'0\r\n\r\n')
        writer.close()
        counter = harness.metrics.counter
        await wait_until(
            lambda: (
                counter('cut_answers', cause=cause, may_have_run='true') == 1
            )
        )
        (line,) = [line for line in log if line['event'] == 'Answered.']
        assert (line['request'], line['cause']) == ('r1', cause)

    run_with_front(handler, test)


@pytest.mark.parametrize('is_stop', [True, False])
def test_a_request_that_is_not_whole_has_a_line(
    is_stop: bool, log: LogLines
) -> None:
    """It never reaches a server, so its caller can safely send it again."""
    cause = 'host_stopped' if is_stop else 'caller_left'

    async def test(harness: FrontHarness) -> None:
        _, writer = await connect(harness)
        writer.write(BODY_LEFT_OUT)
        await asyncio.sleep(0.05)
        if is_stop:
            await harness.front.stop()
        writer.close()
        await wait_until(
            lambda: harness.metrics.counter('unread_requests', cause=cause) == 1
        )
        (line,) = [
            line for line in log if line['event'] == 'Request is not whole.'
        ]
        assert (line['request'], line['cause']) == ('r1', cause)
        assert harness.server.requests == []

    run_with_front(respond_ok, test)


DROPS: Final[dict[str, tuple[bytes, bool, str]]] = {
    'an invalid request': (
        request_bytes(extra='Burdockledge-Request-Id: r2\r\n'), False,
        'connection_closed',
    ),
    'a cut stream': (request_bytes('/stream/x'), False, 'connection_closed'),
    'a request in flight': (request_bytes('/unsafe/slow'), True, 'caller_left'),
}  # fmt: skip


@pytest.mark.parametrize('name', DROPS)
def test_requests_behind_one_that_closes_have_a_line(
    name: str, log: LogLines
) -> None:
    """Guards against whole requests that vanish without a trace."""
    first, leaves, cause = DROPS[name]

    async def handler(
        head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if b'/stream/' in head:
            writer.write(
                response_bytes(head, EVENT).replace(
                    b'Length: 15', b'Length: 99'
                )
            )
            await asyncio.sleep(0.05)
            writer.close()
        elif b'/slow' in head:
            await never_respond(head, reader, writer)
        else:
            writer.write(response_bytes(head))

    async def test(harness: FrontHarness) -> None:
        reader, writer = await connect(harness)
        behind = [
            request_bytes('/unsafe/behind').replace(b'r1', name)
            for name in (b'r8', b'r9')
        ]
        writer.write(b''.join([first, *behind]))
        if leaves:
            await asyncio.sleep(0.05)
            writer.close()
        else:
            await read_to_end(reader)
        counter = harness.metrics.counter
        await wait_until(
            lambda: (
                counter('cut_answers', cause=cause, may_have_run='false') == 2
            )
        )
        (line,) = [
            line for line in log if line['event'] == 'Requests were dropped.'
        ]
        assert (line['requests'], line['cause']) == (['r8', 'r9'], cause)
        assert not [h for h, _ in harness.server.requests if b'/behind' in h]

    run_with_front(handler, test)


def test_a_body_that_breaks_later_is_answered_at_once() -> None:
    """Guards against a request that is held for the idle time."""

    async def test(harness: FrontHarness) -> None:
        reader, writer = await connect(harness)
        writer.write(
            request_bytes('/unsafe/x').replace(
                b'Content-Length: 0', b'Transfer-Encoding: chunked'
            )
        )
        await asyncio.sleep(0.05)
        writer.write(b'zz\r\n')
        response = await read_to_end(reader)
        assert response.count(b'HTTP/1.') == 1
        assert response[9:12] == b'400'
        assert harness.server.requests == []

    run_with_front(respond_ok, test)
