"""Reads the store when no other host told of it in time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from result import Err

from burdockledge.kernel import TaskGroupService
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.replication._exchange import Exchange
    from burdockledge.replication._schedule import ReadSchedule
    from burdockledge.replication._source import RecordSource

_log = make_logger('reader')

# A starting host gives its peers this long, at most, to tell it the streams:
# some round trips between data centres.
_START_SECONDS: Final = 0.1
_SHORTEST_SLEEP_SECONDS: Final = 0.02
_REGISTER_RETRY_SECONDS: Final = 1.0
# A store that failed is lost after this many reads in a row.
_LOST_FAILURES: Final = 2


class StoreReader(TaskGroupService):
    """Keeps the streams fresh and lists this host in the store."""

    name = 'store-reader'

    def __init__(
        self,
        host: str,
        address: str,
        streams: tuple[str, ...],
        source: RecordSource,
        exchange: Exchange,
        schedule: ReadSchedule,
        clock: Clock,
        random: Random,
    ) -> None:
        """Read into an exchange by a schedule."""
        super().__init__()
        self._host = host
        self._address = address
        self._streams = streams
        self._source = source
        self._exchange = exchange
        self._schedule = schedule
        self._clock = clock
        self._random = random
        self._started_at = 0.0
        self._is_lost = False
        self.hosts: Callable[[], list[str]] = list
        self.on_addresses: Callable[[tuple[str, ...]], None] | None = None
        self.reads = 0

    async def start(self) -> None:
        """Start to read and to register."""
        first_wait = self._random.uniform(0.2, 1) * _START_SECONDS
        self._started_at = self._clock.monotonic() + first_wait
        self.spawn(self._read_forever())
        self.spawn(self._register())

    async def _read_forever(self) -> None:
        while True:
            wait = self._due_at() - self._clock.monotonic()
            if wait > 0:
                await asyncio.sleep(max(wait, _SHORTEST_SLEEP_SECONDS))
                continue
            await self._read()

    def _due_at(self) -> float:
        fresh = [self._exchange.state(name).fresh_at for name in self._streams]
        known = [moment for moment in fresh if moment is not None]
        if len(known) < len(fresh):
            due_at = self._started_at
            if self._schedule.failures:
                due_at = self._clock.monotonic()
            return max(due_at, self._retry_at())
        return self._schedule.due_at(
            self._host,
            self.hosts(),
            min(known),
            self._random.random(),
        )

    def _retry_at(self) -> float:
        return self._schedule.due_at(
            self._host, (), self._started_at - 1, self._random.random()
        )

    async def _read(self) -> None:
        if self._schedule.failures:
            # A store in trouble is asked for one stream at a time.
            succeeded = True
            for stream in self._streams:
                succeeded = succeeded and await self._read_stream(stream)
        else:
            results = await asyncio.gather(
                *(self._read_stream(stream) for stream in self._streams),
            )
            succeeded = all(results)
        self._schedule.note(succeeded, self._clock.monotonic())
        self._note_lost()

    async def _read_stream(self, stream: str) -> bool:
        state = self._exchange.state(stream)
        self.reads += 1
        found = await self._source.read(stream, state.position)
        if isinstance(found, Err):
            _log.debug('Read failed.', stream=stream, why=found.err_value.value)
            return False
        self._exchange.publish(found.ok_value)
        return True

    def _note_lost(self) -> None:
        is_lost = self._schedule.failures >= _LOST_FAILURES
        if is_lost and not self._is_lost:
            _log.warning('Store is lost.', failures=self._schedule.failures)
        elif self._is_lost and not self._schedule.failures:
            _log.info('Store is regained.')
        self._is_lost = is_lost or bool(
            self._is_lost and self._schedule.failures
        )

    async def _register(self) -> None:
        while not await self._source.register(self._host, self._address):
            await self._pause()
        found = await self._source.hosts()
        while isinstance(found, Err):
            await self._pause()
            found = await self._source.hosts()
        if self.on_addresses is not None:
            self.on_addresses(tuple(found.ok_value.values()))

    async def _pause(self) -> None:
        jitter = 1 + self._random.random()
        await asyncio.sleep(_REGISTER_RETRY_SECONDS * jitter)


__all__ = ('StoreReader',)
