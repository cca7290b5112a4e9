"""A backend server and a caller on loopback, byte by byte."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

Handler = Callable[
    [bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


@dataclass
class StandInServer:
    """Reads requests with a length, and hands each head to a handler."""

    handler: Handler
    seen: list[tuple[bytes, bytes]] = field(default_factory=list)
    connections: int = 0
    address: str = ''

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Listen no more."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                body = await reader.readexactly(_length_of(head))
                self.seen.append((head, body))
                await self.handler(head, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def _length_of(head: bytes) -> int:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.partition(b':')[2])
    return 0


def header(head: bytes, name: str) -> str | None:
    """Return a header of a request's head."""
    for line in head.decode('latin-1').split('\r\n')[1:]:
        key, _, text = line.partition(':')
        if key.lower() == name.lower():
            return text.strip()
    return None


def answer(
    head: bytes, body: bytes = b'fine', status: str = '200 OK', extra: str = ''
) -> bytes:
    """Return the bytes of a signed answer to a request."""
    request_id = header(head, 'Burdockledge-Request-Id')
    lines = (
        f'HTTP/1.1 {status}',
        f'Burdockledge-Request-Id: {request_id}',
        'Burdockledge-Response-Seal: seal.1',
        f'Content-Length: {len(body)}',
    )
    text = '\r\n'.join(lines) + f'\r\n{extra}\r\n'
    return text.encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


async def exchange(address: str, request: bytes, seconds: float = 2) -> bytes:
    """Send bytes and return all that comes until the end or a pause."""
    ip, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(request)
    found = b''
    try:
        async with asyncio.timeout(seconds):
            while chunk := await reader.read(65536):
                found += chunk
    except (TimeoutError, ConnectionError):
        # The bytes that came are what the caller got.
        pass
    writer.close()
    return found
