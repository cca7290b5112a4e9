"""Decides which calls may reach engines, from the crashes that hosts saw."""

from __future__ import annotations

import copy
import enum
import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.quarantine._assessment import Assessment, PartCase, assess
from burdockledge.quarantine._evidence import CrashEvidence
from burdockledge.wire import Clearance, CrashSuspect

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# A suspected part is at one engine at a time; a call that is older than this,
# or whose response began this long ago, holds up no other.
_MAX_HOLD_SECONDS: Final = 2.0
_SETTLED_SECONDS: Final = 0.3
# A blocked part gets one trial of the whole fleet after this time, and a
# second one after four times as long; then only an operator releases it.
_TRIAL_SECONDS: Final = 120.0
_TRIAL_FACTOR: Final = 4
_MAX_TRIALS: Final = 2
# Parts that were answered are remembered up to this number.
_MAX_ANSWERED_PARTS: Final = 8192
_MAX_FLIGHTS: Final = 8192
_TRIM_SECONDS: Final = 1.0
# The news of a call of another host is at most this late; among 200 hosts it
# is batched twice for 0.3 s.
_MAX_NEWS_SECONDS: Final = 1.0
_MS_PER_SECOND: Final = 1000


class Verdict(enum.Enum):
    """Whether a call may be sent to an engine now."""

    allowed = 'allowed'
    # Another call with a suspected part has to begin first.
    deferred = 'deferred'
    blocked = 'blocked'


@dataclass(frozen=True, slots=True)
class QuarantineEvent:
    """A change of what is known of a part: suspected, blocked or released."""

    event: str
    part: int
    evidence: PartCase | None = None


@dataclass(slots=True)
class _Flight:
    """
    A call that is at an engine; times of the monotonic clock.

    It was sent at ``sent_at`` or up to ``news_seconds`` earlier.
    """

    server: int
    parts: tuple[int, ...]
    sent_at: float
    news_seconds: float
    head_at: float | None = None


