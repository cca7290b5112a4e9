"""A TCP proxy that can delay, reset or drop traffic."""

from __future__ import annotations

import asyncio
import contextlib

PASS_THROUGH = 'pass'
DELAY = 'delay'
RESET = 'reset'
SILENT = 'silent'
ONE_WAY = 'one way'
LINK_FAULTS = (DELAY, RESET, SILENT, ONE_WAY)
_DELAY_SECONDS = 0.15


class Proxy:
    """Forwards connections to a target; dropped data is never resent."""

    def __init__(self, target: tuple[str, int]) -> None:
        """Create a proxy for a target (host, port)."""
        self._target = target
        self._tasks: set[asyncio.Task[None]] = set()
        self.mode = PASS_THROUGH

    async def start(self, ip: str) -> str:
        """Listen on a free port of ``ip`` and return ``ip:port``."""
        self._server = await asyncio.start_server(self._accept, ip, 0)
        return f'{ip}:{self._server.sockets[0].getsockname()[1]}'

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == RESET:
            writer.transport.abort()
            return
        target_reader, target_writer = await asyncio.open_connection(
            *self._target
        )
        forwarders = (
            self._forward(reader, target_writer, {SILENT}),
            self._forward(target_reader, writer, {SILENT, ONE_WAY}),
        )
        try:
            await asyncio.gather(*forwarders)
        finally:
            for end in (writer, target_writer):
                end.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropping_modes: set[str],
    ) -> None:
        is_dropping = False
        while chunk := await reader.read(65536):
            if self.mode == RESET:
                raise ConnectionResetError
            is_dropping = is_dropping or self.mode in dropping_modes
            if is_dropping:
                continue
            if self.mode == DELAY:
                await asyncio.sleep(_DELAY_SECONDS)
            writer.write(chunk)
            await writer.drain()
        with contextlib.suppress(OSError):
            if is_dropping:
                raise ConnectionResetError
            writer.write_eof()
