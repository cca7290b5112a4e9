"""Requests to an entry host that drains, on loopback."""

from __future__ import annotations

import asyncio
import json

import pytest
import uuid6

from tests.gateway.running_host import (
    TEAM_KEY,
    RunningHost,
    run_host,
    stop_host,
)

CHAT = json.dumps(
    {
        'model': 'm',
        'messages': [{'role': 'user', 'content': 'hi'}],
        'metadata': {'tokens': 3},
    }
).encode()
# The path and the headers of a request of each kind.
KINDS: dict[str, tuple[str, str]] = {
    'chat': ('/v1/chat/completions', ''),
    'chat, at most once': (
        '/v1/chat/completions',
        'Burdockledge-Idempotent: false\r\nIdempotency-Key: {key}\r\n',
    ),
    'service': (
        '/v1/services/ledger/pay', 'Burdockledge-Idempotent: true\r\n',
    ),
    'service, at most once': (
        '/v1/services/ledger/pay', 'Idempotency-Key: {key}\r\n',
    ),
}  # fmt: skip
# Longer than a host without requests drains.
BODY_DELAY = 1.6
# An answer after this time does not follow from the body.
SLACK_SECONDS = 1.0


def request_parts(kind: str) -> tuple[bytes, bytes]:
    """Return the head and the body of a request."""
    path, headers = KINDS[kind]
    head = (
        f'POST {path} HTTP/1.1\r\nHost: h\r\n'
        f'Authorization: Bearer {TEAM_KEY}\r\n'
        f'{headers.format(key=uuid6.uuid7())}'
        f'Content-Type: application/json\r\n'
        f'Content-Length: {len(CHAT)}\r\n\r\n'
    )
    return head.encode(), CHAT


async def read_response(reader: asyncio.StreamReader) -> bytes:
    """Return the head of a response, and read its body."""
    head = await reader.readuntil(b'\r\n\r\n')
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            await reader.readexactly(int(line.partition(b':')[2]))
    return head


def run_count(running: RunningHost) -> int:
    """Return how many requests reached a server."""
    executed = len(running.engine.model.executed_request_ids)
    return executed + sum(running.service.executions.values())


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('is_kept', [True, False])
def test_a_request_during_the_drain_is_refused(
    kind: str, is_kept: bool
) -> None:
    """Guards against LOST: a late request is refused, and does not run."""

    async def run() -> None:
        async with run_host() as running:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', running.port
            )
            if is_kept:
                writer.write(b''.join(request_parts(kind)))
                assert b' 200 ' in await read_response(reader)
            count = run_count(running)
            drain = asyncio.create_task(running.host.drain())
            for _ in range(3):
                await asyncio.sleep(0.2)
                writer.write(b''.join(request_parts(kind)))
                head = await read_response(reader)
                assert b' 503 ' in head
                assert b'\r\nRetry-After: ' in head
                assert b'\r\nBurdockledge-Outcome: not-run\r\n' in head
            await drain
            assert run_count(running) == count
            writer.close()

    asyncio.run(run())


@pytest.mark.parametrize('kind', KINDS)
def test_a_request_whose_body_comes_during_the_drain_is_refused(
    kind: str,
) -> None:
    """Guards against LOST: the drain ends while a body is still to come."""

    async def run() -> None:
        async with run_host(header_timeout_seconds=4) as running:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', running.port
            )
            head, body = request_parts(kind)
            writer.write(head + body[:5])
            await asyncio.sleep(0.1)

            stopping = asyncio.create_task(stop_host(running.host))
            await asyncio.sleep(BODY_DELAY)
            writer.write(body[5:])
            loop = asyncio.get_running_loop()
            sent_at = loop.time()
            async with asyncio.timeout(6):
                response = await read_response(reader)
            assert b' 503 ' in response
            assert loop.time() - sent_at < SLACK_SECONDS
            assert run_count(running) == 0
            await stopping
            writer.close()

    asyncio.run(run())
