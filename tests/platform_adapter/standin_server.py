"""A stand-in backend server, and helpers for raw HTTP messages."""

from __future__ import annotations

import asyncio
import socket
import ssl
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

Handler = Callable[
    [bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


@dataclass
class StandInServer:
    """
    A server that passes the head of each request to a handler.

    Bodies need a Content-Length; they are left to the handler if
    ``reads_bodies`` is false. ``requests`` holds the head and the body of each
    request; ``address`` is ``IP:port``.
    """

    handler: Handler
    requests: list[tuple[bytes, bytes]] = field(default_factory=list)
    connection_count: int = 0
    reads_bodies: bool = True
    address: str = ''

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Close the listener."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                body = b''
                if self.reads_bodies:
                    body = await reader.readexactly(_content_length(head))
                self.requests.append((head, body))
                await self.handler(head, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return int(line.partition(b':')[2])
    return 0


def header_value(head: bytes, name: str) -> str | None:
    """Return the value of a header in a message head."""
    for line in head.decode('latin-1').split('\r\n')[1:]:
        field_name, _, text = line.partition(':')
        if field_name.lower() == name.lower():
            return text.strip()
    return None


def response_bytes(
    head: bytes, body: bytes = b'fine', status: str = '200 OK', extra: str = ''
) -> bytes:
    """
    Return the bytes of a signed response to a request.

    :param head: head of the request, from which the request id is copied.
    :param extra: more header lines, each with its CRLF.
    """
    request_id = header_value(head, 'Burdockledge-Request-Id')
    lines = (
        f'HTTP/1.1 {status}',
        f'Burdockledge-Request-Id: {request_id}',
        'Burdockledge-Response-Seal: seal.1',
        f'Content-Length: {len(body)}',
    )
    text = '\r\n'.join(lines) + f'\r\n{extra}\r\n'
    return text.encode() + body


def unframed_head(head: bytes) -> bytes:
    """Return the head of a response whose body ends with its connection."""
    return response_bytes(head, b'').replace(b'Content-Length: 0\r\n', b'')


def chunked_head(head: bytes) -> bytes:
    """Return the head of a response with a chunked body."""
    return response_bytes(head, b'').replace(
        b'Content-Length: 0', b'Transfer-Encoding: chunked'
    )


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


async def send_and_receive(
    address: str,
    request: bytes,
    timeout_seconds: float = 2,
    tls: ssl.SSLContext | None = None,
) -> bytes:
    """Return what arrives until the peer closes or the timeout expires."""
    ip, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(ip, int(port), ssl=tls)
    writer.write(request)
    received = b''
    try:
        async with asyncio.timeout(timeout_seconds):
            while chunk := await reader.read(65536):
                received += chunk
    except (TimeoutError, ConnectionError):
        # The bytes received so far are the result.
        pass
    writer.close()
    return received
