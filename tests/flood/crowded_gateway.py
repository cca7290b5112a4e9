"""A process of ``burdockledge serve``, and a stand-in for its log."""

from __future__ import annotations

import asyncio
import json
import os
import ssl
import sys
from pathlib import Path
from typing import Final

from aiohttp import web
from aiohttp.test_utils import TestServer

from burdockledge.configuration import hash_key
from burdockledge.standins import LogSettings, LogStandIn
from tests.gateway.running_host import (
    OPERATOR_KEY,
    TEAM_KEY,
    make_configuration,
)
from tests.platform_adapter.standin_server import send_and_receive
from tests.ports import free_port
from tests.soak._hosts import ROOT

HEALTH_REQUEST: Final = (
    b'GET /health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
)
LEDGER_PATH: Final = '/v1/services/ledger/x'
_READY_SECONDS: Final = 15.0
_SERVICE_SECONDS: Final = 1.5
_MAX_BODY_BYTES: Final = 4 * 1024 * 1024


async def _respond_late(request: web.Request) -> web.Response:
    """Read a call of a service, and keep its caller waiting."""
    await request.read()
    await asyncio.sleep(_SERVICE_SECONDS)
    return web.Response(text='fine')


def ledger_request(size: int) -> bytes:
    """Return a call of the slow service, on a connection that is kept."""
    return (
        f'POST {LEDGER_PATH} HTTP/1.1\r\nHost: h\r\n'
        f'Authorization: Bearer {TEAM_KEY}\r\n'
        f'Burdockledge-Idempotent: true\r\nContent-Length: {size}\r\n\r\n'
    ).encode() + b'z' * size


class CrowdedGateway:
    """One process with limits of memory and descriptors."""

    def __init__(
        self,
        folder: Path,
        limits: dict[str, object],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """
        Create a gateway without starting its process.

        :param limits: settings by name.
        :param tls: with which to call it, None without TLS.
        """
        self._tls = tls
        service = web.Application(client_max_size=_MAX_BODY_BYTES)
        service.router.add_route('*', '/{tail:.*}', _respond_late)
        self._service_server = TestServer(service)
        self._log_path = folder / 'serve.log'
        self._limits = limits
        self.ip = '127.0.0.1'
        self.port = free_port()
        self._log_server = TestServer(
            LogStandIn(
                LogSettings(address='127.0.0.1:1', append_ms=0)
            ).application()
        )

    async def start(self) -> None:
        """Start the process, and wait until it answers."""
        await self._log_server.start_server()
        names = {
            'host_id': 'h1',
            'data_centre': 'dc1',
            'caller_address': f'{self.ip}:{self.port}',
            'peer_address': f'{self.ip}:{free_port()}',
            'log_url': str(self._log_server.make_url('')).rstrip('/'),
            'peer_keys': 'a key of sixteen characters',
            'operator_key_hashes': hash_key(OPERATOR_KEY),
            **{name: str(limit) for name, limit in self._limits.items()},
        }
        settings = {
            f'BURDOCKLEDGE_{name.upper()}': text for name, text in names.items()
        }
        with self._log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, '-m', 'burdockledge', 'serve',
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONPATH': f'{ROOT}/src', **settings},
                start_new_session=True,
            )  # fmt: skip
        async with asyncio.timeout(_READY_SECONDS):
            while not await self.call(HEALTH_REQUEST):
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop the process and the log."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self._log_server.close()
        await self._service_server.close()

    async def publish_service(self) -> None:
        """Publish a configuration with the slow service."""
        await self._service_server.start_server()
        url = str(self._service_server.make_url('')).rstrip('/')
        body = json.dumps(
            {'id': 'p', 'base': 0, 'patch': make_configuration(url, url)}
        )
        answer = await self.call(
            (
                'POST /admin/configuration/patches HTTP/1.1\r\nHost: h\r\n'
                f'Authorization: Bearer {OPERATOR_KEY}\r\n'
                'Connection: close\r\n'
                f'Content-Length: {len(body)}\r\n\r\n{body}'
            ).encode()
        )
        if not answer.startswith(b'HTTP/1.1 200'):
            raise RuntimeError(answer)

    async def call(self, request: bytes) -> bytes:
        """Send a request; return what is answered in time."""
        try:
            return await send_and_receive(
                f'{self.ip}:{self.port}', request, tls=self._tls
            )
        except OSError:
            return b''

    def mebibytes(self, name: str) -> float:
        """Return a memory figure of the process."""
        text = Path(f'/proc/{self.process.pid}/status').read_text()
        return int(text.split(f'{name}:')[1].split()[0]) / 1024

    def open_descriptors(self) -> int:
        """Return the number of descriptors that the process has open."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))


__all__ = (
    'HEALTH_REQUEST',
    'LEDGER_PATH',
    'CrowdedGateway',
    'ledger_request',
)
