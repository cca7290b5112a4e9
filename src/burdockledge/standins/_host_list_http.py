"""The HTTP server of the simulated host list."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from aiohttp import web
from pydantic import ValidationError

from burdockledge.platform_api import HostEntry
from burdockledge.standins._serving import StandIn

if TYPE_CHECKING:
    from burdockledge.standins._settings import HostListSettings

_MS_PER_SECOND: Final = 1000


class HostListStandIn(StandIn):
    """A host list whose changes become visible after a lag. Fault: outage."""

    def __init__(self, settings: HostListSettings) -> None:
        """Create an empty list."""
        super().__init__(settings)
        self._settings = settings
        self._visible_entries: dict[str, HostEntry] = {}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes to read the list and to put an entry."""
        return [
            web.get('/hosts', self._list),
            web.put('/hosts', self._put),
        ]

    async def _list(self, _request: web.Request) -> web.Response:
        if self.faults.is_triggered('outage'):
            return web.Response(status=503)
        return web.json_response(
            [
                entry.model_dump(mode='json')
                for entry in self._visible_entries.values()
            ],
        )

    async def _put(self, request: web.Request) -> web.Response:
        try:
            entry = HostEntry.model_validate_json(await request.read())
        except ValidationError as error:
            return web.Response(status=400, text=str(error))
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._settings.lag_ms / _MS_PER_SECOND,
            self._visible_entries.__setitem__,
            entry.name,
            entry,
        )
        return web.json_response({'name': entry.name})


__all__ = ('HostListStandIn',)
