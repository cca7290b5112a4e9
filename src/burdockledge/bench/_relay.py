"""A minimal HTTP proxy: the baseline of the latency benchmark."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Final

import aiohttp
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_PATH: Final = '/v1/chat/completions'
_REQUEST_ID: Final = 'X-Request-Id'


async def run_relay(address: str, engine_url: str) -> None:
    """Forward every request to one engine until SIGTERM."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    application = web.Application()
    application.cleanup_ctx.append(_open_session)
    application['engine_url'] = engine_url
    application.router.add_post(_PATH, _forward)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    ip, _, port = address.rpartition(':')
    await web.TCPSite(runner, ip, int(port), backlog=1024).start()
    await stop_requested.wait()
    await runner.cleanup()


async def _open_session(application: web.Application) -> AsyncIterator[None]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        application['session'] = session
        yield


async def _forward(request: web.Request) -> web.StreamResponse:
    session: aiohttp.ClientSession = request.app['session']
    url = f'{request.app["engine_url"]}{_PATH}'
    async with session.post(
        url,
        data=await request.read(),
        headers={_REQUEST_ID: request.headers.get(_REQUEST_ID, 'relay')},
    ) as upstream:
        response = web.StreamResponse(
            status=upstream.status,
            headers={'Content-Type': upstream.content_type},
        )
        await response.prepare(request)
        async for chunk in upstream.content.iter_any():
            await response.write(chunk)
        await response.write_eof()
        return response


__all__ = ('run_relay',)
