"""The platform's store, with a listener a host so that each can be refused."""

from __future__ import annotations

import asyncio
import json
import time
from random import Random

from aiohttp import web

from tests.platform_adapter.standin_store import StandInStore
from tests.soak._record import Record, Span

DOWN = 'down'
SLOW = 'slow'
LOST = 'lost'
SILENT = 'silent'
STORE_FAULTS = (DOWN, SLOW, LOST, SILENT)
_SLOW_SECONDS = 0.25
_LOST_SHARE = 0.4
_SILENT_SECONDS = 30


class SoakStore:
    """Keeps the topics; a fault may hold for some hosts only."""

    def __init__(self, record: Record, random: Random) -> None:
        """Create empty topics."""
        self._inner = StandInStore({'keyed.op': [], 'keyed.servers': []})
        self._record = record
        self._random = random
        self._runners: list[web.ServerRunner] = []
        self.faults: dict[str, str] = {}

    async def listen(self, host: str, ip: str) -> str:
        """Listen for one host and return the address."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._handle(host, request)

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, ip, 0).start()
        self._runners.append(runner)
        return f'{ip}:{runner.addresses[0][1]}'

    async def close(self) -> None:
        """Listen no more."""
        for runner in self._runners:
            await runner.cleanup()

    def configure(self, document: dict[str, object]) -> float:
        """Write a version of the configuration; return when."""
        self._write('keyed.op', 'config', json.dumps(document).encode())
        return time.monotonic()

    def write_server(self, server: str, content: dict[str, object]) -> None:
        """Write what a server says of itself, nothing if it left."""
        told = json.dumps(content).encode() if content else b''
        self._write('keyed.servers', server, told)

    def forget(self) -> None:
        """Delete the history; the newest record of each key stays."""
        for topic, rows in self._inner.topics.items():
            self._inner.first_offsets[topic] = len(rows)

    def note_fault(self, seconds: float) -> None:
        """Note that knowledge may be older by a fault from now on."""
        now = time.monotonic()
        self._record.store_faults.append(Span(now, now + seconds))

    def _write(self, topic: str, key: str, content: bytes) -> None:
        self._inner.topics[topic].append((key, content))

    async def _handle(
        self, host: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        fault = self.faults.get(host)
        if fault == DOWN:
            return web.Response(status=503)
        if fault == SILENT:
            await asyncio.sleep(_SILENT_SECONDS)
        if fault == SLOW:
            await asyncio.sleep(_SLOW_SECONDS)
        answer = await self._inner.handle(request)
        if fault == LOST and self._random.random() < _LOST_SHARE:
            transport = request.transport
            assert transport is not None
            transport.abort()
        return answer
