"""Reads of the store, when no other host shares a recent read in time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Final

from result import Err

from burdockledge.kernel import TaskGroupService
from burdockledge.replication._schedule import (
    ReadSchedule,
    turn_delay_seconds,
)
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from random import Random

    from burdockledge.clock import Clock
    from burdockledge.replication._exchange import GossipExchange
    from burdockledge.replication._source import RecordSource, SourceFailure

_log = make_logger('reader')

# The longest time for which a starting host waits for the streams from its
# peers before it reads the store; some round trips between data centres.
_STARTUP_WAIT_SECONDS: Final = 0.1
_MIN_SLEEP_SECONDS: Final = 0.02
# How soon a stream is read once the read of another one has found that the
# store is back.
_TURN_SLEEP_SECONDS: Final = 0.1
_REGISTRATION_RETRY_SECONDS: Final = 1.0
# The store is logged as lost after this many failed reads in a row.
_FAILURES_UNTIL_LOST: Final = 2


class StoreReader(TaskGroupService):
    """
    Keeps the streams up to date and registers this host in the store.

    Each stream has a schedule of its own, so that one that fails does not
    delay the others. While all fail they are read in turn, with the load of a
    single one. ``list_hosts`` returns the names of the hosts that share
    the reads. ``on_registered_addresses`` is called once, with the peer
    addresses of all hosts that the store lists. ``read_count`` counts reads of
    single streams, ``failure_counts`` those that failed, by the name of the
    failure.
    """

    name = 'store-reader'

    def __init__(
        self,
        own_host: str,
        peer_address: str,
        streams: tuple[str, ...],
        source: RecordSource,
        exchange: GossipExchange,
        period_seconds: float,
        clock: Clock,
        random: Random,
    ) -> None:
        """
        Create a reader that publishes its reads through an exchange.

        :param period_seconds: how often one of the hosts reads each stream.
        """
        super().__init__()
        self._own_host = own_host
        self._peer_address = peer_address
        self._source = source
        self._exchange = exchange
        self._schedules = {
            stream: ReadSchedule(period_seconds) for stream in streams
        }
        self._clock = clock
        self._random = random
        self._first_read_at = 0.0
        # When this host began to read any stream, and the jitter of the turn
        # after it.
        self._last_begun_at = 0.0
        self._turn_jitter = 0.0
        self._lost_streams: set[str] = set()
        self._is_registering = True
        self.list_hosts: Callable[[], list[str]] = list
        self.on_registered_addresses: (
            Callable[[tuple[str, ...]], None] | None
        ) = None
        self.read_count = 0
        self.failure_counts: Counter[str] = Counter()

    async def start(self) -> None:
        """Start to read the streams and to register this host."""
        first_wait = self._random.uniform(0.2, 1) * _STARTUP_WAIT_SECONDS
        self._first_read_at = self._clock.monotonic() + first_wait
        for stream in self._schedules:
            self.supervise(partial(self._read_forever, stream))
        self.supervise(self._register_and_list_hosts)

    def set_period(self, period_seconds: float) -> None:
        """Set how often one of the hosts reads each stream, in seconds."""
        for schedule in self._schedules.values():
            schedule.set_period(period_seconds)

    def note_restore(self) -> None:
        """Register this host again in a store that may have lost it."""
        if not self._is_registering:
            self._is_registering = True
            self.spawn(self._register_again())

    async def _read_forever(self, stream: str) -> None:
        while True:
            wait = self._due_at(stream) - self._clock.monotonic()
            if wait > 0:
                if self._is_store_failing():
                    wait = min(wait, _TURN_SLEEP_SECONDS)
                await asyncio.sleep(max(wait, _MIN_SLEEP_SECONDS))
                continue
            await self._read(stream)

    def _is_store_failing(self) -> bool:
        return all(
            schedule.is_failing(self._exchange.state(stream).fresh_at)
            for stream, schedule in self._schedules.items()
        )

    def _due_at(self, stream: str) -> float:
        due_at = self._own_due_at(stream)
        if not self._is_store_failing():
            return due_at
        backoff_seconds = self._schedules[stream].backoff_seconds(
            self._turn_jitter
        )
        return max(due_at, self._last_begun_at + backoff_seconds)

    def _own_due_at(self, stream: str) -> float:
        schedule = self._schedules[stream]
        fresh_at = self._exchange.state(stream).fresh_at
        if fresh_at is not None:
            return schedule.due_at(
                self._own_host,
                self.list_hosts(),
                fresh_at,
                self._random.random(),
            )
        # The first read waits for the peers only; retries follow the backoff.
        retry_at = schedule.due_at(
            self._own_host, (), self._first_read_at - 1, self._random.random()
        )
        return max(self._first_read_at, retry_at)

    async def _read(self, stream: str) -> None:
        self.read_count += 1
        self._last_begun_at = self._clock.monotonic()
        self._turn_jitter = self._random.random()
        was_failing = self._is_store_failing()
        state = self._exchange.state(stream)
        result = await self._source.read(stream, state.position, state.era)
        self._schedules[stream].record_read(
            result.is_ok(), self._clock.monotonic()
        )
        if isinstance(result, Err):
            self._note_failure(stream, result.err_value)
            return
        if was_failing:
            for schedule in self._schedules.values():
                schedule.end_backoff()
        if stream in self._lost_streams:
            self._lost_streams.remove(stream)
            _log.info('Store is regained.', stream=stream)
        self._exchange.publish(result.ok_value)

    def _note_failure(self, stream: str, failure: SourceFailure) -> None:
        self.failure_counts[failure.name] += 1
        _log.debug('Read failed.', stream=stream, why=failure.value)
        failures = self._schedules[stream].consecutive_failures
        if failures >= _FAILURES_UNTIL_LOST and (
            stream not in self._lost_streams
        ):
            self._lost_streams.add(stream)
            _log.warning(
                'Store is lost.',
                stream=stream,
                failures=failures,
                why=failure.value,
            )

    async def _register(self) -> None:
        while not await self._source.register(
            self._own_host, self._peer_address
        ):
            await self._wait_before_retry()
        self._is_registering = False

    async def _register_again(self) -> None:
        host_count = len(self.list_hosts())
        await asyncio.sleep(
            turn_delay_seconds(host_count, self._random.random())
        )
        await self._register()
        _log.info('Host is registered again.')

    async def _register_and_list_hosts(self) -> None:
        await self._register()
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
