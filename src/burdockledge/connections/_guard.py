"""Applies the bounds over all connections of a process."""

from __future__ import annotations

import asyncio
import math
from abc import ABC, abstractmethod
from collections import Counter, deque
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Final

from burdockledge.connections._holdings import (
    CloseCause,
    HeldBytes,
    Holding,
    choose_closed,
)
from burdockledge.connections._limits import (
    CALM_BYTES,
    CONNECTION_BYTES,
    SPARE_CONNECTIONS,
    ConnectionLimits,
    derive_limits,
)
from burdockledge.connections._rooms import CALL_BYTES, RoomKeeper
from burdockledge.telemetry import make_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from burdockledge.connections._process_memory import ProcessMemory
    from burdockledge.telemetry import Metrics

_log = make_logger('connections')

# Postponed pieces that are parsed in one turn of the event loop, of all
# connections together: 2 KiB of one-byte chunks take about 1 ms each.
_PIECES_PER_TURN: Final = 4
_MEASURED_KINDS: Final = ('heads', 'requests', 'responses')
# What connections hold besides bodies and calls may take this part of the
# bound, whatever the others take: a response that has begun is not broken off
# for a new request or connection.
_MEASURED_DIVISOR: Final = 2
# The bounds follow what is held in calm: the process learns as it runs.
_CALM_PERIOD_SECONDS: Final = 5.0
_MAX_CALM_HELD_BYTES: Final = 1024 * 1024
# Freed memory is returned to the system if it is worth the work, and at most
# this often.
_MIN_TRIMMED_BYTES: Final = 4 * 1024 * 1024
_TRIM_SECONDS: Final = 0.5


@dataclass(frozen=True, slots=True)
class ConnectionBudget:
    """
    The limits of a process, from which the bounds are derived.

    ``connection_bytes`` is what an open connection takes.
    """

    memory_bytes: int | None
    max_descriptors: int | None
    connection_bytes: int = CONNECTION_BYTES

    def derive(self, calm_bytes: int) -> ConnectionLimits:
        """Return the bounds, given what the process holds in calm."""
        return derive_limits(
            self.memory_bytes,
            self.max_descriptors,
            calm_bytes,
            self.connection_bytes,
        )


class GuardedTransport(ABC):
    """A connection as the guard sees it."""

    # The bytes that the guard has counted, and since when there are any.
    counted_bytes = 0
    holds_since = 0.0
    # Whether it belongs to a listener for callers.
    is_for_callers = True

    @property
    @abstractmethod
    def is_idle(self) -> bool:
        """Whether the connection waits for the head of a request."""

    @property
    def awaits_caller(self) -> bool:
        """Whether it waits for bytes of its caller."""
        return self.is_idle

    @property
    @abstractmethod
    def room_bytes(self) -> int:
        """What the request in progress holds for its body and its call."""

    @abstractmethod
    def holds_nothing(self) -> bool:
        """Return whether there is nothing to count, at little cost."""

    @abstractmethod
    def measure(self) -> HeldBytes:
        """Return what the connection holds now."""

    @abstractmethod
    def close_for(self, cause: CloseCause) -> None:
        """Close the connection at once, and drop what it holds."""

    @abstractmethod
    def parse_next(self) -> bool:
        """Parse one postponed piece; return whether another can follow."""


