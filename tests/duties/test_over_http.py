"""Two holders, the store and the API on loopback."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random
from typing import ClassVar

import aiohttp
from aiohttp import web

from burdockledge.clock import SystemClock
from burdockledge.duties import Duty, DutyApi, DutyHolder, Lease
from burdockledge.platform import HttpDutyApi, HttpDutyStore
from burdockledge.telemetry import Metrics
from tests.duties.site import make_duty_settings
from tests.platform_adapter.standin_store import StandInStore

_POLL_SECONDS = 0.02


class _Reporter(Duty):
    name: ClassVar[str] = 'report'

    def __init__(self, api: DutyApi) -> None:
        self._api = api

    async def run(self, lease: Lease) -> float:
        if await lease.write('usage/0', b'{}'):
            await self._api.report_usage(lease, b'{}')
        return 0.05

    def forget(self) -> None:
        """Keep nothing."""


async def _serve(handler: object) -> tuple[web.ServerRunner, str]:
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    return runner, f'127.0.0.1:{runner.addresses[0][1]}'


def test_a_stopped_holder_is_followed_by_the_next_one() -> None:
    """Guards against parts that fit only their stand-ins."""

    async def run() -> None:
        calls: list[tuple[str, int]] = []

        async def take_call(request: web.BaseRequest) -> web.Response:
            headers = request.headers
            token = int(headers['Burdockledge-Fence-Token'])
            calls.append((headers['Burdockledge-Duty-Holder'], token))
            return web.Response()

        async def wait_for_call(host: str) -> None:
            async with asyncio.timeout(10):
                while not calls or calls[-1][0] != host:
                    await asyncio.sleep(_POLL_SECONDS)

        store_runner, store_address = await _serve(StandInStore().handle)
        api_runner, api_address = await _serve(take_call)
        settings = replace(make_duty_settings(), api_address=api_address)
        async with aiohttp.ClientSession() as session:
            holders = {}
            for host in ('h1', 'h2'):
                holders[host] = DutyHolder(
                    host,
                    HttpDutyStore(store_address, session),
                    settings,
                    SystemClock(),
                    Random(host),
                    Metrics(),
                )
                holders[host].list_hosts = lambda: list(holders)
                holders[host].register(
                    _Reporter(HttpDutyApi(host, settings, SystemClock()))
                )
            await holders['h1'].start()
            await wait_for_call('h1')
            await holders['h2'].start()
            holders['h1'].release_soon()
            await wait_for_call('h2')
            for holder in holders.values():
                await holder.stop()
        hosts = [host for host, _ in calls]
        tokens = [token for _, token in calls]
        assert hosts == sorted(hosts)
        assert tokens == sorted(tokens)
        assert len(set(tokens)) == 2
        await api_runner.cleanup()
        await store_runner.cleanup()

    asyncio.run(run())
