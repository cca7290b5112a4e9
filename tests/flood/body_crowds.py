"""Crowds whose request bodies, or whose calls in flight, fill a host."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Final

from tests.flood.flooded_host import FloodedHost, request_bytes
from tests.flood.hostile_crowds import Crowd, hold_connection, once
from tests.platform_adapter.front_harness import respond_ok
from tests.platform_adapter.standin_server import (
    Handler,
    response_bytes,
    send_and_receive,
)
from tests.soak._hosts import PORTS

# The host closes late heads after 3 s, and the servers answer after 1.5 s.
_CROWD_SECONDS: Final = 2.5
_SERVER_SECONDS: Final = 1.5
_DRIP_SECONDS: Final = 0.05
_EVENTS: Final = 20
_EVENT_SECONDS: Final = 0.1
_CHUNK: Final = b'3e8\r\n' + b'z' * 1000 + b'\r\n'


async def respond_late(
    head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Keep the callers waiting."""
    await asyncio.sleep(_SERVER_SECONDS)
    writer.write(response_bytes(head))


async def stream_slowly(
    head: bytes, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send an event again and again."""
    writer.write(
        response_bytes(head, b'').replace(
            b'Content-Length: 0', b'Content-Type: text/event-stream'
        )
    )
    for number in range(_EVENTS):
        writer.write(b'id: %d\ndata: x\n\n' % number)
        await writer.drain()
        await asyncio.sleep(_EVENT_SECONDS)


HANDLERS: Final[dict[str, Handler]] = {
    'good': respond_ok,
    'late': respond_late,
    'events': stream_slowly,
}


def kept_request(path: str, size: int) -> bytes:
    """Return a request of a connection that is kept open."""
    return request_bytes(path, 'k', body=b'z' * size).replace(
        b'Connection: close\r\n', b''
    )


def chunked_request(path: str, size: int) -> bytes:
    """Return a request in chunks whose last chunk is missing."""
    head = request_bytes(path, 'c').replace(
        b'Content-Length: 0', b'Transfer-Encoding: chunked'
    )
    return head + _CHUNK * (size // 1000)


# ``[:-1]``: one byte short of the end.
BODY_CROWDS: Final = (
    Crowd(
        'bodies short of their end',
        'front',
        560,
        once(kept_request('/good/unsafe/', 60_000)[:-1]),
    ),
    Crowd(
        'large bodies short of their end',
        'front',
        100,
        once(kept_request('/good/unsafe/', 1_000_000)[:-1]),
    ),
    Crowd(
        'bodies in chunks without an end',
        'front',
        560,
        once(chunked_request('/good/unsafe/', 60_000)),
    ),
    Crowd(
        'bodies piece by piece',
        'front',
        300,
        once(kept_request('/good/unsafe/', 400_000)[:-1], 20_000),
        _DRIP_SECONDS,
    ),
    Crowd(
        'whole bodies at a slow server',
        'front',
        560,
        once(kept_request('/late/unsafe/', 50_000)),
    ),
    Crowd(
        'large whole bodies at a slow server',
        'front',
        120,
        once(kept_request('/late/safe/', 1_000_000)),
    ),
    Crowd(
        'streams with large bodies',
        'front',
        60,
        once(kept_request('/events/streaming/', 2_600_000)),
    ),
    Crowd(
        'small calls in flight',
        'front',
        560,
        once(kept_request('/late/unsafe/', 10)),
    ),
    Crowd(
        'bodies sent ahead',
        'front',
        60,
        once(kept_request('/late/unsafe/', 50_000) * 20),
    ),
    Crowd(
        'bodies short of their end',
        'directory',
        560,
        once(kept_request('/good/unsafe/', 60_000)[:-1]),
    ),
    Crowd(
        'bodies short of their end',
        'control',
        560,
        once(kept_request('/prompt-parts', 60_000)[:-1]),
    ),
)


@contextlib.asynccontextmanager
async def crowded(host: FloodedHost, crowd: Crowd):
    """Keep a crowd at a host within the block, after it had time to act."""
    tasks = [
        asyncio.create_task(hold_connection(host.ip, PORTS[crowd.port], crowd))
        for _ in range(crowd.count)
    ]
    try:
        await asyncio.sleep(_CROWD_SECONDS)
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def call_until_answered(
    call: Callable[[], Awaitable[bytes]], seconds: float
) -> bytes:
    """Call until an answer is a success; return the last one in any case."""
    answer = b''
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            while not answer.startswith(b'HTTP/1.1 200'):
                answer = await call()
                await asyncio.sleep(_DRIP_SECONDS)
    return answer


async def upload(host: FloodedHost, size: int) -> bytes:
    """Upload one body; return what is answered in time."""
    return await send_and_receive(
        f'{host.ip}:{PORTS["front"]}',
        request_bytes('/good/unsafe/', 'upload', body=b'z' * size),
    )


__all__ = (
    'BODY_CROWDS',
    'HANDLERS',
    'call_until_answered',
    'crowded',
    'upload',
)
