"""Reads of the store, when no other host shares a recent read in time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from result import Err

from burdockledge.kernel import TaskGroupService
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.replication._exchange import GossipExchange
    from burdockledge.replication._schedule import ReadSchedule
    from burdockledge.replication._source import RecordSource

_log = make_logger('reader')

# The longest time for which a starting host waits for the streams from its
# peers before it reads the store; some round trips between data centres.
_STARTUP_WAIT_SECONDS: Final = 0.1
_MIN_SLEEP_SECONDS: Final = 0.02
_REGISTRATION_RETRY_SECONDS: Final = 1.0
# The store is logged as lost after this many failed reads in a row.
_FAILURES_UNTIL_LOST: Final = 2


class StoreReader(TaskGroupService):
    """
    Keeps the streams up to date and registers this host in the store.

    ``list_hosts`` returns the names of the hosts that share the reads.
    ``on_registered_addresses`` is called once, with the peer addresses of all
    hosts that the store lists. ``read_count`` counts reads of single streams,
    ``failure_counts`` those that failed, by the name of the failure.
    """

    name = 'store-reader'

    def __init__(
        self,
        own_host: str,
        peer_address: str,
        streams: tuple[str, ...],
        source: RecordSource,
        exchange: GossipExchange,
        schedule: ReadSchedule,
        clock: Clock,
        random: Random,
    ) -> None:
        """Create a reader that publishes its reads through an exchange."""
        super().__init__()
        self._own_host = own_host
        self._peer_address = peer_address
        self._streams = streams
        self._source = source
        self._exchange = exchange
        self._schedule = schedule
        self._clock = clock
        self._random = random
        self._first_read_at = 0.0
        self._is_store_lost = False
        self.list_hosts: Callable[[], list[str]] = list
        self.on_registered_addresses: (
            Callable[[tuple[str, ...]], None] | None
        ) = None
        self.read_count = 0
        self.failure_counts: Counter[str] = Counter()
        self._last_failure = ''

    async def start(self) -> None:
        """Start to read the streams and to register this host."""
        first_wait = self._random.uniform(0.2, 1) * _STARTUP_WAIT_SECONDS
        self._first_read_at = self._clock.monotonic() + first_wait
        self.supervise(self._read_forever)
        self.supervise(self._register_and_list_hosts)

    async def _read_forever(self) -> None:
        while True:
            wait = self._due_at() - self._clock.monotonic()
            if wait > 0:
                await asyncio.sleep(max(wait, _MIN_SLEEP_SECONDS))
                continue
            await self._read()

    def _due_at(self) -> float:
        fresh_times = [
            self._exchange.state(stream).fresh_at for stream in self._streams
        ]
        known_times = [
            fresh_at for fresh_at in fresh_times if fresh_at is not None
        ]
        if len(known_times) < len(fresh_times):
            due_at = self._first_read_at
            if self._schedule.consecutive_failures:
                due_at = self._clock.monotonic()
            return max(due_at, self._retry_at())
        return self._schedule.due_at(
            self._own_host,
            self.list_hosts(),
            min(known_times),
            self._random.random(),
        )

    def _retry_at(self) -> float:
        return self._schedule.due_at(
            self._own_host, (), self._first_read_at - 1, self._random.random()
        )

    async def _read(self) -> None:
        if self._schedule.consecutive_failures:
            # After a failure, read one stream at a time to limit the load.
            succeeded = True
            for stream in self._streams:
                succeeded = succeeded and await self._read_stream(stream)
        else:
            results = await asyncio.gather(
                *(self._read_stream(stream) for stream in self._streams),
            )
            succeeded = all(results)
        self._schedule.record_read(succeeded, self._clock.monotonic())
        self._update_is_store_lost()

    async def _read_stream(self, stream: str) -> bool:
        state = self._exchange.state(stream)
        self.read_count += 1
        result = await self._source.read(stream, state.position)
        if isinstance(result, Err):
            self.failure_counts[result.err_value.name] += 1
            self._last_failure = f'{stream}: {result.err_value.value}'
            _log.debug(
                'Read failed.', stream=stream, why=result.err_value.value
            )
            return False
        self._exchange.publish(result.ok_value)
        return True

    def _update_is_store_lost(self) -> None:
        is_lost = self._schedule.consecutive_failures >= _FAILURES_UNTIL_LOST
        if is_lost and not self._is_store_lost:
            _log.warning(
                'Store is lost.',
                failures=self._schedule.consecutive_failures,
                why=self._last_failure,
            )
        elif self._is_store_lost and not self._schedule.consecutive_failures:
            _log.info('Store is regained.')
        self._is_store_lost = is_lost or bool(
            self._is_store_lost and self._schedule.consecutive_failures
        )

    async def _register_and_list_hosts(self) -> None:
        while not await self._source.register(
            self._own_host, self._peer_address
        ):
            await self._wait_before_retry()
        result = await self._source.registered_hosts()
        while isinstance(result, Err):
            await self._wait_before_retry()
            result = await self._source.registered_hosts()
        if self.on_registered_addresses is not None:
            self.on_registered_addresses(tuple(result.ok_value.values()))

    async def _wait_before_retry(self) -> None:
        jitter = 1 + self._random.random()
        await asyncio.sleep(_REGISTRATION_RETRY_SECONDS * jitter)


__all__ = ('StoreReader',)
