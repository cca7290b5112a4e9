"""The platform's log in memory, with outages and lost answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from burdockledge.fakes._network import process_context
from burdockledge.platform_api import LogClient, LogPage, PlatformFailure
from burdockledge.standins import LogStore

if TYPE_CHECKING:
    from random import Random

    from burdockledge.clock import Clock

_APPEND_SECONDS: Final = 0.003
_TIMEOUT_SECONDS: Final = 2
_OUTSIDE: Final = 'log'
_LATEST_LANDING_SECONDS: Final = 8


class FakeLog(LogClient):
    """
    One log for all hosts of a site.

    An append can be lost, land with its answer lost, or land late.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        retention_seconds: float,
    ) -> None:
        """Create an empty log by the wall clock of the site."""
        self._random = random
        self.store = LogStore(clock.wall_ms, retention_seconds)
        self._appended = asyncio.Event()
        self.is_down = False
        self.delay_factor = 1.0
        self.answer_lost = 0.0
        self.append_lost = 0.0
        self.lands_late = 0.0
        self.appends = 0

    async def append(
        self,
        stream: str,
        body: str,
    ) -> Result[int, PlatformFailure]:
        """Append in the log's own process, subject to the faults."""
        task = asyncio.get_running_loop().create_task(
            self._append(stream, body),
            context=process_context(_OUTSIDE),
        )
        return await asyncio.shield(task)

    async def _append(
        self,
        stream: str,
        body: str,
    ) -> Result[int, PlatformFailure]:
        await asyncio.sleep(_APPEND_SECONDS * self.delay_factor)
        if self.is_down or self._strikes(self.append_lost):
            return Err(PlatformFailure.in_doubt)
        if self._strikes(self.lands_late):
            loop = asyncio.get_running_loop()
            loop.call_later(
                self._random.uniform(0, _LATEST_LANDING_SECONDS),
                self._land,
                stream,
                body,
                context=process_context(_OUTSIDE),
            )
            return Err(PlatformFailure.in_doubt)
        offset = self._land(stream, body)
        if self._strikes(self.answer_lost):
            return Err(PlatformFailure.in_doubt)
        return Ok(offset)

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_seconds: float,
    ) -> Result[LogPage, PlatformFailure]:
        """Read, waiting for a record as the real log does."""
        await asyncio.sleep(_APPEND_SECONDS * self.delay_factor)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        while not self.is_down:
            page = self.store.read(stream, from_offset)
            if page.records or loop.time() >= deadline:
                return Ok(page)
            await self._wait(deadline - loop.time())
        return Err(PlatformFailure.unavailable)

    def wake(self) -> None:
        """Wake the waiting readers, as at an outage."""
        self._appended.set()
        self._appended = asyncio.Event()

    def _land(self, stream: str, body: str) -> int:
        self.appends += 1
        offset = self.store.append(stream, body)
        self.wake()
        return offset

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._appended.wait()
        except TimeoutError:
            return

    def _strikes(self, probability: float) -> bool:
        return probability > 0 and self._random.random() < probability


__all__ = ('FakeLog',)
