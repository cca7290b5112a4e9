"""The replicated state of a stream: the newest record of each key."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from burdockledge.wire import NO_ERA, StreamEntry, StreamUpdate

if TYPE_CHECKING:
    from collections.abc import Collection

UNKNOWN_POSITION = -1
_MS_PER_SECOND = 1000
MAX_AGE_MS = (1 << 31) - 1
# The newest removals are kept to send them to hosts that missed them; a host
# that missed older ones is sent the whole stream.
_MAX_KEPT_REMOVALS = 256


@dataclass(frozen=True, slots=True)
class MergeResult:
    """
    The result of merging an update.

    ``changed`` holds the changed entries. With ``has_gap`` the update was not
    merged, as records before its start are missing here. With ``is_restore``
    it is the first one here of a later era of the store.
    """

    changed: tuple[StreamEntry, ...] = ()
    has_gap: bool = False
    is_restore: bool = False


class StreamState:
    """
    The records of a stream that one host holds.

    All records below the offset ``position`` of the era ``era`` of the store
    are merged. An offset orders records within its era only; the two together,
    ``place``, never decrease, but where hosts that know no eras named them.
    The records mirror what the store holds, also where it has come back with
    older ones.
    ``fresh_at`` is the latest time, in seconds of the monotonic clock, at
    which the stream is known to have ended at ``position``.
    """

    def __init__(self, stream: str) -> None:
        """Create the state of a stream that has not been read."""
        self.stream = stream
        self.position = UNKNOWN_POSITION
        self.era = NO_ERA
        self.fresh_at: float | None = None
        # Whether the store was restored while this host held the stream.
        self._has_crossed_eras = False
        # Whether a host that knows no eras has named the position, which may
        # then be one of an era before.
        self._is_position_doubtful = False
        self._entries: dict[str, StreamEntry] = {}
        # The newest removals; all from ``_removals_complete_from`` on are here.
        self._removals: OrderedDict[str, StreamEntry] = OrderedDict()
        self._removals_complete_from = 0

    @property
    def is_known(self) -> bool:
        """Whether the whole stream was read or received once."""
        return self.position != UNKNOWN_POSITION

    @property
    def place(self) -> tuple[int, int]:
        """The era and the position."""
        return self.era, self.position

    def place_of(self, era: int, position: int) -> tuple[int, int] | None:
        """
        Return the place that another host names.

        Hosts that know no eras are taken to be in the one of this host, until
        it has seen two.

        :return: None if it can not be told.
        """
        if era != NO_ERA:
            return era, position
        return None if self._has_crossed_eras else (self.era, position)

    def entries(self) -> tuple[StreamEntry, ...]:
        """Return the newest record of each key."""
        return tuple(self._entries.values())

    def merge(self, update: StreamUpdate, now: float) -> MergeResult:
        """Merge an update that was received at ``now``."""
        place = self.place_of(update.era, update.end)
        if place is None:
            return MergeResult()
        is_proof = update.is_whole and update.era != NO_ERA
        is_correction = is_proof and self._is_position_doubtful
        if place < self.place and not (is_correction and place[0] == self.era):
            return MergeResult()
        is_later_era = place[0] > self.era
        is_restore = is_later_era and self.is_known and self.era != NO_ERA
        if update.is_whole:
            replaces_all = is_later_era or is_correction
            changed = self._merge_whole(update, replaces_all=replaces_all)
        elif is_later_era or not self.is_known or update.start > self.position:
            return MergeResult(has_gap=True)
        else:
            changed = self._merge_tail(update)
        self._is_position_doubtful = not is_proof and (
            self._is_position_doubtful or update.era == NO_ERA
        )
        self.era = place[0]
        self.position = update.end
        self._has_crossed_eras |= is_restore
        fresh_at = now - update.age_ms / _MS_PER_SECOND
        self.fresh_at = max(self.fresh_at or fresh_at, fresh_at)
        return MergeResult(changed, is_restore=is_restore)

    def update_since(
        self, position: int, now: float, era: int = NO_ERA
    ) -> StreamUpdate:
        """
        Return the update for a host whose stream is at a position of an era.

        It is the whole stream if removals from that position on were dropped,
        or if that is a position of another era.
        """
        place = self.place_of(era, position)
        is_whole = (
            place is None
            or place[0] != self.era
            or position < self._removals_complete_from
        )
        start = 0 if is_whole else position
        removals = () if is_whole else self._removals.values()
        entries = (*self._entries.values(), *removals)
        return StreamUpdate(
            stream=self.stream,
            start=start,
            end=self.position,
            age_ms=self.age_ms(now),
            entries=tuple(entry for entry in entries if entry.offset >= start),
            is_whole=is_whole,
            era=self.era,
        )

    def age_ms(self, now: float) -> int:
        """
        Return the time since ``fresh_at`` in ms, 0 for an unknown stream.

        It stays within what a message of the hosts holds, some 24 days.
        """
        age_ms = int((now - (self.fresh_at or now)) * _MS_PER_SECOND)
        return min(max(0, age_ms), MAX_AGE_MS)

    def _merge_whole(
        self, update: StreamUpdate, *, replaces_all: bool
    ) -> tuple[StreamEntry, ...]:
        keys = {entry.key for entry in update.entries}
        self._removals_complete_from = update.end
        removals = [
            StreamEntry(key, update.end, None)
            for key in self._entries
            if key not in keys
        ]
        newer = [
            entry
            for entry in update.entries
            if entry.content is not None
            and (replaces_all or self._is_newer(entry))
        ]
        if replaces_all:
            self._removals.clear()
        return self._apply((*removals, *newer))

    def _merge_tail(self, update: StreamUpdate) -> tuple[StreamEntry, ...]:
        # Of a stream that is read in pages, later pages are newer than the
        # position, and the hosts that follow this one lack their records.
        early_keys = {
            key
            for key, entry in self._entries.items()
            if entry.offset >= self.position
        }
        newer = [
            entry
            for entry in update.entries
            if entry.offset >= self.position and not self._is_older(entry)
        ]
        return self._apply(tuple(newer), early_keys)

    def _is_newer(self, entry: StreamEntry) -> bool:
        known = self._entries.get(entry.key)
        return known is None or entry.offset > known.offset

    def _is_older(self, entry: StreamEntry) -> bool:
        known = self._entries.get(entry.key)
        return known is not None and entry.offset < known.offset

    def _apply(
        self,
        entries: tuple[StreamEntry, ...],
        early_keys: Collection[str] = (),
    ) -> tuple[StreamEntry, ...]:
        changed: dict[str, StreamEntry] = {}
        for entry in entries:
            known = self._entries.get(entry.key)
            if entry.content is None:
                self._keep_removal(entry)
                self._entries.pop(entry.key, None)
                changed[entry.key] = entry
                continue
            self._removals.pop(entry.key, None)
            self._entries[entry.key] = entry
            is_same = known is not None and known.content == entry.content
            if not is_same or entry.key in early_keys:
                changed[entry.key] = entry
        return tuple(changed.values())

    def _keep_removal(self, entry: StreamEntry) -> None:
        self._removals.pop(entry.key, None)
        self._removals[entry.key] = entry
        if len(self._removals) > _MAX_KEPT_REMOVALS:
            _, oldest = self._removals.popitem(last=False)
            self._removals_complete_from = max(
                self._removals_complete_from, oldest.offset + 1
            )


__all__ = ('MAX_AGE_MS', 'UNKNOWN_POSITION', 'MergeResult', 'StreamState')
