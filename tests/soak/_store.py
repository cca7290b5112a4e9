"""Stand-in for the platform's store, with one listener per host."""

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
LOST_RESPONSE = 'lost'
SILENT = 'silent'
STORE_FAULTS = (DOWN, SLOW, LOST_RESPONSE, SILENT)
_SLOW_SECONDS = 0.25
_LOST_RESPONSE_SHARE = 0.4
_SILENT_SECONDS = 30


class SoakStore:
    """Serves the topics; faults are set separately for each host."""

    def __init__(self, record: Record, random: Random) -> None:
        """Create empty topics."""
        self._store_server = StandInStore({'keyed.op': [], 'keyed.servers': []})
        self._record = record
        self._random = random
        self._runners: list[web.ServerRunner] = []
        self.faults: dict[str, str] = {}

    async def listen(self, host: str, ip: str) -> str:
        """Listen for one host on a free port and return ``ip:port``."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._handle(host, request)

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, ip, 0).start()
        self._runners.append(runner)
        return f'{ip}:{runner.addresses[0][1]}'

    async def close(self) -> None:
        """Stop all listeners."""
        for runner in self._runners:
            await runner.cleanup()

    def write_configuration(self, document: dict[str, object]) -> float:
        """Write a configuration version; return the monotonic time in s."""
        self._write('keyed.op', 'config', json.dumps(document).encode())
        return time.monotonic()

    def write_server(self, server: str, content: dict[str, object]) -> None:
        """Write the registration of a server; an empty one removes it."""
        payload = json.dumps(content).encode() if content else b''
        self._write('keyed.servers', server, payload)

    def delete_history(self) -> None:
        """Delete the history except the newest record of each key."""
        for topic, rows in self._store_server.topics.items():
            self._store_server.first_offsets[topic] = len(rows)

    def record_fault(self, seconds: float) -> None:
        """Record a fault of all hosts' access, during which data is stale."""
        now = time.monotonic()
        self._record.store_faults.append(Span(now, now + seconds))

    def _write(self, topic: str, key: str, content: bytes) -> None:
        self._store_server.topics[topic].append((key, content))

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
        response = await self._store_server.handle(request)
        if (
            fault == LOST_RESPONSE
            and self._random.random() < _LOST_RESPONSE_SHARE
        ):
            transport = request.transport
            assert transport is not None
            transport.abort()
        return response
