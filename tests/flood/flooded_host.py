"""One host process whose servers, store or callers send without an end."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any, Final

from aiohttp import web

from burdockledge.platform import _names as names
from tests.platform_adapter.standin_server import (
    Handler,
    StandInServer,
    send_and_receive,
)
from tests.platform_adapter.standin_store import StandInStore
from tests.soak._hosts import PORTS, SoakHost
from tests.soak._record import Record

READY_SECONDS: Final = 15.0
ROUTE_MS: Final = 2000
KINDS: Final = ('unsafe', 'safe', 'streaming')

StoreHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class FloodedHost:
    """A host process, a store and servers that each answer by a handler."""

    def __init__(
        self, folder: Path, kind: str, limits: dict[str, int] | None = None
    ) -> None:
        """
        Use loopback addresses that no other run is likely to use.

        :param limits: of the process, as in its settings file.
        """
        # The kind of the route that is flooded.
        self.kind = kind
        prefix = f'127.{os.getpid() % 200 + 20}.{secrets.randbelow(250) + 1}'
        self.ip = f'{prefix}.1'
        self._other_ip = f'{prefix}.200'
        self.record = Record()
        self.host = SoakHost('h1', self.ip, 'a', folder, self.record)
        self.store = StandInStore({'keyed.op': [], 'keyed.servers': []})
        # Answers instead of the store, if it is set.
        self.store_handler: StoreHandler | None = None
        self.log_path = folder / 'h1.log'
        self._limits = limits
        self._servers: list[StandInServer] = []
        self._runner = web.ServerRunner(
            web.Server(self._handle_store, access_log=None)
        )

    async def start(self, handlers: dict[str, Handler]) -> None:
        """
        Start all parts, and wait until the host is ready.

        :param handlers: how the server of each service answers.
        """
        for service, handler in handlers.items():
            server = StandInServer(handler)
            await server.start()
            self._servers.append(server)
            self._write('keyed.servers', f'{service}-1', {
                'backend': service, 'address': server.address, 'zone': 'a',
                'slots': 32, 'state': 'ready', 'seq': 1,
                'born': int(time.time() * 1000),
            })  # fmt: skip
        self._write('keyed.op', 'config', _configuration(handlers))
        await self._runner.setup()
        await web.TCPSite(self._runner, self._other_ip, 0).start()
        store_port = self._runner.addresses[0][1]
        self.host.write_settings(
            f'{self._other_ip}:{store_port}', [], 2, self._limits
        )
        await self.host.start()
        async with asyncio.timeout(READY_SECONDS):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop all parts."""
        await self.host.shut_down()
        for server in self._servers:
            await server.stop()
        await self._runner.cleanup()

    def resident_mebibytes(self) -> float:
        """Return the memory that the process holds now."""
        return self._status('VmRSS')

    def anonymous_mebibytes(self) -> float:
        """Return the memory of no file that the process holds now."""
        return self._status('RssAnon')

    def peak_mebibytes(self) -> float:
        """Return the most memory that the process has held."""
        return self._status('VmHWM')

    def open_descriptors(self) -> int:
        """Return the number of descriptors that the process has open."""
        return len(os.listdir(f'/proc/{self.host.pid}/fd'))

    def forget_peak(self) -> None:
        """Measure the peak from now on."""
        Path(f'/proc/{self.host.pid}/clear_refs').write_text('5')

    async def call(self, request: bytes, seconds: float = 2) -> bytes:
        """Send a request of a caller; return what is answered in time."""
        return await send_and_receive(
            f'{self.ip}:{PORTS["front"]}', request, seconds
        )

    async def counted_mebibytes(self) -> float:
        """Return what the host counts as held for callers."""
        text = await send_and_receive(
            f'{self.ip}:{PORTS["control"]}',
            b'GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
        )
        return sum(
            float(line.rpartition(' ')[2])
            for line in text.decode().splitlines()
            if line.startswith('burdockledge_caller_held_bytes{')
        ) / (1024 * 1024)

    async def open_silent_caller(self) -> asyncio.StreamWriter:
        """Open the connection of a caller who reads nothing."""
        reader, writer = await asyncio.open_connection(
            self.ip, PORTS['front'], limit=1
        )
        writer.transport.pause_reading()
        return writer

    def _status(self, name: str) -> float:
        text = Path(f'/proc/{self.host.pid}/status').read_text()
        kilobytes = text.split(f'{name}:')[1].split()[0]
        return int(kilobytes) / 1024

    async def _is_ready(self) -> bool:
        request = (
            f'GET {names.READY_PATH} HTTP/1.1\r\nHost: h\r\n'
            'Connection: close\r\n\r\n'
        ).encode()
        try:
            answer = await send_and_receive(
                f'{self.ip}:{PORTS["readiness"]}', request
            )
        except OSError:
            return False
        return answer.startswith(b'HTTP/1.1 200')

    async def _handle_store(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        if self.store_handler is not None:
            return await self.store_handler(request)
        return await self.store.handle(request)

    def _write(self, topic: str, key: str, content: dict[str, Any]) -> None:
        self.store.topics[topic].append((key, json.dumps(content).encode()))


def request_bytes(
    path: str, request_id: str, extra: str = '', body: bytes = b''
) -> bytes:
    """
    Return a request to the service and the route that a path names.

    :param path: ``/SERVICE/ROUTE/``.
    """
    lines = (
        f'POST {path}x HTTP/1.1',
        'Host: flood.example',
        f'Burdockledge-Request-Id: {request_id}',
        'Connection: close',
        f'Content-Length: {len(body)}',
    )
    return ('\r\n'.join(lines) + f'\r\n{extra}\r\n').encode() + body


def _configuration(services: Iterable[str]) -> dict[str, Any]:
    return {
        'version': 1,
        'routes': [
            {
                'name': f'{service}-{kind}', 'hostname': 'flood.example',
                'path_prefix': f'/{service}/{kind}/', 'route_type': kind,
                'timeout_ms': ROUTE_MS, 'target_latency_ms': 400,
                'priority': 0, 'backend': service, 'max_attempts': 2,
                'stream_resume': kind == 'streaming',
            }
            for service in services
            for kind in KINDS
        ],
        'backends': [{'name': service} for service in services],
        'tenants': None,
    }  # fmt: skip
