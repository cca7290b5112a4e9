"""Tests of background tasks that fail."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from burdockledge.clock import VirtualTimeLoop
from burdockledge.kernel import TaskGroupService


class FaultyService(TaskGroupService):
    """A service whose background work raises some times, then goes on."""

    name = 'faulty'

    def __init__(self, failures: int) -> None:
        """Create a service that has done nothing yet."""
        super().__init__()
        self.failures_left = failures
        self.started_at: list[float] = []

    async def start(self) -> None:
        """Do nothing; the tests choose how to start the work."""

    async def start_once(self) -> None:
        """Start the work as a plain task."""
        self.spawn(self.work())

    async def work(self) -> None:
        """Fail, or go on until the service stops."""
        self.started_at.append(asyncio.get_running_loop().time())
        if self.failures_left:
            self.failures_left -= 1
            _raise_deep_error()
        await asyncio.Event().wait()


def _raise_deep_error() -> None:
    raise RecursionError('too deep')


def run_for(
    loop: VirtualTimeLoop,
    service: TaskGroupService,
    start: Awaitable[None],
    seconds: float,
) -> None:
    """Start a service, let it run for some virtual time and stop it."""

    async def run() -> None:
        await start
        await asyncio.sleep(seconds)
        await service.stop()

    loop.run_until_complete(run())
    loop.shut_down()
