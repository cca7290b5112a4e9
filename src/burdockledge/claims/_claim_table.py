"""
The state of all idempotency keys, computed from the claims stream.

The first valid claim of a key in offset order holds the key for good. Only
the claim with the holder's nonce may record the outcome, and only once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pydantic import ValidationError

from burdockledge.claims._keys import MAX_CLOCK_SKEW_MS
from burdockledge.claims._records import ClaimBatch, ClaimEntry, FinalEntry

if TYPE_CHECKING:
    from burdockledge.claims._keys import KeyWindow
    from burdockledge.platform_api import LogRecord

_COMPLETE_FROM_START_MS: Final = -1
_PRUNE_INTERVAL_MS: Final = 10_000


@dataclass(slots=True)
class KeyEntry:
    """
    The holder of a key and, once recorded, the outcome of its request.

    ``host`` and ``boot`` identify the process that holds the key, ``nonce``
    its claim.
    """

    created_ms: int
    body_digest: str
    host: str
    boot: int
    nonce: str
    final: FinalEntry | None = None


@dataclass(frozen=True, slots=True)
class LoggedClaim:
    """
    A claim that was read from the log.

    ``key`` is the digest of team and key. ``is_valid`` is false if the claim
    was outside its key's window.
    """

    key: str
    nonce: str
    boot: int
    is_valid: bool


class ClaimTable:
    """
    The keys within their window, as of the last applied log record.

    ``log_time_ms`` is the latest time of the log's clock that was seen.
    """

    def __init__(self, window: KeyWindow) -> None:
        """Create an empty table."""
        self._window = window
        self._entries: dict[str, KeyEntry] = {}
        # The log time since which every record was read, or None.
        self._complete_since_ms: int | None = None
        self._last_prune_ms = 0
        self.next_offset = 0
        self.log_time_ms = 0

    def __len__(self) -> int:
        """Return the number of keys in the table."""
        return len(self._entries)

    def entry(self, key_digest: str) -> KeyEntry | None:
        """Return the entry of a key digest, or None if it has no claim."""
        return self._entries.get(key_digest)

    def has_complete_history(self, created_ms: int) -> bool:
        """Return whether all claims of a key created then have been read."""
        since_ms = self._complete_since_ms
        return (
            since_ms is not None and since_ms < created_ms - MAX_CLOCK_SKEW_MS
        )

    def update_log_bounds(self, earliest_offset: int, now_ms: int) -> None:
        """
        Update offset and time from a page before its records are applied.

        If the log dropped records that were not read, claims may be missing
        and the history is no longer complete.
        """
        self.log_time_ms = max(self.log_time_ms, now_ms)
        if earliest_offset > self.next_offset:
            self._complete_since_ms = None
            self.next_offset = earliest_offset
        elif self._complete_since_ms is None and earliest_offset == 0:
            self._complete_since_ms = _COMPLETE_FROM_START_MS
        self._prune(now_ms)

    def apply(self, record: LogRecord) -> tuple[LoggedClaim, ...]:
        """
        Apply the next record; skip one that cannot be parsed.

        :return: the record's claims, in order.
        :raises ValueError: if the record's offset is not ``next_offset``.
        """
        if record.offset != self.next_offset:
            raise ValueError(
                f'record offset {record.offset} is not the next offset '
                f'{self.next_offset}',
            )
        self.next_offset += 1
        self.log_time_ms = max(self.log_time_ms, record.at_ms)
        if self._complete_since_ms is None:
            self._complete_since_ms = record.at_ms
        try:
            batch = ClaimBatch.model_validate_json(record.body)
        except ValidationError:
            return ()
        applied: list[LoggedClaim] = []
        for entry in batch.entries:
            if isinstance(entry, ClaimEntry):
                applied.append(self._apply_claim(record, batch, entry))
            else:
                self._apply_final(entry)
        return tuple(applied)

    def _apply_claim(
        self,
        record: LogRecord,
        batch: ClaimBatch,
        claim: ClaimEntry,
    ) -> LoggedClaim:
        problem = self._window.check(claim.made_ms, record.at_ms)
        if problem is None and claim.key not in self._entries:
            self._entries[claim.key] = KeyEntry(
                created_ms=claim.made_ms,
                body_digest=claim.body,
                host=batch.host,
                boot=batch.boot,
                nonce=claim.nonce,
            )
        return LoggedClaim(claim.key, claim.nonce, batch.boot, problem is None)

    def _apply_final(self, final: FinalEntry) -> None:
        entry = self._entries.get(final.key)
        if entry is None or entry.nonce != final.nonce:
            return
        if entry.final is None:
            entry.final = final

    def _prune(self, now_ms: int) -> None:
        if now_ms - self._last_prune_ms < _PRUNE_INTERVAL_MS:
            return
        self._last_prune_ms = now_ms
        min_created_ms = now_ms - self._window.lifetime_ms - MAX_CLOCK_SKEW_MS
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if entry.created_ms >= min_created_ms
        }


__all__ = ('ClaimTable', 'KeyEntry', 'LoggedClaim')
