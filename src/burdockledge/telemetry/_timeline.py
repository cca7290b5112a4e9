"""
A bounded list of events, stamped by a hybrid logical clock.

Source: Kulkarni et al., "Logical Physical Clocks", 2014. A stamp received
from another process advances the local clock, so that sorting the events of
all processes by stamp puts every cause before its effect.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burdockledge.clock import Clock

_LOGICAL_BITS = 16


@dataclass(frozen=True, slots=True)
class Event:
    """
    An event of one process.

    ``stamp`` is a hybrid logical clock: milliseconds since the epoch, shifted
    left by 16 bits, plus a logical counter in the low bits. ``subjects`` are
    the ids of the request, key, server or version that the event is about.
    """

    stamp: int
    host: str
    kind: str
    subjects: tuple[str, ...]
    detail: str

    @property
    def wall_ms(self) -> int:
        """The wall-clock part of the stamp, in milliseconds since the epoch."""
        return self.stamp >> _LOGICAL_BITS


Observer = Callable[[Event], None]


class TimeLine:
    """The newest events of one process and its hybrid logical clock."""

    def __init__(self, host: str, clock: Clock, capacity: int) -> None:
        """Create an empty timeline that keeps at most ``capacity`` events."""
        self._host = host
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=capacity)
        self._last_stamp = 0
        self._observers: list[Observer] = []

    def observe(self, observer: Observer) -> None:
        """Call an observer with each event as it is recorded."""
        self._observers.append(observer)

    def record(self, kind: str, *subjects: str, detail: str = '') -> int:
        """
        Append an event.

        :return: the stamp of the event, to be sent with messages.
        """
        self._last_stamp = max(
            self._last_stamp + 1,
            self._clock.wall_ms() << _LOGICAL_BITS,
        )
        event = Event(self._last_stamp, self._host, kind, subjects, detail)
        self._events.append(event)
        for observer in self._observers:
            observer(event)
        return self._last_stamp

    def stamp(self) -> int:
        """Return the newest stamp, to be sent with a message."""
        return self._last_stamp

    def merge_stamp(self, stamp: int) -> None:
        """Advance the clock to a stamp received from another process."""
        self._last_stamp = max(self._last_stamp, stamp)

    def events(self, subject: str = '') -> Iterator[Event]:
        """Yield the kept events about a subject, or all, oldest first."""
        for event in self._events:
            if not subject or subject in event.subjects:
                yield event


__all__ = ('Event', 'TimeLine')
