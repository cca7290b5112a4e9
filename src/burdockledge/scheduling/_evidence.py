"""What recent traffic says of the health of backend servers."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Final

# Evidence of this age has lost half of its weight.
_HALF_LIFE_SECONDS: Final = 2.0
# Answers that a server without any evidence is credited with.
_PRIOR_ANSWERS: Final = 4.0
_FIRST_PAUSE_SECONDS: Final = 0.5
_LONGEST_PAUSE_SECONDS: Final = 4.0
# Failures of other hosts count when this many of them saw one.
_WITNESSES: Final = 2
_WITNESS_SECONDS: Final = 3.0


class CallResult(enum.IntEnum):
    """How a call ended at a server."""

    answered = 0
    failed = 1
    unreachable = 2
    refused = 3
    abandoned = 4


@dataclass(slots=True)
class _Record:
    good: float = 0.0
    bad: float = 0.0
    at: float = 0.0
    pause_until: float = 0.0
    pause: float = 0.0
    witnesses: dict[str, float] = field(default_factory=dict)


class EvidenceBook:
    """
    Judges servers by the calls of this host and of others.

    A server that can not be reached is paused, twice as long each time,
    and then tried again by single calls. What only one other host saw may
    be its own bad link and pauses nothing.
    """

    def __init__(self, own_host: str) -> None:
        """Create a book without evidence."""
        self._own = own_host
        self._records: dict[str, _Record] = {}

    def note(
        self, server: str, result: CallResult, host: str, now: float
    ) -> None:
        """Note how a call of a host ended at a server."""
        if result in {CallResult.refused, CallResult.abandoned}:
            return
        record = self._records.setdefault(server, _Record(at=now))
        _decay(record, now)
        if result is CallResult.answered:
            record.good += 1
            if host == self._own:
                record.pause = 0.0
                record.pause_until = 0.0
            return
        record.bad += 1
        if result is CallResult.unreachable:
            self._note_unreachable(record, host, now)

    def is_paused(self, server: str, now: float) -> bool:
        """Tell whether new calls should go elsewhere."""
        record = self._records.get(server)
        return record is not None and now < record.pause_until

    def failure_share(self, server: str, now: float) -> float:
        """Return the share of recent calls that failed, 0 to 1."""
        record = self._records.get(server)
        if record is None:
            return 0.0
        _decay(record, now)
        return record.bad / (record.good + record.bad + _PRIOR_ANSWERS)

    def _note_unreachable(self, record: _Record, host: str, now: float) -> None:
        record.witnesses[host] = now
        recent = [
            witness
            for witness, seen_at in record.witnesses.items()
            if now - seen_at < _WITNESS_SECONDS
        ]
        if host != self._own and len(recent) < _WITNESSES:
            return
        if now < record.pause_until:
            return
        doubled = max(_FIRST_PAUSE_SECONDS, 2 * record.pause)
        record.pause = min(doubled, _LONGEST_PAUSE_SECONDS)
        record.pause_until = now + record.pause


def _decay(record: _Record, now: float) -> None:
    weight = 0.5 ** (max(0.0, now - record.at) / _HALF_LIFE_SECONDS)
    record.good *= weight
    record.bad *= weight
    record.at = now


__all__ = ('CallResult', 'EvidenceBook')
