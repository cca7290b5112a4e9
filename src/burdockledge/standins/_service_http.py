"""The HTTP server of a simulated service that counts its executions."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from typing import TYPE_CHECKING, Final

from aiohttp import web

from burdockledge.standins._serving import StandIn

if TYPE_CHECKING:
    from burdockledge.standins._settings import PlainServiceSettings

_MS_PER_SECOND: Final = 1000
_REQUEST_ID: Final = 'X-Request-Id'
_KEY_HEADER: Final = 'Idempotency-Key'
_SILENCE_SECONDS: Final = 3600


class ServiceStandIn(StandIn):
    """
    A service that executes every call, even if its key was used before.

    Faults: slow (factor), silent (executes, answers after an hour),
    answer_lost (executes, aborts the connection), crash (aborts the
    connection before it executes), leaving (status 503).
    """

    def __init__(self, settings: PlainServiceSettings) -> None:
        """Create a service that has executed nothing."""
        super().__init__(settings)
        self._settings = settings
        self.executions: Counter[str] = Counter()

    def routes(self) -> list[web.RouteDef]:
        """Return the statistics route and the catch-all."""
        return [
            web.get('/executions', self._list_executions),
            web.route('*', '/{tail:.*}', self._execute),
        ]

    async def _list_executions(self, _request: web.Request) -> web.Response:
        return web.json_response(dict(self.executions))

    async def _execute(self, request: web.Request) -> web.Response:
        body = await request.read()
        if self.faults.is_triggered('leaving'):
            return web.Response(
                status=503,
                headers={
                    'X-Not-Executed': 'true',
                    _REQUEST_ID: request.headers.get(_REQUEST_ID, ''),
                },
            )
        if self.faults.is_triggered('crash'):
            return _abort_connection(request)
        key = request.headers.get(_KEY_HEADER, '')
        if key:
            self.executions[key] += 1
        seconds = (
            self._settings.work_ms / _MS_PER_SECOND * self.faults.factor('slow')
        )
        await asyncio.shield(asyncio.sleep(seconds))
        if self.faults.is_triggered('answer_lost'):
            return _abort_connection(request)
        if self.faults.is_triggered('silent'):
            await asyncio.sleep(_SILENCE_SECONDS)
        return web.json_response(
            {
                'service': self._settings.service_name,
                'path': request.path,
                'key': key,
                'body': hashlib.sha256(body).hexdigest(),
            },
            headers={_REQUEST_ID: request.headers.get(_REQUEST_ID, '')},
        )


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


__all__ = ('ServiceStandIn',)