class ConnectionGuard:
    """The open connections of a process, and what they hold."""

    def __init__(
        self,
        budget: ConnectionBudget,
        metrics: Metrics,
        clock: Callable[[], float],
        memory: ProcessMemory,
    ) -> None:
        """
        Create a guard without connections.

        :param clock: returns a monotonic time in seconds.
        """
        self._budget = budget
        self.limits = budget.derive(CALM_BYTES)
        self._memory = memory
        self._calm_noted_at = -math.inf
        # The most that was held since freed memory was last returned.
        self._peak_bytes = 0
        self._trim_handle: asyncio.TimerHandle | None = None
        self._metrics = metrics
        self._clock = clock
        self._connections: set[GuardedTransport] = set()
        self._total = 0
        self.rooms: RoomKeeper[GuardedTransport] = RoomKeeper(
            clock,
            self.limits.held_bytes,
            self._other_bytes,
            self._close_stalled,
            self._note_freed,
        )
        self._postponed: deque[GuardedTransport] = deque()
        self._is_turn_due = False
        self._register_gauges()

    def add(self, connection: GuardedTransport) -> None:
        """Count a new connection; close others if there are too many."""
        now = self._clock()
        connection.holds_since = now
        if now - self._calm_noted_at >= _CALM_PERIOD_SECONDS:
            self._note_calm(now)
        self._connections.add(connection)
        max_count = self._max_count(connection)
        if len(self._connections) <= max_count:
            return
        self._close_some(max_count, CloseCause.connections)
        if len(self._connections) > max_count:
            # All others serve calls.
            self._close([connection], CloseCause.connections)

    def discard(self, connection: GuardedTransport) -> None:
        """Count a connection no longer."""
        if connection in self._connections:
            self._connections.remove(connection)
            freed_bytes = connection.counted_bytes
            self._total -= freed_bytes
            connection.counted_bytes = 0
            self._note_freed(self._budget.connection_bytes + freed_bytes)

    def note(self, connection: GuardedTransport) -> None:
        """Count what a connection holds; close some if it is too much."""
        if not connection.counted_bytes:
            # An idle connection is ranked by the time since its last bytes.
            connection.holds_since = self._clock()
            if connection.holds_nothing():
                return
        if connection not in self._connections:
            return
        self._count(connection)
        if self._total > self._max_measured_bytes():
            self._close_some(len(self._connections), CloseCause.memory)

    def postpone(self, connection: GuardedTransport) -> None:
        """Let a connection parse its next pieces in later turns."""
        if connection not in self._postponed:
            self._postponed.append(connection)
        self._schedule_turn()

    def note_close(self, cause: CloseCause, held_bytes: int) -> None:
        """Log and count a connection that is closed for a cause."""
        self._metrics.count('caller_connections_closed', cause=cause.name)
        _log.warning(
            'Connection is closed.',
            why=cause.value,
            held=held_bytes,
            connections=len(self._connections),
            held_by_all=self._held_bytes,
        )

    def _max_count(self, connection: GuardedTransport) -> int:
        if connection.is_for_callers:
            return self.limits.connections
        return self.limits.connections + SPARE_CONNECTIONS

    def _count(self, connection: GuardedTransport) -> HeldBytes:
        measured = connection.measure()
        self._total += measured.total - connection.counted_bytes
        connection.counted_bytes = measured.total
        return measured

    def _close_some(self, max_count: int, cause: CloseCause) -> None:
        now = self._clock()
        holdings: list[Holding[GuardedTransport]] = []
        for connection in self._connections:
            # What was read or sent meanwhile is held no longer.
            measured = self._count(connection)
            holdings.append(
                Holding(
                    connection,
                    measured.total,
                    now - connection.holds_since,
                    connection.awaits_caller,
                    is_answering=measured.responses > 0,
                )
            )
        self._close(
            choose_closed(holdings, self._max_measured_bytes(), max_count),
            cause,
        )

    def _close(
        self, connections: list[GuardedTransport], cause: CloseCause
    ) -> None:
        for connection in connections:
            held_bytes = connection.counted_bytes
            self.discard(connection)
            self.note_close(cause, held_bytes)
            connection.close_for(cause)

    def _register_gauges(self) -> None:
        metrics = self._metrics
        metrics.set_gauge_function(
            'caller_connections', lambda: len(self._connections)
        )
        metrics.set_gauge_function(
            'caller_held_bytes_limit', lambda: self.limits.held_bytes
        )
        functions: dict[str, Callable[[], int]] = {
            kind: partial(self._sum_kind, kind) for kind in _MEASURED_KINDS
        }
        functions['connections'] = self._connection_bytes
        functions['calls'] = lambda: self.rooms.request_count * CALL_BYTES
        functions['waiting'] = lambda: self.rooms.waiting_bytes
        functions['bodies'] = lambda: (
            self.rooms.body_bytes + self._sum_kind('bodies')
        )
        for kind, function in functions.items():
            metrics.set_gauge_function('caller_held_bytes', function, kind=kind)

    def _connection_bytes(self) -> int:
        return len(self._connections) * self._budget.connection_bytes

    @property
    def _held_bytes(self) -> int:
        return self._other_bytes() + self.rooms.taken_bytes

    def _other_bytes(self) -> int:
        return self._connection_bytes() + self._total + self.rooms.waiting_bytes

    def _max_measured_bytes(self) -> int:
        return self.limits.held_bytes // _MEASURED_DIVISOR

    def _note_calm(self, now: float) -> None:
        """Derive the bounds anew if hardly anything is held for callers."""
        if self._held_bytes > _MAX_CALM_HELD_BYTES:
            return
        self._calm_noted_at = now
        resident_bytes = self._memory.resident_bytes()
        if resident_bytes is not None:
            self.limits = self._budget.derive(resident_bytes)
            self.rooms.limit_bytes = self.limits.held_bytes

    def _note_freed(self, size: int) -> None:
        """Return memory to the system soon after much of it came free."""
        held_bytes = self._held_bytes
        self._peak_bytes = max(self._peak_bytes, held_bytes + size)
        if (
            self._trim_handle is None
            and self._peak_bytes - held_bytes >= _MIN_TRIMMED_BYTES
        ):
            self._trim_handle = asyncio.get_running_loop().call_later(
                _TRIM_SECONDS, self._trim
            )

    def _trim(self) -> None:
        self._trim_handle = None
        self._peak_bytes = self._held_bytes
        self._memory.trim()
        self._note_calm(self._clock())

    def _close_stalled(self, connection: GuardedTransport) -> None:
        """Close a connection whose body does not grow while others wait."""
        self.note_close(CloseCause.stalled, connection.room_bytes)
        connection.close_for(CloseCause.stalled)

    def _sum_kind(self, kind: str) -> int:
        totals: Counter[str] = Counter()
        for connection in self._connections:
            totals[kind] += getattr(connection.measure(), kind)
        return totals[kind]

    def _schedule_turn(self) -> None:
        if not self._is_turn_due:
            self._is_turn_due = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_turn_due = False
        for _ in range(min(_PIECES_PER_TURN, len(self._postponed))):
            connection = self._postponed.popleft()
            if connection.parse_next():
                self._postponed.append(connection)
        if self._postponed:
            self._schedule_turn()


__all__ = ('ConnectionBudget', 'ConnectionGuard', 'GuardedTransport')
