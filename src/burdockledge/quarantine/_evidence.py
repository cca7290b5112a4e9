"""The crashes that hosts saw, as a set that merges in any order."""

from __future__ import annotations

import copy
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import xxhash

from burdockledge.quarantine._assessment import Crash, CrashedCall
from burdockledge.wire import Clearance, CrashSuspect

if TYPE_CHECKING:
    from collections.abc import Collection

# Evidence that blocks no part is dropped after this time.
_EVIDENCE_SECONDS: Final = 900.0
# Limits of memory and of the message with all evidence; the oldest crashes
# that block no part give way first.
_MAX_CRASHES: Final = 64
_MAX_CALLS_PER_CRASH: Final = 8
_MAX_CLEARANCES: Final = 128
_MS_PER_SECOND: Final = 1000
# The longest time that fits into the messages of the hosts.
_MAX_AGE_MS: Final = (1 << 31) - 1
_DIGEST_MASK: Final = (1 << 63) - 1


@dataclass(frozen=True, slots=True)
class _Cleared:
    """A clearance with the time at which it was given."""

    subject: int
    at: float


class CrashEvidence:
    """
    Suspect calls by crashed server, and what clears parts and servers.

    A clearance of a part voids the evidence against it until then; one of a
    server voids its crash, as the server answered a later call. The set
    grows by union, so hosts that exchange it end with the same one.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self._crashes: dict[int, Crash] = {}
        self._clearances: dict[tuple[int, int], _Cleared] = {}
        self._cleared_at: dict[int, float] = {}
        self.digest = 0

    def snapshot(self) -> CrashEvidence:
        """Return a copy on which queries change nothing here."""
        other = copy.copy(self)
        other.unshare()
        return other

    def unshare(self) -> None:
        """Stop sharing with another copy what queries may change."""
        self._crashes = dict(self._crashes)
        self._clearances = dict(self._clearances)

    @property
    def crashes(self) -> Collection[Crash]:
        """The crashes that count."""
        return self._crashes.values()

    def crash_time(self, server: int) -> float | None:
        """Return when a server crashed, None if it is not known to have."""
        crash = self._crashes.get(server)
        return None if crash is None else crash.at

    def is_blamed(self, part: int) -> bool:
        """Return whether there is evidence against a part that counts."""
        if not self._crashes:
            # Nearly always: each part of each answered call passes here.
            return False
        return any(
            part in call.parts and not self.is_void(part, crash.at)
            for crash in self._crashes.values()
            for call in crash.calls.values()
        )

    def is_void(self, part: int, at: float) -> bool:
        """Return whether evidence against a part at a time was cleared."""
        cleared_at = self._cleared_at.get(part)
        return cleared_at is not None and at <= cleared_at

    def add(
        self,
        suspect: CrashSuspect,
        now: float,
        max_age_seconds: float = _EVIDENCE_SECONDS,
    ) -> bool:
        """Add a suspect call; return whether it was new."""
        age_seconds = suspect.age_ms / _MS_PER_SECOND
        if age_seconds > max_age_seconds or suspect.server in self._cleared_at:
            return False
        at = now - age_seconds
        crash = self._crashes.setdefault(
            suspect.server, Crash(suspect.server, at)
        )
        if suspect.call in crash.calls:
            return False
        crash.calls[suspect.call] = CrashedCall(
            suspect.call,
            tuple(suspect.parts),
            suspect.had_head,
            at - suspect.sent_before_ms / _MS_PER_SECOND,
        )
        kept = sorted(
            crash.calls.values(),
            key=lambda call: (not call.had_head, call.call_id),
        )[:_MAX_CALLS_PER_CRASH]
        crash.calls = {call.call_id: call for call in kept}
        self._update_digest()
        return suspect.call in crash.calls

    def clear(self, clearance: Clearance, now: float) -> bool:
        """Add a clearance; return whether it was new."""
        key = (clearance.id, clearance.subject)
        if key in self._clearances:
            return False
        at = now - clearance.age_ms / _MS_PER_SECOND
        self._clearances[key] = _Cleared(clearance.subject, at)
        while len(self._clearances) > _MAX_CLEARANCES:
            self._clearances.pop(next(iter(self._clearances)))
        self._crashes.pop(clearance.subject, None)
        self._index_clearances()
        return True

    def entries(self, now: float) -> tuple[list[CrashSuspect], list[Clearance]]:
        """Return all evidence, with its age."""
        suspects = [
            CrashSuspect(
                call.call_id,
                crash.server,
                list(call.parts),
                call.had_head,
                _age_ms(call.sent_at, crash.at),
                _age_ms(crash.at, now),
            )
            for crash in self._crashes.values()
            for call in crash.calls.values()
        ]
        clearances = [
            Clearance(clearance_id, cleared.subject, _age_ms(cleared.at, now))
            for (clearance_id, _), cleared in self._clearances.items()
        ]
        return suspects, clearances

    def trim(self, blocked_parts: Collection[int], now: float) -> bool:
        """
        Drop old evidence and what exceeds the limits.

        :param blocked_parts: parts whose evidence is kept.
        :return: whether a crash was dropped.
        """
        removable = [
            crash
            for crash in sorted(
                self._crashes.values(), key=lambda crash: crash.at
            )
            if not _is_about(crash, blocked_parts)
        ]
        excess = len(self._crashes) - _MAX_CRASHES
        dropped = [
            crash.server
            for index, crash in enumerate(removable)
            if index < excess or now - crash.at > _EVIDENCE_SECONDS
        ]
        if excess > len(removable):
            oldest = sorted(self._crashes.values(), key=lambda crash: crash.at)
            dropped = [crash.server for crash in oldest[:excess]]
        for server in dropped:
            self._crashes.pop(server)
        expired = [
            key
            for key, cleared in self._clearances.items()
            if now - cleared.at > _EVIDENCE_SECONDS
        ]
        for key in expired:
            self._clearances.pop(key)
        if dropped or expired:
            self._index_clearances()
        return bool(dropped)

    def _index_clearances(self) -> None:
        self._cleared_at = {}
        for cleared in self._clearances.values():
            known = self._cleared_at.get(cleared.subject, cleared.at)
            self._cleared_at[cleared.subject] = max(known, cleared.at)
        self._update_digest()

    def _update_digest(self) -> None:
        digest = 0
        for crash in self._crashes.values():
            for call_id in crash.calls:
                digest ^= _hash(f'{crash.server}/{call_id}')
        for clearance_id, subject in self._clearances:
            digest ^= _hash(f'{clearance_id}:{subject}')
        self.digest = digest & _DIGEST_MASK


def _is_about(crash: Crash, parts: Collection[int]) -> bool:
    return any(
        part in parts for call in crash.calls.values() for part in call.parts
    )


def _age_ms(at: float, now: float) -> int:
    return min(max(0, round((now - at) * _MS_PER_SECOND)), _MAX_AGE_MS)


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


__all__ = ('CrashEvidence',)
