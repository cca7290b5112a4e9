"""Serves a stand-in over HTTP."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from random import Random
from typing import TYPE_CHECKING

from aiohttp import web
from pydantic import ValidationError

from burdockledge.kernel import on_stop_signal
from burdockledge.standins._faults import FaultCommand, FaultInjector

if TYPE_CHECKING:
    from burdockledge.standins._settings import StandInSettings


class StandIn(ABC):
    """A simulated server with a control endpoint that injects faults."""

    def __init__(self, settings: StandInSettings) -> None:
        """Create a stand-in without faults."""
        loop = asyncio.get_running_loop()
        self.random = Random(settings.seed)
        self.faults = FaultInjector(loop.time, self.random)

    @abstractmethod
    def routes(self) -> list[web.RouteDef]:
        """Return all routes except the control endpoint."""

    async def run(self) -> None:
        """Run the background work until cancelled."""
        await asyncio.Event().wait()

    def on_fault(self, command: FaultCommand) -> None:  # noqa: B027
        """Handle a fault that needs an immediate action."""

    def application(self) -> web.Application:
        """Return the application with every route."""
        application = web.Application(client_max_size=64 * 1024 * 1024)
        application.add_routes(
            [web.post('/control', self._control), *self.routes()],
        )
        return application

    async def _control(self, request: web.Request) -> web.Response:
        try:
            command = FaultCommand.model_validate_json(await request.read())
        except ValidationError as error:
            return web.Response(status=400, text=str(error))
        self.faults.apply(command)
        self.on_fault(command)
        return web.json_response({'fault': command.fault})


async def serve_stand_in(stand_in: StandIn, address: str) -> None:
    """Serve at ``IP:port`` until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    on_stop_signal(stop_requested.set)
    runner = web.AppRunner(
        stand_in.application(),
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=0,
    )
    await runner.setup()
    ip, _, port = address.rpartition(':')
    site = web.TCPSite(runner, ip.strip('[]'), int(port), backlog=1024)
    await site.start()
    background_task = asyncio.create_task(stand_in.run())
    await stop_requested.wait()
    background_task.cancel()
    await runner.cleanup()


__all__ = ('StandIn', 'serve_stand_in')
