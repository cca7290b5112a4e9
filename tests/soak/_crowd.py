"""Connections that stop short of the end of their requests."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random

from tests.soak._hosts import PORTS, SoakHost

_MAX_BODY_BYTES = 400_000
_STAY_SECONDS = 3.0


class SoakCrowd:
    """Keeps connections open at random hosts, each with an unfinished body."""

    def __init__(self, hosts: list[SoakHost], random: Random) -> None:
        """Create a crowd without connections."""
        self._hosts = hosts
        self._random = random

    async def run(self, count: int) -> None:
        """Keep up to ``count`` connections until it is cancelled."""
        await asyncio.gather(*(self._run_one() for _ in range(count)))

    async def _run_one(self) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(0, 1))
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(_STAY_SECONDS):
                    await self._stop_short(self._random.choice(self._hosts).ip)

    async def _stop_short(self, ip: str) -> None:
        size = self._random.randrange(1000, _MAX_BODY_BYTES)
        reader, writer = await asyncio.open_connection(ip, PORTS['front'])
        try:
            writer.write(
                b'POST /order/crowd HTTP/1.1\r\nHost: soak.example\r\n'
                b'Burdockledge-Request-Id: crowd-%x\r\n'
                b'Content-Length: %d\r\n\r\n' % (id(writer), size)
            )
            writer.write(b'x' * (size - 1))
            await reader.read()
        finally:
            writer.transport.abort()


__all__ = ('SoakCrowd',)
