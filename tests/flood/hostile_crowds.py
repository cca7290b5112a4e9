"""Small crowds of connections that keep a host from its other callers."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from tests.flood.flooded_host import request_bytes

_CHUNKED_HEAD: Final = request_bytes('/good/unsafe/', 'c').replace(
    b'Content-Length: 0', b'Transfer-Encoding: chunked'
)
# One-byte chunks for more than the test takes; the body stays under the limit
# of the configuration.
_TINY_CHUNKS: Final = b'1\r\nx\r\n' * 4000
_PIECE_BYTES: Final = 16 * 1024


@dataclass(frozen=True)
class Crowd:
    """
    Connections that each send the same bytes and read nothing.

    ``pieces`` are sent one after another, each as the one before has left
    and ``pause_seconds`` have passed.
    """

    name: str
    port: str
    count: int
    pieces: Callable[[], Iterator[bytes]]
    pause_seconds: float = 0


async def hold_connection(
    ip: str, port: int, crowd: Crowd, tls: ssl.SSLContext | None = None
) -> None:
    """Send the bytes of one connection, and keep it until it is closed."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(
            ip, port, limit=1, ssl=tls
        )
        # The kernel's buffer fills, then what the host sends waits in it.
        writer.transport.pause_reading()
        try:
            for piece in crowd.pieces():
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(crowd.pause_seconds)
            await reader.read()
        finally:
            writer.transport.abort()


def once(
    sent: bytes, size: int = _PIECE_BYTES
) -> Callable[[], Iterator[bytes]]:
    """Return pieces of a size that make up some bytes."""

    def pieces() -> Iterator[bytes]:
        for start in range(0, len(sent), size):
            yield sent[start : start + size]

    return pieces


def endless(first: bytes, rest: bytes) -> Callable[[], Iterator[bytes]]:
    """Return a first piece that others follow without an end."""

    def pieces() -> Iterator[bytes]:
        yield first
        while True:
            yield rest

    return pieces


def unfinished_head(size: int) -> bytes:
    """Return a request head of some bytes that has no end."""
    line = b'X-Filler: ' + b'y' * 1000 + b'\r\n'
    begin = b'POST /good/unsafe/x HTTP/1.1\r\n'
    return begin + line * ((size - len(begin)) // len(line))


_HALF_BODY: Final = request_bytes(
    '/good/unsafe/', 'h', body=b'z' * 200_000
)[:-100_000]  # fmt: skip
_LONG_HALF_BODY: Final = request_bytes(
    '/good/unsafe/', 'h', body=b'z' * 400_000
)[:-100_000]  # fmt: skip
_PIPELINED_LARGE: Final = request_bytes(
    '/good/unsafe/', 'p', body=b'z' * 3000
).replace(b'Connection: close\r\n', b'')
_METRICS: Final = b'GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n'

# Of the front unless another listener is named.
CROWDS: Final = (
    Crowd('unfinished heads', 'front', 320, once(unfinished_head(60 * 1024))),
    Crowd(
        'heads over the limit',
        'front',
        320,
        endless(b'', unfinished_head(60_000)),
    ),
    Crowd('empty lines', 'front', 48, endless(b'', b'\r\n' * 8192)),
    Crowd('half bodies', 'front', 320, once(_HALF_BODY)),
    Crowd(
        'small bodies short of their end',
        'front',
        320,
        once(request_bytes('/good/unsafe/', 'b', body=b'z' * 1000)[:-1]),
    ),
    Crowd('requests sent ahead', 'front', 320, once(_PIPELINED_LARGE * 40)),
    Crowd('one-byte chunks', 'front', 24, endless(_CHUNKED_HEAD, _TINY_CHUNKS)),
    Crowd('idle connections', 'front', 420, once(b'')),
    Crowd(
        'unread large answers',
        'front',
        48,
        once(request_bytes('/large/unsafe/', 'l')),
    ),
    Crowd(
        'unread streams',
        'front',
        320,
        once(request_bytes('/events/streaming/', 's')),
    ),
    Crowd('unfinished heads', 'control', 320, once(unfinished_head(60 * 1024))),
    Crowd('empty lines', 'control', 48, endless(b'', b'\r\n' * 8192)),
    Crowd('half bodies', 'control', 320, once(_LONG_HALF_BODY)),
    Crowd('requests sent ahead', 'control', 320, once(_METRICS * 4000)),
    Crowd('idle connections', 'readiness', 420, once(b'')),
    Crowd('half bodies', 'directory', 320, once(_LONG_HALF_BODY)),
)

__all__ = (
    'CROWDS',
    'Crowd',
    'endless',
    'hold_connection',
    'once',
    'unfinished_head',
)
