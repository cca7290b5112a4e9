"""An in-memory fake of the platform's log, with outages and lost answers."""

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
_CALL_TIMEOUT_SECONDS: Final = 2
_LOG_PROCESS: Final = 'log'
_MAX_LATE_APPEND_SECONDS: Final = 8


class FakeLog(LogClient):
    """
    The log that all hosts of a site share.

    The probabilities inject faults into appends: the record is lost, it is
    stored but the answer is lost, or it is stored only after the caller was
    told that the result is in doubt.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        retention_seconds: float,
    ) -> None:
        """Create an empty log that takes times from the site's wall clock."""
        self._random = random
        self.store = LogStore(clock.wall_ms, retention_seconds)
        self._appended = asyncio.Event()
        self.is_down = False
        self.delay_factor = 1.0
        self.lost_answer_probability = 0.0
        self.lost_append_probability = 0.0
        self.late_append_probability = 0.0
        self.append_count = 0

    async def append(
        self,
        stream: str,
        body: str,
    ) -> Result[int, PlatformFailure]:
        """Append a record in the log's own process; inject the faults."""
        task = asyncio.get_running_loop().create_task(
            self._append_in_log(stream, body),
            context=process_context(_LOG_PROCESS),
        )
        return await asyncio.shield(task)

    async def _append_in_log(
        self,
        stream: str,
        body: str,
    ) -> Result[int, PlatformFailure]:
        await asyncio.sleep(_APPEND_SECONDS * self.delay_factor)
        if self.is_down or self._is_triggered(self.lost_append_probability):
            return Err(PlatformFailure.in_doubt)
        if self._is_triggered(self.late_append_probability):
            loop = asyncio.get_running_loop()
            loop.call_later(
                self._random.uniform(0, _MAX_LATE_APPEND_SECONDS),
                self._store_record,
                stream,
                body,
                context=process_context(_LOG_PROCESS),
            )
            return Err(PlatformFailure.in_doubt)
        offset = self._store_record(stream, body)
        if self._is_triggered(self.lost_answer_probability):
            return Err(PlatformFailure.in_doubt)
        return Ok(offset)

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_seconds: float,
    ) -> Result[LogPage, PlatformFailure]:
        """Read a page, waiting for a record as the real log does."""
        await asyncio.sleep(_APPEND_SECONDS * self.delay_factor)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        while not self.is_down:
            page = self.store.read(stream, from_offset)
            if page.records or loop.time() >= deadline:
                return Ok(page)
            await self._wait_for_append(deadline - loop.time())
        return Err(PlatformFailure.unavailable)

    def wake_readers(self) -> None:
        """Wake the waiting readers, for example at an outage."""
        self._appended.set()
        self._appended = asyncio.Event()

    def _store_record(self, stream: str, body: str) -> int:
        self.append_count += 1
        offset = self.store.append(stream, body)
        self.wake_readers()
        return offset

    async def _wait_for_append(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._appended.wait()
        except TimeoutError:
            return

    def _is_triggered(self, probability: float) -> bool:
        return probability > 0 and self._random.random() < probability


__all__ = ('FakeLog',)
