"""The HTTP server of the simulated log."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from aiohttp import web

from burdockledge.standins._log_store import LogStore
from burdockledge.standins._serving import StandIn

if TYPE_CHECKING:
    from burdockledge.standins._settings import LogSettings

_MS_PER_SECOND: Final = 1000
_MAX_WAIT_SECONDS: Final = 30


class LogStandIn(StandIn):
    """
    A log with a token bucket that limits the append rate.

    Faults: outage, slow (factor), answer_lost (the record is stored, the
    answer is 503), append_lost (the record is not stored).
    """

    def __init__(self, settings: LogSettings) -> None:
        """Create an empty log."""
        super().__init__(settings)
        self._settings = settings
        self._store = LogStore(_wall_ms, settings.retention_seconds)
        self._appended = asyncio.Condition()
        self._append_tokens = settings.appends_per_second
        self._refilled_at = asyncio.get_running_loop().time()

    def routes(self) -> list[web.RouteDef]:
        """Return the append and read routes."""
        return [
            web.post('/streams/{name}/records', self._append),
            web.get('/streams/{name}/records', self._read),
        ]

    async def _append(self, request: web.Request) -> web.Response:
        body = await request.text()
        await self._append_delay()
        if self.faults.is_triggered('outage'):
            return web.Response(status=503)
        if not self._take_append_token():
            return web.Response(status=429)
        if self.faults.is_triggered('append_lost'):
            return web.Response(status=503)
        offset = self._store.append(request.match_info['name'], body)
        async with self._appended:
            self._appended.notify_all()
        if self.faults.is_triggered('answer_lost'):
            return web.Response(status=503)
        return web.json_response({'offset': offset}, status=201)

    async def _read(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        from_offset = int(request.query.get('from', '0'))
        wait_seconds = min(
            float(request.query.get('wait', '0')), _MAX_WAIT_SECONDS
        )
        if self.faults.is_triggered('outage'):
            return web.Response(status=503)
        await self._wait_for_record(name, from_offset, wait_seconds)
        if self.faults.is_triggered('outage'):
            return web.Response(status=503)
        page = self._store.read(name, from_offset)
        return web.json_response(text=page.model_dump_json())

    async def _wait_for_record(
        self,
        name: str,
        from_offset: int,
        seconds: float,
    ) -> None:
        try:
            async with asyncio.timeout(seconds), self._appended:
                await self._appended.wait_for(
                    lambda: self._store.next_offset(name) > from_offset,
                )
        except TimeoutError:
            return

    async def _append_delay(self) -> None:
        seconds = self._settings.append_ms / _MS_PER_SECOND
        await asyncio.sleep(seconds * self.faults.factor('slow'))

    def _take_append_token(self) -> bool:
        now = asyncio.get_running_loop().time()
        rate = self._settings.appends_per_second
        refilled_tokens = (now - self._refilled_at) * rate
        self._append_tokens = min(rate, self._append_tokens + refilled_tokens)
        self._refilled_at = now
        if self._append_tokens < 1:
            return False
        self._append_tokens -= 1
        return True


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


__all__ = ('LogStandIn',)