class Quarantine:
    """
    The quarantine of one host.

    It follows the calls of all hosts. ``is_trial_host`` returns whether this
    host is the one that tries a blocked part; ``on_event`` gets each change.
    Times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        """Create a quarantine without evidence."""
        self._evidence = CrashEvidence()
        self._flights: OrderedDict[int, _Flight] = OrderedDict()
        self._answered_parts: OrderedDict[int, None] = OrderedDict()
        self._assessment = Assessment()
        self._trimmed_at = 0.0
        self.is_trial_host: Callable[[int], bool] = lambda _: False
        self.on_event: Callable[[QuarantineEvent], None] = lambda _: None

    def snapshot(self) -> Quarantine:
        """Return a copy on which queries change nothing here."""
        other = copy.copy(self)
        other.unshare()
        return other

    def unshare(self) -> None:
        """Stop sharing with another copy what queries may change."""
        self._evidence = self._evidence.snapshot()
        self.on_event = _ignore

    @property
    def digest(self) -> int:
        """A number that is equal for hosts with the same evidence."""
        return self._evidence.digest

    @property
    def blocked(self) -> dict[int, PartCase]:
        """The blocked parts, by key, with the evidence."""
        return self._assessment.blocked

    @property
    def suspected(self) -> dict[int, PartCase]:
        """The suspected parts, by key, with the evidence."""
        return self._assessment.suspected

    def verdict(self, parts: tuple[int, ...], now: float) -> Verdict:
        """Return whether a call with these parts may be sent now."""
        if now - self._trimmed_at > _TRIM_SECONDS:
            self._trim(now)
        blocked = [part for part in parts if part in self.blocked]
        if any(not self._is_trial_due(part, now) for part in blocked):
            return Verdict.blocked
        for part in blocked:
            if not self.is_trial_host(part) or self._is_in_flight(part, now):
                return Verdict.blocked
        for part in parts:
            if part in self.suspected and self._is_in_flight(part, now):
                return Verdict.deferred
        return Verdict.allowed

    def is_suspected(self, parts: Iterable[int]) -> bool:
        """Return whether a call with these parts must not be repeated."""
        return any(
            part in self.blocked or part in self.suspected for part in parts
        )

    def blocked_seconds(self, parts: Iterable[int], now: float) -> float | None:
        """Return the time until a blocked part may be tried, None if never."""
        waits = [
            self._trial_at(self.blocked[part])
            for part in parts
            if part in self.blocked
        ]
        if any(wait is None for wait in waits):
            return None
        return max((wait - now for wait in waits if wait), default=0.0)

    def note_start(
        self,
        call_id: int,
        server: int,
        parts: tuple[int, ...],
        now: float,
        *,
        is_own: bool,
    ) -> None:
        """Follow a call that this host or another one sent to an engine."""
        if not parts:
            return
        self._flights[call_id] = _Flight(
            server, parts, now, 0 if is_own else _MAX_NEWS_SECONDS
        )
        if len(self._flights) > _MAX_FLIGHTS:
            self._flights.popitem(last=False)

    def note_head(self, call_id: int, now: float) -> None:
        """Record a response's head, which shows that its engine runs."""
        flight = self._flights.get(call_id)
        if flight is None:
            return
        flight.head_at = now
        crashed_at = self._evidence.crash_time(flight.server)
        sent_at = flight.sent_at - flight.news_seconds
        if crashed_at is not None and sent_at > crashed_at:
            self._clear(Clearance(call_id, flight.server, 0), now)

    def note_answer(self, call_id: int, now: float) -> None:
        """Record an answer that was written to its end: its parts are sound."""
        flight = self._flights.pop(call_id, None)
        if flight is None:
            return
        for part in flight.parts:
            self._answered_parts[part] = None
            self._answered_parts.move_to_end(part)
            if self._evidence.is_blamed(part):
                self._clear(Clearance(call_id, part, 0), now)
        while len(self._answered_parts) > _MAX_ANSWERED_PARTS:
            self._answered_parts.popitem(last=False)

    def note_end(self, call_id: int) -> None:
        """Record any other end of a call."""
        self._flights.pop(call_id, None)

    def note_break(
        self, call_id: int, now: float, *, had_head: bool
    ) -> CrashSuspect | None:
        """
        Record that a connection broke before a response had content.

        :return: the evidence to tell other hosts, None without shared parts.
        """
        flight = self._flights.pop(call_id, None)
        if flight is None:
            return None
        suspect = CrashSuspect(
            call_id,
            flight.server,
            list(flight.parts),
            had_head,
            round((now - flight.sent_at) * _MS_PER_SECOND),
            0,
        )
        self.merge([suspect], [], now)
        return suspect

    def entries(self, now: float) -> tuple[list[CrashSuspect], list[Clearance]]:
        """Return all evidence, for another host or to keep it."""
        return self._evidence.entries(now)

    def merge(
        self,
        suspects: Iterable[CrashSuspect],
        clearances: Iterable[Clearance],
        now: float,
    ) -> None:
        """Add the evidence of another host."""
        changes = [self._evidence.clear(one, now) for one in clearances]
        changes.extend(self._evidence.add(one, now) for one in suspects)
        if any(changes):
            self._evidence.trim(self.blocked, now)
            self._assess()

    def restore(
        self,
        suspects: Iterable[CrashSuspect],
        clearances: Iterable[Clearance],
        now: float,
    ) -> None:
        """Add evidence that was kept for its block, which may be old."""
        changes = [self._evidence.clear(one, now) for one in clearances]
        changes.extend(
            self._evidence.add(one, now, math.inf) for one in suspects
        )
        if any(changes):
            self._assess()
            self._trim(now)

    def release(self, part: int, release_id: int, now: float) -> bool:
        """
        Release a part on an operator's word, on all hosts.

        :param release_id: a random number that names the release.
        :return: whether the part was blocked or suspected.
        """
        if not self._evidence.is_blamed(part):
            return False
        self._clear(Clearance(release_id, part, 0), now)
        return True

    def _clear(self, clearance: Clearance, now: float) -> None:
        self.merge([], [clearance], now)

    def _trim(self, now: float) -> None:
        self._trimmed_at = now
        if self._evidence.trim(self.blocked, now):
            self._assess()

    def _assess(self) -> None:
        before = self._assessment
        self._assessment = assess(
            self._evidence.crashes,
            self._evidence.is_void,
            self._answered_parts.__contains__,
        )
        for event in _changes(before, self._assessment):
            self.on_event(event)

    def _is_in_flight(self, part: int, now: float) -> bool:
        return any(
            part in flight.parts
            for flight in self._flights.values()
            if now - flight.sent_at < _MAX_HOLD_SECONDS
            and (
                flight.head_at is None
                or now - flight.head_at < _SETTLED_SECONDS
            )
        )

    def _is_trial_due(self, part: int, now: float) -> bool:
        trial_at = self._trial_at(self.blocked[part])
        return trial_at is not None and now >= trial_at

    def _trial_at(self, block: PartCase) -> float | None:
        trials = block.crashes_since_block
        if trials >= _MAX_TRIALS:
            return None
        wait_seconds = _TRIAL_SECONDS * math.pow(_TRIAL_FACTOR, trials)
        return block.last_crash_at + wait_seconds


def _ignore(_: QuarantineEvent) -> None:
    """Tell nobody of changes of a snapshot."""


def _changes(
    before: Assessment, after: Assessment
) -> Iterator[QuarantineEvent]:
    for part, block in after.blocked.items():
        if part not in before.blocked:
            yield QuarantineEvent('blocked', part, block)
    for part, block in after.suspected.items():
        if part not in before.suspected and part not in before.blocked:
            yield QuarantineEvent('suspected', part, block)
    for part in (*before.blocked, *before.suspected):
        if part not in after.blocked and part not in after.suspected:
            yield QuarantineEvent('released', part)


__all__ = ('Quarantine', 'QuarantineEvent', 'Verdict')
