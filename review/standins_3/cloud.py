"""A stand-in of the platform's API for duties that accepts every call."""

from __future__ import annotations

import asyncio
import contextlib

from review.standins_3 import wire


class Cloud:
    """Accepts usage reports and orders."""

    def __init__(self) -> None:
        self.address = ''

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self._server = server
        self.address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await wire.read_request(reader) is not None:
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
                await writer.drain()
        writer.close()
