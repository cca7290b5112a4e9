"""A model of an engine with continuous batching, without a transport."""

from __future__ import annotations

import asyncio
import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

    from burdockledge.standins._faults import FaultInjector
    from burdockledge.standins._settings import EngineSettings

_MS_PER_SECOND: Final = 1000
_MAX_KEPT_EVENTS: Final = 10_000


@dataclass(slots=True, eq=False)
class Generation:
    """
    One answer that waits for a slot or is being generated.

    The tokens from ``next_index`` up to, but not including, ``end_index``
    are still to be generated. ``tokens`` receives the index of each token,
    then None at the end. A fatal one crashes the engine as it begins.
    """

    request_id: str
    prompt_tokens: int
    prefix: str
    next_index: int
    end_index: int
    priority: int
    tokens: asyncio.Queue[int | None] = field(default_factory=asyncio.Queue)
    is_cancelled: bool = False
    is_fatal: bool = False


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A stored or evicted prefix; a gap in ``serial`` shows a lost event."""

    serial: int
    at: float
    kind: str
    prefix: str


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """The running and waiting generations at a clock time in seconds."""

    at: float
    running: int
    waiting: int


class EngineModel:
    """An engine with slots, token times, a prefix cache and faults."""

    def __init__(
        self,
        settings: EngineSettings,
        faults: FaultInjector,
        random: Random,
    ) -> None:
        """Create an idle engine."""
        self._settings = settings
        self._faults = faults
        self._random = random
        self._waiting: list[tuple[int, int, Generation]] = []
        self._submit_numbers = count()
        self._running: list[Generation] = []
        self._has_work = asyncio.Event()
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0
        self._event_serial = count()
        self._events: deque[CacheEvent] = deque(maxlen=_MAX_KEPT_EVENTS)
        self._reports: deque[EngineLoad] = deque(maxlen=_MAX_KEPT_EVENTS)
        self.executed_request_ids: list[str] = []
        self.generated_tokens = 0
        self.cache_hits = 0

    @property
    def in_flight(self) -> int:
        """The number of generations that run or wait."""
        return len(self._running) + len(self._waiting)

    def submit(self, generation: Generation) -> None:
        """Queue a generation; the lowest priority number is served first."""
        self.executed_request_ids.append(generation.request_id)
        heapq.heappush(
            self._waiting,
            (generation.priority, next(self._submit_numbers), generation),
        )
        self._has_work.set()

    def cancel(self, generation: Generation) -> None:
        """Stop a generation and free its slot."""
        generation.is_cancelled = True
        generation.tokens.put_nowait(None)

    def crash(self) -> None:
        """Cancel all generations and empty the prefix cache."""
        for generation in self._running:
            self.cancel(generation)
        for _, _, waiting in self._waiting:
            self.cancel(waiting)
        self._running.clear()
        self._waiting.clear()
        self._cache.clear()
        self._cached_tokens = 0

    def report(self, now: float) -> EngineLoad:
        """Return the newest load report that is at least the report lag old."""
        visible_until = now - self._settings.report_lag_ms / _MS_PER_SECOND
        for report in reversed(self._reports):
            if report.at <= visible_until:
                return report
        return EngineLoad(visible_until, 0, 0)

    def events(self, from_serial: int, now: float) -> list[CacheEvent]:
        """Return the cache events older than the report lag; some are lost."""
        visible_until = now - self._settings.report_lag_ms / _MS_PER_SECOND
        return [
            event
            for event in self._events
            if event.serial >= from_serial and event.at <= visible_until
        ]

    async def run(self) -> None:
        """Generate tokens until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            if not self._running and not self._waiting:
                self._record_load(loop.time())
                self._has_work.clear()
                await self._has_work.wait()
            prefill_seconds = self._admit(loop.time())
            step_seconds = (
                self._settings.token_ms / _MS_PER_SECOND + prefill_seconds
            )
            await asyncio.sleep(step_seconds * self._faults.factor('slow'))
            if self._faults.is_triggered('silent'):
                continue
            self._emit_tokens()
            self._record_load(loop.time())

    def _admit(self, now: float) -> float:
        """Fill the free slots; return the prefill time in seconds."""
        prefill_tokens = 0
        while self._waiting and len(self._running) < self._settings.slots:
            _, _, generation = heapq.heappop(self._waiting)
            if generation.is_cancelled:
                continue
            self._running.append(generation)
            prefill_tokens += self._uncached_tokens(generation, now)
        return (
            prefill_tokens
            / self._settings.prefill_tokens_per_ms
            / _MS_PER_SECOND
        )

    def _uncached_tokens(self, generation: Generation, now: float) -> int:
        prefix = generation.prefix
        if prefix in self._cache:
            self._cache.move_to_end(prefix)
            self.cache_hits += 1
            return 0
        self._cache[prefix] = generation.prompt_tokens
        self._cached_tokens += generation.prompt_tokens
        self._record_cache_event('stored', prefix, now)
        while self._cached_tokens > self._settings.cache_tokens:
            evicted, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens
            self._record_cache_event('evicted', evicted, now)
        return generation.prompt_tokens

    def _record_cache_event(self, kind: str, prefix: str, now: float) -> None:
        event = CacheEvent(next(self._event_serial), now, kind, prefix)
        if self._random.random() >= self._settings.event_loss:
            self._events.append(event)

    def _emit_tokens(self) -> None:
        still_running: list[Generation] = []
        for generation in self._running:
            if generation.is_cancelled:
                continue
            if generation.next_index < generation.end_index:
                generation.tokens.put_nowait(generation.next_index)
                generation.next_index += 1
                self.generated_tokens += 1
            if generation.next_index < generation.end_index:
                still_running.append(generation)
            else:
                generation.tokens.put_nowait(None)
        self._running = still_running

    def _record_load(self, now: float) -> None:
        report = EngineLoad(now, len(self._running), len(self._waiting))
        self._reports.append(report)


__all__ = ('CacheEvent', 'EngineModel', 'Generation', 'EngineLoad')
